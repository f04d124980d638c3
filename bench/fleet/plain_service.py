"""Processes with a few slots and a queue, which reject what exceeds it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from bench.fleet import engines
from lavenderbend.coordination.forwarding import interfaces

if TYPE_CHECKING:
    import random

    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

SLOTS = 6
WAITING = 24
WORK_SECONDS = 0.03
# Of the logarithm of the work.
WORK_DEVIATION = 0.5


class Process:
    """One process.

    Attributes:
        load: Requests that it holds.
        rejected: Requests that it rejected.
        ran: Ids of all requests that it took.
    """

    def __init__(self, pace: engines.Pace, rng: random.Random) -> None:
        self.pace = pace
        self.rng = rng
        self.slots = trio.CapacityLimiter(SLOTS)
        self.load = 0
        self.rejected = 0
        self.ran: set[str] = set()

    async def answer(self, request_id: str) -> bool:
        """Runs a request; returns whether it was taken."""
        if self.load >= SLOTS + WAITING:
            self.rejected += 1
            return False
        self.ran.add(request_id)
        self.load += 1
        try:
            async with self.slots:
                mean = math.log(WORK_SECONDS) - WORK_DEVIATION**2 / 2
                work = self.rng.lognormvariate(mean, WORK_DEVIATION)
                await trio.sleep(work * self.pace.factor())
        finally:
            self.load -= 1
        return True


class Exchange(interfaces.Exchange):
    """One request to a process."""

    def __init__(
        self,
        process: Process,
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.process = process
        self.headers = headers
        self.parts = [b'done']

    async def send(
        self, request: interfaces.UpstreamRequest
    ) -> interfaces.AnswerHead:
        """Returns the head of the answer or of the rejection."""
        await trio.sleep(engines.LATENCY_SECONDS)
        taken = await self.process.answer(request.id.decode())
        await trio.sleep(engines.LATENCY_SECONDS)
        if not taken:
            name = self.headers.not_run.encode()
            return interfaces.AnswerHead(503, ((name, b'1'),))
        name = self.headers.signature.encode()
        return interfaces.AnswerHead(200, ((name, b'sig'),))

    async def read(self) -> bytes | None:
        """Returns the body, None after it."""
        await trio.lowlevel.checkpoint()
        return self.parts.pop() if self.parts else None

    def close(self) -> None:
        """Does nothing: a process finishes what it has begun."""


class Processes(interfaces.Exchanges):
    """Connections to processes.

    Attributes:
        processes: By instance.
    """

    def __init__(
        self,
        processes: dict[str, Process],
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.processes = processes
        self.headers = headers

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether a process accepts a connection: it always does."""
        await trio.sleep(engines.LATENCY_SECONDS)
        return True

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> Exchange:
        """Returns a connection to a process."""
        await self.accepts(upstream)
        return Exchange(self.processes[upstream.instance], self.headers)
