"""A small model engine: batching steps and a limited prefix cache."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.decisions import views
    from bench.decisions import workload

MODEL = 'chat-1'


class Crashed(Exception):
    """The engine died while it ran the request."""


class Unreachable(Exception):
    """The engine is down; nothing of the request has run."""


@attrs.frozen
class EngineSettings:
    """Speeds and sizes of an engine.

    Attributes:
        step: Seconds of one step; a batch of token steps in one.
        prefill: Prompt tokens a second.
        decode: Tokens a second of one request in a small batch.
        half_batch: Batch size at which that has fallen to a half.
        max_batch: Requests that run at once; the rest waits inside.
        cache: Tokens that the prefix cache holds.
        report_every: Seconds between load reports.
        report_lag: Seconds from taking a report to its arrival.
    """

    step: float = 0.1
    prefill: float = 20_000.0
    decode: float = 40.0
    half_batch: int = 64
    max_batch: int = 64
    cache: int = 1_000_000
    report_every: float = 1.0
    report_lag: float = 1.0


@attrs.define(eq=False)
class Run:
    """A request on an engine.

    Attributes:
        arrival: The request.
        hit: Prompt tokens found in the cache, None before the start.
        prefill: Prompt tokens still to compute.
        decode: Tokens still to generate.
        first_token: Virtual clock of the first token.
        done: Set at the end.
        crashed: Whether the engine died.
    """

    arrival: workload.Arrival
    hit: int | None = None
    prefill: float = 0.0
    decode: float = 0.0
    first_token: float | None = None
    done: trio.Event = attrs.field(factory=trio.Event)
    crashed: bool = False


class PrefixCache:
    """Contexts of chats, least recently used first out."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.chats: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.used = 0

    def get(self, chat: int) -> int:
        """Returns the cached tokens of a chat."""
        return self.chats.get(chat, 0)

    def put(self, chat: int, tokens: int) -> None:
        """Keeps a chat's context as the latest."""
        self.used += tokens - self.chats.pop(chat, 0)
        self.chats[chat] = tokens
        while self.used > self.capacity and self.chats:
            _, gone = self.chats.popitem(last=False)
            self.used -= gone


class Engine:
    """One engine process on a VM.

    Attributes:
        instance: Counts the starts of the process.
        poisoned: Deaths by a request that crashes it.
        on_crash: Called with the VM id at such a death.
    """

    def __init__(
        self,
        vm: upstreams.Vm,
        settings: EngineSettings,
        on_crash: Callable[[str], None],
    ) -> None:
        self.on_crash = on_crash
        self.poisoned = 0
        self.vm = vm
        self.settings = settings
        self.instance = 0
        self.cache = PrefixCache(settings.cache)
        self.running: list[Run] = []
        self.queue: list[Run] = []
        self.wake = trio.Event()
        self.down = False
        self.crashes = 0

    @property
    def load(self) -> int:
        """Requests that it has taken and not finished."""
        return len(self.running) + len(self.queue)

    async def submit(self, arrival: workload.Arrival) -> Run:
        """Runs a request to its end.

        Raises:
            Unreachable: The engine is down.
            Crashed: The engine died.
        """
        run = Run(arrival)
        if self.down:
            raise Unreachable
        self.queue.append(run)
        self.wake.set()
        try:
            await run.done.wait()
        except trio.Cancelled:
            self.drop(run)
            raise
        if run.crashed:
            raise Crashed
        return run

    def drop(self, run: Run) -> None:
        """Forgets a request whose caller is gone."""
        if run in self.running:
            self.running.remove(run)
        if run in self.queue:
            self.queue.remove(run)

    def crash(self, lose_cache: bool = True) -> None:
        """Dies; `restart` brings it back as another instance."""
        self.down = True
        self.crashes += 1
        for run in [*self.running, *self.queue]:
            run.crashed = True
            run.done.set()
        self.running.clear()
        self.queue.clear()
        if lose_cache:
            self.cache = PrefixCache(self.settings.cache)

    def restart(self) -> None:
        """Comes back as another instance."""
        self.instance += 1
        self.down = False

    async def run(self) -> None:
        """Steps while there is work."""
        while True:
            if not self.running and not self.queue:
                self.wake = trio.Event()
                await self.wake.wait()
            await trio.sleep(self.settings.step)
            if not self.down:
                self.advance()

    def advance(self) -> None:
        """Takes one step."""
        self.fill_batch()
        settings = self.settings
        budget = settings.prefill * settings.step
        batch = len(self.running)
        rate = settings.decode / (1 + batch / settings.half_batch)
        for run in list(self.running):
            if run.prefill > 0:
                spent = min(budget, run.prefill)
                run.prefill -= spent
                budget -= spent
                continue
            if run.first_token is None:
                run.first_token = trio.current_time()
            run.decode -= rate * settings.step
            if run.decode <= 0:
                self.finish(run)

    def fill_batch(self) -> None:
        """Starts requests by priority while the batch has room."""
        room = self.settings.max_batch - len(self.running)
        if not self.queue or room <= 0:
            return
        self.queue.sort(key=lambda run: run.arrival.priority)
        started = self.queue[:room]
        del self.queue[:room]
        self.running.extend(started)
        for run in started:
            if self.down:
                return
            self.start(run)
        self.running.sort(key=lambda run: run.arrival.priority)

    def start(self, run: Run) -> None:
        """Starts a request; what is cached need not be computed."""
        arrival = run.arrival
        if arrival.poison:
            self.poisoned += 1
            self.crash()
            self.on_crash(self.vm.id)
            return
        run.hit = min(self.cache.get(arrival.chat), arrival.shared)
        run.prefill = arrival.prompt - run.hit
        run.decode = float(arrival.out)

    def finish(self, run: Run) -> None:
        """Ends a request and keeps its context."""
        self.running.remove(run)
        arrival = run.arrival
        if arrival.chat:
            self.cache.put(arrival.chat, arrival.prompt + arrival.out)
        run.done.set()

    def report(self) -> upstreams.LoadReport:
        """Returns the load as it is now."""
        return upstreams.LoadReport(
            self.vm.id,
            f'{self.vm.id}-{self.instance}',
            len(self.running),
            len(self.queue),
            models=(MODEL,),
        )

    async def run_reports(self, board: views.ReportBoard) -> None:
        """Publishes reports that arrive late."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self.down:
                    nursery.start_soon(
                        self.publish, board, self.report(), trio.current_time()
                    )
                await trio.sleep(self.settings.report_every)

    async def publish(
        self, board: views.ReportBoard, report: upstreams.LoadReport, at: float
    ) -> None:
        """Lets a report arrive."""
        await trio.sleep(self.settings.report_lag)
        board.put(report, at)
