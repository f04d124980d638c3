"""Outcomes on their way to the owners of their shards."""

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

GATHER_SECONDS = 0.1
ASK_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 0.5
RETRY_SECONDS = 0.5
MAX_QUEUED = 100_000
MAX_LINES = 2000

DROPPED = metrics.counter(
    'lavenderbend_claim_outcomes_dropped_total',
    'Outcomes never recorded because too many were queued.',
)


class OutcomeQueue:
    """Keeps outcomes until an owner has committed them.

    Attributes:
        link: Messages to peers.
        owner: Gives the router to ask for a shard, by rank.
        rng: Source of jitter.
        queue: Outcomes not yet delivered, by shard.
        tries: Owners asked in vain, by shard.
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
        self.tries: dict[int, int] = {}

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
        """Takes queued outcomes to the owners of their shards."""
        while True:
            await self.queued.wait()
            await trio.sleep(GATHER_SECONDS)
            self.queued = trio.Event()
            queue = self.take()
            self.delivering = True
            async with trio.open_nursery() as nursery:
                for shard, lines in queue.items():
                    nursery.start_soon(self.deliver_lines, shard, lines)
            self.delivering = False
            delivered, self.delivered = self.delivered, trio.Event()
            delivered.set()

    def take(self) -> dict[int, list[claims.OutcomeLine]]:
        """Takes the next outcomes, no more than fit one batch of a log.

        After a long outage there are many: all in one entry would be over
        the service's limit of a value, and nothing would ever be written.
        """
        taken = {}
        for shard, lines in self.queue.items():
            taken[shard] = lines[:MAX_LINES]
            self.queue[shard] = lines[MAX_LINES:]
        self.queue = {n: lines for n, lines in self.queue.items() if lines}
        if self.queue:
            self.queued.set()
        return taken

    async def deliver_lines(
        self, shard: int, lines: list[claims.OutcomeLine]
    ) -> None:
        """Has outcomes recorded, or puts them back into the queue."""
        say = messages.OutcomesSay(
            shard,
            [line.key for line in lines],
            [line.token for line in lines],
            [line.outcome.value for line in lines],
            [line.status for line in lines],
            ASK_SECONDS,
        )
        if await self.say(say, self.tries.get(shard, 0)):
            self.tries.pop(shard, None)
            return
        # the next by rank; an owner that was asked in vain may be gone
        self.tries[shard] = self.tries.get(shard, 0) + 1
        self.queue.setdefault(shard, [])[:0] = lines
        self.queued.set()
        pause = RETRY_SECONDS
        await trio.sleep(self.rng.uniform(pause / 2, pause))

    async def say(self, say: messages.OutcomesSay, tries: int) -> bool:
        """Asks one owner to record outcomes; returns whether it did."""
        timeout = say.patience + ANSWER_MARGIN_SECONDS
        owner = self.owner(say.shard, tries)
        try:
            with trio.move_on_after(timeout):
                answer = await self.link.request(owner, say, timeout)
                return answer.committed
        except errors.PeerError:
            pass
        return False
