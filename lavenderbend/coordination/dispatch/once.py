"""Requests that may run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination.dispatch import exchange
    from lavenderbend.state import requests

MAX_KEY_CHARACTERS = 256
REPLAYED = 'x-idempotent-replay'

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


async def run_whole(run: exchange.Exchange) -> bytes:
    """Runs a request to its end and returns the whole body.

    It goes on when the caller goes away: cut off, nobody could say whether
    it ran, and the caller's next copy could never be answered. The rule's
    timeout bounds it.

    Raises:
        RequestError: The answer cannot be had.
    """
    limit = run.parts.settings.answers.whole_bytes
    parts: list[bytes] = []
    size = 0
    with trio.CancelScope(shield=True, deadline=run.deadline):
        piece = await run.begin()
        while piece is not None:
            size += len(piece)
            if size > limit:
                await run.give_up()
                raise errors.RequestFailed('the answer is too large')
            parts.append(piece)
            piece = await run.next_piece()
        return b''.join(parts)
    raise errors.OutcomeUnknown('no whole answer before the deadline')


def replay_body(outcome: str, status: int) -> bytes:
    """Returns the body that tells a further copy what became of the first."""
    document = {'outcome': outcome, 'status': status, 'replayed': True}
    return orjson.dumps(document)
