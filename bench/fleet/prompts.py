"""Prompts on engines that read one after the other."""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

import attrs
import trio

from bench.fleet import world
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding import tickets

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import reservations
    from lavenderbend.state import forwarding

LOAD_FACTOR = 2.0
TOKENS_PER_SECOND = 38_000.0
# of reading a prompt's shared part, what copying it takes
COPY_PART = 0.2
RUN_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
BEGINNING_SECONDS = 2.0
LATER_SECONDS = 4.0
# of the engines, that start anew
LOST_PART = 0.25
# the chat that one in some requests is of
HOT = 0


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
        name: Names it.
        chats: Chats for each router of the fleet.
        shared_tokens: What the requests of a chat have in common.
        own_tokens: What is each one's own.
        per_second: Requests of a router.
        target: Seconds within which one should begin.
    """

    name: str
    chats: float
    shared_tokens: int
    own_tokens: int
    per_second: float
    target: float


LONG = Kind('long', 2.3, 8600, 600, 0.6, 0.6)
SHORT = Kind('short', 4.3, 2000, 400, 1.2, 1.0)
KINDS = (LONG, SHORT)


@attrs.define
class Engine:
    """An engine that reads prompts in the order in which they came.

    Attributes:
        idle_at: When it has read all that it was sent.
        held: Chats that it has cached.
        load: Requests that it holds.
    """

    idle_at: float = 0.0
    held: set[str] = attrs.field(factory=set)
    load: int = 0


def ticket_of(parts: tuple[choice.PromptPart, ...]) -> tickets.Ticket:
    """Returns a request that has just come."""
    return tickets.Ticket(
        parts[-1].id,
        None,
        None,
        world.SERVICE,
        '',
        1,
        trio.current_time() + DEADLINE_SECONDS,
        choice.RequestPrompt(parts),
    )


class Chats:
    """Places the chats of one router.

    Attributes:
        choose: Returns where a request goes.
    """

    def __init__(self, router: world.Router, by_owners: bool) -> None:
        found = directory.Directory(router.snapshots)
        found.apply_snapshot(router.snapshots.current)
        self.router = router
        self.chooser = choice.Chooser(
            router.zone, found, router.health, router.loads, LOAD_FACTOR
        )
        self.cached = cached_prompts.CachedPrompts(
            found,
            router.health,
            router.peers.prompts,
            router.peers.loads.instances,
        )
        self.placing = reserving_chooser.ReservingChooser(
            self.chooser,
            router.peers.reservations,
            router.peers.loads.instances,
            router.peers.fleet_size if by_owners else lambda: 1,
        )

    def source(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> str | None:
        """Returns the upstream that a prompt is copied from."""
        taken = ticket.reservation
        source = self.cached.source(
            ticket.service,
            ticket.prompt.chat,
            ticket.prompt.parts,
            upstream,
            () if taken is None else taken.holders,
        )
        return None if source is None else source.upstream.instance


class Prompts:
    """Requests of all routers, and how long each waited for its beginning.

    Attributes:
        engines: By instance.
        rate: Requests, as a multiple of what is usual.
        hot_part: Of the requests of a kind, those of one chat.
        waits: Seconds until each request began, by kind.
        over: Whether each request was sent to an upstream over the bound.
        read_tokens: What engines read of prompts, as time taken.
    """

    def __init__(
        self,
        fleet: world.Fleet,
        by_owners: bool,
        rate: float = 1.0,
        hot_part: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.rng: random.Random = fleet.rng
        self.by_owners = by_owners
        self.rate = rate
        self.hot_part = hot_part
        self.engines = {
            name: Engine() for name in fleet.store.content.upstreams
        }
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.over: list[bool] = []
        self.read_tokens = 0

    async def play(self, seconds: float) -> None:
        """Has all routers send requests for a while."""
        async with trio.open_nursery() as nursery:
            for router in self.fleet.routers.values():
                chats = Chats(router, self.by_owners)
                for kind in KINDS:
                    nursery.start_soon(self.ask, chats, kind, seconds)

    async def ask(self, chats: Chats, kind: Kind, seconds: float) -> None:
        """Has one router send requests of a kind."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while True:
                pause = self.rng.expovariate(kind.per_second * self.rate)
                await trio.sleep(pause)
                if trio.current_time() >= end:
                    return
                nursery.start_soon(self.run, chats, self.ticket(kind), kind)

    def ticket(self, kind: Kind) -> tickets.Ticket:
        """Returns a request of a chat drawn at random."""
        number = self.rng.randrange(round(kind.chats * self.fleet.size))
        if self.rng.random() < self.hot_part:
            number = HOT
        parts = (
            choice.PromptPart(f'{kind.name}-all', 0),
            choice.PromptPart(f'{kind.name}-{number}', kind.shared_tokens),
            choice.PromptPart(f'{self.rng.random()}', kind.own_tokens),
        )
        return ticket_of(parts)

    async def run(
        self, chats: Chats, ticket: tickets.Ticket, kind: Kind
    ) -> None:
        """Runs one request."""
        begun = trio.current_time()
        chosen = await chats.placing.choose(ticket)
        name = chosen.upstream.instance
        engine = self.engines[name]
        self.note_load(engine)
        chats.router.loads.begin(name)
        tokens = self.tokens(chats, ticket, kind, chosen.upstream)
        self.read_tokens += tokens
        now = trio.current_time()
        engine.idle_at = max(engine.idle_at, now) + tokens / TOKENS_PER_SECOND
        await trio.sleep_until(engine.idle_at)
        self.waits[kind.name].append(trio.current_time() - begun)
        engine.held.add(ticket.prompt.chat)
        chats.router.loads.note_report(name, b'%d,0,32' % engine.load)
        elsewhere = bool(chosen.passed_over)
        chats.cached.note_sent(
            ticket.prompt.chat, ticket.prompt.parts, name, elsewhere
        )
        taken: reservations.ActiveReservation | None = ticket.reservation
        if taken is not None:
            taken.note_begun()
        await trio.sleep(self.rng.expovariate(1.0 / RUN_SECONDS))
        chats.router.loads.end(name)
        engine.load -= 1
        if taken is not None:
            taken.note_ended()

    def note_load(self, engine: Engine) -> None:
        """Counts a request on an engine, against the bound of the fleet."""
        loads = [one.load for one in self.engines.values()]
        bound = LOAD_FACTOR * statistics.fmean(loads) + 3
        self.over.append(engine.load > bound)
        engine.load += 1

    def tokens(
        self,
        chats: Chats,
        ticket: tickets.Ticket,
        kind: Kind,
        upstream: forwarding.Upstream,
    ) -> float:
        """Returns what an engine reads of a prompt, as time taken."""
        chat = ticket.prompt.chat
        if chat in self.engines[upstream.instance].held:
            return kind.own_tokens
        source = chats.source(ticket, upstream)
        if source is not None and chat in self.engines[source].held:
            return kind.own_tokens + COPY_PART * kind.shared_tokens
        return kind.own_tokens + kind.shared_tokens

    def lose(self, part: float) -> None:
        """Has engines forget all that they hold, as if started anew."""
        names = sorted(self.engines)
        for name in self.rng.sample(names, round(part * len(names))):
            self.engines[name].held.clear()

    def figures(self) -> dict[str, float]:
        """Returns what callers got, and forgets it."""
        found: dict[str, float] = {'requests': len(self.over)}
        for kind in KINDS:
            waits = sorted(self.waits[kind.name])
            late = sum(one > kind.target for one in waits)
            found[f'{kind.name}_in_time'] = 1.0 - late / len(waits)
            found[f'{kind.name}_p95'] = waits[int(0.95 * len(waits))]
        found['over_bound'] = statistics.fmean(self.over)
        found['tokens_read'] = self.read_tokens / len(self.over)
        self.waits.clear()
        self.over.clear()
        self.read_tokens = 0
        return found


async def measure(
    fleet: world.Fleet, by_owners: bool, rate: float
) -> dict[str, dict[str, float]]:
    """Returns what callers get while no engine holds anything, and later.

    Args:
        fleet: The fleet; it runs, and has found itself.
        by_owners: Whether the owners of upstreams are asked.
        rate: Requests, as a multiple of what is usual.
    """
    prompts = Prompts(fleet, by_owners, rate)
    figures = {}
    await prompts.play(BEGINNING_SECONDS)
    figures['beginning'] = prompts.figures()
    await prompts.play(LATER_SECONDS)
    figures['later'] = prompts.figures()
    prompts.lose(LOST_PART)
    await prompts.play(BEGINNING_SECONDS)
    figures['a quarter lost'] = prompts.figures()
    return figures
