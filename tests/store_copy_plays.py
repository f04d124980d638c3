"""Plays of a store that comes back from an older copy.

`python -m tests.store_copy_plays [ROUTERS] [SEED...] [NAME...]` prints a table.
"""

from __future__ import annotations

import itertools
import sys

import attrs
import trio

from lavenderbend import registry
from tests import plays
from tests import store_copy_fleet

CALM_SECONDS = 6.0
SECONDS = 12.0
# Until routers that were paused or cut off are in touch again, and what was
# lost is written again.
SETTLED_SECONDS = 1.0
COPY_SECONDS = 3.0
# Without changes, until all routers are awake and know the content.
QUIET_SECONDS = 6.0
# A router reads the store each 0.8 s at the latest.
READ_SECONDS = 1.0
MAX_READS_WAITED = 4

PLAYS = registry.Registry('kind of play')


@attrs.frozen
class Play:
    """One kind of play.

    Attributes:
        faults: Brings the faults while the load runs.
        era: The store's era, None if its answers do not say.
        large: Whether routers read only changes of the store.
        seconds: How long it lasts after the calm.
    """

    faults: object
    era: int | None = 1
    large: bool = False
    seconds: float = SECONDS


def play(**settings):
    def decorate(faults):
        PLAYS.register(faults.__name__)(Play(faults, **settings))
        return faults

    return decorate


def also(name, faults, **settings):
    """Registers a play once more, under another name and other settings."""
    PLAYS.register(name)(Play(faults, **settings))


async def lose(fleet, **settings):
    """The store loses what it took in the last seconds."""
    copy = fleet.copy()
    await trio.sleep(COPY_SECONDS)
    await fleet.go_back(copy, **settings)


@play()
async def leaves_after(fleet):
    """A worker leaves right after the store came back."""
    await lose(fleet)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def soon_past(fleet):
    """The store is soon past its old revision."""
    fleet.beat_seconds = 0.2
    await trio.sleep(1.0)
    await leaves_after(fleet)


@play()
async def not_away(fleet):
    await lose(fleet, away=0.0)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def silent(fleet):
    await lose(fleet, away=1.2, fault='silent')
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def twice(fleet):
    copy = fleet.copy()
    await trio.sleep(COPY_SECONDS)
    await fleet.go_back(copy)
    await trio.sleep(0.7)
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def long_beneath(fleet):
    """The store's revisions stay beneath the old ones."""
    copy = fleet.copy()
    fleet.fill(copy + 300)
    await trio.sleep(COPY_SECONDS)
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def entry_revision_again(fleet):
    """A leaving entry gets the revision that it had when it was ready."""
    fleet.beat_seconds = 1000.0
    await trio.sleep(2.0)
    copy = fleet.copy()
    fleet.fill(copy + 20)
    worker = fleet.workers['w0']
    fleet.store.put(worker.key, worker.entry())
    revision = fleet.store.revision
    await trio.sleep(COPY_SECONDS)
    fleet.written_again[worker.key] = 1000.0
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.fill(revision - 1)
    fleet.leave('w0')
    assert fleet.store.items[worker.key][1] == revision


@play()
async def configuration_revision_again(fleet):
    """A version that revokes a key gets the revision of the one before."""
    fleet.beat_seconds = 1000.0
    await trio.sleep(2.0)
    copy = fleet.copy()
    fleet.fill(copy + 20)
    fleet.configure()
    revision = fleet.store.revision
    await trio.sleep(COPY_SECONDS)
    fleet.written_again['op/config'] = 1000.0
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.fill(revision - 1)
    fleet.revoke('key-3')
    assert fleet.store.items['op/config'][1] == revision


@play()
async def revoked_after(fleet):
    await lose(fleet)
    await trio.sleep(0.3)
    fleet.revoke('key-3')


@play()
async def revoked_before(fleet):
    """A key is revoked, and the store loses that for a while."""
    copy = fleet.copy()
    await trio.sleep(2.0)
    fleet.revoke('key-3')
    await trio.sleep(1.0)
    fleet.written_again['op/config'] = 1.5
    await fleet.go_back(copy)


@play()
async def revoked_before_restarts(fleet):
    """Two routers start while the store shows a revoked key."""
    copy = fleet.copy()
    await trio.sleep(1.0)
    fleet.revoke('key-3')
    await trio.sleep(3.0)
    fleet.written_again['op/config'] = 4.0
    await fleet.go_back(copy)
    restart_two(fleet)


async def leave_and_lose(fleet, after, before, again):
    """A worker leaves, and the store loses that for a while.

    Args:
        fleet: The fleet.
        after: Seconds from the copy until the worker leaves.
        before: Seconds from then until the store is away.
        again: Seconds from the return until the worker writes again.
    """
    copy = fleet.copy()
    await trio.sleep(after)
    fleet.leave('w0')
    await trio.sleep(before)
    fleet.written_again['servers/w0'] = again
    fleet.beat_seconds = 1000.0
    await fleet.go_back(copy)


def restart_two(fleet):
    for host in sorted(fleet.routers)[:2]:
        fleet.nursery.start_soon(fleet.restart, host, 0.2)


@play()
async def left_before(fleet):
    await leave_and_lose(fleet, 2.0, 1.0, 1.0)


@play()
async def left_long_before(fleet):
    await leave_and_lose(fleet, 0.5, 2.5, 3.0)


@play()
async def left_before_restarts(fleet):
    """Two routers start while the store shows an upstream that left."""
    await left_long_before(fleet)
    restart_two(fleet)


@play()
async def came_before(fleet):
    """Half of the workers came in the lost time."""
    copy = fleet.copy()
    await trio.sleep(1.0)
    for number, service in enumerate(('engines', 'desk') * 2):
        worker = fleet.add_worker(f'n{number}', service)
        fleet.nursery.start_soon(fleet.beat, worker)
        fleet.written_again[worker.key] = 1.5
    for name in ('w0', 'w1', 'w2', 'w3'):
        fleet.leave(name)
    await trio.sleep(2.5)
    await fleet.go_back(copy)


@play()
async def gone_before(fleet):
    """Workers of the copy are gone."""
    copy = fleet.copy()
    await trio.sleep(1.5)
    for name in ('w0', 'w1', 'w2', 'w3'):
        fleet.die(name)
    await trio.sleep(1.5)
    await fleet.go_back(copy)
    await trio.sleep(3.0)
    for name in ('w0', 'w1', 'w2', 'w3'):
        fleet.die(name)


@play()
async def paused_routers(fleet):
    copy = fleet.copy()
    await trio.sleep(COPY_SECONDS - 1.0)
    for host in sorted(fleet.routers)[:2]:
        fleet.pause(host, 3.0)
    await trio.sleep(1.0)
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def cut_off_routers(fleet):
    """Two routers are cut off from the store, and hear those that are not."""
    copy = fleet.copy()
    await trio.sleep(COPY_SECONDS - 1.0)
    for host in sorted(fleet.routers)[:2]:
        fleet.nursery.start_soon(fleet.cut_off, host, 4.0)
    await trio.sleep(1.0)
    await fleet.go_back(copy)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def started_routers(fleet):
    copy = fleet.copy()
    await trio.sleep(COPY_SECONDS)
    await fleet.go_back(copy)
    restart_two(fleet)
    await trio.sleep(0.3)
    fleet.leave('w0')


@play()
async def zone_drained_before(fleet):
    """The operator drains a zone, and the store loses that for a while."""
    copy = fleet.copy()
    await trio.sleep(0.5)
    fleet.operate('op/evacuate/sala-a', {})
    now = trio.current_time()
    for worker in fleet.workers.values():
        if worker.zone == 'sala-a':
            worker.left_at = now
    await trio.sleep(2.5)
    fleet.written_again['op/evacuate/sala-a'] = 2.0
    await fleet.go_back(copy)


async def leave_and_replace(fleet):
    ready = [one for one in fleet.workers.values() if one.state == 'ready']
    worker = fleet.rng.choice(ready)
    end = fleet.rng.choice((fleet.leave, fleet.leave, fleet.die))
    end(worker.name)
    other = fleet.add_worker(f'n{len(fleet.workers)}', worker.service)
    fleet.nursery.start_soon(fleet.beat, other)


async def change_configuration(fleet):
    if len(fleet.keys) > 1 and fleet.rng.random() < 0.4:
        fleet.revoke(fleet.rng.choice(fleet.keys))
    else:
        fleet.configure()


async def change_many_items(fleet):
    fleet.fill(fleet.store.revision + fleet.rng.randrange(60))


async def pause_router(fleet):
    host = fleet.rng.choice(sorted(fleet.routers))
    fleet.pause(host, fleet.rng.uniform(0.5, 4.0))


async def cut_router_off(fleet):
    host = fleet.rng.choice(sorted(fleet.routers))
    if host not in fleet.cut_from_store:
        seconds = fleet.rng.uniform(0.5, 6.0)
        fleet.nursery.start_soon(fleet.cut_off, host, seconds)


async def restart_router(fleet):
    if len(fleet.routers) > 2:
        host = fleet.rng.choice(sorted(fleet.routers))
        fleet.nursery.start_soon(fleet.restart, host, 0.3)


async def cut_peers(fleet):
    """Half of the routers does not hear the other half for a while."""
    half = set(fleet.rng.sample(sorted(fleet.zone_of), 3))
    fleet.cut = lambda a, b: (a in half) != (b in half)
    await trio.sleep(fleet.rng.uniform(0.5, 3.0))
    fleet.cut = lambda a, b: False
    for host in fleet.zone_of:
        fleet.note_out_of_touch(host, 0.0)


async def come_back(fleet):
    """The store comes back, at times twice."""
    await trio.sleep(fleet.rng.uniform(3.0, 6.0))
    now = trio.current_time()
    age = fleet.rng.uniform(0.3, 8.0)
    copies = [rev for at, rev in fleet.copies if at <= now - age]
    copies = copies or [fleet.copies[0][1]]
    rng = fleet.rng
    fault = rng.choice(('busy', 'silent'))
    for key in [*fleet.written, *(one.key for one in fleet.workers.values())]:
        fleet.written_again[key] = rng.uniform(0.05, 1.8)
    await fleet.go_back(copies[-1], rng.choice((0.0, 0.4, 1.0)), fault)
    if rng.random() < 0.2:
        await trio.sleep(rng.uniform(0.3, 1.0))
        await fleet.go_back(copies[-1], 0.0)
    kept = [one for one in fleet.copies if one[1] <= copies[-1]]
    fleet.copies[:] = kept


MIXED = (
    leave_and_replace,
    leave_and_replace,
    change_configuration,
    change_many_items,
    pause_router,
    cut_router_off,
    restart_router,
    cut_peers,
)


@play(seconds=40.0)
async def mixed(fleet):
    """Draws of all of these."""
    fleet.nursery.start_soon(fleet.keep_copies)
    fleet.beat_seconds = fleet.rng.choice((0.3, 1.0, 3.0))
    await trio.sleep(1.0)

    async def changes():
        while not fleet.quiet:
            await trio.sleep(fleet.rng.uniform(0.1, 1.5))
            if not fleet.store.fault:
                await fleet.rng.choice(MIXED)(fleet)

    fleet.nursery.start_soon(changes)
    while True:
        await come_back(fleet)


also('large_mixed', mixed, large=True, seconds=40.0)
also('no_era_mixed', mixed, era=None, seconds=40.0)
also('large_leaves_after', leaves_after, large=True)
also('large_soon_past', soon_past, large=True)
also('large_long_beneath', long_beneath, large=True)
also('large_revoked_after', revoked_after, large=True)
also('large_entry_revision_again', entry_revision_again, large=True)
also(
    'large_configuration_revision_again',
    configuration_revision_again,
    large=True,
)
also('large_twice', twice, large=True)
also('no_era_leaves_after', leaves_after, era=None)
also('no_era_soon_past', soon_past, era=None)
also('no_era_long_beneath', long_beneath, era=None)
also('no_era_entry_revision_again', entry_revision_again, era=None)
also(
    'no_era_configuration_revision_again',
    configuration_revision_again,
    era=None,
)
also('no_era_revoked_before', revoked_before, era=None)
also('no_era_left_before', left_before, era=None)
also('no_era_gone_before', gone_before, era=None)
also('no_era_twice', twice, era=None)
also('no_era_large_leaves_after', leaves_after, era=None, large=True)
also('no_era_large_long_beneath', long_beneath, era=None, large=True)


async def run(name, seed, routers=6):
    """Returns the fleet after a play.

    Args:
        name: The kind of play.
        seed: Seed of all that is drawn.
        routers: Number of routers.
    """
    entry = PLAYS.get(name)
    async with trio.open_nursery() as nursery:
        fleet = store_copy_fleet.Fleet(
            nursery, routers, seed, entry.era, entry.large
        )
        await fleet.run()
        nursery.start_soon(fleet.send_requests)
        await trio.sleep(CALM_SECONDS)
        with trio.move_on_after(entry.seconds):
            async with trio.open_nursery() as faults:
                faults.start_soon(entry.faults, fleet)
                await trio.sleep_forever()
        fleet.calm()
        await trio.sleep(QUIET_SECONDS)
        await shown_to_routers(fleet)
        nursery.cancel_scope.cancel()
    return fleet


async def shown_to_routers(fleet):
    """Waits until what was last written has been read by all routers.

    Routers write records of their own, also late in a play, and what one has
    written just before the end is known to the others after their next read.
    """
    revision = None
    for _ in range(MAX_READS_WAITED):
        if revision == fleet.store.revision:
            return
        revision = fleet.store.revision
        await trio.sleep(READ_SECONDS)


def worst(fleet):
    """Returns the worst second before and after the store came back."""
    returned_at = fleet.returned_at[0]
    since = returned_at - store_copy_fleet.AWAY_SECONDS
    end = max(call.at for call in fleet.calls) - SETTLED_SECONDS
    before = fleet.worst_second(since - CALM_SECONDS, since)
    return before, fleet.worst_second(since, end)


def main(arguments):
    routers = int(arguments[0]) if arguments else 6
    seeds = [int(text) for text in arguments[1:] if text.isdigit()] or [1]
    names = [text for text in arguments[1:] if not text.isdigit()]
    print('play: late by; revoked key served; worst second before, after;')
    print('      reverted; differing; most reads of a router')
    for name, seed in itertools.product(names or PLAYS.entries, seeds):
        fleet = plays.on_virtual_clock(run, name, seed, routers)
        late, revoked = fleet.late(), fleet.served_revoked()
        before, after = worst(fleet)
        print(
            f'{name} {seed}: {len(late)} {late[-1:]}; {len(revoked)}; '
            f'{before:.2f} {after:.2f}; {len(fleet.reverted())}; '
            f'{len(fleet.differing())}; {max(fleet.reads.values())}',
            flush=True,
        )


if __name__ == '__main__':
    main(sys.argv[1:])
