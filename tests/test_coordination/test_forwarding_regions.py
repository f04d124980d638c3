"""Requests confined to regions reach no upstream elsewhere."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import explain
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

# Zones of three regions, and one whose region no setting names.
REGIONS = {
    'sala-a': 'norte',
    'sala-b': 'norte',
    'sala-c': 'sur',
    'sala-d': 'sur',
    'sala-e': 'costa',
}
ZONES = [*REGIONS, 'sala-x']
NAMES = ['norte', 'sur', 'costa']
PARTS = 'aa:3000,bb:2000,cc:400'


def confined(names):
    return frozenset(names) if names else None


def at_own_port(upstream, number):
    return attrs.evolve(upstream, vm=attrs.evolve(upstream.vm, port=number))


def make_router(zones, by_rule, by_customer, **steps):
    members = [
        at_own_port(fakes.upstream(f'e{number}', zone=zone), number)
        for number, zone in enumerate(zones)
    ]
    customer = forwarding.ForwardCustomer(
        'corte', (fakes.KEY,), 1, confined(by_customer)
    )
    table = fakes.table(
        rules=(fakes.rule(regions=confined(by_rule)),), customers=(customer,)
    )
    replies = {member.instance: [fakes.reply()] for member in members}
    exchanges = fakes.Exchanges(**{**replies, **steps})
    router = fakes.Router(fakes.snapshot(1, table, *members), exchanges)
    router.directory.regions = REGIONS
    return router


def allowed_zones(by_rule, by_customer):
    regions = set(NAMES) | {None}
    for names in (by_rule, by_customer):
        if names:
            regions &= set(names)
    return {zone for zone in ZONES if REGIONS.get(zone) in regions}


regions = st.lists(st.sampled_from(NAMES), unique=True, max_size=3)


@given(
    st.lists(st.sampled_from(ZONES), min_size=1, max_size=8),
    regions,
    regions,
    st.lists(st.sampled_from(['broken', 'refused', 'well']), max_size=8),
)
@settings(max_examples=200, deadline=None)
def test_no_request_and_no_copy_leaves_its_regions(
    zones, by_rule, by_customer, faults
):
    # Guards against repeats and copies that go to an upstream elsewhere.
    outcomes = {
        'broken': fakes.LOST_ANSWER,
        'refused': fakes.not_run(),
        'well': fakes.reply(),
    }
    steps = {
        f'e{number}': [outcomes[fault], fakes.reply()]
        for number, fault in enumerate(faults[: len(zones)])
    }
    allowed = allowed_zones(by_rule, by_customer)

    async def run():
        router = make_router(zones, by_rule, by_customer, **steps)
        names = {
            instance
            for instance, upstream in router.snapshots.current.upstreams.items()
            if upstream.vm.availability_zone in allowed
        }
        outside = router.snapshots.current.upstreams.keys() - names
        for instance in outside:
            # Upstreams elsewhere hold the chat, and would be copied from.
            router.cached.note_sent(
                'bb', choice.parse_parts(PARTS), instance, displaced=True
            )
        for _ in range(3):
            answer, error = await router.send_request(x_prompt_parts=PARTS)
            assert names or isinstance(error, errors.NoUpstream)
        assert set(router.exchanges.names()) <= names
        for _, sent in router.exchanges.sent:
            source = dict(sent.headers).get(b'x-copy-from')
            assert source is None or f'e{source.decode()[10:]}' in names

    trio.run(run)


@pytest.fixture
def ticket_regions():
    def regions_of(by_rule, by_customer):
        rule = fakes.rule(regions=confined(by_rule))
        customer = forwarding.ForwardCustomer(
            'corte', regions=confined(by_customer)
        )
        return request_resolver.allowed_regions(rule.then, customer)

    return regions_of


def test_rule_and_customer_both_bind(ticket_regions):
    assert ticket_regions([], []) is None
    assert ticket_regions(['norte'], []) == {'norte'}
    assert ticket_regions([], ['sur']) == {'sur'}
    assert ticket_regions(['norte', 'sur'], ['sur']) == {'sur'}
    assert ticket_regions(['norte'], ['sur']) == set()


async def test_regions_without_upstreams_are_refused_with_the_reason(
    autojump_clock,
):
    router = make_router(['sala-a', 'sala-b'], ['sur'], [])
    answer, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert choice.NONE_IN_REGIONS + 'sur' in error.detail
    assert not router.exchanges.names()


async def test_zone_of_unknown_region_gets_no_confined_request(autojump_clock):
    # Guards against a zone that was added and is missing in the settings.
    router = make_router(['sala-x'], ['norte'], [])
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)


async def test_explanation_names_upstreams_of_other_regions(autojump_clock):
    router = make_router(['sala-a', 'sala-c'], ['sur'], [])
    explained = explain.Explainer(router.resolver, router.chooser).explain(
        explain.ExplainRequest(
            'corte', 'POST', '/chat/1', {'host': 'a.example'}
        )
    )
    verdicts = {step.upstream: step.verdict for step in explained.candidates}
    assert verdicts['e0'] == explain.OTHER_REGION
    assert verdicts['e1'] != explain.OTHER_REGION


async def test_no_copy_from_an_upstream_elsewhere(autojump_clock):
    router = make_router(['sala-a', 'sala-c'], ['norte'], [])
    here, elsewhere = router.snapshots.current.upstreams.values()
    parts = choice.parse_parts(PARTS)
    router.cached.note_sent('bb', parts, elsewhere.instance, displaced=True)

    def source(names):
        return router.cached.source(
            'chat', 'bb', parts, here, (), confined(names)
        )

    assert source([]).upstream == elsewhere
    assert source(['norte']) is None


async def test_regions_that_change_apply_to_the_next_request(autojump_clock):
    # Guards against selections of upstreams that are kept for too long.
    router = make_router(['sala-a', 'sala-c'], ['norte'], [])
    await router.send_request()
    current = router.snapshots.current
    moved = attrs.evolve(
        current.upstreams['e0'],
        vm=attrs.evolve(current.upstreams['e0'].vm, availability_zone='sala-d'),
    )
    stays = current.upstreams['e1']
    later = fakes.snapshot(2, current.table, moved, stays)
    router.snapshots.accept(later, router.clock())
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
