"""Routers of several zones that permit requests to one cold upstream.

Membership, snapshots, gossip and loans are the real ones; the clock is virtual.
"""

from __future__ import annotations

import random

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding.warm_up import cold_starts
from lavenderbend.coordination.forwarding.warm_up import coldness
from lavenderbend.coordination.forwarding.warm_up import zone_records
from lavenderbend.state import forwarding
from tests import cold_start_fleet
from tests import forwarding_fakes as fakes

ZONES = ('sala-a', 'sala-b', 'sala-c')
# The zone of the cold upstream.
ZONE = ZONES[0]
LIMIT = cold_start_fleet.LIMIT
COLD_SECONDS = 60.0
MESSAGE_SECONDS = 0.001
CONNECT_SECONDS = (0.0, 0.002, 0.01, 0.1, 0.19)
APPLY_SECONDS = 2.0
UPSTREAM = fakes.upstream('e1', zone=ZONE)


class Store(fakes.Source, interfaces.ZoneRecordStore):
    """The store, with the records of zones.

    Attributes:
        writes: Zone and whether it was confirmed, of each call that writes.
        refuses: Whether it refuses to write.
        cut_off: Hosts that do not reach it.
        on_record: Called when a record was written.
    """

    def __init__(self):
        super().__init__(fakes.snapshot(1, cold_start_fleet.TABLE, UPSTREAM))
        self.writes = []
        self.refuses = False
        self.cut_off = set()
        self.on_record = lambda: None

    def seen_from(self, host):
        return StoreView(self, host)

    async def write_zone_record(self, zone, position, confirmed):
        self.writes.append((zone, confirmed))
        await trio.sleep(self.delay)
        if self.refuses or self.error is not None:
            raise errors.KeyValueUnavailable('refused')
        record = self.content.zone_records.get(zone)
        if position.revision != (0 if record is None else record.revision):
            return False
        self.put_record(zone, confirmed)
        return True

    def put_record(self, zone, confirmed):
        revision = self.content.revision + 1
        item = forwarding.RawItem(revision, b'')
        raw = self.content.raw.with_changes(revision, {zone: item}, ())
        record = forwarding.ZoneRecord(revision, confirmed)
        self.content = attrs.evolve(
            self.content,
            revision=revision,
            digest=raw.digest,
            raw=raw,
            zone_records={**self.content.zone_records, zone: record},
        )
        self.on_record()


class StoreView(interfaces.SnapshotSource, interfaces.ZoneRecordStore):
    """The store as one router reaches it."""

    def __init__(self, store, host):
        self.store = store
        self.host = host

    async def reach(self):
        if self.host in self.store.cut_off:
            await trio.sleep(self.store.delay)
            raise errors.KeyValueUnavailable('cut off')

    async def read(self):
        await self.reach()
        return await self.store.read()

    async def newest_position(self):
        return (await self.read()).position

    async def changes_since(self, revision):
        return None

    def decode(self, raw):
        return self.store.decode(raw)

    def keep_table(self, raw, kept):
        return self.store.keep_table(raw, kept)

    async def write_zone_record(self, zone, position, confirmed):
        await self.reach()
        return await self.store.write_zone_record(zone, position, confirmed)


class EarlierColdStarts(cold_starts.ColdStarts):
    """The limits of a build that knows no records of zones."""

    def limit(self, request):
        limit = LIMIT
        if request.zone == self.peers.zone:
            return limit
        if request.zone in self.peers.fleet.counts:
            return 0.0
        return limit / max(1, self.zones, len(self.peers.fleet.counts))


class Router(fakes.Node):
    """One process of a router.

    Attributes:
        fleet: Its fleet.
        starts: Permits requests to the cold upstream.
        runs_records: Whether its build writes records of zones.
        scope: Cancelled when the process is killed.
    """

    def __init__(self, fleet, host, zone, number):
        seeds = [other for other in fleet.zone_of if other != host][:3]
        super().__init__(
            host,
            zone,
            fleet.store.seen_from(host),
            fleet.routers,
            fleet.cut,
            seeds,
            apply_seconds=APPLY_SECONDS,
            revocation_seconds=0.0,
        )
        self.fleet = fleet
        self.link.delay = MESSAGE_SECONDS
        self.link.nursery = fleet.nursery
        rng = random.Random(f'{host}-{number}')
        # Each process of a host is another one.
        self.peers.incarnation = self.peers.freshness.incarnation = number
        self.coldness = coldness.Coldness(self.peers.facts)
        self.snapshots.on_change.append(self.coldness.apply_snapshot)
        self.snapshots.on_change.append(self.note_cold)
        earlier = host in fleet.earlier_builds
        starts_class = EarlierColdStarts if earlier else cold_starts.ColdStarts
        self.starts = starts_class(
            self.coldness,
            self.peers,
            self.link,
            self.clock,
            rng,
            cold_start_fleet.SETTINGS,
            len(ZONES),
        )
        self.zone_records = zone_records.ZoneRecords(
            self.snapshots, self.source, self.peers.fleet, self.coldness
        )
        self.starts.presence = self.zone_records.presence
        self.runs_records = not earlier
        self.scope = trio.CancelScope()

    def note_cold(self, snapshot):
        self.coldness.note(UPSTREAM.instance, COLD_SECONDS, 'test')

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.start(nursery)
                nursery.start_soon(self.starts.run)
                if self.runs_records:
                    nursery.start_soon(self.zone_records.run)
                await self.press(nursery)

    async def press(self, nursery):
        """Sends as many requests as are permitted."""
        rng = self.fleet.rng
        while True:
            await trio.sleep(rng.uniform(0.0, 2 * self.fleet.pause))
            if not self.coldness.is_cold(UPSTREAM.instance):
                continue
            until = await self.starts.permit(UPSTREAM)
            if until is not None:
                nursery.start_soon(self.connect, until)

    async def connect(self, until):
        """Sends a permitted request; connecting may take too long."""
        await trio.sleep(self.fleet.rng.choice(CONNECT_SECONDS))
        if self.starts.may_send(UPSTREAM.instance, until):
            self.fleet.sent.append(trio.current_time())


class Fleet:
    """Routers of some zones, the store and the cold upstream.

    Attributes:
        zone_of: Zone of each host.
        routers: Processes that run, by host.
        cut: Pairs of hosts between which nothing is delivered.
        sent: Times of the requests that were sent.
        earlier_builds: Hosts whose next process is of an earlier build.
    """

    def __init__(self, nursery, size, seed, zones=ZONES, earlier=False):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.store = Store()
        self.cut = set()
        self.routers = {}
        self.sent = []
        self.processes = 0
        self.zone_of = {
            f'10.0.{ZONES.index(zone)}.{number + 1}': zone
            for number in range(size)
            for zone in zones
        }
        self.earlier_builds = set(self.zone_of) if earlier else set()
        # Together they press with five times the limit.
        self.pause = len(self.zone_of) / (5.0 * LIMIT)
        for host in self.zone_of:
            self.start(host)

    def start(self, host):
        self.processes += 1
        router = Router(self, host, self.zone_of[host], self.processes)
        self.nursery.start_soon(router.run)

    def kill(self, host):
        self.routers.pop(host).scope.cancel()

    async def restart(self, hosts):
        for host in hosts:
            self.kill(host)
        await trio.sleep(self.rng.uniform(0.3, 1.0))
        for host in hosts:
            self.start(host)

    def recorded(self):
        """Returns whether all zones with routers have a confirmed record."""
        records = self.store.content.zone_records
        return all(
            zone in records and records[zone].confirmed
            for zone in self.zone_of.values()
        )

    def hosts(self, *zones):
        return [host for host, zone in self.zone_of.items() if zone in zones]

    def separate(self, *groups):
        """Cuts groups of zones from each other."""
        self.cut.clear()
        group_of = {zone: group for group in groups for zone in group}
        self.cut.update(
            (one, other)
            for one, zone in self.zone_of.items()
            for other, other_zone in self.zone_of.items()
            if group_of[zone] != group_of[other_zone]
        )

    def used(self, since, until):
        """Returns which fraction of the allowed rate was used."""
        count = sum(since <= at < until for at in self.sent)
        return count / ((until - since) * LIMIT)

    def most_in_a_second(self):
        return cold_start_fleet.most_within_a_second(self.sent)
