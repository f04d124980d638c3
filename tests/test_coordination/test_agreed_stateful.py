"""Random scenarios of claims and configuration, against simple models."""

from __future__ import annotations

import functools
import random

import hypothesis
from hypothesis import strategies
import pytest
import trio

from bench.agreed import fleets
from lavenderbend import errors
from lavenderbend.coordination import log
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.coordination.claims import shards as claim_shards
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.state import claims
from tests.test_coordination import agreed_fakes as fakes

ROUTERS = 3
KEYS = 3
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80, database=None
)
SERVICE = strategies.sampled_from(
    [
        ('outage', {'outage': True}),
        ('lossy', {'lost_answers': 0.4, 'lost_requests': 0.2}),
        ('late', {'lost_requests': 0.4, 'late_writes': 1.0, 'late_by': 8.0}),
        ('well', {'outage': False, 'lost_answers': 0, 'lost_requests': 0}),
    ]
)
ROUTER = strategies.integers(0, ROUTERS - 1)
WAIT = strategies.sampled_from([0.0, 0.01, 0.3, 3.0])
CLAIM_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('claim'), ROUTER, strategies.integers(0, KEYS - 1)
        ),
        strategies.tuples(strategies.just('finish'), strategies.integers(0, 9)),
        strategies.tuples(
            strategies.just('give up'), strategies.integers(0, 9)
        ),
        strategies.tuples(
            strategies.just('pause'),
            ROUTER,
            strategies.sampled_from([1.0, 6.0]),
        ),
        strategies.tuples(strategies.just('kill'), ROUTER),
        strategies.tuples(strategies.just('service'), SERVICE),
        strategies.tuples(strategies.just('wait'), WAIT),
    ),
    min_size=8,
    max_size=40,
)


class ClaimScenario:
    """Executes steps and records the result of every claim.

    Attributes:
        running: Tokens that were granted and not yet finished.
        finished: Keys whose request ran to its end.
        held: Token that may run, by key: never two at once, and none once
            a key is finished.
        lost: Keys whose router was killed while it claimed or released them.
        released: Routers and the keys that they released.
    """

    def __init__(self, make):
        self.make = make
        self.store = fakes.service()
        self.rng = random.Random(1)
        self.running = []
        self.finished = set()
        self.held = {}
        self.lost = set()
        self.released = []

    async def run(self, steps):
        self.fleet = fleets.Fleet(
            self.store,
            random.Random(2),
            claims_module.ClaimPolicy(),
            self.make,
        )
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for _ in range(ROUTERS):
                await self.fleet.start(nursery)
            for name, *arguments in steps:
                method = getattr(self, name.replace(' ', '_'))
                await method(*arguments)
                await trio.sleep(0.001)
            self.store.fault(outage=False, lost_answers=0, lost_requests=0)
            await trio.sleep(20)
            for key in range(KEYS):
                await self.check_final_claim(key)
            nursery.cancel_scope.cancel()

    def router(self, index):
        return list(self.fleet.live.values())[index]

    async def claim(self, index, key):
        router = self.router(index)
        router.nursery.start_soon(self.claim_and_check, router, key, 5.0)

    async def claim_and_check(self, router, key, seconds):
        deadline = trio.current_time() + seconds
        name = f'k{key}'
        try:
            result = await router.claims.claim('c', name, b'b', deadline)
        except errors.ClaimUnavailable:
            return None
        except trio.Cancelled:
            self.lost.add(key)
            raise
        if isinstance(result, claims.Claimed):
            assert key not in self.finished, 'claimed after it had run'
            assert self.held.get(key) is None, 'claimed twice at once'
            self.held[key] = result.token
            self.running.append((router, key, result.token))
        elif result.outcome is errors.Outcome.COMPLETE:
            assert key in self.finished, 'complete before it finished'
        return result

    def take_running(self, index):
        """Removes and returns a request that runs on a live router, if any."""
        live = [run for run in self.running if not run[0].scope.cancel_called]
        if not live:
            return None
        running = live[index % len(live)]
        self.running.remove(running)
        return running

    async def finish(self, index):
        running = self.take_running(index)
        if running is None:
            return
        router, key, token = running
        self.finished.add(key)
        await router.claims.record(token, errors.Outcome.COMPLETE, 200)

    async def give_up(self, index):
        running = self.take_running(index)
        if running is None:
            return
        router, key, token = running
        self.held[key] = None
        self.released.append((router, key))
        await router.claims.record(token, errors.Outcome.NOT_RUN)

    async def pause(self, index, seconds):
        self.router(index).pause.until = trio.current_time() + seconds

    async def kill(self, index):
        router = self.router(index)
        # a release that is still queued is lost with its router
        self.lost |= {key for owner, key in self.released if owner is router}
        self.fleet.kill(router.name, self.nursery)
        await self.fleet.start(self.nursery)

    async def service(self, fault):
        self.store.fault(**fault[1])

    async def wait(self, seconds):
        await trio.sleep(seconds)

    async def check_final_claim(self, key):
        """Checks that a key gets a valid result after all faults ended."""
        result = await self.claim_and_check(self.router(0), key, 30.0)
        assert result is not None
        may_be_claimed = key in self.finished or key in self.lost
        unclaimed = not may_be_claimed and self.held.get(key) is None
        assert isinstance(result, claims.Claimed) or not unclaimed


def run_claims(steps, make=claims_module.Claims):
    fleets.virtual(1, functools.partial(ClaimScenario(make).run, steps))


class UnconfirmedShard(claim_shards.Shard):
    """Assumes exclusive ownership: answers without appending to the log."""

    async def append_confirmed(self, number, value):
        return log.Entry(number, value)


def test_scenarios_detect_claims_granted_without_the_log(monkeypatch):
    monkeypatch.setattr(claim_shards, 'Shard', UnconfirmedShard)
    steps = [('claim', index, 0) for index in range(ROUTERS)]
    steps += [('kill', index) for index in range(ROUTERS)]
    steps += [('claim', index, 0) for index in range(ROUTERS)]
    steps += [('wait', 3.0)]
    with pytest.RaisesGroup(AssertionError, flatten_subgroups=True):
        run_claims(steps)


@SETTINGS
@hypothesis.given(CLAIM_STEPS)
def test_claims_hold_in_random_scenarios(steps):
    run_claims(steps)


CONFIGURATION_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('accept'), ROUTER),
        strategies.tuples(strategies.just('read'), ROUTER),
        strategies.tuples(strategies.just('restart'), ROUTER),
        strategies.tuples(strategies.just('cut'), ROUTER, ROUTER),
        strategies.tuples(strategies.just('join')),
        strategies.tuples(strategies.just('compact')),
        strategies.tuples(strategies.just('service'), SERVICE),
        strategies.tuples(strategies.just('wait'), WAIT),
    ),
    min_size=8,
    max_size=40,
)


class ConfigurationScenario:
    """Routers accept and follow configuration; the log is the model."""

    def __init__(self):
        self.store = fakes.service()
        self.network = fakes.Network()
        self.names = [f'r{n}' for n in range(ROUTERS)]
        self.followers = {}
        self.scopes = {}
        self.seen = {}
        self.accepted = {}
        self.newest = dict.fromkeys(self.names, 0)
        self.count = 0

    async def run(self, steps):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in self.names:
                self.start(name)
            for name, *arguments in steps:
                await getattr(self, name)(*arguments)
                await trio.sleep(0.001)
                self.check_chains()
            self.network.cut.clear()
            self.store.fault(outage=False, lost_answers=0, lost_requests=0)
            await trio.sleep(30)
            self.check_chains()
            await self.compare()
            nursery.cancel_scope.cancel()

    def start(self, name):
        link = fakes.Link(name, self.network)
        follower = configuration_follower.ConfigurationFollower(
            name,
            self.store,
            link,
            fakes.Membership(self.names),
            random.Random(name),
        )
        self.followers[name] = follower
        self.newest[name] = 0
        self.scopes[name] = fakes.start_tasks(self.nursery, link, follower)

    def check_chains(self):
        for name, follower in self.followers.items():
            number = follower.chain.number
            assert number >= self.newest[name], 'went back'
            self.newest[name] = number
            if number:
                digest = follower.current().digest
                expected = self.seen.setdefault(number, digest)
                assert expected == digest, 'two documents for one revision'

    async def accept(self, index):
        self.nursery.start_soon(self.change, self.names[index])

    async def change(self, name):
        follower = self.followers[name]
        self.count += 1
        reason = f'change {self.count}'
        try:
            revision = await follower.accept(
                fakes.document(reason), follower.chain.number, name, reason
            )
        except (errors.ConfigurationConflict, errors.KeyValueUnavailable):
            self.accepted[reason] = 0
        except errors.KeyValueUncertain:
            self.accepted[reason] = None
        else:
            self.accepted[reason] = revision.number

    async def read(self, index):
        try:
            await self.followers[self.names[index]].log.catch_up()
        except errors.KeyValueError:
            return

    async def restart(self, index):
        name = self.names[index]
        self.scopes[name].cancel()
        self.start(name)

    async def cut(self, one, two):
        self.network.cut.add(frozenset((self.names[one], self.names[two])))

    async def join(self):
        self.network.cut.clear()

    async def compact(self):
        self.store.compact_events()

    async def service(self, fault):
        self.store.fault(**fault[1])

    async def wait(self, seconds):
        await trio.sleep(seconds)

    async def compare(self):
        log = configuration_log.ConfigurationLog(self.store)
        lines = {line.reason: line for line in await log.history()}
        for reason, number in self.accepted.items():
            if number == 0:
                assert reason not in lines, 'reported as refused, but accepted'
            elif number is not None:
                assert lines[reason].number == number, 'accepted, but lost'
        for follower in self.followers.values():
            assert follower.chain.number == len(lines)


@SETTINGS
@hypothesis.given(CONFIGURATION_STEPS)
def test_configuration_holds_in_random_scenarios(steps):
    fleets.virtual(1, functools.partial(ConfigurationScenario().run, steps))
