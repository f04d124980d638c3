"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

import collections
import contextlib
import math
import random
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.quarantine import crashes
from lavenderbend.coordination.quarantine import records as quarantine_records
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer

QUARANTINE_SECONDS = 900
NOTIFY_TIMEOUT_SECONDS = 0.3
NOTICE_DELAY_SECONDS = 0.02
# interval at which notices of findings without a record are repeated
RESEND_SECONDS = 1.0
# time in which the notices of other routers about a crash arrive
SETTLE_SECONDS = 0.5
# a request that ran longer is less suspect than one that was just sent; the
# same as `AdmissionSettings.suspect_interval`
PROBATION_SECONDS = 1.0

CRASHES = metrics.counter(
    'lavenderbend_request_crashes_total',
    'Requests that were on an upstream when it died.',
)
QUARANTINED = metrics.counter(
    'lavenderbend_quarantined_total', 'Fingerprints put into quarantine.'
)
REFUSED = metrics.counter(
    'lavenderbend_quarantine_refused_total', 'Requests refused by quarantine.'
)


class Quarantine:
    """Detects requests that crash upstreams and refuses them.

    A request is suspect when an upstream crashed while running it. Admission
    sends suspects to different upstreams (`PermitRequest.suspect`). A suspect
    that is running at a second crash, on another upstream and without other
    suspects, is taken as the cause.

    Attributes:
        name: Id of this router.
        records: Findings in the key-value service.
        crash_log: Crashes of upstreams and the requests that were running.
        quarantined_until: Router clock at which the quarantine of each
            fingerprint ends.
        unsent_crashes: Requests of this router at each crash, not yet
            announced to the other routers.
        unjudged: Crashes for which notices may still arrive.
        cleared: Fingerprints cleared here and not yet announced.
        unannounced: Fingerprints quarantined here and not yet announced.
        notices_due: Wakes the task that sends notices.
        crash_recorded: Wakes the task that judges crashes.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        rng: random.Random | None = None,
        prefix: str = quarantine_records.DEFAULT_PREFIX,
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        # seeded by name, so that routers without an own source differ
        self.records = quarantine_records.Records(
            name,
            store,
            rng or random.Random(name),
            self.apply_record,
            QUARANTINE_SECONDS,
            prefix,
        )
        self.crash_log = crashes.CrashLog()
        self.quarantined_until: dict[int, float] = {}
        self.unsent_crashes: dict[crashes.Crash, dict[int, bool]] = (
            collections.defaultdict(dict)
        )
        self.unjudged: list[crashes.Crash] = []
        self.cleared: set[int] = set()
        self.unannounced: set[int] = set()
        self.notices_due = trio.Event()
        self.crash_recorded = trio.Event()
        link.handle(messages_decisions.CrashNotice, self.on_crash)
        link.handle(messages_decisions.Quarantined, self.on_quarantined)
        link.handle(messages_decisions.SuspectCleared, self.on_cleared)

    def check(self, fingerprint: int) -> None:
        """Refuses a quarantined request.

        Raises:
            RequestQuarantined: The request has crashed upstreams before.
        """
        until = self.quarantined_until.get(fingerprint)
        if until is None:
            return
        remaining = until - trio.current_time()
        if remaining <= 0:
            del self.quarantined_until[fingerprint]
            return
        REFUSED.inc({})
        raise errors.RequestQuarantined(
            'the same request has crashed the upstreams that ran it',
            retry_after=round(remaining),
        )

    def suspect(self, fingerprint: int) -> bool:
        """Returns whether an upstream crashed while running the request."""
        return fingerprint in self.crash_log.suspects

    def may_retry(self, fingerprint: int) -> bool:
        """Returns whether another attempt of the request is allowed."""
        if self.quarantined_until.get(fingerprint, 0.0) > trio.current_time():
            return False
        suspect_at = self.crash_log.suspects.get(fingerprint, ())
        unexplained = [
            crash for crash in suspect_at if not self.is_explained(crash)
        ]
        return len(unexplained) < crashes.CRASHES_TO_QUARANTINE

    def is_explained(self, crash: crashes.Crash) -> bool:
        """Returns whether a quarantined request was running at a crash."""
        return any(
            fingerprint in self.quarantined_until
            for fingerprint in self.crash_log.requests_by_crash[crash]
        )

    def survived(self, fingerprint: int) -> None:
        """Records that an upstream ran the request to completion."""
        if not self.crash_log.clear(fingerprint):
            return
        self.cleared.add(fingerprint)
        self.notices_due.set()

    async def crashed(
        self,
        fingerprint: int,
        upstream: str,
        instance: str,
        in_progress: int,
        ran: float = math.inf,
    ) -> None:
        """Records that an upstream crashed while running the request.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: VM id.
            instance: Instance of the process that crashed.
            in_progress: Number of requests of this router that it ran.
            ran: Seconds since the request was sent there.
        """
        short_id = messages_decisions.short_id
        crash = crashes.Crash(short_id(upstream), short_id(instance))
        CRASHES.inc({'upstream': upstream})
        fresh = ran < PROBATION_SECONDS
        self.unsent_crashes[crash][fingerprint] = fresh
        was_quarantined = fingerprint in self.quarantined_until
        self.record_crash(crash, {fingerprint: fresh})
        self.notices_due.set()
        if not was_quarantined and fingerprint in self.quarantined_until:
            await self.notify_all(fingerprint)

    async def wait_notices(self, fingerprint: int) -> None:
        """Waits for notices of other routers before a retry is refused.

        Another router may have sent the request that caused the crashes.
        Without its notice, an innocent request that was running at both
        crashes would not be retried, and its caller would get an error.
        """
        if fingerprint not in self.quarantined_until and not self.may_retry(
            fingerprint
        ):
            await trio.sleep(SETTLE_SECONDS)

    async def notify_all(self, fingerprint: int) -> None:
        """Notifies all routers of a finding before the caller is answered.

        A caller may send the request again as soon as it is refused. A
        router that does not know of the finding would then send it to one
        more engine and crash that too.
        """
        message = messages_decisions.Quarantined(
            fingerprint, QUARANTINE_SECONDS
        )
        with trio.move_on_after(NOTIFY_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for router in self.membership.routers():
                    if router != self.name:
                        nursery.start_soon(self.notify_router, router, message)

    async def notify_router(self, router: str, message: peer.Message) -> None:
        """Notifies one router; after a failure the regular notice follows."""
        with contextlib.suppress(errors.PeerError):
            await self.link.request(router, message, NOTIFY_TIMEOUT_SECONDS)

    def record_crash(
        self, crash: crashes.Crash, fingerprints: dict[int, bool]
    ) -> None:
        """Records requests that were running at a crash."""
        if self.crash_log.record(crash, fingerprints):
            self.unjudged.append(crash)
            self.crash_recorded.set()
        for fingerprint, fresh in fingerprints.items():
            if fresh:
                self.judge(fingerprint, crash)

    def judge(self, fingerprint: int, crash: crashes.Crash) -> None:
        """Quarantines a request if it is the cause of a crash."""
        if fingerprint in self.quarantined_until:
            return
        if self.crash_log.is_cause(fingerprint, crash):
            self.quarantine(fingerprint, QUARANTINE_SECONDS)
            self.unannounced.add(fingerprint)
            self.records.enqueue(fingerprint)

    def judge_settled(self) -> None:
        """Judges crashes whose notices have all had time to arrive."""
        now = trio.current_time()
        for crash in list(self.unjudged):
            if (
                self.crash_log.first_reported_at.get(crash, 0.0)
                > now - SETTLE_SECONDS
            ):
                continue
            self.unjudged.remove(crash)
            for fingerprint in sorted(
                self.crash_log.requests_by_crash.get(crash, {})
            ):
                self.judge(fingerprint, crash)

    def quarantine(self, fingerprint: int, seconds: float) -> None:
        """Puts a request into quarantine."""
        if fingerprint not in self.quarantined_until:
            QUARANTINED.inc({})
            logs.change('quarantined', fingerprint=f'{fingerprint:016x}')
        self.quarantined_until[fingerprint] = trio.current_time() + seconds
        self.notices_due.set()

    async def on_crash(self, router: str, message: peer.Message) -> None:
        """Records the requests of another router at a crash."""
        assert isinstance(message, messages_decisions.CrashNotice)
        crash = crashes.Crash(message.upstream, message.instance)
        fresh = set(message.fresh)
        self.record_crash(
            crash,
            {
                fingerprint: fingerprint in fresh
                for fingerprint in message.fingerprints
            },
        )

    async def on_quarantined(self, router: str, message: peer.Message) -> None:
        """Applies a finding of another router."""
        assert isinstance(message, messages_decisions.Quarantined)
        self.quarantine(message.fingerprint, message.seconds)

    async def on_cleared(self, router: str, message: peer.Message) -> None:
        """Clears suspects that an upstream ran to completion."""
        assert isinstance(message, messages_decisions.SuspectCleared)
        for fingerprint in message.fingerprints:
            self.crash_log.clear(fingerprint)

    async def run(self) -> None:
        """Sends notices, judges crashes and writes records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_notices)
            nursery.start_soon(self.run_judging)
            nursery.start_soon(self.records.run)

    async def run_notices(self) -> None:
        """Sends notices to the other routers, batched for a short time."""
        while True:
            # the notice of a finding whose record is not written is repeated:
            # a router that missed it cannot learn it from the record
            resend_delay = (
                RESEND_SECONDS if self.records.unwritten else math.inf
            )
            with trio.move_on_after(resend_delay):
                await self.notices_due.wait()
            self.notices_due = trio.Event()
            await trio.sleep(NOTICE_DELAY_SECONDS)
            self.send_notices()
            self.crash_log.remove_expired()

    async def run_judging(self) -> None:
        """Judges crashes after the notices of other routers have arrived.

        A separate task, so that notices of findings made meanwhile are not
        delayed.
        """
        while True:
            await self.crash_recorded.wait()
            self.crash_recorded = trio.Event()
            while self.unjudged:
                await trio.sleep(SETTLE_SECONDS)
                self.judge_settled()

    def send_notices(self) -> None:
        """Sends what changed since the last notices to all routers."""
        notices: list[peer.Message] = []
        for crash, fingerprints in self.unsent_crashes.items():
            notices.append(
                messages_decisions.CrashNotice(
                    crash.upstream,
                    crash.instance,
                    sorted(fingerprints),
                    sorted(key for key in fingerprints if fingerprints[key]),
                )
            )
        for fingerprint in sorted(self.unannounced | self.records.unwritten):
            notices.append(
                messages_decisions.Quarantined(fingerprint, QUARANTINE_SECONDS)
            )
        if self.cleared:
            notices.append(
                messages_decisions.SuspectCleared(sorted(self.cleared))
            )
        self.unsent_crashes.clear()
        self.unannounced.clear()
        self.cleared.clear()
        for router in self.membership.routers():
            if router == self.name:
                continue
            for message in notices:
                self.link.notify(router, message)

    def apply_record(self, fingerprint: int) -> None:
        """Applies a finding read from the key-value service."""
        # an entry that has expired belongs to an earlier finding
        if self.quarantined_until.get(fingerprint, 0.0) <= trio.current_time():
            self.quarantine(fingerprint, QUARANTINE_SECONDS)
