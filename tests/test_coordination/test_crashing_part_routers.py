"""What routers do with requests whose prompt parts crash engines."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding.crashing_parts import crashing_parts
from lavenderbend.coordination.forwarding.crashing_parts import part_records
from lavenderbend.coordination.forwarding.crashing_parts import quarantines
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing
from tests import crash_fleet
from tests import crash_plays
from tests import forwarding_fakes as fakes
from tests import version_fleet

SERVICE = version_fleet.SERVICE
PART = hashing.hash64(SERVICE, 'bad')
QUARANTINED = errors.RequestQuarantined.kind


@pytest.fixture
async def fleet(nursery, autojump_clock):
    subject = crash_fleet.Fleet(nursery)
    subject.start_routers()
    await subject.ready()
    yield subject


def blame(router, part=PART, strike=1):
    router.crashing_parts.blame(part, strike, trio.current_time())


async def send(fleet, host, *names):
    """Sends a request whose prompt has some shared parts."""
    record = crash_fleet.Call(trio.current_time(), None, names, host)
    await fleet.attempt_at(host, fleet.header(names), record)
    return record.outcome


def hosts_of(fleet):
    return list(fleet.routers)


async def test_part_is_refused_everywhere_once_it_is_blamed(
    fleet, autojump_clock
):
    hosts = hosts_of(fleet)
    blame(fleet.routers[hosts[0]])
    assert await send(fleet, hosts[1], 'f0', 'bad') == 'answered'
    await trio.sleep(2.0)
    blame(fleet.routers[hosts[0]])
    await trio.sleep(2.0)
    for host in hosts:
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED
        assert await send(fleet, host, 'f0', 'm1') == 'answered'


async def test_last_part_of_a_prompt_is_never_blamed(fleet, autojump_clock):
    """Guards against a chat that is refused for a text of its own."""
    host = hosts_of(fleet)[0]
    router = fleet.routers[host]
    own = hashing.hash64(SERVICE, 'own')
    blame(router, own)
    await trio.sleep(2.0)
    record = crash_fleet.Call(trio.current_time(), None, (), host)
    await fleet.attempt_at(host, 'f0:100,own:10', record)
    assert record.outcome == 'answered'


async def test_part_of_one_service_is_not_refused_at_another(
    fleet, autojump_clock
):
    host = hosts_of(fleet)[0]
    blame(fleet.routers[host], hashing.hash64('other', 'bad'))
    await trio.sleep(2.0)
    assert await send(fleet, host, 'f0', 'bad') == 'answered'


async def test_answer_at_any_router_clears_a_blamed_part(fleet, autojump_clock):
    """Guards against harmless parts that were at crashes by chance."""
    first, second, *_ = hosts_of(fleet)
    since = trio.current_time()
    await trio.sleep(0.1)
    assert await send(fleet, second, 'f0', 'bad') == 'answered'
    fleet.routers[first].crashing_parts.blame(PART, 1, since)
    await trio.sleep(1.5)
    for router in fleet.routers.values():
        assert not router.crashing_parts.quarantines
    assert await send(fleet, first, 'f0', 'bad') == 'answered'


async def test_harmless_part_is_served_again_after_a_trial(
    fleet, autojump_clock
):
    """Guards against a part that is refused for ever."""
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(2.0)
    outcomes = []
    while 'answered' not in outcomes:
        await trio.sleep(0.5)
        host = fleet.rng.choice(hosts_of(fleet))
        outcomes.append(await send(fleet, host, 'f0', 'bad'))
    assert len(outcomes) < 90
    await trio.sleep(2.0)
    for host in hosts_of(fleet):
        assert await send(fleet, host, 'f0', 'bad') == 'answered'
    assert not fleet.store.part_records


async def test_part_beside_one_that_crashes_engines_is_served_again(
    fleet, autojump_clock
):
    """Guards against harmless parts of which nothing was asked meanwhile."""
    bad = crash_fleet.CrashingPart('bad')
    fleet.parts.append(bad)
    for _ in range(3):
        await fleet.call(bad, ('f0', 'bad'), 1)
        await trio.sleep(0.5)
    await trio.sleep(1.5)
    hosts = hosts_of(fleet)
    first = hashing.hash64(SERVICE, 'f0')
    assert fleet.routers[hosts[0]].crashing_parts.quarantines.keys() == {
        PART,
        first,
    }
    await trio.sleep(4.0)
    for _ in range(3):
        await send(fleet, hosts[0], 'f0', 'm')
        await trio.sleep(1.0)
    for host in hosts:
        assert await send(fleet, host, 'f0', 'm') == 'answered'
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED
    assert len(bad.crashed_at) == 3


async def test_crash_of_a_trial_holds_the_part_for_longer(
    fleet, autojump_clock
):
    fleet.parts.append(crash_fleet.CrashingPart('bad'))
    host = hosts_of(fleet)[0]
    router = fleet.routers[host]
    blame(router)
    await trio.sleep(2.0)
    entry = router.crashing_parts.quarantines[PART]
    await trio.sleep_until(entry.opens_at)
    assert await send(fleet, host, 'f0', 'bad') not in ('answered', QUARANTINED)
    assert await send(fleet, host, 'f0', 'bad') == QUARANTINED
    await trio.sleep(1.5)
    for one in fleet.routers.values():
        entry = one.crashing_parts.quarantines[PART]
        assert entry.strike == 2
        assert entry.opens_at - trio.current_time() > 170.0
    beside = hashing.hash64(SERVICE, 'f0')
    assert beside not in router.crashing_parts.quarantines


async def test_request_that_waited_is_not_sent_once_its_part_is_blamed(
    fleet, autojump_clock
):
    """Guards against queued requests that crash engines after all."""
    host = hosts_of(fleet)[0]
    router = fleet.routers[host]
    chooser = router.forwarder.reserving_chooser
    choose = chooser.choose

    async def slow_choose(ticket):
        await trio.sleep(3.0)
        return await choose(ticket)

    chooser.choose = slow_choose
    fleet.picks = lambda: host
    part = crash_fleet.CrashingPart('bad', crashes_from=1e9)
    fleet.parts.append(part)
    async with trio.open_nursery() as callers:
        callers.start_soon(fleet.call, None, ('f0', 'bad'), 1)
        await trio.sleep(0.5)
        blame(router)
    assert fleet.calls[-1].outcome == QUARANTINED
    assert not part.arrived_at


async def test_request_that_may_have_run_is_not_refused_as_not_run(
    nursery, autojump_clock
):
    """Guards against "not run" for a request that an engine had."""
    rule = attrs.evolve(
        crash_fleet.RULE,
        then=attrs.evolve(crash_fleet.RULE.then, idempotent=True),
    )
    lost = fakes.Exchanges(e1=[fakes.LOST_ANSWER], e2=[fakes.reply()])
    content = fakes.snapshot(
        1, fakes.table(1, (rule,)), fakes.upstream('e1'), fakes.upstream('e2')
    )
    router = fakes.Router(content, lost)
    refusals = iter([None, None, errors.RequestQuarantined('bad')])
    router.crashes.refusal = lambda ticket: next(refusals)
    router.loads.begin('e2')
    _, error = await router.send_request(key='')
    assert len(lost.sent) == 1
    assert isinstance(error, errors.OutcomeUnknown)


async def test_router_that_starts_refuses_what_the_store_names(
    fleet, autojump_clock
):
    """Guards against routers that all start at once and know nothing."""
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(3.0)
    assert fleet.store.part_records.keys() == {PART}
    async with trio.open_nursery() as restarts:
        for host in hosts_of(fleet):
            restarts.start_soon(fleet.restart, host)
    for host, router in fleet.routers.items():
        while router.snapshots.current is None:  # noqa: ASYNC110
            await trio.sleep(0.01)
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED


@pytest.mark.parametrize('hears_first', [False, True])
async def test_router_that_starts_serves_a_part_answered_meanwhile(
    fleet, autojump_clock, hears_first
):
    """Guards against a record that is removed while a router starts."""
    first, second, *_ = hosts_of(fleet)
    blame(fleet.routers[first])
    await trio.sleep(3.0)
    record = fleet.store.part_records[PART]
    parts = fleet.routers[first].crashing_parts
    parts.tell_answered(PART, trio.current_time())
    await trio.sleep(3.0)
    assert not fleet.store.part_records
    started = fleet.routers[second].crashing_parts
    if hears_first:
        started.note_recorded(PART, record.strike)
        assert await send(fleet, second, 'f0', 'bad') == QUARANTINED
        parts.tell_answered(PART, trio.current_time())
        await trio.sleep(1.0)
    else:
        fleet.store.part_records[PART] = record
        fleet.store.refresh()
        await trio.sleep(1.0)
    assert await send(fleet, second, 'f0', 'bad') == 'answered'
    await trio.sleep(3.0)
    assert not fleet.store.part_records


async def test_record_is_kept_while_the_part_is_quarantined(
    fleet, autojump_clock
):
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(3.0)
    fleet.store.part_records.clear()
    fleet.store.refresh()
    await trio.sleep(20.0)
    assert fleet.store.part_records.keys() == {PART}


async def test_record_that_the_store_lost_is_written_again(
    fleet, autojump_clock
):
    """Guards against a part that is released by a store's older copy."""
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(3.0)
    # From here on routers know of it by the record alone.
    async with trio.open_nursery() as restarts:
        for host in hosts_of(fleet):
            restarts.start_soon(fleet.restart, host)
    await trio.sleep(3.0)
    fleet.store.part_records.clear()
    fleet.store.era += 1
    fleet.store.refresh()
    await trio.sleep(4.0)
    assert fleet.store.part_records.keys() == {PART}
    for host in hosts_of(fleet):
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED


async def test_part_that_is_still_asked_for_is_not_forgotten(
    fleet, autojump_clock
):
    """Guards against a part that crashes engines again each ten minutes."""
    host = hosts_of(fleet)[0]
    parts = fleet.routers[host].crashing_parts
    parts.note_recorded(PART, 9)
    for _ in range(5):
        await trio.sleep(quarantines.KEEP_SECONDS / 4)
        parts.quarantines[PART].opens_at = trio.current_time() + 1.0
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED
        parts.remove_expired()
        parts.note_unrecorded(PART)
    assert parts.quarantines.keys() == {PART}


async def test_single_router_finds_the_part_alone(autojump_clock):
    fleet = await crash_plays.run('part_in_the_middle', 1, routers=1)
    (part,) = fleet.parts
    assert part.late <= crash_fleet.ALLOWED
    assert fleet.begun(crash_plays.recovered_from(fleet)) >= 0.5


async def test_store_that_takes_no_record_stops_nothing(fleet, autojump_clock):
    fleet.cut_from_store |= set(hosts_of(fleet))
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(3.0)
    for host in hosts_of(fleet):
        assert await send(fleet, host, 'f0', 'bad') == QUARANTINED
    fleet.cut_from_store.clear()
    await trio.sleep(20.0)
    assert fleet.store.part_records.keys() == {PART}


async def test_records_in_the_store_are_bounded(fleet, autojump_clock):
    router = fleet.routers[hosts_of(fleet)[0]]
    for number in range(2 * part_records.MAX_RECORDS):
        blame(router, number)
    await trio.sleep(60.0)
    assert len(fleet.store.part_records) <= part_records.MAX_RECORDS + 5


async def test_quarantines_are_bounded(fleet, autojump_clock):
    """Guards against parts made up to fill the memory of routers."""
    parts = fleet.routers[hosts_of(fleet)[0]].crashing_parts
    most = crashing_parts.MAX_QUARANTINES
    for number in range(most + 50):
        parts.note_recorded(number, 1)
    assert len(parts.quarantines) == most
    await trio.sleep(quarantines.KEEP_SECONDS + 1.0)
    parts.remove_expired()
    assert not parts.quarantines


async def test_named_part_of_another_caller_is_cleared_by_its_answers(
    fleet, autojump_clock
):
    """Guards against callers that name a part so that others are refused."""
    fleet.parts.append(crash_fleet.CrashingPart('attack'))
    for number in range(5):
        host = hosts_of(fleet)[number]
        fleet.nursery.start_soon(fleet.call, None, ('victim', 'attack'), 1)
        await trio.sleep(1.0)
        assert await send(fleet, host, 'victim', 'm') == 'answered'
    await trio.sleep(2.0)
    victim = hashing.hash64(SERVICE, 'victim')
    for router in fleet.routers.values():
        assert victim not in router.crashing_parts.quarantines


async def test_starting_router_hears_of_blamed_parts_first(
    fleet, autojump_clock
):
    facts = fleet.routers[hosts_of(fleet)[0]].peers.facts
    blame(fleet.routers[hosts_of(fleet)[0]])
    await trio.sleep(0.1)
    for number in range(20):
        facts.add('death', f'{number:016x}', 'x', 60.0)
    kinds = [kind for kind, *_ in facts.rows_for_starting()]
    assert kinds[0] == crashing_parts.BLAMED


@pytest.mark.parametrize(
    'source', ['', 'x', '0', '-1', '99999', '²', '2 7', '2 ' + 'x' * 16]
)
def test_fact_with_an_unreadable_source_counts_as_the_first_strike(source):
    assert crashing_parts.parse_source(source) == (1, None)


def test_source_of_a_fact_names_the_strike_and_what_explains_it():
    assert crashing_parts.parse_source('12') == (12, None)
    assert crashing_parts.parse_source('1 ' + '0' * 15 + 'f') == (1, 15)


# Hosts of routers of the build before.
EARLIER = {'10.0.0.1', '10.0.0.2'}


class EarlierRouter(crash_fleet.Router):
    """A router of a build that knows nothing of parts."""

    def make_request_path(self):
        super().make_request_path()
        del self.peers.handlers[messages_forwarding.CrashReports]
        for kind in (crashing_parts.BLAMED, crashing_parts.ANSWERED):
            del self.peers.fact_callbacks[kind]
        self.crashes.parts = None


async def test_routers_of_this_build_refuse_a_part_beside_earlier_ones(
    autojump_clock,
):
    """Guards against keepers of the build before, which count nothing."""

    def make(host):
        return EarlierRouter if host in EARLIER else crash_fleet.Router

    fleet = await crash_plays.run('part_in_the_middle', 1, make=make)
    (part,) = fleet.parts
    late = [
        call
        for call in fleet.calls
        if call.part is part
        and call.at > part.learnt_at
        and call.host not in EARLIER
    ]
    assert len(late) >= 10
    sent = [call for call in late if call.outcome != QUARANTINED]
    assert len(sent) <= crash_fleet.ALLOWED
