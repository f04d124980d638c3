"""The newest snapshot of the store, and the age of the proof that it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import clocks
from lavenderbend.coordination.forwarding import read_order
from lavenderbend.coordination.forwarding import removals
from lavenderbend.coordination.forwarding import store_reads
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination.forwarding import interfaces

# Interval between reads as a fraction of `apply_seconds`. A version must be in
# force on all routers within `apply_seconds`, even if a read fails once and is
# repeated.
READ_INTERVAL_FRACTION = 0.4
# Routers share what they read and read in order, so that one read serves all.
# After this fraction of `apply_seconds` beyond the interval all have been due.
READ_ORDER_FRACTION = 0.35
# An entry that lapsed during a store outage is registered again within two
# seconds.
REREGISTRATION_SECONDS = 2.2
# A store that answered no router for the longest time between reads plus this
# margin had an outage.
OUTAGE_MARGIN_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
# During a store outage only this many routers retry often: a hundred retries a
# second would detect no earlier what one router sends to all others.
FREQUENT_RETRY_ROUTERS = 8
INFREQUENT_RETRY_SECONDS = 6.0
# Credentials are refused this long before a revocation must be in force.
REVOCATION_MARGIN_SECONDS = 0.4
# Time for other routers to answer a router that starts.
FIRST_CONTACT_SECONDS = 0.05
# A store that does not name its era is read whole this often.
WHOLE_READ_SECONDS = 10.0
NEVER = float('-inf')

READS = metrics.counter(
    'lavenderbend_forward_store_reads_total',
    "Reads of the platform's store, by outcome.",
)
ERA = metrics.gauge(
    'lavenderbend_forward_store_era',
    'How often the store has come back from a copy of its content.',
)
VERSION = metrics.gauge(
    'lavenderbend_forward_table_version',
    'Version of the configuration in force.',
)


@attrs.frozen
class FollowSettings:
    """How the store is followed.

    Attributes:
        apply_seconds: Time within which an accepted version is in force.
        revocation_seconds: Time after which a revoked credential is no longer
            accepted, 0 to go by the version in force however old it is.
    """

    apply_seconds: float = 2.0
    revocation_seconds: float = 0.0


class Snapshots:
    """Follows the platform's store.

    A snapshot that was read, or confirmed by a peer that has read, is known to
    have been the newest at the time at which that read was *sent*. This is its
    proof of freshness, and its age counts from there.

    Attributes:
        current: The newest snapshot, None before the first read.
        proved_at: Time, by the suspension clock, at which `current` is known
            to have been the newest.
        answered_at: Latest time, by the same clock, at which the store is
            known to have answered any router, whatever the content.
        recovered_at: Time at which it was seen to answer again after an
            outage.
        retained: Upstreams missing from `current` whose entries may only have
            lapsed during an outage, and the time until which they are
            retained.
        removals: Removed keys, for routers with an earlier snapshot.
        read_position: Returns this router's position in the order in which
            routers read, 0 for the first.
        on_change: Called with each new snapshot.
        on_proof: Called when this router has read the store itself.
        read_requested: Set when a request needs a fresher snapshot.
        proved: Set, and replaced, at each newer proof.
        failures: Reads that failed in a row.
        retry_at: Time before which a failed read is not repeated.
        read_delay_seconds: Time for which this router lets others read first.
        first_contact: Set once another router was asked for its snapshot.
        learned_at: Time at which the revision of `current` became known.
        era_unnamed: Whether the store does not name its era.
        whole_read_at: Time from which on such a store is read whole again.
    """

    def __init__(
        self,
        source: interfaces.SnapshotSource,
        settings: FollowSettings,
        rng: random.Random,
        clock: Callable[[], float] = clocks.suspension_clock,
    ) -> None:
        self.source = source
        self.settings = settings
        self.rng = rng
        self.clock = clock
        self.current: forwarding.Snapshot | None = None
        self.proved_at = NEVER
        self.answered_at = NEVER
        self.recovered_at = NEVER
        self.retained: dict[str, tuple[forwarding.Upstream, float]] = {}
        self.removals = removals.Removals()
        self.read_position: Callable[[], int] = lambda: 0
        self.on_change: list[Callable[[forwarding.Snapshot], None]] = []
        self.on_proof: list[Callable[[], None]] = []
        self.read_requested = trio.Event()
        self.proved = trio.Event()
        self.failures = 0
        self.retry_at = NEVER
        self.read_delay_seconds = 0.0
        self.first_contact = trio.Event()
        self.learned_at = NEVER
        self.era_unnamed = False
        self.whole_read_at = NEVER

    @property
    def age(self) -> float:
        """Seconds since `current` is known to have been the newest."""
        return self.clock() - self.proved_at

    @property
    def outage_seconds(self) -> float:
        """Time without an answer to any router that counts as an outage.

        After a shorter time a missing entry means that its upstream has left
        without notice; it gets no new requests.
        """
        longest = (
            READ_INTERVAL_FRACTION + READ_ORDER_FRACTION
        ) * self.settings.apply_seconds
        return longest + OUTAGE_MARGIN_SECONDS

    @property
    def table(self) -> forwarding.ForwardingTable | None:
        """The configuration in force, None if there is none."""
        return None if self.current is None else self.current.table

    def may_serve_credentials(self) -> bool:
        """Returns whether the table is fresh enough to accept credentials."""
        max_age = self.settings.revocation_seconds
        if max_age == 0.0:
            return True
        return self.age < max_age - REVOCATION_MARGIN_SECONDS

    async def wait_fresh(self, seconds: float, within: float) -> bool:
        """Waits until the snapshot is younger than `seconds`.

        Args:
            seconds: Age that is fresh enough.
            within: Maximum wait in seconds.

        Returns:
            Whether the snapshot is that young.
        """
        return await self.wait_for_proof(lambda: self.age < seconds, within)

    async def wait_proved_since(self, since: float, within: float) -> bool:
        """Waits until the snapshot is known to have been the newest later.

        Args:
            since: Time by the suspension clock.
            within: Maximum wait in seconds.

        Returns:
            Whether it was the newest at that time or later.
        """
        return await self.wait_for_proof(
            lambda: self.proved_at >= since, within
        )

    async def wait_for_proof(
        self, suffices: Callable[[], bool], within: float
    ) -> bool:
        """Waits for a newer proof; returns whether one suffices."""
        if self.failures and self.retry_at > self.clock() + within:
            # No read is due within that time: the caller need not wait.
            return suffices()
        with trio.move_on_after(within):
            while not suffices():
                self.read_requested.set()
                await self.proved.wait()
        return suffices()

    async def run(self) -> None:
        """Reads the store whenever no other router has read it in time.

        The first time it lets other routers tell what they know: the store may
        show an earlier configuration than the one in force.
        """
        with trio.move_on_after(FIRST_CONTACT_SECONDS):
            await self.first_contact.wait()
        while True:
            delay = self.next_read_at() - self.clock()
            if delay > 0:
                await self.wait_for_request(delay)
                if not self.read_requested.is_set():
                    continue
            self.read_requested = trio.Event()
            await self.read()

    async def wait_for_request(self, seconds: float) -> None:
        """Waits for `seconds`, or until a request needs a fresher snapshot.

        After a failed read a request does not cause another read: otherwise a
        store in an outage would get as many reads as callers send requests.
        """
        with trio.move_on_after(seconds):
            if self.failures:
                self.read_requested = trio.Event()
                await self.proved.wait()
            else:
                await self.read_requested.wait()

    def next_read_at(self) -> float:
        """Returns the time of the next read, by the suspension clock."""
        interval = READ_INTERVAL_FRACTION * self.settings.apply_seconds
        read_at = self.proved_at + interval + self.read_delay_seconds
        # A store that refuses this router may answer another one, whose proof
        # then postpones the read of this one.
        return max(read_at, self.retry_at) if self.failures else read_at

    def draw_read_delay(self) -> None:
        """Sets for how long this router lets others read first."""
        self.read_delay_seconds = read_order.wait_seconds(
            self.read_position(),
            READ_ORDER_FRACTION * self.settings.apply_seconds,
            self.rng.random(),
        )

    async def read(self) -> None:
        """Reads the store once."""
        sent_at = self.clock()
        try:
            raw = self.with_era(await self.read_raw(), sent_at)
            snapshot = self.decode(raw)
        except errors.KeyValueError as exc:
            self.note_failure(exc)
            return
        except errors.CodecError as exc:
            READS.inc({'outcome': 'unreadable'})
            logs.change('store_unreadable', cause=str(exc))
            self.delay_retry()
            return
        self.note_answered(self.clock())
        if self.is_outdated(snapshot):
            self.note_outdated(snapshot)
            return
        READS.inc({'outcome': 'answered'})
        if self.failures:
            logs.change('store_regained', failures=self.failures)
        self.failures = 0
        self.accept(snapshot, sent_at)
        for callback in self.on_proof:
            callback()

    async def read_raw(self) -> forwarding.RawSnapshot:
        """Returns the content of the store.

        Raises:
            KeyValueError: It did not answer.
        """
        current = self.current
        if current is None:
            return await self.source.read()
        if self.is_whole_read_due():
            return await self.source.read()
        return await store_reads.read_changes(self.source, self.known_raw())

    def known_raw(self) -> forwarding.RawSnapshot:
        """Returns the content of the store at the latest known revision.

        A peer may have proved that nothing changed since it was read.
        """
        return attrs.evolve(self.current.raw, revision=self.current.revision)

    def is_whole_read_due(self) -> bool:
        """Returns whether changes of the store would not suffice.

        A store that does not name its era may have come back from a copy since
        the last read, and have passed the known revision again.
        """
        now = self.clock()
        if not self.era_unnamed or now < self.whole_read_at:
            return False
        self.whole_read_at = now + WHOLE_READ_SECONDS
        return True

    def with_era(
        self, raw: forwarding.RawSnapshot, sent_at: float
    ) -> forwarding.RawSnapshot:
        """Returns a read with its era, which follows from it if unnamed.

        Args:
            raw: The read.
            sent_at: Time at which it was sent.
        """
        if raw.era != forwarding.UNNAMED_ERA:
            return raw
        self.era_unnamed = True
        current = self.current
        if current is None:
            return attrs.evolve(raw, era=0)
        # What another router offered while the read was on its way is later.
        lost = sent_at >= self.learned_at and store_reads.contradicts(
            raw, self.known_raw()
        )
        return attrs.evolve(raw, era=current.era + lost)

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns the decoded snapshot, or the one in force if unchanged."""
        current = self.current
        if (
            current is not None
            and raw.digest == current.digest
            and raw.era == current.era
        ):
            return attrs.evolve(current, revision=raw.revision, raw=raw)
        return self.source.decode(raw)

    def note_failure(self, cause: errors.KeyValueError) -> None:
        """Records that the store did not answer."""
        READS.inc({'outcome': 'failed'})
        if not self.failures:
            logs.change('store_lost', cause=str(cause), age=round(self.age, 3))
        self.delay_retry()

    def note_outdated(self, snapshot: forwarding.Snapshot) -> None:
        """Records that the store answered with less than is known."""
        READS.inc({'outcome': 'outdated'})
        if not self.failures:
            logs.change(
                'store_outdated',
                era=snapshot.era,
                revision=snapshot.revision,
                known_era=self.current.era,
                known_revision=self.current.revision,
                age=round(self.age, 3),
            )
        self.delay_retry()

    def delay_retry(self) -> None:
        """Delays the next read by exponential backoff with jitter."""
        self.failures += 1
        delay = FIRST_RETRY_SECONDS * 2.0 ** min(self.failures - 1, 4)
        delay = min(delay, MAX_RETRY_SECONDS)
        if self.read_position() >= FREQUENT_RETRY_ROUTERS:
            delay = INFREQUENT_RETRY_SECONDS
        self.retry_at = self.clock() + self.rng.uniform(0.5, 1.0) * delay

    def accept(self, snapshot: forwarding.Snapshot, proved_at: float) -> None:
        """Takes over a snapshot, unless a newer one is present.

        Args:
            snapshot: From the store or a peer.
            proved_at: Time at which it is known to have been the newest.
        """
        if self.is_outdated(snapshot):
            self.take_table(snapshot)
            return
        before = self.current
        snapshot = self.with_table_in_force(snapshot)
        if before is not None and before.era != snapshot.era:
            self.note_era(before, snapshot)
        self.removals.note(before and before.raw, snapshot.raw)
        self.learned_at = self.clock()
        if before is None or snapshot.identity != before.identity:
            self.retain_lapsed(snapshot)
            self.current = snapshot
            self.notify_change(snapshot)
        else:
            self.current = snapshot
        self.prove(proved_at)

    def with_table_in_force(
        self, snapshot: forwarding.Snapshot
    ) -> forwarding.Snapshot:
        """Returns a snapshot whose configuration is not older than in force.

        A store that came back from a copy shows an earlier version until the
        operators' later one is written again.
        """
        current = self.current
        if current is None or snapshot.version >= current.version:
            return snapshot
        return self.source.decode(
            self.source.keep_table(snapshot.raw, current.raw)
        )

    def take_table(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the configuration of an earlier snapshot if it is later.

        A router that starts may read an earlier version from a store that came
        back than the one that other routers have in force.
        """
        if snapshot.version <= self.current.version:
            return
        self.current = self.source.decode(
            self.source.keep_table(self.known_raw(), snapshot.raw)
        )
        self.notify_change(self.current)

    def note_era(
        self, before: forwarding.Snapshot, snapshot: forwarding.Snapshot
    ) -> None:
        """Records that the store has come back from a copy.

        What was registered since that copy is registered again, as after an
        outage.
        """
        self.recovered_at = self.clock()
        until = self.recovered_at + REREGISTRATION_SECONDS
        self.retained = {
            instance: (upstream, until)
            for instance, (upstream, _) in self.retained.items()
        }
        logs.change(
            'store_came_back',
            era=snapshot.era,
            revision=snapshot.revision,
            known_era=before.era,
            known_revision=before.revision,
            version=snapshot.version,
            age=round(self.age, 3),
        )

    def raise_revision(self, revision: int) -> None:
        """Records that nothing changed up to a later revision."""
        self.current = attrs.evolve(self.current, revision=revision)
        self.learned_at = self.clock()

    def is_outdated(self, snapshot: forwarding.Snapshot) -> bool:
        """Returns whether a later snapshot is present."""
        current = self.current
        return current is not None and snapshot.position < current.position

    def note_answered(self, at: float) -> None:
        """Records that the store answered some router.

        Args:
            at: Time of the answer by the suspension clock.
        """
        if at <= self.answered_at:
            return
        gap = at - self.answered_at
        if self.current is not None and gap > self.outage_seconds:
            self.recovered_at = self.clock()
        self.answered_at = at

    def prove(self, proved_at: float) -> None:
        """Records a time at which `current` was the newest."""
        if proved_at <= self.proved_at:
            return
        self.proved_at = proved_at
        self.draw_read_delay()
        self.proved.set()
        self.proved = trio.Event()

    def notify_change(self, snapshot: forwarding.Snapshot) -> None:
        """Logs a new snapshot and calls the callbacks."""
        ERA.set({}, snapshot.era)
        VERSION.set({}, snapshot.version)
        logs.change(
            'snapshot_changed',
            era=snapshot.era,
            revision=snapshot.revision,
            version=snapshot.version,
            upstreams=len(snapshot.upstreams),
        )
        for callback in self.on_change:
            callback(snapshot)

    def retain_lapsed(self, snapshot: forwarding.Snapshot) -> None:
        """Retains upstreams whose entries may only have lapsed.

        During a store outage upstreams cannot renew their entries. Without
        this, a router would take all upstreams of a service for gone when the
        store recovers, and refuse every request until they are registered
        again. An old snapshot of this router alone does not prove an outage:
        its own reads may be slow.
        """
        now = self.clock()
        # An id that is listed with a later start has not lapsed: its earlier
        # start is gone.
        listed = {upstream.vm.id for upstream in snapshot.upstreams.values()}
        self.retained = {
            instance: (upstream, until)
            for instance, (upstream, until) in self.retained.items()
            if until > now and upstream.vm.id not in listed
        }
        until = self.recovered_at + REREGISTRATION_SECONDS
        if self.current is None or until <= now:
            return
        for instance, upstream in self.current.upstreams.items():
            if upstream.vm.id not in listed:
                self.retained[instance] = (upstream, until)
                logs.change('upstream_lapsed', upstream=instance)
