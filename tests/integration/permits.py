"""Permits as the routers recorded them with their decisions."""

from __future__ import annotations

import math
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from tests.integration import checkers
from tests.integration import fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

DECISIONS = 10_000


@attrs.frozen
class Permit(checkers.Run):
    """A permit from when its router got it to when it gave it back.

    Attributes:
        router: Router that used it.
        owner: Router that granted it; the user itself if it was alone.
        reason: Why this upstream.
        waited: Seconds from the request for it to the grant.
    """

    router: str = ''
    owner: str = ''
    reason: str = ''
    waited: float = 0.0


def clock_ahead(documents: Sequence[dict[str, Any]]) -> float:
    """Returns the seconds that a router's clock is ahead of the wall's.

    A decision ends by the wall's clock after its last attempt ended by the
    router's; of many, the one with the least time between tells.
    """
    behind = [
        document['at']
        + document['duration']
        - attempt['started']
        - attempt['finished']
        for document in documents
        for attempt in document['attempts'][-1:]
        if document['outcome'] and attempt['finished'] is not None
    ]
    return -min(behind, default=0.0)


def read_permits(
    router: str, documents: Sequence[dict[str, Any]], wall: float
) -> list[Permit]:
    """Returns the permits of a router's decisions.

    Args:
        router: Router id.
        documents: Its decisions.
        wall: How far the wall's clock is ahead of the test's.
    """
    ahead = clock_ahead(documents) + wall
    return [
        Permit(
            attempt['upstream'],
            document['id'],
            document['idempotency_key'],
            attempt['started'] - ahead,
            math.inf
            if attempt['finished'] is None
            else attempt['started'] + attempt['finished'] - ahead,
            router,
            attempt['owner'],
            attempt['reason'],
            attempt['waited'],
        )
        for document in documents
        for attempt in document['attempts']
    ]


def wall_ahead() -> float:
    """Returns how far the wall's clock is ahead of the test's."""
    return time.time() - trio.current_time()


async def read(subject: fleet.Fleet) -> list[Permit]:
    """Returns the permits of all routers, on the clock of the test."""
    found = []
    for router in subject.routers:
        answer = await subject.client.get(
            f'{router.operators_url}/v1/decisions',
            params={'limit': DECISIONS},
            headers={'authorization': f'Bearer {fleet.OPERATOR_SECRET}'},
        )
        answer.raise_for_status()
        found += read_permits(router.id, answer.json(), wall_ahead())
    return found
