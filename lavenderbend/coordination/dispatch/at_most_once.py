"""Non-idempotent requests, which run at most once."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.observe import metrics
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.dispatch import exchange as exchange_module
    from lavenderbend.state import claims as claims_state
    from lavenderbend.state import requests

MAX_KEY_CHARACTERS = 256
REPLAYED = 'x-idempotent-replay'

unrecorded = metrics.counter(
    'lavenderbend_outcomes_unrecorded_total',
    'Outcomes of non-idempotent requests that could not be recorded.',
)
replays = metrics.counter(
    'lavenderbend_idempotent_replays_total',
    'Further copies of non-idempotent requests, told the recorded outcome.',
)


def check_key(request: requests.Request) -> str:
    """Returns the Idempotency-Key of a request.

    Raises:
        IdempotencyKeyMissing: There is none.
        RequestInvalid: It is too long.
    """
    key = request.idempotency_key
    if not key:
        raise errors.IdempotencyKeyMissing(
            'a non-idempotent request needs an Idempotency-Key'
        )
    if len(key) > MAX_KEY_CHARACTERS:
        raise errors.RequestInvalid('the Idempotency-Key is too long')
    return key


def body_digest(request: requests.Request) -> bytes:
    """Returns the SHA-256 digest of path and body."""
    digest = hashlib.sha256(request.path.encode())
    digest.update(b'\0')
    digest.update(request.body)
    return digest.digest()


async def run_to_end(exchange: exchange_module.Exchange) -> bytes:
    """Runs a request to its end and returns the complete body.

    The calling function shields it from cancellation: if it were cancelled
    because the caller disconnected, its outcome would be unknown and the
    next copy could never be answered. The rule's timeout limits it.

    Raises:
        RequestError: There is no complete answer.
    """
    limit = exchange.components.settings.answers.answer_bytes
    parts: list[bytes] = []
    size = 0
    with trio.move_on_at(exchange.deadline):
        piece = await exchange.begin()
        while piece is not None:
            size += len(piece)
            if size > limit:
                await exchange.abandon()
                raise errors.RequestFailed('the answer is over the size limit')
            reserve = exchange.request.reserve
            if reserve is not None and size > caller_memory.SMALL_BYTES:
                await reserve(size)
            parts.append(piece)
            piece = await exchange.next_piece()
        return b''.join(parts)
    raise errors.OutcomeUnknown('no complete answer before the deadline')


def digest(request: requests.Request) -> bytes:
    """Returns the hash by which bodies sent under one key are compared."""
    return hashing.hash64(request.path, request.body).to_bytes(8, 'big')


async def record_outcome(
    claims: Any, token: Any, outcome: errors.Outcome, status: int | None
) -> None:
    """Records the outcome of a claim."""
    try:
        await claims.record(token, outcome, status)
    except errors.LavenderbendError as exc:
        # a failure to record must not fail the caller's request: the next
        # copy gets the outcome "unknown", which is safe
        unrecorded.inc({'error': type(exc).__name__})


def check_recorded(recorded: claims_state.Recorded) -> None:
    """Raises the error with which the first copy of a request ended.

    Raises:
        OutcomeUnknown: It is not known whether the first copy ran.
        RequestFailed: The first copy ran and failed.
    """
    if recorded.outcome is errors.Outcome.FAILED:
        raise errors.RequestFailed('an earlier copy ran and failed')
    if recorded.outcome is not errors.Outcome.COMPLETE:
        raise errors.OutcomeUnknown('an earlier copy may have run')


def replay_body(outcome: errors.Outcome, status: int) -> bytes:
    """Returns the body sent to a further copy: the first copy's outcome."""
    document = {'outcome': outcome.value, 'status': status, 'replayed': True}
    return orjson.dumps(document)
