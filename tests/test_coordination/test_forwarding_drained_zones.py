"""Upstreams of drained zones get no requests until the zone is taken back."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import explain
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes
from tests.test_coordination import test_forwarding_peers as peer_fleets

HOSTS = peer_fleets.HOSTS
# Time from the store's change until no requests may be sent there.
DRAIN_SECONDS = 5.0
COPY_SECONDS = 5.0

HERE = fakes.upstream('e1', zone='sala-a')
THERE = fakes.upstream('e2', zone='sala-b')


def content(revision, *drained, members=(HERE, THERE), version=1):
    zones = dict.fromkeys(drained, revision)
    return fakes.snapshot(
        revision, fakes.table(version), *members, drained=zones
    )


def position(revision):
    return forwarding.StorePosition(0, revision)


def change(router, *drained, revision):
    router.snapshots.accept(content(revision, *drained), router.clock())


@pytest.fixture
def exchanges():
    return fakes.Exchanges(e1=[fakes.reply()], e2=[fakes.reply()])


@pytest.fixture
async def router(autojump_clock, exchanges):
    return fakes.Router(content(1), exchanges)


def names(node):
    return sorted(upstream.instance for upstream in node.directory.of('chat'))


async def test_drained_zone_gets_no_requests(router, exchanges, autojump_clock):
    change(router, 'sala-a', revision=2)
    for _ in range(5):
        await router.send_request()
    assert set(exchanges.names()) == {'e2'}


async def test_zone_that_was_taken_back_gets_requests(
    router, exchanges, autojump_clock
):
    change(router, 'sala-a', revision=2)
    change(router, revision=3)
    assert names(router) == ['e1', 'e2']


async def test_upstream_drained_while_connecting_gets_no_request(
    router, exchanges, autojump_clock
):
    # Guards against a request that was placed before the zone was drained.
    opened = exchanges.open

    async def drain_then_open(target, repeatable):
        if target.instance == 'e1':
            change(router, 'sala-a', revision=2)
        return await opened(target, repeatable)

    exchanges.open = drain_then_open
    answer, error = await router.send_request()
    assert (error, answer.status) == (None, 200)
    assert exchanges.names() == ['e2']


async def test_lapsed_entry_in_a_drained_zone_is_not_used(
    router, autojump_clock
):
    # Guards against upstreams that are kept although their entries lapsed.
    router.snapshots.retained['e1'] = HERE, router.clock() + 5.0
    router.snapshots.accept(content(2, members=[THERE]), router.clock())
    assert names(router) == ['e1', 'e2']
    drained = content(3, 'sala-a', members=[THERE])
    router.snapshots.accept(drained, router.clock())
    assert names(router) == ['e2']


async def test_all_zones_drained_is_refused_at_once_as_not_run(
    router, exchanges, autojump_clock
):
    change(router, 'sala-a', 'sala-b', revision=2)
    begin = trio.current_time()
    answer, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert choice.ALL_DRAINED in error.detail
    assert error.retry_after > 0
    assert trio.current_time() == begin
    assert not exchanges.names()


async def test_explanation_names_drained_zones(router, autojump_clock):
    change(router, 'sala-a', revision=2)
    explained = explain.Explainer(router.resolver, router.chooser).explain(
        explain.ExplainRequest(
            'corte', 'POST', '/chat/1', {'host': 'a.example'}
        )
    )
    verdicts = {step.upstream: step.verdict for step in explained.candidates}
    assert verdicts['e1'] == explain.DRAINED


async def test_prompts_are_copied_only_while_the_zone_exists(
    router, autojump_clock
):
    # Guards against waits for copies from upstreams that were removed.
    router.directory.copy_seconds = COPY_SECONDS
    change(router, 'sala-a', revision=2)
    assert router.directory.may_copy_from(HERE, None)
    await trio.sleep(COPY_SECONDS + 0.1)
    assert not router.directory.may_copy_from(HERE, None)
    assert router.directory.may_copy_from(THERE, None)


async def test_second_drain_of_a_zone_is_no_old_news(router, autojump_clock):
    # Guards against a fact of the first drain that outlives the second's end.
    change(router, 'sala-a', revision=2)
    change(router, revision=3)
    change(router, 'sala-a', revision=4)
    assert names(router) == ['e2']
    assert not router.directory.note_drained('sala-a', position(2))
    change(router, revision=5)
    assert names(router) == ['e1', 'e2']
    assert not router.directory.note_drained('sala-a', position(4))
    assert names(router) == ['e1', 'e2']


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = peer_fleets.Fleet(nursery)
    fleet.set_content(content(2))
    await trio.sleep(5.0)
    return fleet


async def test_drained_zone_is_known_on_all_routers_in_time(
    fleet, autojump_clock
):
    fleet.set_content(content(3, 'sala-a'))
    await trio.sleep(1.5)
    assert [names(node) for node in fleet.routers.values()] == [['e2']] * 4


async def test_router_with_slow_reads_learns_of_a_drained_zone(
    fleet, autojump_clock
):
    # Guards against a configuration too large for a slow router's link, after
    # which all other routers know that the zone is drained.
    node = fleet.routers[HOSTS[3]]
    node.source.error = errors.KeyValueUnavailable('TooSlowError')
    node.link.too_slow = True
    fleet.set_content(content(3, 'sala-a'))
    await trio.sleep(1.5)
    assert names(node) == ['e2']


class Tasks:
    """Tasks of one router, which end when it is killed."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.scopes = []

    def start_soon(self, run):
        scope = trio.CancelScope()
        self.scopes.append(scope)
        self.nursery.start_soon(self.run, scope, run)

    async def run(self, scope, run):
        with scope:
            await run()

    def kill(self):
        for scope in self.scopes:
            scope.cancel()


class MortalFleet(peer_fleets.Fleet):
    """A fleet whose routers can be killed and started again."""

    def add(self, host, seeds=HOSTS[:2]):
        nursery = self.nursery
        self.tasks = {**getattr(self, 'tasks', {}), host: Tasks(nursery)}
        self.nursery = self.tasks[host]
        super().add(host, seeds)
        self.nursery = nursery

    def restart(self, host):
        self.tasks[host].kill()
        self.add(host)


@pytest.mark.parametrize('seed', range(100))
async def test_drained_zone_gets_no_requests_under_faults(
    nursery, autojump_clock, seed
):
    # Guards against routers that miss a drain, or forget one, while the store
    # refuses some, routers restart, and links are cut one way.
    rng = random.Random(seed)
    fleet = MortalFleet(nursery)
    fleet.set_content(content(2))
    await trio.sleep(5.0)
    revision = 3
    for zone in rng.choice((['sala-a'], ['sala-a', 'sala-b'], ['sala-b'])):
        faulty = rng.sample(HOSTS, 2)
        fleet.routers[faulty[0]].source.error = errors.KeyValueUnavailable('')
        if rng.random() < 0.5:
            source, target = rng.sample(HOSTS, 2)
            fleet.unreachable.add((source, target))
        fleet.set_content(content(revision, zone))
        if rng.random() < 0.5:
            fleet.restart(faulty[1])
        await trio.sleep(DRAIN_SECONDS)
        for node in fleet.routers.values():
            if node.snapshots.current is None:
                continue
            used = node.directory.of('chat')
            zones = {upstream.vm.availability_zone for upstream in used}
            assert zone not in zones
        fleet.set_content(content(revision + 1))
        await trio.sleep(DRAIN_SECONDS)
        assert all(
            names(node) == ['e1', 'e2'] for node in fleet.routers.values()
        )
        fleet.unreachable.clear()
        for node in fleet.routers.values():
            node.source.error = None
        revision += 2
