"""Routers that permit requests to cold upstreams, with views a test sets.

Membership is not simulated: each router believes what the test says, so that
the limit is checked under views that gossip would reach only by chance.
"""

from __future__ import annotations

import itertools
import random
import types

import trio

from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import owners
from lavenderbend.coordination.forwarding import zone_members
from lavenderbend.coordination.forwarding.warm_up import cold_starts
from lavenderbend.coordination.forwarding.warm_up import coldness
from lavenderbend.state import forwarding
from lavenderbend.state import hashing
from tests import forwarding_fakes as fakes

ZONE = 'sala-a'
SETTINGS = cold_starts.RateSettings(1.5, 5.0)
POOL = forwarding.ForwardPool('chat', 100, 3.0, 10.0)
# What POOL and SETTINGS allow in any second.
LIMIT = 20
NOTE_SECONDS = 0.2
TABLE = forwarding.ForwardingTable(1, (fakes.rule(),), (POOL,))


class View:
    """What a router believes of the routers of its zone."""

    def __init__(self, host):
        self.host = host
        self.hosts = set()
        self.last_seen = {}

    def set(self, hosts):
        self.hosts = set(hosts) - {self.host}
        self.last_seen.update(dict.fromkeys(self.hosts, 0.0))

    def alive(self):
        return sorted(self.hosts)

    def membership(self):
        hosts = [self.host, *self.alive()]
        return zone_members.Membership({zone_members.DEFAULT_CAPACITY: hosts})


class Process:
    """One process of a router."""

    def __init__(self, fleet, host, incarnation):
        self.fleet = fleet
        self.host = host
        self.incarnation = incarnation
        self.zone = ZONE
        self.handlers = {}
        self.view = View(host)
        self.suspended_until = 0.0
        self.scope = trio.CancelScope()
        self.members = types.SimpleNamespace(same_zone=self.view)
        self.fleet_count = fleet_count.FleetCount(ZONE)
        self.zone_divisor = fleet_count.FleetDivisor()
        rng = random.Random(f'{host}-{incarnation}')
        self.owners = owners.Owners(
            host, ZONE, self.members, self.fleet_count, rng
        )
        self.loads = types.SimpleNamespace(instances=fleet.instances)
        self.coldness = coldness.Coldness(facts.Facts(host, lambda fact: None))
        peers = types.SimpleNamespace(
            host=host,
            zone=ZONE,
            incarnation=incarnation,
            handlers=self.handlers,
            members=self.members,
            fleet=self.fleet_count,
            zone_divisor=self.zone_divisor,
            owners=self.owners,
            loads=self.loads,
        )
        self.starts = cold_starts.ColdStarts(
            self.coldness,
            peers,
            self,
            trio.current_time,
            rng,
            SETTINGS,
        )
        self.coldness.apply_snapshot(fleet.content)
        for instance in fleet.upstreams:
            self.coldness.note(instance, 60.0, 'test')

    def send(self, host, message):
        self.fleet.deliver(self.host, host, message)

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.starts.run)
                nursery.start_soon(self.note_members)
                for upstream in self.fleet.upstreams.values():
                    nursery.start_soon(self.press, nursery, upstream)

    async def note_members(self):
        while True:
            self.fleet_count.note(ZONE, len(self.view.hosts) + 1)
            self.zone_divisor.note(len(self.view.last_seen) + 1)
            await trio.sleep(NOTE_SECONDS)

    async def press(self, nursery, upstream):
        """Sends as many requests to an upstream as are permitted."""
        rng = self.fleet.rng
        while True:
            await trio.sleep(rng.uniform(0.0, 2 * self.fleet.pause))
            await self.awake()
            until = await self.starts.permit(upstream)
            if until is not None:
                nursery.start_soon(self.connect, upstream.instance, until)

    async def connect(self, instance, until):
        """Sends a permitted request; connecting may take too long."""
        await trio.sleep(self.fleet.rng.choice(self.fleet.connect_seconds))
        await self.awake()
        if self.starts.may_send(instance, until):
            self.fleet.sent[instance].append(trio.current_time())

    async def awake(self):
        await trio.sleep_until(max(self.suspended_until, trio.current_time()))


class Fleet:
    """The routers of one zone, their network and the cold upstreams.

    Attributes:
        sent: Times of the requests that were sent to each upstream.
        cut: Returns whether messages from one host to another are lost.
        connect_seconds: Times that connecting may take.
        pause: Mean seconds between two requests of a router to an upstream.
    """

    def __init__(self, nursery, size, seed, upstreams=2):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.loss = 0.02
        self.connect_seconds = (0.0, 0.002, 0.002, 0.01, 0.1, 0.19, 0.3, 0.9)
        self.cut = lambda source, target: False
        # Together they press with five times the limit.
        self.pause = size / (5.0 * LIMIT)
        members = [fakes.upstream(f'e{n}') for n in range(upstreams)]
        self.content = fakes.snapshot(1, TABLE, *members)
        self.upstreams = self.content.upstreams
        self.instances = {
            hashing.short_id(name): name for name in self.upstreams
        }
        self.sent = {name: [] for name in self.upstreams}
        self.numbers = itertools.count(1)
        self.processes = {}
        self.hosts = [f'10.0.0.{n + 1}' for n in range(size)]
        for host in self.hosts:
            self.start(host)
        self.set_views(lambda host: self.hosts)

    def start(self, host):
        self.processes[host] = Process(self, host, next(self.numbers))
        self.nursery.start_soon(self.processes[host].run)

    def kill(self, host):
        self.processes.pop(host).scope.cancel()

    def set_views(self, view):
        for host, process in self.processes.items():
            process.view.set(view(host))

    def set_random_views(self, fraction):
        """Lets each router see another random part of the routers."""
        count = max(1, round(fraction * len(self.hosts)))
        self.set_views(lambda host: self.rng.sample(self.hosts, count))

    def deliver(self, source, target, message):
        if self.cut(source, target) or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(0.0003, 0.002)
        self.nursery.start_soon(self.hand_over, target, message, delay)

    async def hand_over(self, target, message, delay):
        await trio.sleep(delay)
        process = self.processes.get(target)
        if process is None:
            return
        await process.awake()
        if self.processes.get(target) is process:
            process.handlers[type(message)](message)

    def most_in_a_second(self):
        """Returns the most requests sent to an upstream in any second."""
        return max(map(most_within_a_second, self.sent.values()))


def most_within_a_second(times):
    first = most = 0
    times = sorted(times)
    for last, at in enumerate(times):
        while times[first] < at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
