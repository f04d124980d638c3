"""The newest snapshot of the store, and how lately it was the newest."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import reading_turns
from lavenderbend.coordination.forwarding import removals
from lavenderbend.coordination.forwarding import store_reads
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding

# a version must be in force on all routers within `apply_seconds`: a read may
# be due, fail once and be made again within it
READ_PART = 0.4
# routers that share what they read take turns, so that one read serves all;
# each has had its turn after this part
TURNS_PART = 0.35
# an entry that lapsed while the store was away is back within two seconds
REGISTER_SECONDS = 2.2
# a store that answered no router for the longest pause between reads, and this,
# was away
AWAY_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
# while the store is away a few routers try it often and the others seldom: a
# hundred a second would only find out sooner what one tells all
FEW_READERS = 8
MANY_RETRY_SECONDS = 6.0
# a credential is refused this long before its revocation must be in force
REVOCATION_MARGIN_SECONDS = 0.4
NEVER = float('-inf')

READS = metrics.counter(
    'lavenderbend_forward_store_reads_total',
    "Reads of the platform's store, by outcome.",
)
VERSION = metrics.gauge(
    'lavenderbend_forward_table_version',
    'Version of the configuration in force.',
)


def suspension_clock() -> float:
    """Returns seconds of a clock that counts while the VM is suspended.

    The steady clock stands still meanwhile: a router that wakes would take
    its configuration for fresh and serve a credential that was taken away.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen
class FollowSettings:
    """How the store is followed.

    Attributes:
        apply_seconds: An accepted version is in force after this.
        revocation_seconds: A credential that was taken away is not served
            longer than this, 0 to serve by the version in force.
    """

    apply_seconds: float = 2.0
    revocation_seconds: float = 0.0


class Snapshots:
    """Follows the platform's store.

    A snapshot that was read, or confirmed by a peer that has read, is
    known to have been the newest at some moment: the one at which that read
    was *sent*. Freshness counts from there.

    Attributes:
        current: The newest snapshot, None before the first read.
        proved_at: Moment, by the suspension clock, at which `current` is
            known to have been the newest.
        answered_at: Latest moment, by the same clock, at which the store is
            known to have answered any router, whatever it told.
        back_at: When it was found to answer again after it had been away.
        kept: Upstreams missing from `current` that may only have lapsed
            while the store was away, and until when they are kept.
        removals: What is gone, for routers that know an earlier snapshot.
        reading_place: Returns this router's place in the order in which
            routers read, 0 for the first.
        on_change: Called with each new snapshot.
        on_proof: Called when this router has read the store itself.
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
        self.back_at = NEVER
        self.kept: dict[str, tuple[forwarding.Upstream, float]] = {}
        self.removals = removals.Removals()
        self.reading_place: Callable[[], int] = lambda: 0
        self.on_change: list[Callable[[forwarding.Snapshot], None]] = []
        self.on_proof: list[Callable[[], None]] = []
        self.wanted = trio.Event()
        self.proved = trio.Event()
        self.failures = 0
        self.retry_at = NEVER
        self.turn_seconds = 0.0

    @property
    def age(self) -> float:
        """Seconds since `current` is known to have been the newest."""
        return self.clock() - self.proved_at

    @property
    def away_seconds(self) -> float:
        """Time without an answer to anybody from which the store was away.

        Under it an entry that is missing is gone: its upstream has left
        without a word, and gets nothing new.
        """
        longest = (READ_PART + TURNS_PART) * self.settings.apply_seconds
        return longest + AWAY_SECONDS

    @property
    def table(self) -> forwarding.ForwardingTable | None:
        """The configuration in force, None if there is none."""
        return None if self.current is None else self.current.table

    def may_serve_credentials(self) -> bool:
        """Returns whether a credential may still be what the table says."""
        bound = self.settings.revocation_seconds
        if bound == 0.0:
            return True
        return self.age < bound - REVOCATION_MARGIN_SECONDS

    async def wait_fresh(self, seconds: float, within: float) -> bool:
        """Waits until the snapshot is younger than `seconds`.

        Args:
            seconds: Age that is fresh enough.
            within: Seconds to wait at most.

        Returns:
            Whether it is.
        """
        if self.failures and self.retry_at > self.clock() + within:
            # nothing is known to come: the caller hears of it now
            return self.age < seconds
        with trio.move_on_after(within):
            while self.age >= seconds:
                self.wanted.set()
                await self.proved.wait()
        return self.age < seconds

    async def run(self) -> None:
        """Reads the store whenever nobody else has for a while."""
        while True:
            delay = self.due() - self.clock()
            if delay > 0:
                await self.wait_wanted(delay)
                if not self.wanted.is_set():
                    continue
            self.wanted = trio.Event()
            await self.read()

    async def wait_wanted(self, seconds: float) -> None:
        """Waits so long, or until a request needs to know now.

        After a read that failed no request is a reason for another one: a
        store that is away would get as many calls as callers send requests.
        """
        with trio.move_on_after(seconds):
            if self.failures:
                self.wanted = trio.Event()
                await self.proved.wait()
            else:
                await self.wanted.wait()

    def due(self) -> float:
        """Returns the moment of the next read, by the suspension clock."""
        interval = READ_PART * self.settings.apply_seconds
        turn = self.proved_at + interval + self.turn_seconds
        # another router reaches a store that turned this one away
        return max(turn, self.retry_at) if self.failures else turn

    def draw_turn(self) -> None:
        """Notes how long this router lets others read before it."""
        self.turn_seconds = reading_turns.wait_seconds(
            self.reading_place(),
            TURNS_PART * self.settings.apply_seconds,
            self.rng.random(),
        )

    async def read(self) -> None:
        """Reads the store once."""
        sent_at = self.clock()
        try:
            raw = await self.read_raw()
            snapshot = self.decoded(raw)
        except errors.KeyValueError as exc:
            self.note_failure(exc)
            return
        except errors.CodecError as exc:
            READS.inc({'outcome': 'unreadable'})
            logs.change('store_unreadable', cause=str(exc))
            self.delay_retry()
            return
        READS.inc({'outcome': 'answered'})
        if self.failures:
            logs.change('store_regained', failures=self.failures)
        self.failures = 0
        self.note_answered(self.clock())
        self.accept(snapshot, sent_at)
        for callback in self.on_proof:
            callback()

    async def read_raw(self) -> forwarding.RawSnapshot:
        """Returns what the store holds.

        Raises:
            KeyValueError: It did not answer.
        """
        current = self.current
        if current is None:
            return await self.source.read()
        # a peer may have shown that nothing changed up to a later revision
        known = attrs.evolve(current.raw, revision=current.revision)
        return await store_reads.read_again(self.source, known)

    def decoded(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns a snapshot; the one in force if nothing has changed."""
        current = self.current
        if current is not None and raw.digest == current.digest:
            return attrs.evolve(current, revision=raw.revision, raw=raw)
        return self.source.decode(raw)

    def note_failure(self, cause: errors.KeyValueError) -> None:
        """Notes that the store did not answer."""
        READS.inc({'outcome': 'failed'})
        if not self.failures:
            logs.change('store_lost', cause=str(cause), age=round(self.age, 3))
        self.delay_retry()

    def delay_retry(self) -> None:
        """Puts the next read off, the longer the more reads failed."""
        self.failures += 1
        delay = FIRST_RETRY_SECONDS * 2.0 ** min(self.failures - 1, 4)
        delay = min(delay, MAX_RETRY_SECONDS)
        if self.reading_place() >= FEW_READERS:
            delay = MANY_RETRY_SECONDS
        self.retry_at = self.clock() + self.rng.uniform(0.5, 1.0) * delay

    def accept(self, snapshot: forwarding.Snapshot, proved_at: float) -> None:
        """Takes a snapshot over, unless a newer one is known.

        Args:
            snapshot: From the store or a peer.
            proved_at: Moment at which it is known to have been the newest.
        """
        current = self.current
        if current is not None and snapshot.revision < current.revision:
            return
        self.removals.note(current and current.raw, snapshot.raw)
        if current is None or snapshot.digest != current.digest:
            self.keep_lapsed(snapshot)
            self.current = snapshot
            self.tell_change(snapshot)
        else:
            self.current = snapshot
        self.prove(proved_at)

    def note_answered(self, at: float) -> None:
        """Notes that the store answered some router.

        Args:
            at: Moment by the suspension clock.
        """
        if at <= self.answered_at:
            return
        gap = at - self.answered_at
        if self.current is not None and gap > self.away_seconds:
            self.back_at = self.clock()
        self.answered_at = at

    def prove(self, proved_at: float) -> None:
        """Notes that `current` was the newest at a moment."""
        if proved_at <= self.proved_at:
            return
        self.proved_at = proved_at
        self.draw_turn()
        self.proved.set()
        self.proved = trio.Event()

    def tell_change(self, snapshot: forwarding.Snapshot) -> None:
        """Tells of a new snapshot."""
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

    def keep_lapsed(self, snapshot: forwarding.Snapshot) -> None:
        """Keeps upstreams whose entries may only have lapsed.

        While the store is away upstreams cannot renew their entries. A
        router that took a whole service for gone at the store's return
        would refuse everything until they are back. That this router's own
        picture is old shows no such thing: its reads may be slow.
        """
        now = self.clock()
        # an id that is listed with a later start has not lapsed: its earlier
        # start is gone
        listed = {upstream.vm.id for upstream in snapshot.upstreams.values()}
        self.kept = {
            instance: (upstream, until)
            for instance, (upstream, until) in self.kept.items()
            if until > now and upstream.vm.id not in listed
        }
        until = self.back_at + REGISTER_SECONDS
        if self.current is None or until <= now:
            return
        for instance, upstream in self.current.upstreams.items():
            if upstream.vm.id not in listed:
                self.kept[instance] = (upstream, until)
                logs.change('upstream_lapsed', upstream=instance)
