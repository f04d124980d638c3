"""Delivery of outcomes to the owners of their shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.state import claims

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces

BATCH_DELAY_SECONDS = 0.1
OWNER_WAIT_SECONDS = 2.0
REPLY_MARGIN_SECONDS = 0.5
RETRY_SECONDS = 0.5
MAX_QUEUED = 100_000
MAX_REQUEST_OUTCOMES = 2000

DROPPED = metrics.counter(
    'lavenderbend_claim_outcomes_dropped_total',
    'Outcomes never recorded because too many were queued.',
)


class OutcomeQueue:
    """Keeps outcomes until an owner has committed them.

    Attributes:
        link: Sends messages to peers.
        owner: Returns the router at a rank in the order of a shard.
        rng: Random source of jitter.
        queue: Outcomes not yet delivered, by shard.
        failed_requests: Consecutive failed deliveries, by shard; also the
            rank of the owner that is asked next.
    """

    def __init__(
        self,
        link: interfaces.PeerLink,
        owner: Callable[[int, int], str],
        rng: random.Random,
    ) -> None:
        self.link = link
        self.owner = owner
        self.rng = rng
        self.queue: dict[int, list[claims.OutcomeLine]] = {}
        self.queued = trio.Event()
        self.delivering = False
        self.delivered = trio.Event()
        self.failed_requests: dict[int, int] = {}

    def add(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None,
    ) -> None:
        """Queues an outcome for the owner of its shard."""
        lines = self.queue.setdefault(token.shard, [])
        if len(lines) >= MAX_QUEUED:
            DROPPED.inc({})
            return
        line = claims.OutcomeLine(token.key, token.id, outcome, status)
        lines.append(line)
        self.queued.set()

    async def drain(self) -> None:
        """Waits until every queued outcome is recorded."""
        while self.delivering or any(self.queue.values()):
            await self.delivered.wait()

    async def run(self) -> None:
        """Delivers queued outcomes to the owners of their shards."""
        while True:
            await self.queued.wait()
            await trio.sleep(BATCH_DELAY_SECONDS)
            self.queued = trio.Event()
            queue = self.next_batches()
            self.delivering = True
            async with trio.open_nursery() as nursery:
                for shard, lines in queue.items():
                    nursery.start_soon(self.deliver, shard, lines)
            self.delivering = False
            delivered, self.delivered = self.delivered, trio.Event()
            delivered.set()

    def next_batches(self) -> dict[int, list[claims.OutcomeLine]]:
        """Dequeues at most one request's outcomes per shard.

        After a long outage many outcomes are queued. All of them in one log
        entry would exceed the service's limit on the size of a value, so
        that no write would ever succeed.
        """
        batches = {}
        for shard, lines in self.queue.items():
            batches[shard] = lines[:MAX_REQUEST_OUTCOMES]
            self.queue[shard] = lines[MAX_REQUEST_OUTCOMES:]
        self.queue = {n: lines for n, lines in self.queue.items() if lines}
        if self.queue:
            self.queued.set()
        return batches

    async def deliver(
        self, shard: int, lines: list[claims.OutcomeLine]
    ) -> None:
        """Sends outcomes to an owner; requeues them if that fails."""
        request = messages.OutcomesCommitRequest(
            shard,
            [line.key for line in lines],
            [line.token for line in lines],
            [line.outcome.value for line in lines],
            [line.status for line in lines],
            OWNER_WAIT_SECONDS,
        )
        if await self.send_request(request, self.failed_requests.get(shard, 0)):
            self.failed_requests.pop(shard, None)
            return
        # the next by rank; the owner that did not commit may have crashed
        self.failed_requests[shard] = self.failed_requests.get(shard, 0) + 1
        self.queue.setdefault(shard, [])[:0] = lines
        self.queued.set()
        pause = RETRY_SECONDS
        await trio.sleep(self.rng.uniform(pause / 2, pause))

    async def send_request(
        self, request: messages.OutcomesCommitRequest, rank: int
    ) -> bool:
        """Asks one owner to record outcomes; returns whether it did."""
        timeout = request.timeout_seconds + REPLY_MARGIN_SECONDS
        owner = self.owner(request.shard, rank)
        try:
            with trio.move_on_after(timeout):
                reply = await self.link.request(owner, request, timeout)
                return reply.committed
        except errors.PeerError:
            pass
        return False
