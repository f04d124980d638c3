"""Faults that a soak draws from; each ends healed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import registry
from tests.integration import proxy

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from tests.integration import fleet

    Fault = Callable[[fleet.Fleet, random.Random], Awaitable[None]]

FAULTS: registry.Registry[Fault] = registry.Registry('fault')
SHORT = 1.0
LONG = 4.0


async def span(rng: random.Random) -> None:
    await trio.sleep(rng.uniform(SHORT, LONG))


@FAULTS.register('router-killed')
async def router_killed(subject: fleet.Fleet, rng: random.Random) -> None:
    """A router process is gone at once and comes back with no memory."""
    router = rng.choice(subject.routers)
    await router.process.kill()
    await span(rng)
    await router.process.start()
    await router.wait_ready()


@FAULTS.register('router-paused')
async def router_paused(subject: fleet.Fleet, rng: random.Random) -> None:
    """A router stands still and goes on believing what it held."""
    router = rng.choice(subject.routers)
    router.process.pause()
    await span(rng)
    router.process.resume()


@FAULTS.register('router-stopped')
async def router_stopped(subject: fleet.Fleet, rng: random.Random) -> None:
    """A planned stop and start."""
    router = rng.choice(subject.routers)
    await router.process.stop()
    await router.process.start()
    await router.wait_ready()


@FAULTS.register('peer-cut')
async def peer_cut(subject: fleet.Fleet, rng: random.Random) -> None:
    """What other routers send to one router vanishes."""
    router = rng.choice(subject.routers)
    router.peer_proxy.faults.cut = rng.choice(
        [proxy.Cut.TO_TARGET, proxy.Cut.FROM_TARGET, proxy.Cut.BOTH]
    )
    await span(rng)
    router.peer_proxy.heal()


@FAULTS.register('peer-slow')
async def peer_slow(subject: fleet.Fleet, rng: random.Random) -> None:
    """Messages to one router are late."""
    router = rng.choice(subject.routers)
    router.peer_proxy.faults.delay = rng.uniform(0.05, 0.6)
    await span(rng)
    router.peer_proxy.heal()


@FAULTS.register('key-value-down')
async def key_value_down(subject: fleet.Fleet, rng: random.Random) -> None:
    """No router reaches the key-value service."""
    for router in subject.routers:
        router.key_value_proxy.faults.refuse = True
        await router.key_value_proxy.reset()
    await span(rng)
    for router in subject.routers:
        router.key_value_proxy.heal()


@FAULTS.register('key-value-answers-lost')
async def key_value_answers_lost(
    subject: fleet.Fleet, rng: random.Random
) -> None:
    """Writes take effect, and their answers are lost."""
    chosen = rng.sample(subject.routers, 2)
    for router in chosen:
        router.key_value_proxy.faults.lose_answers = True
    await span(rng)
    for router in chosen:
        router.key_value_proxy.heal()


@FAULTS.register('key-value-slow')
async def key_value_slow(subject: fleet.Fleet, rng: random.Random) -> None:
    """The key-value service is slow for everybody."""
    for router in subject.routers:
        router.key_value_proxy.faults.delay = rng.uniform(0.05, 0.4)
    await span(rng)
    for router in subject.routers:
        router.key_value_proxy.heal()


@FAULTS.register('upstream-reset')
async def upstream_reset(subject: fleet.Fleet, rng: random.Random) -> None:
    """Every connection to one upstream is reset."""
    upstream = rng.choice(subject.engines + subject.services)
    for _ in range(rng.randint(1, 5)):
        await upstream.proxy.reset()
        await trio.sleep(0.3)


@FAULTS.register('upstream-answers-lost')
async def upstream_answers_lost(
    subject: fleet.Fleet, rng: random.Random
) -> None:
    """One upstream runs requests, and its answers are lost."""
    upstream = rng.choice(subject.engines + subject.services)
    upstream.proxy.faults.lose_answers = True
    await span(rng)
    upstream.proxy.heal()


@FAULTS.register('upstream-silent')
async def upstream_silent(subject: fleet.Fleet, rng: random.Random) -> None:
    """One upstream takes connections, and nothing comes back."""
    upstream = rng.choice(subject.engines + subject.services)
    upstream.proxy.faults.cut = proxy.Cut.FROM_TARGET
    await span(rng)
    upstream.proxy.heal()
    await upstream.proxy.reset()


@FAULTS.register('upstream-refuses')
async def upstream_refuses(subject: fleet.Fleet, rng: random.Random) -> None:
    """One upstream flaps: connections are refused for short times."""
    upstream = rng.choice(subject.engines + subject.services)
    for _ in range(3):
        upstream.proxy.faults.refuse = True
        await upstream.proxy.reset()
        await trio.sleep(0.5)
        upstream.proxy.heal()
        await trio.sleep(0.5)


@FAULTS.register('vm-list-down')
async def vm_list_down(subject: fleet.Fleet, rng: random.Random) -> None:
    """No router reads the VM list."""
    for router in subject.routers:
        router.vm_list_proxy.faults.refuse = True
        await router.vm_list_proxy.reset()
    await span(rng)
    for router in subject.routers:
        router.vm_list_proxy.heal()
