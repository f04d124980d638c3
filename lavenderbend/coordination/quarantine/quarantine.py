"""Requests that crash the upstreams that run them."""

from __future__ import annotations

import collections
import contextlib
import math
import random
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.quarantine import deaths
from lavenderbend.coordination.quarantine import records as quarantine_records
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer

QUARANTINE_SECONDS = 900
TELL_SECONDS = 0.3
NOTICE_DELAY_SECONDS = 0.02
RESEND_SECONDS = 1.0
# time for the other routers' notices of a death
SETTLE_SECONDS = 0.5
# one that ran longer is less suspect than one that was just sent; the same
# as `AdmissionSettings.suspect_interval`
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
    """Finds requests that crash upstreams and refuses them.

    A request is suspect when an upstream died while it ran it. Admission
    sends suspects out apart from each other (`PermitAsk.suspect`), so that
    one that is there at a second death on another upstream, and no other
    suspect with it, is the cause.

    Attributes:
        records: The findings in the key-value service.
        deaths: Deaths of upstreams, and the requests that were there.
        until: Until when each fingerprint is quarantined.
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
        # by name, so that routers without a source of their own differ too
        self.records = quarantine_records.Records(
            name,
            store,
            rng or random.Random(name),
            self.learn,
            QUARANTINE_SECONDS,
            prefix,
        )
        self.deaths = deaths.Deaths()
        self.until: dict[int, float] = {}
        self.unsent: dict[deaths.Crash, dict[int, bool]] = (
            collections.defaultdict(dict)
        )
        self.unsettled: list[deaths.Crash] = []
        self.cleared: set[int] = set()
        self.found: set[int] = set()
        self.wake = trio.Event()
        self.died = trio.Event()
        link.handle(messages_decisions.CrashSeen, self.on_crash)
        link.handle(messages_decisions.Quarantined, self.on_quarantined)
        link.handle(messages_decisions.SuspectCleared, self.on_cleared)

    def check(self, fingerprint: int) -> None:
        """Refuses a quarantined request.

        Raises:
            RequestQuarantined: The request crashed upstreams before.
        """
        until = self.until.get(fingerprint)
        if until is None:
            return
        left = until - trio.current_time()
        if left <= 0:
            del self.until[fingerprint]
            return
        REFUSED.inc({})
        raise errors.RequestQuarantined(
            'the same request crashed the upstreams that ran it',
            retry_after=round(left),
        )

    def suspect(self, fingerprint: int) -> bool:
        """Returns whether an upstream died while it ran the request."""
        return fingerprint in self.deaths.suspects

    def may_retry(self, fingerprint: int) -> bool:
        """Returns whether a further attempt may be made."""
        if self.until.get(fingerprint, 0.0) > trio.current_time():
            return False
        crashes = self.deaths.suspects.get(fingerprint, ())
        unexplained = [one for one in crashes if not self.explained(one)]
        return len(unexplained) < deaths.CRASHES_TO_QUARANTINE

    def explained(self, crash: deaths.Crash) -> bool:
        """Returns whether a quarantined request was there at a death."""
        return any(one in self.until for one in self.deaths.present[crash])

    def survived(self, fingerprint: int) -> None:
        """Notes that an upstream ran the request to its end."""
        if not self.deaths.clear(fingerprint):
            return
        self.cleared.add(fingerprint)
        self.wake.set()

    async def crashed(
        self,
        fingerprint: int,
        upstream: str,
        instance: str,
        in_progress: int,
        ran: float = math.inf,
    ) -> None:
        """Notes that an upstream died while it ran the request.

        Args:
            fingerprint: Of the request.
            upstream: VM id.
            instance: Instance of the process that died.
            in_progress: Requests of this router that it ran.
            ran: Seconds since the request was sent there.
        """
        short_id = messages_decisions.short_id
        crash = deaths.Crash(short_id(upstream), short_id(instance))
        CRASHES.inc({'upstream': upstream})
        fresh = ran < PROBATION_SECONDS
        self.unsent[crash][fingerprint] = fresh
        known = fingerprint in self.until
        self.note(crash, {fingerprint: fresh})
        self.wake.set()
        if not known and fingerprint in self.until:
            await self.tell_at_once(fingerprint)

    async def wait_notices(self, fingerprint: int) -> None:
        """Waits for what other routers had on the upstreams that died.

        One of them may know the request that is the cause. Ended before its
        notice has come, an innocent request that was there at both deaths
        fails its caller.
        """
        if fingerprint not in self.until and not self.may_retry(fingerprint):
            await trio.sleep(SETTLE_SECONDS)

    async def tell_at_once(self, fingerprint: int) -> None:
        """Tells all routers of a finding before the caller hears of it.

        A caller sends again as soon as it is told; through a router that
        had not heard yet, its request crashed one more engine.
        """
        item = messages_decisions.Quarantined(fingerprint, QUARANTINE_SECONDS)
        with trio.move_on_after(TELL_SECONDS):
            async with trio.open_nursery() as nursery:
                for router in self.membership.routers():
                    if router != self.name:
                        nursery.start_soon(self.tell, router, item)

    async def tell(self, router: str, item: peer.Message) -> None:
        """Tells one router; if that fails, the notice follows."""
        with contextlib.suppress(errors.PeerError):
            await self.link.request(router, item, TELL_SECONDS)

    def note(self, crash: deaths.Crash, fingerprints: dict[int, bool]) -> None:
        """Adds requests to those that were there at a death."""
        if self.deaths.note(crash, fingerprints):
            self.unsettled.append(crash)
            self.died.set()
        for fingerprint, fresh in fingerprints.items():
            if fresh:
                self.judge(fingerprint, crash)

    def judge(self, fingerprint: int, crash: deaths.Crash) -> None:
        """Quarantines a request if it is the cause of a death."""
        if fingerprint in self.until:
            return
        if self.deaths.is_cause(fingerprint, crash):
            self.quarantine(fingerprint, QUARANTINE_SECONDS)
            self.found.add(fingerprint)
            self.records.keep(fingerprint)

    def settle(self) -> None:
        """Judges deaths of which all routers have told by now."""
        now = trio.current_time()
        for crash in list(self.unsettled):
            if self.deaths.told_at.get(crash, 0.0) > now - SETTLE_SECONDS:
                continue
            self.unsettled.remove(crash)
            for fingerprint in sorted(self.deaths.present.get(crash, {})):
                self.judge(fingerprint, crash)

    def quarantine(self, fingerprint: int, seconds: float) -> None:
        """Refuses a request from now on."""
        if fingerprint not in self.until:
            QUARANTINED.inc({})
            logs.change('quarantined', fingerprint=f'{fingerprint:016x}')
        self.until[fingerprint] = trio.current_time() + seconds
        self.wake.set()

    async def on_crash(self, router: str, item: peer.Message) -> None:
        """Notes what another router had on an upstream that died."""
        assert isinstance(item, messages_decisions.CrashSeen)
        crash = deaths.Crash(item.upstream, item.instance)
        fresh = set(item.fresh)
        self.note(crash, {one: one in fresh for one in item.fingerprints})

    async def on_quarantined(self, router: str, item: peer.Message) -> None:
        """Takes over another router's finding."""
        assert isinstance(item, messages_decisions.Quarantined)
        self.quarantine(item.fingerprint, item.seconds)

    async def on_cleared(self, router: str, item: peer.Message) -> None:
        """Clears requests that an upstream ran to their end."""
        assert isinstance(item, messages_decisions.SuspectCleared)
        for fingerprint in item.fingerprints:
            self.deaths.clear(fingerprint)

    async def run(self) -> None:
        """Sends findings to the other routers and keeps them."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_notices)
            nursery.start_soon(self.run_settle)
            nursery.start_soon(self.records.run)

    async def run_notices(self) -> None:
        """Sends what was found, gathered for a moment."""
        while True:
            # a finding that could not be written is told again and again:
            # a router that missed the notice has no record to learn it from
            again = RESEND_SECONDS if self.records.unwritten else math.inf
            with trio.move_on_after(again):
                await self.wake.wait()
            self.wake = trio.Event()
            await trio.sleep(NOTICE_DELAY_SECONDS)
            self.send_notices()
            self.deaths.expire()

    async def run_settle(self) -> None:
        """Judges deaths once all routers have told of them.

        Not by the task that sends notices: a quarantine that is found
        meanwhile must not wait behind this.
        """
        while True:
            await self.died.wait()
            self.died = trio.Event()
            while self.unsettled:
                await trio.sleep(SETTLE_SECONDS)
                self.settle()

    def send_notices(self) -> None:
        """Tells all routers what this one has found since the last time."""
        items: list[peer.Message] = []
        for crash, fingerprints in self.unsent.items():
            items.append(
                messages_decisions.CrashSeen(
                    crash.upstream,
                    crash.instance,
                    sorted(fingerprints),
                    sorted(one for one in fingerprints if fingerprints[one]),
                )
            )
        for fingerprint in sorted(self.found | self.records.unwritten):
            items.append(
                messages_decisions.Quarantined(fingerprint, QUARANTINE_SECONDS)
            )
        if self.cleared:
            items.append(
                messages_decisions.SuspectCleared(sorted(self.cleared))
            )
        self.unsent.clear()
        self.found.clear()
        self.cleared.clear()
        for router in self.membership.routers():
            if router == self.name:
                continue
            for item in items:
                self.link.notify(router, item)

    def learn(self, fingerprint: int) -> None:
        """Takes over a finding from the key-value service."""
        # an earlier finding whose time has ended says nothing of this one
        if self.until.get(fingerprint, 0.0) <= trio.current_time():
            self.quarantine(fingerprint, QUARANTINE_SECONDS)
