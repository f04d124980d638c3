"""Model engines that read prompts in chunks between the tokens of streams."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import interfaces

if TYPE_CHECKING:
    import random

    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

TOKENS_PER_SECOND = 44_000.0
CHUNK_TOKENS = 4096
STEP_SECONDS = 0.0034
STEP_SECONDS_PER_REQUEST = 0.000017
SLOTS = 64
TOKENS_PER_EVENT = 7
# Steps that are played at once while no prompt is read. A prompt that arrives
# meanwhile begins up to 10 ms late.
MAX_STEPS = 3
# Copying a prompt takes this part of the time that reading it takes.
COPY_PART = 0.2
LATENCY_SECONDS = 0.0005

SLOW_FACTOR = 2.5
SLOW_PART = 0.15
SLOW_SECONDS = 0.6
USUAL_PACE = 100


class Pace:
    """Slow spells of one machine, drawn in advance.

    Attributes:
        spells: Beginning of each spell in seconds of the clock.
    """

    def __init__(self, rng: random.Random, until: float) -> None:
        pause = SLOW_SECONDS * (1.0 - SLOW_PART) / SLOW_PART
        self.spells: list[float] = []
        at = rng.expovariate(1.0 / pause)
        while at < until:
            self.spells.append(at)
            at += SLOW_SECONDS + rng.expovariate(1.0 / pause)

    def factor(self) -> float:
        """Returns how many times as long as usual work takes now."""
        now = trio.current_time()
        while self.spells and self.spells[0] + SLOW_SECONDS <= now:
            self.spells.pop(0)
        slow = bool(self.spells) and self.spells[0] <= now
        return SLOW_FACTOR if slow else 1.0


@attrs.define(eq=False)
class Job:
    """One request at an engine.

    Attributes:
        id: Id of the request.
        chat: The chat whose prompt it has.
        unread: Prompt tokens yet to be read.
        events: Number of the last event of its stream.
        event: Number of the last event that was sent.
        tokens: Output tokens since that event.
        begun: Whether the prompt was read.
        parts: What the router has yet to read.
        error: Why the connection broke, None if it did not.
        news: Set when there is something to read.
    """

    id: str
    chat: str
    unread: float
    events: int
    event: int
    tokens: int = 0
    begun: bool = False
    parts: collections.deque[bytes | None] = attrs.field(
        factory=collections.deque
    )
    error: Exception | None = None
    news: trio.Event = attrs.field(factory=trio.Event)

    def notify(self) -> None:
        """Wakes the router that reads from the engine."""
        self.news.set()
        self.news = trio.Event()

    def add_tokens(self, count: int) -> bool:
        """Adds output tokens; returns whether the stream is complete."""
        self.tokens += count
        if self.tokens < TOKENS_PER_EVENT:
            return False
        self.tokens -= TOKENS_PER_EVENT
        self.event += 1
        self.parts.append(b'id: %d\ndata: x\n\n' % self.event)
        if self.event >= self.events:
            self.parts.append(None)
        self.notify()
        return self.event >= self.events


class Engine:
    """One engine.

    Attributes:
        held: Chats whose prompts it has cached.
        queued: Requests that have no slot yet.
        reading: Requests whose prompts are being read, in order.
        running: Requests whose streams have begun.
        away_until: Time until which it accepts no connection.
        pace: Its slow spells, None if it has none.
        read_tokens: Prompt tokens that it has read.
        ran: Ids of all requests that it received.
    """

    def __init__(self, pace: Pace | None = None) -> None:
        self.pace = pace
        self.held: set[str] = set()
        self.queued: collections.deque[Job] = collections.deque()
        self.reading: list[Job] = []
        self.running: list[Job] = []
        self.away_until = 0.0
        self.read_tokens = 0.0
        self.ran: set[str] = set()
        self.work = trio.Event()

    @property
    def load(self) -> int:
        """Requests that it holds."""
        return len(self.queued) + len(self.reading) + len(self.running)

    @property
    def away(self) -> bool:
        """Whether it accepts no connection."""
        return trio.current_time() < self.away_until

    def load_header(self) -> bytes:
        """Returns the value of the load header."""
        waiting = len(self.queued)
        value = b'%d,%d,%d' % (self.load - waiting, waiting, SLOTS)
        if self.pace is None:
            return value
        return value + b',%d' % round(USUAL_PACE * self.pace.factor())

    def add(self, job: Job) -> None:
        """Takes a request."""
        self.ran.add(job.id)
        self.queued.append(job)
        self.work.set()

    def drop(self, job: Job) -> None:
        """Ends a request that its router closed."""
        for jobs in (self.queued, self.reading, self.running):
            if job in jobs:
                jobs.remove(job)

    def lose(self, seconds: float) -> None:
        """Loses all that it holds, and is away for a while."""
        self.away_until = trio.current_time() + seconds
        self.held.clear()
        for job in (*self.queued, *self.reading, *self.running):
            job.error = errors.UpstreamLost('crashed')
            job.notify()
        self.queued.clear()
        self.reading.clear()
        self.running.clear()

    async def run(self) -> None:
        """Makes one step after the other while there is work."""
        while True:
            if not self.load:
                self.work = trio.Event()
                await self.work.wait()
            await self.step()

    async def step(self) -> None:
        """Reads a chunk, and adds tokens to the streams."""
        while self.queued and len(self.reading) + len(self.running) < SLOTS:
            self.reading.append(self.queued.popleft())
        chunk = self.next_chunk()
        tokens = sum(tokens for _, tokens in chunk)
        steps = 1 if chunk else self.steps_at_once()
        seconds = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self.running)
        seconds = steps * seconds + tokens / TOKENS_PER_SECOND
        factor = 1.0 if self.pace is None else self.pace.factor()
        await trio.sleep(factor * seconds)
        if self.away:
            return
        self.read_tokens += tokens
        ended = [job for job in self.running if job.add_tokens(steps)]
        for job in ended:
            self.running.remove(job)
        for job, read in chunk:
            job.unread -= read
            if job.unread <= 0 and job in self.reading:
                self.begin(job)

    def next_chunk(self) -> list[tuple[Job, float]]:
        """Returns the prompts of the next chunk and the tokens of each."""
        chunk = []
        left = float(CHUNK_TOKENS)
        for job in self.reading:
            tokens = min(job.unread, left)
            chunk.append((job, tokens))
            left -= tokens
            if left <= 0:
                break
        return chunk

    def steps_at_once(self) -> int:
        """Returns the steps until the next event of a stream."""
        left = [TOKENS_PER_EVENT - job.tokens for job in self.running]
        return min([MAX_STEPS, *left])

    def begin(self, job: Job) -> None:
        """Begins the stream of a request whose prompt was read."""
        self.reading.remove(job)
        self.running.append(job)
        if job.chat:
            self.held.add(job.chat)
        job.begun = True
        job.notify()


class Exchange(interfaces.Exchange):
    """One request to an engine."""

    def __init__(
        self,
        engines: Engines,
        engine: Engine,
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.engines = engines
        self.engine = engine
        self.headers = headers
        self.job: Job | None = None

    async def send(
        self, request: interfaces.UpstreamRequest
    ) -> interfaces.AnswerHead:
        """Returns the head once the first token is there.

        Raises:
            UpstreamLost: The engine crashed.
        """
        await trio.sleep(LATENCY_SECONDS)
        if self.engine.away:
            raise errors.UpstreamLost('away')
        self.job = self.engines.job(self.engine, request)
        self.engines.note_load(self.engine)
        self.engine.add(self.job)
        while not self.job.begun:
            await self.wait()
        await trio.sleep(LATENCY_SECONDS)
        named = {
            self.headers.signature: b'sig',
            self.headers.load: self.engine.load_header(),
            'content-type': b'text/event-stream',
        }
        return interfaces.AnswerHead(
            200, tuple((key.encode(), value) for key, value in named.items())
        )

    async def wait(self) -> None:
        """Waits for news of the request.

        Raises:
            UpstreamLost: The engine crashed.
        """
        if self.job.error is None:
            await self.job.news.wait()
        if self.job.error is not None:
            raise self.job.error

    async def read(self) -> bytes | None:
        """Returns the next event, None after the last.

        Raises:
            UpstreamLost: The engine crashed.
        """
        while not self.job.parts:
            await self.wait()
        return self.job.parts.popleft()

    def close(self) -> None:
        """Ends the request at the engine."""
        if self.job is not None:
            self.engine.drop(self.job)


class Engines(interfaces.Exchanges):
    """Connections to engines.

    Attributes:
        engines: By instance.
        excess: Largest load over the bound that is kept for the fleet.
        over: Requests that were sent to an engine over that bound.
        received: Requests that engines received.
    """

    def __init__(
        self,
        engines: dict[str, Engine],
        headers: forwarding_settings.ForwardHeaders,
        addresses: dict[str, str],
        load_factor: float,
    ) -> None:
        self.engines = engines
        self.headers = headers
        self.addresses = addresses
        self.load_factor = load_factor
        self.excess = 0.0
        self.over = 0
        self.received = 0

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an engine accepts a connection."""
        await trio.sleep(LATENCY_SECONDS)
        return not self.engines[upstream.instance].away

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> Exchange:
        """Returns a connection to an engine.

        Raises:
            UpstreamUnreachable: It accepts none.
        """
        if not await self.accepts(upstream):
            raise errors.UpstreamUnreachable('away')
        return Exchange(self, self.engines[upstream.instance], self.headers)

    def job(self, engine: Engine, request: interfaces.UpstreamRequest) -> Job:
        """Returns the job of a request; what is cached counts as read."""
        fields = {
            name.decode(): value.decode() for name, value in request.headers
        }
        parts = choice.parse_parts(fields.get(self.headers.prompt_parts))
        chat = choice.affinity_key(parts) if parts else ''
        tokens = float(sum(part.tokens for part in parts))
        own = float(parts[-1].tokens) if parts else 0.0
        source = self.addresses.get(fields.get(self.headers.copy_from, ''), '')
        if chat in engine.held:
            tokens = own
        elif source and chat in self.engines[source].held:
            tokens = own + COPY_PART * (tokens - own)
        event = int(fields.get('last-event-id', '0'))
        events = int(fields['x-events'])
        return Job(request.id.decode(), chat, tokens, events, event)

    def note_load(self, engine: Engine) -> None:
        """Compares the load of an engine with the bound, before a request."""
        mean = sum(one.load for one in self.engines.values())
        mean /= len(self.engines)
        excess = engine.load - (self.load_factor * mean + 3)
        self.received += 1
        self.over += excess > 0
        self.excess = max(self.excess, excess)
