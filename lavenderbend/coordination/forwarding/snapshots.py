"""The newest snapshot of the store, and the age of the proof that it is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import read_order
from lavenderbend.coordination.forwarding import removals
from lavenderbend.coordination.forwarding import store_reads
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding

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
NEVER = float('-inf')

READS = metrics.counter(
    'lavenderbend_forward_store_reads_total',
    "Reads of the platform's store, by outcome.",
)
REUSED = metrics.counter(
    'lavenderbend_forward_store_revisions_reused_total',
    'Items that were read with the revision of an earlier, different value.',
)
VERSION = metrics.gauge(
    'lavenderbend_forward_table_version',
    'Version of the configuration in force.',
)


def suspension_clock() -> float:
    """Returns the seconds of a clock that includes time of suspension.

    The monotonic clock stops while the VM is suspended. By that clock a resumed
    router would take its configuration for fresh and accept a credential that
    was revoked meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
        was_outdated: Whether the last read was older than `current`.
    """

    def __init__(
        self,
        source: interfaces.SnapshotSource,
        settings: FollowSettings,
        rng: random.Random,
        clock: Callable[[], float] = suspension_clock,
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
        self.was_outdated = False

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
        if self.failures and self.retry_at > self.clock() + within:
            # No read is due within that time: the caller need not wait.
            return self.age < seconds
        with trio.move_on_after(within):
            while self.age >= seconds:
                self.read_requested.set()
                await self.proved.wait()
        return self.age < seconds

    async def run(self) -> None:
        """Reads the store whenever no other router has read it in time."""
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
            raw = await self.read_raw()
            snapshot = self.decode(raw)
        except errors.KeyValueError as exc:
            self.note_failure(exc)
            return
        except errors.CodecError as exc:
            READS.inc({'outcome': 'unreadable'})
            logs.change('store_unreadable', cause=str(exc))
            self.delay_retry()
            return
        outdated = self.is_outdated(snapshot)
        READS.inc({'outcome': 'outdated' if outdated else 'answered'})
        if outdated and not self.was_outdated:
            logs.change(
                'store_outdated',
                revision=snapshot.revision,
                known_revision=self.current.revision,
                age=round(self.age, 3),
            )
        self.was_outdated = outdated
        if self.failures:
            logs.change('store_regained', failures=self.failures)
        self.failures = 0
        self.note_answered(self.clock())
        self.note_reused_revisions(raw)
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
        # A peer may have proved that nothing changed up to a later revision.
        known = attrs.evolve(current.raw, revision=current.revision)
        return await store_reads.read_changes(self.source, known)

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns the decoded snapshot, or the one in force if unchanged."""
        current = self.current
        if current is not None and raw.digest == current.digest:
            return attrs.evolve(current, revision=raw.revision, raw=raw)
        return self.source.decode(raw)

    def note_failure(self, cause: errors.KeyValueError) -> None:
        """Records that the store did not answer."""
        READS.inc({'outcome': 'failed'})
        if not self.failures:
            logs.change('store_lost', cause=str(cause), age=round(self.age, 3))
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
            return
        current = self.current
        self.removals.note(current and current.raw, snapshot.raw)
        if current is None or snapshot.digest != current.digest:
            self.retain_lapsed(snapshot)
            self.current = snapshot
            self.notify_change(snapshot)
        else:
            self.current = snapshot
        self.prove(proved_at)

    def is_outdated(self, snapshot: forwarding.Snapshot) -> bool:
        """Returns whether a newer snapshot is present."""
        current = self.current
        return current is not None and snapshot.revision < current.revision

    def note_reused_revisions(self, raw: forwarding.RawSnapshot) -> None:
        """Logs items that differ from those known of the same revision."""
        if self.current is None:
            return
        for key, known in self.current.raw.items.items():
            item = raw.items.get(key)
            if item is None or item.revision != known.revision:
                continue
            if item.value != known.value:
                REUSED.inc({})
                logs.change(
                    'store_revision_reused', key=key, revision=item.revision
                )

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
        version = 0 if snapshot.table is None else snapshot.table.version
        VERSION.set({}, version)
        logs.change(
            'snapshot_changed',
            revision=snapshot.revision,
            version=version,
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
