"""Failures of routers, messages and engines while requests wait at owners."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding.admission import owner_queue
from lavenderbend.coordination.forwarding.admission import room
from tests import admission_fleet

# Requests at once: prompts of 1.3 s for each engine.
BURST = 18
WAITING_AT_ENTRY = 6
# The requests at one entry are the first at owners.
LEAD_SECONDS = 0.02
HARM_SECONDS = 0.3
# Within this time after a failure, new requests begin again in time.
RECOVERY_SECONDS = 2.0
CALM_SECONDS = 2.0
CALM_PER_SECOND = 6.0
MIN_IN_TIME_PART = 0.95
PAUSE_SECONDS = 1.0
# Light requests: more at once than the bound of an idle fleet, then so many
# that engines always hold more than that.
RISING_BURST = 30
RISING_SECONDS = 3.0
RISING_PER_SECOND = 100.0
LOSS = 0.05


async def begin(nursery, waits=True, at_entry=0, **settings):
    """Returns a fleet after a burst of cold prompts.

    Args:
        nursery: Runs the fleet.
        waits: Whether some of them have to wait at owners.
        at_entry: How many of them come to one router that owns no engine.
        **settings: Passed to the fleet.
    """
    fleet = admission_fleet.AdmissionFleet(nursery, **settings)
    await fleet.settle()
    fleet.burst(at_entry, fleet.entries()[:1])
    await trio.sleep(LEAD_SECONDS)
    fleet.burst(BURST - at_entry)
    await trio.sleep(HARM_SECONDS)
    assert bool(fleet.waiting()) == waits
    return fleet


async def recover(fleet, recovery=RECOVERY_SECONDS):
    """Returns the requests that were sent after a failure was over."""
    await trio.sleep(recovery)
    at = trio.current_time()
    await fleet.press(CALM_SECONDS, CALM_PER_SECOND)
    await fleet.finish()
    return fleet.calls_since(at)


def check(fleet, calls):
    """Checks what holds after each failure."""
    assert fleet.late_calls() == []
    assert fleet.falsely_not_run() == []
    assert fleet.exchanges.over == 0
    assert fleet.in_time_part(calls) >= MIN_IN_TIME_PART


async def nothing(fleet):
    pass


async def kill_owner(fleet):
    fleet.kill(fleet.owner('e0'))


async def pause_owner(fleet):
    await fleet.pause(fleet.owner('e0'), PAUSE_SECONDS)


async def mute_owner(fleet):
    fleet.mute(fleet.owner('e0'))


async def deafen_owner(fleet):
    fleet.deafen(fleet.owner('e0'))


async def lose_messages(fleet):
    fleet.cut.loss = LOSS


async def crash_engine(fleet):
    fleet.pool['e0'].lose(1.0)


async def split(fleet):
    fleet.split()


async def restart_all(fleet):
    await fleet.restart_all()


async def play(nursery, harm, **settings):
    """Plays a failure while requests wait, and checks what must hold."""
    fleet = await begin(nursery, **settings)
    await harm(fleet)
    calls = await recover(fleet)
    check(fleet, calls)
    return fleet


async def test_burst_without_a_failure(nursery, autojump_clock):
    # Guards against an owner that grants more than the bound when all is well.
    await play(nursery, nothing)
    nursery.cancel_scope.cancel()


async def test_owner_is_killed(nursery, autojump_clock):
    # Guards against requests that wait for a dead owner until their deadline.
    await play(nursery, kill_owner)
    nursery.cancel_scope.cancel()


async def test_owner_is_paused(nursery, autojump_clock):
    # Guards against grants of a resumed owner to requests that run elsewhere.
    await play(nursery, pause_owner)
    nursery.cancel_scope.cancel()


async def test_owner_is_not_heard(nursery, autojump_clock):
    # Guards against waiting for grants that are sent and never arrive.
    await play(nursery, mute_owner)
    nursery.cancel_scope.cancel()


async def test_owner_does_not_hear(nursery, autojump_clock):
    # Guards against an owner that counts requests whose end it cannot learn.
    await play(nursery, deafen_owner)
    nursery.cancel_scope.cancel()


async def test_entry_is_killed(nursery, autojump_clock):
    # Guards against room that owners keep for the requests of a dead entry.
    fleet = await begin(nursery, at_entry=WAITING_AT_ENTRY)
    entry = fleet.entries()[0]
    assert fleet.waiting(entry)
    assert fleet.counted(entry)
    fleet.kill(entry)
    await trio.sleep(owner_queue.UNHEARD_SECONDS + owner_queue.RECHECK_SECONDS)
    assert not fleet.waiting(entry)
    await trio.sleep(room.READING_SECONDS - owner_queue.UNHEARD_SECONDS)
    assert fleet.unread(entry) == 0
    calls = await recover(fleet, RECOVERY_SECONDS - room.READING_SECONDS)
    check(fleet, calls)
    await trio.sleep(admission_fleet.DEADLINE_SECONDS)
    assert not fleet.counted(entry)
    nursery.cancel_scope.cancel()


async def test_grant_of_a_dead_entry_holds_others_back_briefly(
    nursery, autojump_clock
):
    # Guards against requests that wait longer than a prompt counts as read.
    fleet = admission_fleet.AdmissionFleet(nursery, count=1)
    await fleet.settle()
    entry, other = fleet.entries()[:2]
    fleet.burst(1, [entry])
    await trio.sleep(LEAD_SECONDS)
    fleet.burst(1, [other])
    await trio.sleep(LEAD_SECONDS)
    assert fleet.waiting(other)
    assert fleet.unread(entry)
    fleet.kill(entry)
    await trio.sleep(room.READING_SECONDS + owner_queue.RECHECK_SECONDS)
    assert not fleet.waiting(other)
    assert fleet.counted(other)
    nursery.cancel_scope.cancel()


async def test_halves_of_a_zone_disagree(nursery, autojump_clock):
    # Guards against two owners that grant the same room twice for long.
    # Each half stays large enough to ask owners.
    await play(nursery, split, size=26)
    nursery.cancel_scope.cancel()


async def test_messages_are_lost(nursery, autojump_clock):
    # Guards against requests that are forgotten with a lost grant or resend.
    await play(nursery, lose_messages)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('newer', ['owners', 'entries', 'some of both'])
async def test_previous_build_beside_this_one(nursery, autojump_clock, newer):
    # Guards against builds that misread each other's reservations.
    hosts = admission_fleet.hosts_of(admission_fleet.SIZE)
    owners = {
        admission_fleet.owner_of(f'e{n}', hosts)
        for n in range(admission_fleet.ENGINES)
    }
    others = sorted(set(hosts) - owners)
    previous = {
        'owners': others,
        'entries': owners,
        'some of both': [min(owners), *others[::2]],
    }[newer]
    waits = newer != 'entries'
    await play(nursery, nothing, previous=previous, waits=waits)
    nursery.cancel_scope.cancel()


async def test_engine_crashes(nursery, autojump_clock):
    # Guards against requests that wait on for an engine that is gone.
    await play(nursery, crash_engine)
    nursery.cancel_scope.cancel()


async def test_all_routers_are_restarted(nursery, autojump_clock):
    # Guards against owners without state that refuse or hold back requests.
    await play(nursery, restart_all)
    nursery.cancel_scope.cancel()


async def test_first_requests_of_a_rising_load_do_not_wait_for_it_to_fall(
    nursery, autojump_clock
):
    # Guards against requests that wait under the load bound of their arrival
    # while later ones are granted under a higher one.
    fleet = admission_fleet.AdmissionFleet(nursery)
    await fleet.settle()
    fleet.burst(RISING_BURST, shared=0)
    first = list(fleet.calls)
    await fleet.press(RISING_SECONDS, RISING_PER_SECOND, shared=0)
    await fleet.finish()
    later = fleet.calls[len(first) :]
    assert fleet.in_time_part(later) >= MIN_IN_TIME_PART
    assert fleet.in_time_part(first) == 1.0
    nursery.cancel_scope.cancel()


async def test_three_hundred_routers_with_few_requests(nursery, autojump_clock):
    # Guards against control messages or owners that fail in large fleets only.
    await play(nursery, kill_owner, size=300)
    nursery.cancel_scope.cancel()
