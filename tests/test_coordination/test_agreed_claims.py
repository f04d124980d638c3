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
    """Claims of some routers over one service."""

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
        self.scopes[name] = fakes.start_parts(self.nursery, link, router)

    def kill(self, name, noticed=True):
        self.scopes[name].cancel()
        self.network.down.add(name)
        if noticed:
            left = [n for n in self.membership.names if n != name]
            self.membership.set_routers(left)

    def owner(self):
        return self.routers[self.names[0]].owner(0)

    def others(self):
        return [self.routers[n] for n in self.names if n != self.owner()]


def soon(seconds=10.0):
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
    one, two = fleet.others()
    first = await one.claim('ana', 'k', BODY, soon())
    assert isinstance(first, claims.Claimed)
    await one.record(first.token, errors.Outcome.COMPLETE, 200)
    await one.drain()
    second = await two.claim('ana', 'k', BODY, soon())
    assert second == claims.Recorded(errors.Outcome.COMPLETE, 200)
    assert isinstance(await two.claim('bo', 'k', BODY, soon()), claims.Claimed)


async def test_second_copy_waits_while_the_first_runs(
    fleet, nursery, autojump_clock
):
    one, two = fleet.others()
    first = await one.claim('ana', 'k', BODY, soon())

    async def finish():
        await trio.sleep(3)
        await one.record(first.token, errors.Outcome.FAILED, 500)

    nursery.start_soon(finish)
    second = await two.claim('ana', 'k', BODY, soon())
    assert second == claims.Recorded(errors.Outcome.FAILED, 500)
    assert trio.current_time() < 5


async def test_second_copy_is_told_unknown_at_its_deadline(
    fleet, autojump_clock
):
    one, two = fleet.others()
    await one.claim('ana', 'k', BODY, soon())
    deadline = soon(4)
    second = await two.claim('ana', 'k', BODY, deadline)
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)
    assert trio.current_time() <= deadline + 0.1


async def test_same_key_with_another_body_is_refused(fleet, autojump_clock):
    one, two = fleet.others()
    await one.claim('ana', 'k', BODY, soon())
    with pytest.raises(errors.IdempotencyKeyReused):
        await two.claim('ana', 'k', b'another', soon())


async def test_released_key_can_be_claimed_with_another_body(
    fleet, autojump_clock
):
    """An owner with an old table meets a released key.

    It would refuse an honest request for a body that was never run.
    """
    one, two = fleet.others()
    first = await one.claim('ana', 'k', BODY, soon())
    await two.record(first.token, errors.Outcome.NOT_RUN)
    # the release goes through another owner, unseen by the first
    two.outcomes.failed_requests[0] = 1
    await two.drain()
    second = await one.claim('ana', 'k', b'another', soon())
    assert isinstance(second, claims.Claimed)


async def test_outage_refuses_at_once_with_a_time_to_come_back(
    fleet, autojump_clock
):
    """The service is down for an hour.

    Callers must hear 'not run' at once and truthfully, not after minutes.
    """
    one, two = fleet.others()
    fleet.store.fault(outage=True)
    with pytest.raises(errors.ClaimUnavailable) as caught:
        await one.claim('ana', 'k', BODY, soon(60))
    assert caught.value.retry_after > 0
    assert trio.current_time() < 4
    before = trio.current_time()
    for number in range(100):
        with pytest.raises(errors.ClaimUnavailable):
            await two.claim('ana', f'k{number}', BODY, soon(60))
    assert trio.current_time() - before < 100 * 0.8
    assert sum(len(lines) for lines in two.outcomes.queue.values()) == 0
    fleet.store.fault(outage=False)
    await trio.sleep(2)
    assert isinstance(await two.claim('ana', 'k', BODY, soon()), claims.Claimed)


async def test_answer_lost_then_outage_frees_the_key_afterwards(
    fleet, autojump_clock
):
    """The claim is written, the service dies before it can be settled.

    The caller is told 'not run' and sends again through another router
    after the outage: the first claim must not block it for ever.
    """
    one, two = fleet.others()
    await one.claim('ana', 'warm', BODY, soon())
    original = fleet.store.create

    async def create_and_die(*args, **kwargs):
        await original(*args, **kwargs)
        fleet.store.create = original
        fleet.store.fault(outage=True)
        raise errors.KeyValueUncertain('no answer')

    fleet.store.create = create_and_die
    with pytest.raises(errors.ClaimUnavailable):
        await one.claim('ana', 'k', BODY, soon(30))
    fleet.store.fault(outage=False)
    second = await two.claim('ana', 'k', BODY, soon(30))
    assert isinstance(second, claims.Claimed)
    third = await one.claim('ana', 'k', BODY, soon(2))
    assert third == claims.Recorded(errors.Outcome.UNKNOWN)


async def test_owner_dies_between_commit_and_answer(fleet, autojump_clock):
    """The owner commits a claim and its VM is gone before it answers.

    The entry asks the next owner, which finds its own token in the log:
    refused, an innocent request would fail; run by both, twice.
    """
    owner = fleet.owner()
    one, two = fleet.others()
    await one.claim('ana', 'warm', BODY, soon())
    original = fleet.store.create

    async def create_and_kill(*args, **kwargs):
        done = await original(*args, **kwargs)
        fleet.store.create = original
        fleet.kill(owner, noticed=False)
        return done

    fleet.store.create = create_and_kill
    first = await one.claim('ana', 'k', BODY, soon())
    assert isinstance(first, claims.Claimed)
    second = await two.claim('ana', 'k', BODY, soon(3))
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)


async def test_two_owners_at_once_claim_a_key_once(
    fleet, nursery, autojump_clock
):
    """Routers disagree about who is alive, so two think they own a shard."""
    views = [fakes.Membership(fleet.names), fakes.Membership(fleet.names)]
    owner = fleet.owner()
    views[1].set_routers([n for n in fleet.names if n != owner])
    routers = fleet.others()
    for router, view in zip(routers, views, strict=True):
        router.membership = view
    results = {}

    async def claim(router, key):
        got = await router.claim('ana', key, BODY, soon(3))
        results.setdefault(key, []).append(got)

    async with trio.open_nursery() as inner:
        for number in range(50):
            for router in routers:
                inner.start_soon(claim, router, f'k{number}')
    for got in results.values():
        claimed = [g for g in got if isinstance(g, claims.Claimed)]
        assert len(claimed) == 1
    shards = [0 in r.shards for r in fleet.routers.values()]
    assert shards.count(True) >= 2


async def test_entry_that_ran_a_claim_is_gone(fleet, autojump_clock):
    """The entry dies while it runs a request; its copy is asked for again.

    Nobody can tell whether it ran: the second copy is told so in seconds
    and is never run.
    """
    one, two = fleet.others()
    await one.claim('ana', 'k', BODY, soon())
    fleet.kill(one.name)
    second = await two.claim('ana', 'k', BODY, soon(60))
    assert second == claims.Recorded(errors.Outcome.UNKNOWN)
    assert trio.current_time() < 10


async def test_old_claims_are_compacted_and_new_owner_loads_the_rest(
    store, nursery, autojump_clock
):
    fleet = Fleet(store, nursery, retention=100.0, clock_margin=10.0)
    await trio.sleep(0.1)
    one = fleet.others()[0]
    for number in range(60):
        got = await one.claim('ana', f'k{number}', BODY, soon())
        await one.record(got.token, errors.Outcome.COMPLETE, 200)
        await trio.sleep(5)
    await trio.sleep(30)
    entries = (await store.read('/lavenderbend/claims/0000/entry/', '0')).items
    assert len(entries) < 60
    fleet.kill(fleet.owner())
    last = await one.claim('ana', 'k59', BODY, soon())
    assert last == claims.Recorded(errors.Outcome.COMPLETE, 200)
    oldest = await one.claim('ana', 'k0', BODY, soon())
    assert isinstance(oldest, claims.Claimed)


async def test_claim_answered_after_the_deadline_is_not_run(
    fleet, autojump_clock
):
    """A paused entry finds its claim granted after its deadline."""
    one, two = fleet.others()
    await one.claim('ana', 'warm', BODY, soon())
    fleet.store.fault(latency=0.4)
    with pytest.raises(errors.ClaimUnavailable):
        await one.claim('ana', 'k', BODY, soon(0.5))
    fleet.store.fault(latency=0.001)
    await trio.sleep(3)
    second = await two.claim('ana', 'k', BODY, soon())
    assert isinstance(second, claims.Claimed)


async def test_delayed_ask_after_release_does_not_block_the_key(
    fleet, autojump_clock
):
    """The owner hangs with an ask; its asker gives up and releases first."""
    one, two = fleet.others()
    hashed = claims.key_hash('ana', 'k')
    token = claims.ClaimToken(0, hashed, b'12345678')
    await one.record(token, errors.Outcome.NOT_RUN)
    await one.drain()
    owner = fleet.routers[fleet.owner()]
    line = claims.ClaimLine(hashed, token.id, b'12345678', one.name)
    state = await owner.ensure_shard(0).claim(line, soon(2))
    assert state is claims.ClaimState.UNAVAILABLE
    got = await two.claim('ana', 'k', BODY, soon())
    assert isinstance(got, claims.Claimed)


async def test_copy_during_an_outage_hears_that_the_first_ran(
    fleet, autojump_clock
):
    """The service goes down and the owner's VM is replaced, then a copy comes.

    The new owner cannot read the log. Told 'not run', the caller might send
    its reply to a citizen under another key.
    """
    one, two = fleet.others()
    first = await one.claim('ana', 'k', BODY, soon())
    fleet.store.fault(outage=True)
    await one.record(first.token, errors.Outcome.COMPLETE, 200)
    fleet.kill(fleet.owner())
    second = await two.claim('ana', 'k', BODY, soon())
    assert second == claims.Recorded(errors.Outcome.COMPLETE, 200)


async def test_unreadable_entry_refuses_claims_and_hides_none(
    store, nursery, autojump_clock
):
    """Something else wrote into the log; the router must not crash on it."""
    await store.create('/lavenderbend/claims/0000/entry/' + '1' * 16, b'x')
    fleet = Fleet(store, nursery)
    with pytest.raises(errors.ClaimUnavailable):
        await fleet.others()[0].claim('ana', 'k', BODY, soon())
    nursery.cancel_scope.cancel()


async def test_many_outcomes_kept_back_fit_the_service(fleet, autojump_clock):
    """After a long outage every router brings a long queue of outcomes.

    In one entry they would be over the service's limit, refused again and
    again, and claims with them.
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
    got = await fleet.others()[0].claim('ana', 'k', BODY, soon())
    assert isinstance(got, claims.Claimed)


async def test_router_with_another_number_of_shards_runs_nothing(
    fleet, nursery, autojump_clock
):
    """A new version comes with more shards while old routers still run.

    It would look for a key in another log and run its request again.
    """
    one = fleet.others()[0]
    await one.claim('ana', 'k', BODY, soon())
    fleet.policy = claims_module.ClaimPolicy(shards=16)
    fleet.start('new')
    await trio.sleep(1)
    new = fleet.routers['new']
    with pytest.raises(errors.ClaimUnavailable):
        await new.claim('ana', 'another', BODY, soon(5))
    # the router that claimed this one knows it, whatever the layout
    copy = await new.claim('ana', 'k', BODY, soon(5))
    assert copy == claims.Recorded(errors.Outcome.UNKNOWN)
