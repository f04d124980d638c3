"""Requests that may run at most once."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend import errors
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
            'a request that may run once needs an Idempotency-Key'
        )
    if len(key) > MAX_KEY_CHARACTERS:
        raise errors.RequestInvalid('the Idempotency-Key is too long')
    return key


def body_digest(request: requests.Request) -> bytes:
    """Returns the digest by which copies of a request are told apart."""
    digest = hashlib.sha256(request.path.encode())
    digest.update(b'\0')
    digest.update(request.body)
    return digest.digest()


async def run_to_end(exchange: exchange_module.Exchange) -> bytes:
    """Runs a request to its end and returns the whole body.

    The caller shields it: cut off because its own caller went away, nobody
    could say whether it ran, and the next copy could never be answered. The
    rule's timeout bounds it.

    Raises:
        RequestError: The answer cannot be had.
    """
    limit = exchange.components.settings.answers.whole_bytes
    parts: list[bytes] = []
    size = 0
    with trio.move_on_at(exchange.deadline):
        piece = await exchange.begin()
        while piece is not None:
            size += len(piece)
            if size > limit:
                await exchange.abandon()
                raise errors.RequestFailed('the answer is too large')
            parts.append(piece)
            piece = await exchange.next_piece()
        return b''.join(parts)
    raise errors.OutcomeUnknown('no whole answer before the deadline')


def digest(request: requests.Request) -> bytes:
    """Returns the hash that tells two bodies under one key apart."""
    return hashing.hash64(request.path, request.body).to_bytes(8, 'big')


async def record_outcome(
    claims: Any, token: Any, outcome: errors.Outcome, status: int | None
) -> None:
    """Records the outcome of a claim."""
    try:
        await claims.record(token, outcome, status)
    except errors.LavenderbendError as exc:
        # the caller's answer must not be lost because its record is: the
        # next copy is told that the outcome is unknown, which is safe
        unrecorded.inc({'error': type(exc).__name__})


def check_recorded(recorded: claims_state.Recorded) -> None:
    """Raises the error that the first copy of a request ended with.

    Raises:
        OutcomeUnknown: Nobody can tell whether the first copy ran.
        RequestFailed: The first copy ran and failed.
    """
    if recorded.outcome is errors.Outcome.FAILED:
        raise errors.RequestFailed('an earlier copy ran and failed')
    if recorded.outcome is not errors.Outcome.COMPLETE:
        raise errors.OutcomeUnknown('an earlier copy may have run')


def replay_body(outcome: errors.Outcome, status: int) -> bytes:
    """Returns the body that tells a further copy what became of the first."""
    document = {'outcome': outcome.value, 'status': status, 'replayed': True}
    return orjson.dumps(document)
