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
    import random

    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration

COMPARE_SECONDS = 1.5
# of a digest, when routers compare; the log holds it whole
DIGEST_CHARACTERS = 16
FANOUT = 4
PEER_TIMEOUT_SECONDS = 2.0
ASK_AGAIN_SECONDS = 0.2
ASKS_AT_ONCE = 16

REVISION = metrics.gauge(
    'lavenderbend_configuration_revision',
    'Number of the configuration revision in force.',
)


class ConfigurationFollower(interfaces.Configurations):
    """Follows the log by watch, and its peers when that does not work.

    Attributes:
        name: Id of this router.
        link: Messages to peers.
        membership: Which routers answer.
        rng: Source of jitter and choice of peers.
        log: The log of accepted changes.
        chain: Revisions known here.
        policy: What `current` does while cut off.
        contact: When the service or a peer last answered.
        service: Follows the log at the key-value service.
        said: Revision that each peer last said.
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
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.rng = rng
        self.chain = configuration_chain.Chain()
        self.log = configuration_log.ConfigurationLog(store, prefix, self.chain)
        self.policy = policy
        self.contact = configuration_contact.Contact(
            self.chain, cut_off_seconds
        )
        self.service = configuration_service.ServiceFollower(
            name, store, self.log, membership, self.contact, rng
        )
        self.said: dict[str, int] = {}
        self.wanted: str | None = None
        self.wake = trio.Event()
        link.handle(messages.RevisionRequest, self.on_ask)
        link.handle(messages.RevisionNotice, self.on_say)
        link.handle(messages.EntriesRequest, self.on_entries)

    @property
    def stale_since(self) -> float | None:
        """Clock of the last contact while cut off, else None."""
        return self.contact.stale_since

    def current(self) -> configuration.Revision:
        """Returns the revision in force.

        Raises:
            NoConfiguration: None has been seen yet.
            ConfigurationStale: Cut off, and the policy is to refuse.
        """
        refuse = self.policy is settings.CutOffPolicy.REFUSE
        if refuse and self.stale_since is not None:
            raise errors.ConfigurationStale(
                'cut off from the key-value service and all peers',
                retry_after=COMPARE_SECONDS,
            )
        return self.chain.current()

    async def wait_beyond(self, number: int) -> configuration.Revision:
        """Waits for a revision with a number above the given one."""
        while self.chain.number <= number:
            await self.chain.changed.wait()
        return self.chain.current()

    async def accept(
        self,
        document: configuration.Configuration,
        seen: int,
        author: str,
        reason: str,
    ) -> configuration.Revision:
        """Accepts a change and puts it in force here at once.

        So the change has a router that spreads it even if the service goes
        down just afterwards; errors as in `ConfigurationLog.accept`.
        """
        return await self.log.accept(document, seen, author, reason)

    def in_force(self) -> dict[str, int]:
        """Returns the revision each live router last said, 0 for none."""
        found = {
            router: self.said.get(router, 0)
            for router in self.membership.routers()
        }
        found[self.name] = self.chain.number
        return found

    def lacking(self, number: int) -> tuple[str, ...]:
        """Returns the live routers not known to have a revision."""
        return tuple(
            router
            for router, said in sorted(self.in_force().items())
            if said < number
        )

    async def wait_in_force(
        self, number: int, timeout: float
    ) -> tuple[str, ...]:
        """Asks the live routers until all have a revision.

        Returns:
            Those that do not have it after `timeout` seconds.
        """
        with trio.move_on_after(timeout):
            while missing := self.lacking(number):
                await self.ask_all(missing)
                if self.lacking(number):
                    await trio.sleep(ASK_AGAIN_SECONDS)
        return self.lacking(number)

    async def ask_all(self, routers: tuple[str, ...]) -> None:
        """Compares revisions with several peers at once."""
        limiter = trio.CapacityLimiter(ASKS_AT_ONCE)

        async def ask(router: str) -> None:
            async with limiter:
                await self.compare(router)

        async with trio.open_nursery() as nursery:
            for router in routers:
                nursery.start_soon(ask, router)

    async def run(self) -> None:
        """Follows until cancelled."""
        self.contact.at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.service.run)
            nursery.start_soon(self.compare_in_turn)
            nursery.start_soon(self.fetch_when_wanted)
            nursery.start_soon(self.announce)

    async def compare_in_turn(self) -> None:
        """Compares revisions with one other router after another."""
        while True:
            pause = self.rng.uniform(COMPARE_SECONDS / 2, COMPARE_SECONDS)
            await trio.sleep(pause)
            others = self.others()
            if others:
                await self.compare(self.rng.choice(others))
            self.contact.check()

    def others(self) -> list[str]:
        """Returns the other live routers."""
        return [r for r in self.membership.routers() if r != self.name]

    async def compare(self, router: str) -> None:
        """Tells a peer the revision here and learns the peer's."""
        ask = messages.RevisionRequest(self.chain.number, self.digest())
        try:
            answer = await self.link.request(router, ask, PEER_TIMEOUT_SECONDS)
        except errors.PeerError:
            return
        self.heard(router, answer)

    def digest(self) -> str:
        """Returns the digest of the revision here, as peers compare it."""
        return self.chain.known.document.digest[:DIGEST_CHARACTERS]

    async def on_ask(
        self, router: str, ask: messages.RevisionRequest
    ) -> peer.Message:
        """Answers with the revision here."""
        self.heard(router, ask)
        return messages.RevisionNotice(self.chain.number, self.digest())

    async def on_say(self, router: str, say: messages.RevisionNotice) -> None:
        """Hears of a revision at a peer."""
        self.heard(router, say)

    def heard(
        self,
        router: str,
        item: messages.RevisionRequest | messages.RevisionNotice,
    ) -> None:
        """Notes a peer's revision and has a newer one fetched."""
        self.contact.note()
        self.said[router] = max(item.number, self.said.get(router, 0))
        if item.number > self.chain.number:
            self.wanted = router
            self.wake.set()
        same = item.number == self.chain.number
        if same and item.digest != self.digest():
            logs.change(
                'configuration_digest_differs',
                peer=router,
                number=item.number,
            )

    async def fetch_when_wanted(self) -> None:
        """Fetches from the peer that last said a newer revision."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            router, self.wanted = self.wanted, None
            if router is None:
                continue
            try:
                await self.fetch(router)
            except (errors.PeerError, errors.CodecError):
                continue

    async def fetch(self, router: str) -> None:
        """Fetches what is missing here from a peer."""
        ask = messages.EntriesRequest(self.chain.number)
        answer = await self.link.request(router, ask, PEER_TIMEOUT_SECONDS)
        if answer.snapshot:
            self.chain.take_whole(records.decode_revision(answer.snapshot))
        for number, value in enumerate(answer.records, answer.first):
            self.chain.take(number, value)
        self.contact.note()
        configuration_service.FETCHES.inc({'source': 'peer'})

    async def on_entries(
        self, router: str, ask: messages.EntriesRequest
    ) -> peer.Message:
        """Gives a peer what it lacks."""
        changes = self.chain.after(ask.after)
        if changes is not None:
            return messages.EntriesReply(ask.after + 1, list(changes))
        whole = records.encode_revision(self.chain.known)
        return messages.EntriesReply(self.chain.number + 1, [], whole)

    async def announce(self) -> None:
        """Tells some peers of each step forward."""
        number = 0
        while True:
            await self.wait_beyond(number)
            number = self.chain.number
            REVISION.set({}, number)
            logs.change('configuration_in_force', number=number)
            others = self.others()
            chosen = self.rng.sample(others, min(FANOUT, len(others)))
            say = messages.RevisionNotice(number, self.digest())
            for router in chosen:
                self.link.notify(router, say)
