"""Faults and changes that a run goes through."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.decisions import world

    Event = Callable[[world.World], None]

FLAP_SECONDS = 2.0
DETECT_SECONDS = 1.0
RESTART_SECONDS = 20.0
VIEWS_APART_SECONDS = 5.0


def leave(name: str, late: dict[str, float] | None = None) -> Event:
    """Returns the graceful leaving of an engine; its VM is then gone.

    Args:
        name: The engine.
        late: Seconds after the first signal until each router knows.
    """

    def event(world: world.World) -> None:
        del world.accepting[name]
        world.leaving[name] = trio.current_time()
        if late is None:
            world.show_upstreams()
        else:
            world.show_upstreams_later(late)

    return event


def join(name: str) -> Event:
    """Returns the joining of a new engine with an empty cache."""

    def event(world: world.World) -> None:
        world.add_engine(name)

    return event


def flap(name: str) -> Event:
    """Returns an engine's being away for a moment, its process alive."""

    def event(world: world.World) -> None:
        vm = world.accepting.pop(name)
        world.show_upstreams()

        async def come_back() -> None:
            await trio.sleep(FLAP_SECONDS)
            world.accepting[name] = vm
            world.show_upstreams()

        world.nursery.start_soon(come_back)

    return event


def crash(name: str) -> Event:
    """Returns an engine's death and its restart with an empty cache."""

    def event(world: world.World) -> None:
        engine = world.engines[name]
        vm = engine.vm
        engine.crash()

        async def come_back() -> None:
            await trio.sleep(DETECT_SECONDS)
            world.accepting.pop(name, None)
            world.show_upstreams()
            await trio.sleep(RESTART_SECONDS)
            engine.restart()
            world.board.put(engine.report(), trio.current_time())
            world.accepting[name] = vm
            world.show_upstreams()

        world.nursery.start_soon(come_back)

    return event


def churn(
    engines: int, start: float, seconds: float, every: float = 30.0
) -> list[tuple[float, Event]]:
    """Returns an engine that joins, leaves or flaps, in turn.

    Args:
        engines: Engines at the start.
        start: Virtual clock of the first.
        seconds: Virtual clock of the end.
        every: Seconds between two.
    """
    events: list[tuple[float, Event]] = []
    at = start
    count = 0
    while at < seconds:
        turn = count // 3
        kind = count % 3
        if kind == 0:
            events.append((at, leave(f'engine-{turn % engines}')))
        elif kind == 1:
            events.append((at, join(f'engine-{engines + turn}')))
        else:
            events.append((at, flap(f'engine-{(turn + 1) % engines}')))
        at += every
        count += 1
    return events


def lose_owner() -> Event:
    """Returns the death of the owner; the others see it one by one."""

    def event(world: world.World) -> None:
        name = world.owner()
        world.kill_router(name)

        async def notice() -> None:
            await trio.sleep(DETECT_SECONDS)
            for router in list(world.alive):
                await trio.sleep(DETECT_SECONDS / len(world.alive))
                world.show_routers(world.alive, [router])

        world.nursery.start_soon(notice)

    return event


def two_views() -> Event:
    """Returns five seconds in which half of the routers miss the owner."""

    def event(world: world.World) -> None:
        name = world.owner()
        others = [one for one in world.alive if one != name]
        half = others[: len(world.alive) // 2]
        world.show_routers(others, half)

        async def heal() -> None:
            await trio.sleep(VIEWS_APART_SECONDS)
            world.show_routers(world.alive, world.alive)

        world.nursery.start_soon(heal)

    return event


def cut_owner() -> Event:
    """Returns five seconds in which half cannot reach the owner at all.

    They see it as gone and it sees them as gone, so notices are lost too.
    """

    def event(world: world.World) -> None:
        name = world.owner()
        others = [one for one in world.alive if one != name]
        half = others[: len(world.alive) // 2]
        rest = [one for one in world.alive if one not in half]
        for router in half:
            world.network.cut(router, name)
        world.show_routers(others, half)
        world.show_routers(rest, [name])

        async def heal() -> None:
            await trio.sleep(VIEWS_APART_SECONDS)
            for router in half:
                world.network.mend(router, name)
            world.show_routers(world.alive, world.alive)

        world.nursery.start_soon(heal)

    return event


def isolate_owner(seconds: float) -> Event:
    """Returns a time in which nobody reaches the owner or sees it gone."""

    def event(world: world.World) -> None:
        name = world.owner()
        others = [one for one in world.alive if one != name]
        for router in others:
            world.network.cut(router, name)

        async def heal() -> None:
            await trio.sleep(seconds)
            for router in others:
                world.network.mend(router, name)

        world.nursery.start_soon(heal)

    return event
