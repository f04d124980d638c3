"""Keeps the accepted configuration in force on one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.configuration import chain as configuration_chain
from lavenderbend.coordination.configuration import (
    contact as configuration_contact,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.coordination.configuration import (
    service as configuration_service,
)
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.protocol import records_configuration as records
from lavenderbend.state import settings

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration

COMPARE_INTERVAL_SECONDS = 1.5
# Length of the digests in messages between routers; the log holds them in full.
DIGEST_CHARACTERS = 16
ANNOUNCE_FANOUT = 4
PEER_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.2
MAX_CONCURRENT_POLLS = 16

REVISION = metrics.gauge(
    'lavenderbend_configuration_revision',
    'Number of the configuration revision in force.',
)


class ConfigurationFollower(interfaces.Configurations):
    """Follows the log of accepted changes, and its peers if that fails.

    Attributes:
        name: Id of this router.
        link: Messages to peers.
        membership: Live routers.
        rng: Source of jitter and of the choice of peers.
        log: The log of accepted changes.
        chain: Revisions known to this router.
        policy: Whether `current` serves or refuses while cut off.
        contact: When the service or a peer last replied.
        service: Follows the log at the key-value service.
        peer_revisions: Highest revision that each peer has reported.
        fetch_from: Peer that last reported a newer revision, None once the
            fetch from it has begun.
        fetch_needed: Set when `fetch_from` is set.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        rng: random.Random,
        prefix: str = configuration_log.DEFAULT_PREFIX,
        policy: settings.CutOffPolicy = settings.CutOffPolicy.SERVE,
        cut_off_seconds: float = 30.0,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.rng = rng
        self.chain = configuration_chain.Chain()
        self.log = configuration_log.ConfigurationLog(store, prefix, self.chain)
        self.policy = policy
        self.contact = configuration_contact.ContactMonitor(
            self.chain, cut_off_seconds, clock
        )
        self.service = configuration_service.ServiceFollower(
            name, store, self.log, membership, self.contact, rng
        )
        self.peer_revisions: dict[str, int] = {}
        self.fetch_from: str | None = None
        self.fetch_needed = trio.Event()
        link.handle(messages.RevisionRequest, self.on_revision_request)
        link.handle(messages.RevisionNotice, self.on_revision_notice)
        link.handle(messages.EntriesRequest, self.on_entries_request)

    @property
    def stale_seconds(self) -> float | None:
        """Seconds since the last contact while cut off, else None."""
        return self.contact.stale_seconds

    def current(self) -> configuration.Revision:
        """Returns the revision in force.

        Raises:
            NoConfiguration: This router has not received any yet.
            ConfigurationStale: This router is cut off, and the policy is to
                refuse.
        """
        refuse = self.policy is settings.CutOffPolicy.REFUSE
        if refuse and self.stale_seconds is not None:
            raise errors.ConfigurationStale(
                'cut off from the key-value service and all peers',
                retry_after=COMPARE_INTERVAL_SECONDS,
            )
        return self.chain.current()

    async def wait_beyond(self, number: int) -> configuration.Revision:
        """Waits for a revision newer than `number` and returns it."""
        while self.chain.number <= number:
            await self.chain.changed.wait()
        return self.chain.current()

    async def accept(
        self,
        document: configuration.Configuration,
        base_number: int,
        author: str,
        reason: str,
    ) -> configuration.Revision:
        """Accepts a change and puts it in force on this router at once.

        This router then passes the change on to its peers even if the
        service fails right after the acceptance. Arguments and errors are
        those of `ConfigurationLog.accept`.
        """
        return await self.log.accept(document, base_number, author, reason)

    def in_force(self) -> dict[str, int]:
        """Returns the revision that each live router has reported, or 0."""
        revisions = {
            router: self.peer_revisions.get(router, 0)
            for router in self.membership.routers()
        }
        revisions[self.name] = self.chain.number
        return revisions

    def routers_behind(self, number: int) -> tuple[str, ...]:
        """Returns the live routers that have not reported a revision yet."""
        return tuple(
            router
            for router, reported in sorted(self.in_force().items())
            if reported < number
        )

    async def wait_in_force(
        self, number: int, timeout: float
    ) -> tuple[str, ...]:
        """Polls the live routers until all have a revision.

        Returns:
            The routers not known to have it after `timeout` seconds.
        """
        with trio.move_on_after(timeout):
            while missing := self.routers_behind(number):
                await self.poll_routers(missing)
                if self.routers_behind(number):
                    await trio.sleep(POLL_INTERVAL_SECONDS)
        return self.routers_behind(number)

    async def poll_routers(self, routers: tuple[str, ...]) -> None:
        """Compares revisions with several peers concurrently."""
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)

        async def poll(router: str) -> None:
            async with limiter:
                await self.compare_with(router)

        async with trio.open_nursery() as nursery:
            for router in routers:
                nursery.start_soon(poll, router)

    async def run(self) -> None:
        """Follows the log and the peers until cancelled."""
        self.contact.last_contact = self.contact.clock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.service.run)
            nursery.start_soon(self.compare_periodically)
            nursery.start_soon(self.fetch_when_needed)
            nursery.start_soon(self.announce)

    async def compare_periodically(self) -> None:
        """Compares revisions with a random router at each interval."""
        while True:
            interval = self.within_interval(COMPARE_INTERVAL_SECONDS)
            await trio.sleep(self.rng.uniform(interval / 2, interval))
            others = self.other_routers()
            if others:
                await self.compare_with(self.rng.choice(others))
            self.contact.report_stale()

    def within_interval(self, seconds: float) -> float:
        """Returns a time, or less if the router would count as cut off."""
        return min(seconds, self.contact.interval_seconds)

    def other_routers(self) -> list[str]:
        """Returns the live routers without this one."""
        return [r for r in self.membership.routers() if r != self.name]

    async def compare_with(self, router: str) -> None:
        """Exchanges the numbers and digests of the revisions with a peer."""
        request = messages.RevisionRequest(self.chain.number, self.digest())
        asked_at = self.contact.clock()
        try:
            reply = await self.link.request(
                router, request, self.within_interval(PEER_TIMEOUT_SECONDS)
            )
        except errors.PeerError:
            return
        self.contact.note_contact(asked_at)
        self.note_peer_revision(router, reply)

    def digest(self) -> str:
        """Returns the shortened digest of this router's revision."""
        return self.chain.latest.document.digest[:DIGEST_CHARACTERS]

    async def on_revision_request(
        self, router: str, request: messages.RevisionRequest
    ) -> peer.Message:
        """Replies with the number and digest of this router's revision."""
        self.note_peer_revision(router, request)
        return messages.RevisionNotice(self.chain.number, self.digest())

    async def on_revision_notice(
        self, router: str, notice: messages.RevisionNotice
    ) -> None:
        """Handles the revision that a peer reports."""
        self.note_peer_revision(router, notice)

    def note_peer_revision(
        self,
        router: str,
        message: messages.RevisionRequest | messages.RevisionNotice,
    ) -> None:
        """Records a peer's revision; requests a fetch if it is newer."""
        self.peer_revisions[router] = max(
            message.number, self.peer_revisions.get(router, 0)
        )
        if message.number > self.chain.number:
            self.fetch_from = router
            self.fetch_needed.set()
        same_number = message.number == self.chain.number
        if same_number and message.digest != self.digest():
            logs.change(
                'configuration_digest_differs',
                peer=router,
                number=message.number,
            )

    async def fetch_when_needed(self) -> None:
        """Fetches from the peer that last reported a newer revision."""
        while True:
            await self.fetch_needed.wait()
            self.fetch_needed = trio.Event()
            router, self.fetch_from = self.fetch_from, None
            if router is None:
                continue
            try:
                await self.fetch(router)
            except (errors.PeerError, errors.CodecError):
                continue

    async def fetch(self, router: str) -> None:
        """Fetches the changes that this router lacks from a peer."""
        request = messages.EntriesRequest(self.chain.number)
        asked_at = self.contact.clock()
        reply = await self.link.request(router, request, PEER_TIMEOUT_SECONDS)
        if reply.snapshot:
            self.chain.install_snapshot(records.decode_revision(reply.snapshot))
        for number, value in enumerate(reply.records, reply.first):
            self.chain.apply(number, value)
        self.contact.note_contact(asked_at)
        configuration_service.STEPS.inc({'source': 'peer'})

    async def on_entries_request(
        self, router: str, request: messages.EntriesRequest
    ) -> peer.Message:
        """Replies with the changes a peer lacks, or with a snapshot."""
        changes = self.chain.entries_after(request.after)
        if changes is not None:
            return messages.EntriesReply(request.after + 1, list(changes))
        snapshot = records.encode_revision(self.chain.latest)
        return messages.EntriesReply(self.chain.number + 1, [], snapshot)

    async def announce(self) -> None:
        """Announces each newer revision to some peers."""
        number = 0
        while True:
            await self.wait_beyond(number)
            number = self.chain.number
            REVISION.set({}, number)
            logs.change('configuration_in_force', number=number)
            others = self.other_routers()
            peers = self.rng.sample(others, min(ANNOUNCE_FANOUT, len(others)))
            notice = messages.RevisionNotice(number, self.digest())
            for router in peers:
                self.link.notify(router, notice)
