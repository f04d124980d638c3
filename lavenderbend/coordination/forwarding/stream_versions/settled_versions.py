"""Services of which a stream's key alone tells the software that began it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import store_writers
from lavenderbend.coordination.forwarding.stream_versions import drawn_versions
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import (
        directory as directory_module,
    )
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.state import forwarding

# Beyond the longest time that a rule allows, for what upstreams whose entries
# are gone still send.
MARGIN_SECONDS = 3.0
# A router that did not see the store for this long may have missed a version.
MAX_UNSEEN_SECONDS = 4.0
CHECK_SECONDS = 0.5
# While streams begin elsewhere than drawn, that is recorded again after this
# part of the time for which no stream may have done so.
REPEAT_FRACTION = 0.5
# A stream that begins elsewhere than drawn waits this long for the store to
# take the record back.
VOID_SECONDS = 0.1

# What was written shows in the snapshot within this time; until then it is not
# written again.
SHOWN_SECONDS = 2.0

NEVER = float('-inf')
# From no proof of freshness to the first one.
FIRST_GAP = float('inf')

# Contents of records.
ONLY = 'only '
DRAWN = 'drawn '
UNSETTLED = ''
# Follows what a record says; the first era is left out.
ERA_SUFFIX = '\nera {}'

WRITES = metrics.counter(
    'lavenderbend_forward_version_record_writes_total',
    'Records of settled versions that this router wrote, by outcome.',
)
NOT_AS_DRAWN = metrics.counter(
    'lavenderbend_forward_streams_not_as_drawn_total',
    'Streams that began at another version than the one drawn for them.',
)


class Settled(enum.Enum):
    """What tells the software that began the streams of a service."""

    ONLY = 'it has run one version for longer than a stream lasts'
    DRAWN = 'all streams begin at the version drawn for them'
    NOT = 'the routers that were told'


@attrs.frozen
class Observation:
    """What the entries of a service's upstreams show.

    Attributes:
        versions: Their versions, those of leaving ones too.
        software_id: The software of one of them.
        content: Content of a record that agrees with them.
        since: Router clock since which it does.
    """

    versions: frozenset[str]
    software_id: int
    content: str
    since: float


class SettledVersions:
    """Knows of which services a stream's key tells the software, for sure.

    A router that was restarted knows nothing of the streams before, and cannot
    tell by itself whether a service ran another version a moment ago. The
    store can, and a router reads it before it serves. Routers record that a
    service has run one version, or that all its streams began at the version
    drawn for them among the same upstreams, once that has been so for longer
    than any stream lasts. The record agrees with the entries of upstreams or
    is void: a second version, or among several any other upstream, voids it
    at once, and it is taken back so that it cannot hold again. A stream that
    begins elsewhere than drawn has it taken back first.

    Attributes:
        snapshots: The contents of the store.
        store: Takes the records.
        draws: Draws the version of a stream.
        records: Records of the latest snapshot, by service.
        record_seen: Router clock at which each record was first seen.
        observed: What the entries of upstreams show, by service.
        settled: What tells the software of streams, by service.
        on_unsettled: Called when a service is settled no more.
        unsettled_at: Router clock at which one was last.
        only: The software of the services that have run one version.
        not_as_drawn: Router clock at which a stream of a service last began
            elsewhere than drawn at this router.
        written_at: Router clock of the last write, by service.
        earlier_build_at: Router clock of the last message of a router whose
            build draws no versions.
        changed: Services whose entries may have shown something else since
            this router started.
        void_revisions: Revisions of records that did not agree with the
            entries, by service.
        void_since: Router clock at which that was first seen, by service.
        to_void: Services whose record is to be taken back.
        table: The configuration that `seconds` is of.
        seconds: How long a stream may last, by service that has any.
        era: Era of the latest snapshot.
        proved_before: Time of the proof of freshness at the last check, by the
            suspension clock.
    """

    def __init__(
        self,
        snapshots: snapshots_module.Snapshots,
        store: interfaces.VersionRecordStore,
        directory: directory_module.Directory,
    ) -> None:
        self.snapshots = snapshots
        self.store = store
        self.draws = drawn_versions.DrawnVersions(directory)
        self.records: Mapping[str, forwarding.VersionRecord] = {}
        self.record_seen: dict[str, float] = {}
        self.observed: dict[str, Observation] = {}
        self.settled: dict[str, Settled] = {}
        self.on_unsettled: Callable[[], None] = lambda: None
        self.unsettled_at = NEVER
        self.only: dict[str, int] = {}
        self.not_as_drawn: dict[str, float] = {}
        self.written_at: dict[str, float] = {}
        self.earlier_build_at = NEVER
        self.changed: set[str] = set()
        self.void_revisions: dict[str, int] = {}
        self.void_since: dict[str, float] = {}
        self.to_void: set[str] = set()
        self.table: forwarding.ForwardingTable | None = None
        self.seconds: dict[str, float] = {}
        self.era = 0
        self.proved_before = NEVER
        snapshots.on_change.append(self.apply_snapshot)

    def state(self, service: str) -> Settled:
        """Returns what tells the software that began a service's streams."""
        return self.settled.get(service, Settled.NOT)

    def software_id(
        self, service: str, regions: frozenset[str] | None, key: str
    ) -> int | None:
        """Returns the software that began a stream, None if not for sure.

        Args:
            service: The service.
            regions: The regions that it may run in, None for all.
            key: What its version is drawn by, empty if that is not known.
        """
        if self.state(service) is Settled.ONLY:
            return self.only[service]
        if self.state(service) is Settled.DRAWN and key:
            return self.draws.software_id(service, regions, key)
        return None

    def is_only(self, software_id: int) -> bool:
        """Returns whether a software began all streams of its service."""
        return software_id in self.only.values()

    def runs_one_version(self, service: str) -> bool:
        """Returns whether the entries of a service show a single version."""
        return len(self.versions(service)) == 1

    def versions(self, service: str) -> list[str]:
        """Returns the versions that a service runs."""
        observation = self.observed.get(service)
        return [] if observation is None else sorted(observation.versions)

    def unsettled_within(self, seconds: float) -> bool:
        """Returns whether a service that was settled ceased to be lately."""
        return trio.current_time() - self.unsettled_at < seconds

    def runs(self, service: str, software_id: int) -> bool:
        """Returns whether any upstream of a service runs a software."""
        return any(
            upstream.software_id == software_id
            for upstream in self.upstreams()
            if upstream.vm.service == service
        )

    def software_name(self, software_id: int | None) -> str:
        """Returns the version of a software, empty if no upstream runs it."""
        for upstream in self.upstreams():
            if upstream.software_id == software_id:
                return upstream.software
        return ''

    def upstreams(self) -> Iterator[forwarding.Upstream]:
        """Yields all upstreams, leaving ones and those whose entry lapsed."""
        if self.snapshots.current is not None:
            yield from self.snapshots.current.upstreams.values()
        for upstream, _ in self.snapshots.retained.values():
            yield upstream

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the records and the upstreams of a snapshot."""
        now = trio.current_time()
        for service, record in snapshot.version_records.items():
            if self.records.get(service) != record:
                self.record_seen[service] = now
        self.records = snapshot.version_records
        if snapshot.era != self.era:
            self.void_revisions.clear()
        self.era = snapshot.era
        self.draws.apply_snapshot(snapshot)
        self.observe()
        self.note_void()
        self.update_settled()

    def note_void(self) -> None:
        """Remembers the records that do not agree with the entries.

        Such a record may agree again, as when a release is rolled back, while
        streams that began meanwhile still run.
        """
        for service, record in self.records.items():
            observation = self.observed.get(service)
            if observation is None or record.content == UNSETTLED:
                continue
            if record.content == observation.content:
                continue
            if self.void_revisions.get(service) != record.revision:
                self.void_revisions[service] = record.revision
                self.void_since[service] = trio.current_time()

    def observe(self) -> None:
        """Updates what the entries of each service's upstreams show."""
        versions: dict[str, set[str]] = {}
        software_ids: dict[str, int] = {}
        for upstream in self.upstreams():
            names = versions.setdefault(upstream.vm.service, set())
            names.add(upstream.software)
            software_ids[upstream.vm.service] = upstream.software_id
        if self.snapshots.age > MAX_UNSEEN_SECONDS:
            self.changed |= self.observed.keys()
            self.observed = {}
        before = self.observed
        self.observed = {}
        now = trio.current_time()
        for service, names in versions.items():
            content = self.agreeing_content(service, names)
            seen = before.get(service)
            since = now
            if seen is not None and seen.content == content:
                since = seen.since
            elif seen is not None:
                self.changed.add(service)
            self.observed[service] = Observation(
                frozenset(names), software_ids[service], content, since
            )

    def observe_anew(self) -> None:
        """Drops for how long the entries have shown what they show."""
        now = trio.current_time()
        self.observed = {
            service: attrs.evolve(observation, since=now)
            for service, observation in self.observed.items()
        }

    def agreeing_content(self, service: str, versions: set[str]) -> str:
        """Returns the content of a record that agrees with the entries.

        A record holds in the era in which it was written: the store may come
        back from a copy without what took it back.
        """
        suffix = ERA_SUFFIX.format(self.era) if self.era else ''
        if len(versions) == 1:
            return ONLY + next(iter(versions)) + suffix
        return DRAWN + self.draws.digest(service) + suffix

    def update_settled(self) -> None:
        """Updates which services are settled, and logs what changed."""
        before = self.settled
        self.settled = {
            service: self.judge(service, observation)
            for service, observation in self.observed.items()
        }
        self.only = {
            service: self.observed[service].software_id
            for service, state in self.settled.items()
            if state is Settled.ONLY
        }
        for service, state in self.settled.items():
            if before.get(service, Settled.NOT) is not state:
                logs.change(
                    'stream_versions_changed',
                    service=service,
                    told_by=state.name.lower(),
                    versions=self.versions(service),
                )
        if any(
            state is not Settled.NOT and self.state(service) is Settled.NOT
            for service, state in before.items()
        ):
            self.unsettled_at = trio.current_time()
            self.on_unsettled()

    def judge(self, service: str, observation: Observation) -> Settled:
        """Returns what tells the software that began a service's streams."""
        record = self.records.get(service)
        if record is None or record.content != observation.content:
            return Settled.NOT
        if record.revision == self.void_revisions.get(service):
            return Settled.NOT
        if observation.content.startswith(ONLY):
            return Settled.ONLY
        return Settled.NOT if self.departed(service) else Settled.DRAWN

    def departed(self, service: str) -> bool:
        """Returns whether a stream may have begun not as drawn lately."""
        seconds = self.stream_seconds().get(service, 0.0)
        return trio.current_time() - self.departed_at(service) < seconds

    def departed_at(self, service: str) -> float:
        """Returns when a stream last began not as drawn, for all known here.

        Routers of an earlier build draw none, and take no record back.
        """
        at = self.not_as_drawn.get(service, NEVER)
        return max(at, self.earlier_build_at)

    def note_earlier_build(self) -> None:
        """Records that a router whose build draws no versions is alive."""
        self.earlier_build_at = trio.current_time()

    async def note_not_as_drawn(self, service: str) -> None:
        """Takes the record of a service back before a stream begins.

        The stream begins all the same if the store does not answer.
        """
        NOT_AS_DRAWN.inc({})
        now = trio.current_time()
        self.not_as_drawn[service] = now
        was_settled = self.state(service) is Settled.DRAWN
        self.update_settled()
        if not was_settled and self.was_voided_lately(service):
            return
        self.to_void.add(service)
        if was_settled:
            with trio.move_on_after(VOID_SECONDS):
                await self.void(service)

    def was_voided_lately(self, service: str) -> bool:
        """Returns whether a record need not be taken back once more."""
        record = self.records.get(service)
        if record is None or record.content != UNSETTLED:
            return False
        age = trio.current_time() - self.record_seen[service]
        return age < REPEAT_FRACTION * self.stream_seconds().get(service, 0.0)

    async def void(self, service: str) -> None:
        """Takes the record of a service back."""
        if await self.write(service, UNSETTLED):
            self.to_void.discard(service)

    async def run(self) -> None:
        """Writes the records that are due."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            if self.may_have_missed():
                self.observe_anew()
                continue
            self.update_settled()
            for service in sorted(self.to_void):
                await self.void(service)
            for service, content in self.due():
                # another router may have unsettled the service meanwhile
                if (service, content) in self.due():
                    await self.write(service, content)

    def may_have_missed(self) -> bool:
        """Returns whether a version may have come and gone unseen.

        After a suspension the proof of freshness may be young again by now.
        """
        before = self.proved_before
        self.proved_before = self.snapshots.proved_at
        gap = self.proved_before - before
        return (
            self.snapshots.age > MAX_UNSEEN_SECONDS
            or MAX_UNSEEN_SECONDS < gap < FIRST_GAP
        )

    def due(self) -> list[tuple[str, str]]:
        """Returns the services whose record is to be written, and as what."""
        wait = store_writers.wait_seconds(self.snapshots)
        # A void record holds again once the upstreams that void it are gone.
        urgent = store_writers.wait_seconds(
            self.snapshots, store_writers.URGENT_POSITION_SECONDS
        )
        now = trio.current_time()
        due = []
        for service in self.stream_seconds():
            observation = self.observed.get(service)
            if observation is None:
                continue
            content, since = self.wanted(service, observation)
            record = self.records.get(service)
            if record is not None and record.content == content:
                continue
            shown = now - self.written_at.get(service, NEVER) >= SHOWN_SECONDS
            settles = content != UNSETTLED or record is None
            if shown and now - since >= (wait if settles else urgent):
                due.append((service, content))
        return due

    def wanted(
        self, service: str, observation: Observation
    ) -> tuple[str, float]:
        """Returns what a record should say, and since when it is due.

        What was not recorded before is unsettled for as long as a stream
        lasts. A service of which the store has no record yet is new to the
        routers: no stream of another version began there.
        """
        record = self.records.get(service)
        if record is None:
            new = service not in self.changed and not self.mistrusts(
                service, observation
            )
            return observation.content if new else UNSETTLED, observation.since
        if record.revision == self.void_revisions.get(service):
            return UNSETTLED, self.void_since[service]
        mistrusted = self.mistrusts(service, observation)
        if record.content == observation.content and not mistrusted:
            return record.content, observation.since
        settles_at = (
            self.quiet_since(service, observation)
            + self.stream_seconds()[service]
        )
        if record.content == UNSETTLED and settles_at <= trio.current_time():
            return observation.content, settles_at
        return UNSETTLED, observation.since

    def mistrusts(self, service: str, observation: Observation) -> bool:
        """Returns whether draws are not certain although upstreams are."""
        if observation.content.startswith(ONLY):
            return False
        return self.departed(service)

    def quiet_since(self, service: str, observation: Observation) -> float:
        """Returns since when nothing has spoken against settling a service."""
        if observation.content.startswith(ONLY):
            # others may have seen a version that came and went unseen here
            return max(observation.since, self.record_seen.get(service, NEVER))
        # Others write no more often than this that a stream began not as
        # drawn.
        repeat = REPEAT_FRACTION * self.stream_seconds()[service]
        return max(
            observation.since,
            self.record_seen.get(service, NEVER) + repeat,
            self.departed_at(service),
        )

    def stream_seconds(self) -> dict[str, float]:
        """Returns how long a stream may last, by service that has any."""
        table = self.snapshots.table
        if table is not self.table:
            self.table = table
            self.seconds = longest_streams(table)
        return self.seconds

    async def write(self, service: str, content: str) -> bool:
        """Writes the record of a service; returns whether it was written."""
        self.written_at[service] = trio.current_time()
        record = self.records.get(service)
        revision = 0 if record is None else record.revision
        try:
            written = await self.store.write_version_record(
                service, revision, content
            )
        except errors.KeyValueError as exc:
            WRITES.inc({'outcome': 'failed'})
            logs.change(
                'version_record_failed', service=service, cause=str(exc)
            )
            return False
        WRITES.inc({'outcome': 'written' if written else 'changed meanwhile'})
        return written


def longest_streams(
    table: forwarding.ForwardingTable | None,
) -> dict[str, float]:
    """Returns how long a stream may last, by service that has any."""
    seconds: dict[str, float] = {}
    for rule in () if table is None else table.rules:
        if not rule.then.resumable:
            continue
        for share in rule.then.pools:
            seconds[share.pool] = max(
                rule.then.timeout + MARGIN_SECONDS,
                seconds.get(share.pool, 0.0),
            )
    return seconds
