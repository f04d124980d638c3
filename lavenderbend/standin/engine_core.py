"""A stand-in model engine: continuous batching in steps, with a cache."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from typing import Any

import attrs
import trio

from lavenderbend.standin import engine_cache
from lavenderbend.standin import engine_faults
from lavenderbend.standin import engine_orders
from lavenderbend.standin import engine_texts
from lavenderbend.standin import runs
from lavenderbend.state import hashing

MAX_FINISHED = 2000
# a restarted process seeds its instance id apart from the last one's
INSTANCE_BITS = 48


@attrs.frozen
class EngineSettings:
    """How a stand-in engine behaves.

    Attributes:
        name: VM id.
        models: Models that it serves.
        adapters: Adapters that it has loaded.
        step_seconds: Time of one step of the batch.
        prefill_tokens: Prompt tokens that one step takes in, for each
            request.
        max_running: Requests in the batch.
        max_waiting: Requests that wait; more are refused as not started.
        cache_tokens: Size of the prefix cache.
        load_lag_seconds: Age of the load that is reported.
        event_lag_seconds: Age that cache events have before they are shown.
        event_loss: Share of cache events that is never shown.
        checks_fencing: Whether old fencing numbers are refused.
        order_seconds: Time that an order takes.
        restart_seconds: Time that a crash takes.
        poison_marker: A prompt with this text crashes the engine.
        seed: Seed of its random numbers.
    """

    name: str = 'engine'
    models: tuple[str, ...] = ('model',)
    adapters: tuple[str, ...] = ()
    step_seconds: float = 0.004
    prefill_tokens: int = 512
    max_running: int = 32
    max_waiting: int = 64
    cache_tokens: int = 200_000
    load_lag_seconds: float = 0.5
    event_lag_seconds: float = 1.0
    event_loss: float = 0.1
    checks_fencing: bool = True
    order_seconds: float = 0.0
    restart_seconds: float = 0.0
    poison_marker: str = 'poison'
    seed: int = 1


@attrs.define(eq=False)
class Run:
    """One request in the engine.

    Attributes:
        id: Request id.
        chat: Chat that the router names, empty for none.
        priority: A smaller number goes first.
        document: The body.
        record: The entry in the run log.
        blocks: Prefixes of the prompt.
        tokens: The answer.
        prompt_tokens: Size of the prompt.
        cached_tokens: Part of it that the cache held.
        prefill: Prompt tokens still to be taken in.
        produced: Tokens of the answer that are there.
        cut: Whether the engine crashed under it.
        changed: Wakes who waits for tokens.
    """

    id: str
    chat: str
    priority: int
    document: dict[str, Any]
    record: runs.RunRecord
    blocks: list[engine_cache.Block]
    tokens: list[str]
    prompt_tokens: int = 0
    cached_tokens: int = 0
    prefill: int = 0
    produced: int = 0
    cut: bool = False
    changed: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )

    @property
    def done(self) -> bool:
        """Whether all of the answer is there."""
        return self.produced >= len(self.tokens)


class Engine:
    """The batch, the cache and the state of one engine.

    Attributes:
        settings: How it behaves.
        instance: Id of the process, new after each crash.
        running: Runs in the batch.
        waiting: Heap of runs by priority and order of arrival.
        finished: The latest runs, for resuming.
        cache: The prefix cache.
        log: What it ran.
        faults: Faults that the next requests meet.
        orders: Desired and actual models.
        draining: Whether it says that it is leaving.
        drain_refuses: Whether it then refuses new requests, as good engines do.
        down: Whether it is restarting.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.instance = self.new_instance()
        self.running: list[Run] = []
        self.waiting: list[tuple[int, int, Run]] = []
        self.order = itertools.count()
        self.finished: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.cache = engine_cache.PrefixCache(settings.cache_tokens)
        self.log = runs.RunLog()
        self.faults: collections.deque[engine_faults.Fault] = (
            collections.deque()
        )
        self.orders = engine_orders.Orders(
            settings.models,
            settings.adapters,
            settings.checks_fencing,
            settings.order_seconds,
        )
        self.loads: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)])
        )
        self.draining = False
        self.drain_refuses = True
        self.down = False
        self.work = trio.lowlevel.ParkingLot()

    def new_instance(self) -> str:
        """Returns a new instance id."""
        number = self.rng.getrandbits(INSTANCE_BITS)
        return f'{self.settings.name}-{number:012x}'

    @property
    def refuses(self) -> bool:
        """Whether new requests are refused before they start."""
        full = len(self.waiting) >= self.settings.max_waiting
        return (self.draining and self.drain_refuses) or full

    def submit(
        self,
        request_id: str,
        document: dict[str, Any],
        headers: dict[str, str],
        digest: str,
    ) -> Run:
        """Takes a request."""
        blocks = engine_cache.blocks_of(document['messages'])
        record = runs.RunRecord(
            request_id=request_id,
            idempotency_key=headers.get('idempotency-key', ''),
            digest=digest,
            instance=self.instance,
            started=trio.current_time(),
        )
        run = Run(
            id=request_id,
            chat=headers.get('x-chat', ''),
            priority=read_priority(headers),
            document=document,
            record=self.log.begin(record),
            blocks=blocks,
            tokens=engine_texts.answer_tokens(request_id, document),
            prompt_tokens=sum(block.tokens for block in blocks),
        )
        self.remember(run)
        self.enqueue(run)
        return run

    def remember(self, run: Run) -> None:
        """Keeps a run for resuming."""
        self.finished[run.id] = run
        while len(self.finished) > MAX_FINISHED:
            self.finished.popitem(last=False)

    def enqueue(self, run: Run) -> None:
        """Lets a run wait for the batch."""
        heapq.heappush(self.waiting, (run.priority, next(self.order), run))
        self.note_load()
        self.work.unpark_all()

    def resume(self, request_id: str, offset: int) -> Run | None:
        """Returns a run that can go on at an offset, if it is known."""
        run = self.finished.get(request_id)
        if run is None or run.cut or offset > run.produced + 1:
            return None
        if not run.done and run not in self.running:
            self.enqueue(run)
        return run

    def cancel(self, run: Run) -> None:
        """Takes a run out of the batch because its caller is gone."""
        if run.done:
            return
        if run in self.running:
            self.running.remove(run)
        self.waiting = [item for item in self.waiting if item[2] is not run]
        heapq.heapify(self.waiting)
        self.log.end(run.record, trio.current_time(), runs.CANCELLED)
        self.note_load()

    async def run(self) -> None:
        """Steps the batch until cancelled."""
        while True:
            if not self.running and not self.waiting:
                await self.work.park()
            await trio.sleep(self.settings.step_seconds)
            self.step()

    def step(self) -> None:
        """Makes one step of the batch."""
        while self.waiting and len(self.running) < self.settings.max_running:
            _, _, run = heapq.heappop(self.waiting)
            if self.start(run):
                return
        for run in tuple(self.running):
            self.advance(run)

    def start(self, run: Run) -> bool:
        """Puts a run into the batch; returns whether it crashed it."""
        if engine_texts.poisoned(run.document, self.settings.poison_marker):
            self.running.append(run)
            self.crash()
            return True
        run.cached_tokens = self.cache.cached_tokens(run.blocks)
        run.prefill = run.prompt_tokens - run.cached_tokens
        self.running.append(run)
        self.note_load()
        return False

    def advance(self, run: Run) -> None:
        """Takes in some of the prompt, or makes one token."""
        if run.prefill > 0:
            run.prefill -= self.settings.prefill_tokens
            return
        run.produced += 1
        if run.done:
            self.finish(run)
        run.changed.unpark_all()

    def finish(self, run: Run) -> None:
        """Takes a finished run out of the batch and fills the cache."""
        now = trio.current_time()
        self.running.remove(run)
        answer = {'role': 'assistant', 'content': ''.join(run.tokens)}
        messages = [*run.document['messages'], answer]
        self.cache.store(run.chat, engine_cache.blocks_of(messages), now)
        self.log.end(run.record, now, runs.COMPLETE)
        self.note_load()

    def crash(self) -> None:
        """Loses everything but the run log; all connections are cut."""
        now = trio.current_time()
        lost = [*self.running, *(item[2] for item in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        self.finished.clear()
        self.cache.clear()
        self.instance = self.new_instance()
        for run in lost:
            run.cut = True
            self.log.end(run.record, now, runs.CRASHED)
            run.changed.unpark_all()
        self.note_load()

    def note_load(self) -> None:
        """Remembers the load for the lagging report."""
        now = trio.current_time()
        self.loads.append((now, len(self.running), len(self.waiting)))
        limit = now - self.settings.load_lag_seconds
        while len(self.loads) > 1 and self.loads[1][0] <= limit:
            self.loads.popleft()

    def report(self) -> dict[str, Any]:
        """Returns the load as it was some time ago."""
        now = trio.current_time()
        limit = now - self.settings.load_lag_seconds
        while len(self.loads) > 1 and self.loads[1][0] <= limit:
            self.loads.popleft()
        _, running, waiting = self.loads[0]
        return {
            'instance': self.instance,
            'running': running,
            'waiting': waiting,
            'age': self.settings.load_lag_seconds,
            'models': list(self.orders.models),
            'adapters': list(self.orders.adapters),
            'draining': self.draining,
            'max_running': self.settings.max_running,
        }


def read_priority(headers: dict[str, str]) -> int:
    """Returns the priority that the router states."""
    value = headers.get('x-priority', '')
    return int(value) if value.isdigit() and len(value) < 4 else 2


def digest_of(body: bytes) -> str:
    """Returns the hash of a body in the run log."""
    return f'{hashing.hash64(body):016x}'
