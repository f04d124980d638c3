from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.state import claims
from tests.test_coordination import agreed_fakes as fakes

BODY = b'digest of the body'


class Fleet:
    """Claims of several routers with one key-value service."""

    def __init__(self, store, nursery, count=3, **policy):
        self.store = store
        self.nursery = nursery
        self.network = fakes.Network()
        self.names = [f'r{n}' for n in range(count)]
        self.membership = fakes.Membership(self.names)
        self.policy = claims_module.ClaimPolicy(**policy)
        self.scopes = {}
        self.routers = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        link = fakes.Link(name, self.network)
        router = claims_module.Claims(
            name,
            self.store,
            link,
            self.membership,
            random.Random(name),
            policy=self.policy,
            clock=trio.current_time,
        )
        self.routers[name] = router
        self.network.down.discard(name)
        self.scopes[name] = fakes.start_tasks(self.nursery, link, router)

    def kill(self, name, noticed=True):
        self.scopes[name].cancel()
        self.network.down.add(name)
        if noticed:
            remaining = [n for n in self.membership.names if n != name]
            self.membership.set_routers(remaining)

    def owner(self):
        return self.routers[self.names[0]].owner(0)

    def non_owners(self):
        return [self.routers[n] for n in self.names if n != self.owner()]


def deadline_in(seconds=10.0):
    return trio.current_time() + seconds


@pytest.fixture
def store():
    return fakes.service()


@pytest.fixture
async def fleet(store, nursery):
    fleet = Fleet(store, nursery)
    await trio.sleep(0.1)
    return fleet


async def test_second_copy_gets_the_recorded_outcome(fleet, autojump_clock):
    first_router, second_router = fleet.non_owners()
    first = await first_router.claim('ana', 'k', BODY, deadline_in())
    assert isinstance(first, claims.Claimed)
    await first_router.record(first.token, errors.Outcome.COMPLETE, 200)
    await first_router.drain()
    second = await second_router.claim('ana', 'k', BODY, deadline_in())
    assert second == claims.Recorded(errors.Outcome.COMPLETE, 200)
    assert isinstance(
        await second_router.claim('bo', 'k', BODY, deadline_in()),
        claims.Claimed,
    )


async def test_second_copy_waits_while_the_first_runs(
    fleet, nursery, autojump_clock
):
    first_router, second_router = fleet.non_owners()
    first = await first_router.claim('ana', 'k', BODY, deadline_in())

    async def finish():
        await trio.sleep(3)
        await first_router.record(first.token, errors.Outcome.FAILED, 500)

    nursery.start_soon(finish)
    second = await second_router.claim('ana', 'k', BODY, deadline_in())
    assert second == claims.Recorded(errors.Outcome.FAILED, 500)
    assert trio.current_time() < 5


async def test_second_copy_gets_unknown_at_its_deadline(fleet, autojump_clock):
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'k', BODY, deadline_in())
    deadline = deadline_in(4)
    second = await second_router.claim('ana', 'k', BODY, deadline)
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)
    assert trio.current_time() <= deadline + 0.1


async def test_same_key_with_another_body_is_refused(fleet, autojump_clock):
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'k', BODY, deadline_in())
    with pytest.raises(errors.IdempotencyKeyReused):
        await second_router.claim('ana', 'k', b'another', deadline_in())


async def test_released_key_can_be_claimed_with_another_body(
    fleet, autojump_clock
):
    """The table of an owner does not show yet that a key was released.

    The owner would refuse a valid request because of a body that never ran.
    """
    first_router, second_router = fleet.non_owners()
    first = await first_router.claim('ana', 'k', BODY, deadline_in())
    await second_router.record(first.token, errors.Outcome.NOT_RUN)
    # another owner writes the release, which the first has not read
    second_router.outcomes.failed_requests[0] = 1
    await second_router.drain()
    second = await first_router.claim('ana', 'k', b'another', deadline_in())
    assert isinstance(second, claims.Claimed)


async def test_outage_refuses_at_once_with_retry_after(fleet, autojump_clock):
    """The service is down for an hour.

    Callers must get a correct 'not run' at once, not after minutes.
    """
    first_router, second_router = fleet.non_owners()
    fleet.store.fault(outage=True)
    with pytest.raises(errors.ClaimUnavailable) as caught:
        await first_router.claim('ana', 'k', BODY, deadline_in(60))
    assert caught.value.retry_after > 0
    assert trio.current_time() < 4
    before = trio.current_time()
    for number in range(100):
        with pytest.raises(errors.ClaimUnavailable):
            await second_router.claim(
                'ana', f'k{number}', BODY, deadline_in(60)
            )
    assert trio.current_time() - before < 100 * 0.8
    assert (
        sum(len(lines) for lines in second_router.outcomes.queue.values()) == 0
    )
    fleet.store.fault(outage=False)
    await trio.sleep(2)
    assert isinstance(
        await second_router.claim('ana', 'k', BODY, deadline_in()),
        claims.Claimed,
    )


async def test_key_is_released_after_a_lost_answer_and_an_outage(
    fleet, autojump_clock
):
    """A claim is written, and the service goes down before that is known.

    The caller gets 'not run' and sends the request to another router after
    the outage: the first claim must not block the key for ever.
    """
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'warm', BODY, deadline_in())
    original = fleet.store.create

    async def create_and_fail(*args, **kwargs):
        await original(*args, **kwargs)
        fleet.store.create = original
        fleet.store.fault(outage=True)
        raise errors.KeyValueUncertain('no answer')

    fleet.store.create = create_and_fail
    with pytest.raises(errors.ClaimUnavailable):
        await first_router.claim('ana', 'k', BODY, deadline_in(30))
    fleet.store.fault(outage=False)
    second = await second_router.claim('ana', 'k', BODY, deadline_in(30))
    assert isinstance(second, claims.Claimed)
    third = await first_router.claim('ana', 'k', BODY, deadline_in(2))
    assert third == claims.Recorded(errors.Outcome.UNKNOWN)


async def test_owner_crashes_between_commit_and_answer(fleet, autojump_clock):
    """The owner commits a claim and crashes before it answers.

    The entry router asks the next owner, which finds the same token in the
    log. The claim must be granted exactly once: if it were refused, a
    request that never ran would fail; granted again, it would run twice.
    """
    owner = fleet.owner()
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'warm', BODY, deadline_in())
    original = fleet.store.create

    async def create_and_kill(*args, **kwargs):
        done = await original(*args, **kwargs)
        fleet.store.create = original
        fleet.kill(owner, noticed=False)
        return done

    fleet.store.create = create_and_kill
    first = await first_router.claim('ana', 'k', BODY, deadline_in())
    assert isinstance(first, claims.Claimed)
    second = await second_router.claim('ana', 'k', BODY, deadline_in(3))
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)


async def test_two_owners_at_once_claim_a_key_once(
    fleet, nursery, autojump_clock
):
    """Two routers act as owner of a shard as their memberships differ."""
    views = [fakes.Membership(fleet.names), fakes.Membership(fleet.names)]
    owner = fleet.owner()
    views[1].set_routers([n for n in fleet.names if n != owner])
    routers = fleet.non_owners()
    for router, view in zip(routers, views, strict=True):
        router.membership = view
    results_by_key = {}

    async def claim(router, key):
        result = await router.claim('ana', key, BODY, deadline_in(3))
        results_by_key.setdefault(key, []).append(result)

    async with trio.open_nursery() as inner:
        for number in range(50):
            for router in routers:
                inner.start_soon(claim, router, f'k{number}')
    for result in results_by_key.values():
        claimed = [g for g in result if isinstance(g, claims.Claimed)]
        assert len(claimed) == 1
    shards = [0 in r.shards for r in fleet.routers.values()]
    assert shards.count(True) >= 2


async def test_router_that_ran_a_claimed_request_is_lost(fleet, autojump_clock):
    """The entry router crashes while it runs a request; a copy arrives.

    It is not known whether the request ran: the copy gets 'unknown' within
    seconds and never runs.
    """
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'k', BODY, deadline_in())
    fleet.kill(first_router.name)
    second = await second_router.claim('ana', 'k', BODY, deadline_in(60))
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)
    assert trio.current_time() < 10


async def test_old_claims_are_compacted_and_new_owner_loads_the_rest(
    store, nursery, autojump_clock
):
    fleet = Fleet(store, nursery, retention=100.0, clock_margin=10.0)
    await trio.sleep(0.1)
    first_router = fleet.non_owners()[0]
    for number in range(60):
        result = await first_router.claim(
            'ana', f'k{number}', BODY, deadline_in()
        )
        await first_router.record(result.token, errors.Outcome.COMPLETE, 200)
        await trio.sleep(5)
    await trio.sleep(30)
    entries = (await store.read('/lavenderbend/claims/0000/entry/', '0')).items
    assert len(entries) < 60
    fleet.kill(fleet.owner())
    last = await first_router.claim('ana', 'k59', BODY, deadline_in())
    assert last == claims.Recorded(errors.Outcome.COMPLETE, 200)
    oldest = await first_router.claim('ana', 'k0', BODY, deadline_in())
    assert isinstance(oldest, claims.Claimed)


async def test_claim_answered_after_the_deadline_is_not_run(
    fleet, autojump_clock
):
    """A claim that is granted after its deadline is released."""
    first_router, second_router = fleet.non_owners()
    await first_router.claim('ana', 'warm', BODY, deadline_in())
    fleet.store.fault(latency=0.4)
    with pytest.raises(errors.ClaimUnavailable):
        await first_router.claim('ana', 'k', BODY, deadline_in(0.5))
    fleet.store.fault(latency=0.001)
    await trio.sleep(3)
    second = await second_router.claim('ana', 'k', BODY, deadline_in())
    assert isinstance(second, claims.Claimed)


async def test_claim_delayed_past_its_release_does_not_block_the_key(
    fleet, autojump_clock
):
    """The owner handles a claim late, after its router released it."""
    first_router, second_router = fleet.non_owners()
    hashed = claims.key_hash('ana', 'k')
    token = claims.ClaimToken(0, hashed, b'12345678')
    await first_router.record(token, errors.Outcome.NOT_RUN)
    await first_router.drain()
    owner = fleet.routers[fleet.owner()]
    line = claims.ClaimLine(hashed, token.id, b'12345678', first_router.name)
    state = await owner.ensure_shard(0).claim(line, deadline_in(2))
    assert state is claims.ClaimState.UNAVAILABLE
    result = await second_router.claim('ana', 'k', BODY, deadline_in())
    assert isinstance(result, claims.Claimed)


async def test_copy_during_an_outage_gets_the_outcome_of_the_first(
    fleet, autojump_clock
):
    """A copy arrives after the service went down and the owner changed.

    The new owner cannot read the log. With 'not run' the caller might send
    the request again under another key.
    """
    first_router, second_router = fleet.non_owners()
    first = await first_router.claim('ana', 'k', BODY, deadline_in())
    fleet.store.fault(outage=True)
    await first_router.record(first.token, errors.Outcome.COMPLETE, 200)
    fleet.kill(fleet.owner())
    second = await second_router.claim('ana', 'k', BODY, deadline_in())
    assert second == claims.Recorded(errors.Outcome.COMPLETE, 200)


async def test_undecodable_entry_refuses_claims(store, nursery, autojump_clock):
    """The log has an entry of another format; the router must not crash."""
    await store.create('/lavenderbend/claims/0000/entry/' + '1' * 16, b'x')
    fleet = Fleet(store, nursery)
    with pytest.raises(errors.ClaimUnavailable):
        await fleet.non_owners()[0].claim('ana', 'k', BODY, deadline_in())
    nursery.cancel_scope.cancel()


async def test_queued_outcomes_stay_below_the_value_size_limit(
    fleet, autojump_clock
):
    """After a long outage every router has many outcomes queued.

    In one entry they would exceed the service's value size limit: the write
    would be refused repeatedly, and claims with it.
    """
    original = fleet.store.create
    sizes = []

    async def create(key, value, *args, **kwargs):
        sizes.append(len(value))
        return await original(key, value, *args, **kwargs)

    fleet.store.create = create
    for name, router in fleet.routers.items():
        for number in range(20_000):
            key = claims.key_hash(name, f'{number}')
            token = claims.ClaimToken(0, key, number.to_bytes(8, 'big'))
            await router.record(token, errors.Outcome.NOT_RUN)
    with trio.fail_after(100):
        for router in fleet.routers.values():
            await router.drain()
    assert max(sizes) < 1_000_000
    result = await fleet.non_owners()[0].claim('ana', 'k', BODY, deadline_in())
    assert isinstance(result, claims.Claimed)


async def test_router_with_another_number_of_shards_claims_nothing(
    fleet, nursery, autojump_clock
):
    """A router with more shards starts while routers with fewer still run.

    It would look for a key in another log and run its request again.
    """
    first_router = fleet.non_owners()[0]
    await first_router.claim('ana', 'k', BODY, deadline_in())
    fleet.policy = claims_module.ClaimPolicy(shards=16)
    fleet.start('new')
    await trio.sleep(1)
    new = fleet.routers['new']
    with pytest.raises(errors.ClaimUnavailable):
        await new.claim('ana', 'another', BODY, deadline_in(5))
    # the router that claimed this key knows it, whatever the layout
    copy = await new.claim('ana', 'k', BODY, deadline_in(5))
    assert copy == claims.Recorded(errors.Outcome.UNKNOWN)
