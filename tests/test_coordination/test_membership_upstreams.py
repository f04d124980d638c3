from __future__ import annotations

import trio

from bench.peers import fleets
from lavenderbend import errors
from lavenderbend.coordination import membership
from lavenderbend.state import upstreams

BROKEN = errors.UpstreamBroke('cut')
UNREACHABLE = errors.UpstreamUnreachable('refused')


async def test_draining_header_excludes_an_engine_on_all_routers(
    nursery, autojump_clock
):
    # Guards against new requests to a draining engine: one router sees in an
    # answer that it drains, and the others would send it requests until its
    # load report or the lagging VM list shows it.
    fleet = await fleets.make_fleet(nursery, 24, engines=5, lag=10.0)
    fleet.members['router-004'].note_draining('engine-0003')

    await trio.sleep(0.5)

    assert fleet.using('engine-0003') == []
    reason = fleet.members['router-000'].explain('engine-0003')
    assert reason == 'draining, reported by router-004'


async def test_engine_listed_as_leaving_is_excluded_on_all_routers(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 24, engines=5)
    fleet.vm_list.set_state('engine-0003', upstreams.VmState.LEAVING)

    await trio.sleep(3)

    assert fleet.using('engine-0003') == []
    reason = fleet.members['router-000'].explain('engine-0003')
    assert reason == 'leaving in the VM list'


async def test_withdrawn_drain_ends(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    fleet.engines['engine-0003'].draining = True
    await trio.sleep(10)
    fleet.engines['engine-0003'].draining = False

    await trio.sleep(3)

    assert len(fleet.using('engine-0003')) == 6


async def test_long_drain_stays_in_force(nursery, autojump_clock):
    # Guards against a draining fact that expires during a long drain: the
    # engine finishes long answers for minutes, and would cut off new requests
    # that it got meanwhile.
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    fleet.engines['engine-0003'].draining = True
    await trio.sleep(3)
    for _ in range(60):
        assert fleet.using('engine-0003') == []
        await trio.sleep(3)


async def test_drain_is_detected_although_a_poller_died(
    nursery, autojump_clock
):
    # Guards against a drain missed under two faults: a router that polls the
    # engine dies as the engine begins to drain. The second poller announces
    # the drain.
    fleet = await fleets.make_fleet(nursery, 12, engines=5, lag=10.0)
    # pollers are stable once selected in a converged view
    await trio.sleep(5)
    pollers = [
        name
        for name, member in fleet.members.items()
        if 'engine-0003' in member.poller.polled
    ]
    fleet.end(pollers[0])
    fleet.engines['engine-0003'].draining = True

    await trio.sleep(2)

    assert len(pollers) == 2
    assert fleet.using('engine-0003') == []


async def test_fact_of_a_lost_observer_expires(nursery, autojump_clock):
    # Guards against an engine excluded for good: a router wrongly reports it
    # as draining and dies. The fact is not renewed and must expire.
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    fleet.members['router-005'].note_draining('engine-0001')
    await trio.sleep(0.2)
    fleet.end('router-005')
    assert fleet.using('engine-0001') == []

    await trio.sleep(25)

    assert len(fleet.using('engine-0001')) == 5


async def test_crashed_engine_leaves_every_view_and_returns(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 24, engines=5, lag=10.0)
    fleet.engines['engine-0003'].reachable = False
    await trio.sleep(5)
    assert fleet.using('engine-0003') == []

    fleet.engines['engine-0003'].reachable = True
    fleet.engines['engine-0003'].instance = 'i2'
    await trio.sleep(5)

    assert len(fleet.using('engine-0003')) == 24


async def test_engine_unreachable_from_some_stays_usable_for_others(
    nursery, autojump_clock
):
    # Guards against an engine excluded fleet-wide, with loss of its prompt
    # cache, because the path from one availability zone is broken. Only the
    # routers there may exclude it.
    fleet = await fleets.make_fleet(nursery, 12, engines=5)
    poller = next(
        name
        for name, member in fleet.members.items()
        if 'engine-0003' in member.poller.polled
    )
    fleet.engines['engine-0003'].hidden_from = {poller}

    await trio.sleep(10)

    assert set(fleet.using('engine-0003')) == set(fleet.members) - {poller}


async def test_all_engines_stay_usable_if_none_is_reachable(
    nursery, autojump_clock
):
    # Guards against refusing all requests when the routers lose the network
    # to the engines: some requests may still succeed, and after the fault the
    # engines must be usable before their next load report.
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    for engine in fleet.engines.values():
        engine.reachable = False

    await trio.sleep(10)

    assert len(fleet.using('engine-0003')) == 6
    reason = fleet.members['router-000'].explain('engine-0003')
    assert reason.startswith(
        'candidate because no other is usable, although unreachable'
    )


async def test_flapping_engine_is_damped_until_it_is_stable(
    nursery, autojump_clock
):
    # Guards against chats that move to an engine that crashes and restarts
    # every 30 s, and lose their context each time. After two returns it gets
    # no requests until it has been stable for a time.
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    engine = fleet.engines['engine-0003']
    used = []
    for number in range(10):
        engine.reachable = False
        await trio.sleep(10)
        engine.reachable = True
        engine.instance = f'i{number + 2}'
        await trio.sleep(20)
        used.append(bool(fleet.using('engine-0003')))

    assert used[0]
    assert not any(used[3:])
    reason = fleet.members['router-000'].explain('engine-0003')
    assert reason.startswith('flapping')
    await trio.sleep(240)
    assert len(fleet.using('engine-0003')) == 6


async def test_single_restart_does_not_exclude(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6, engines=5)
    fleet.engines['engine-0003'].instance = 'i2'

    await trio.sleep(5)

    assert len(fleet.using('engine-0003')) == 6


async def test_failing_upstream_is_ejected_and_used_again(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 2, engines=5)
    member = fleet.members['router-000']
    for _ in range(5):
        member.note_result('engine-0001', BROKEN)
    assert len(member.upstreams('assistant')) == 4
    assert member.explain('engine-0001').startswith('ejected for failures')

    await trio.sleep(3)

    assert len(member.upstreams('assistant')) == 5


async def test_waiters_wake_on_an_ejection_and_on_its_end(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 2, engines=5)
    member = fleet.members['router-000']
    upstream_counts = []

    async def wait_for_changes():
        for _ in range(2):
            await member.wait_changed()
            upstream_counts.append(len(member.upstreams('assistant')))

    async with trio.open_nursery() as inner:
        inner.start_soon(wait_for_changes)
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(5):
            member.note_result('engine-0001', BROKEN)

    assert upstream_counts == [4, 5]


async def test_unreachable_engine_is_checked_at_once(nursery, autojump_clock):
    # Guards against requests to a crashed engine until its next poll is due:
    # the first refused request makes the router poll it, ask other routers,
    # and announce it as unreachable.
    settings = membership.MembershipSettings(report_period=30.0)
    fleet = await fleets.make_fleet(nursery, 12, engines=5, settings=settings)
    fleet.engines['engine-0003'].reachable = False
    fleet.members['router-007'].note_result('engine-0003', UNREACHABLE)

    await trio.sleep(1)

    assert fleet.using('engine-0003') == []


async def test_service_is_excluded_fleet_wide_only_by_two_observers(
    nursery, autojump_clock
):
    # Guards against a service excluded by one router that is itself cut off.
    # Services have no load report that others could check, so a single
    # observer excludes the service on its own router only.
    fleet = await fleets.make_fleet(nursery, 6)
    for number in range(3):
        fleet.vm_list.add(
            upstreams.Vm(
                f'mailbox-{number}',
                '10.2.0.1',
                9000 + number,
                'zone-a',
                'mailbox',
                upstreams.UpstreamKind.SERVICE,
            )
        )
    await trio.sleep(5)
    for name, count in (('router-001', 5), ('router-002', 4)):
        member = fleet.members[name]
        for _ in range(2):
            member.note_result('mailbox-1', UNREACHABLE)
        await trio.sleep(0.5)
        using = fleet.using('mailbox-1', 'mailbox')
        assert name not in using
        if count == 5:
            assert len(using) == 5

    assert fleet.using('mailbox-1', 'mailbox') == []
    await trio.sleep(10)
    assert len(fleet.using('mailbox-1', 'mailbox')) == 6


async def test_poll_filter_selects_the_polling_router(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 3, engines=5)
    for name, member in fleet.members.items():
        member.poll_filter = lambda vm, name=name: name == 'router-001'

    await trio.sleep(15)

    assert len(fleet.members['router-001'].poller.polled) == 5
    assert not fleet.members['router-000'].poller.polled
    assert fleet.members['router-001'].report('engine-0000') is not None


async def test_polls_stay_below_the_report_rate(nursery, autojump_clock):
    settings = membership.MembershipSettings(report_rate=10.0)
    fleet = await fleets.make_fleet(nursery, 2, engines=60, settings=settings)
    member = fleet.members['router-000']
    await trio.sleep(10)
    before = member.poller.polls

    await trio.sleep(60)

    assert 500 <= member.poller.polls - before <= 610


async def test_isolated_router_detects_a_drain(nursery, autojump_clock):
    # Guards against a drain missed under two faults: a router is cut off from
    # all others, but not from the engines, as engines begin to drain. Once it
    # believes itself alone, it polls all engines.
    fleet = await fleets.make_fleet(nursery, 6, engines=5, lag=10.0)
    names = sorted(fleet.members)
    await trio.sleep(2)
    fleet.network.cut_off(names[:1], names[1:])
    for number in range(5):
        fleet.engines[f'engine-{number:04d}'].draining = number != 2

    await trio.sleep(2)
    assert fleet.using('engine-0001') in ([], names[:1])

    await trio.sleep(6)
    for number in (0, 1, 3, 4):
        assert fleet.using(f'engine-{number:04d}') == []
    assert fleet.using('engine-0002') == names


async def test_drain_is_detected_although_the_only_poller_died(
    nursery, autojump_clock
):
    # Guards against a drain missed when admission has each engine polled by
    # its owner alone and the owner dies as the drain begins. It is detected
    # once the owner is declared dead and the next owner polls, or earlier by
    # an answer that announces it.
    fleet = await fleets.make_fleet(nursery, 6, engines=5, lag=20.0)
    for name, member in fleet.members.items():
        member.poll_filter = lambda vm, name=name: is_owner(fleet, name)
    await trio.sleep(12)
    fleet.end(owner_name(fleet))
    fleet.engines['engine-0003'].draining = True

    await trio.sleep(8)

    assert fleet.using('engine-0003') == []
    assert len(fleet.using('engine-0001')) == 5


def is_owner(fleet, name):
    return fleet.members[name].routers()[0] == name


def owner_name(fleet):
    return next(name for name in sorted(fleet.members) if is_owner(fleet, name))
