"""Permits for requests to cold upstreams, granted by their owners."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import owner_calls
from lavenderbend.coordination.forwarding.warm_up import rate_shares
from lavenderbend.coordination.forwarding.warm_up import share_exchange
from lavenderbend.coordination.forwarding.warm_up import zone_records
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import peers as peers_module
    from lavenderbend.coordination.forwarding.warm_up import coldness as colds
    from lavenderbend.state import forwarding

# Interval at which an owner asks for shares while an upstream is cold.
BORROW_SECONDS = 0.25
# Least time between two of these.
MIN_BORROW_SECONDS = 0.05
# Time for which shares are asked for after a question about an upstream that
# its owner does not take for cold.
WANTED_SECONDS = 1.0
# Shares arrive within this time after they were asked for.
SHARES_WAIT_SECONDS = 0.06
MILLISECONDS = 1000

PERMITS = metrics.counter(
    'lavenderbend_forward_cold_permits_total',
    'Questions of this router whether a request may go to a cold upstream.',
)
GRANTED = metrics.counter(
    'lavenderbend_forward_cold_granted_total',
    'Replies of this router as the owner of cold upstreams, by outcome and by '
    "whether the upstream is in this router's zone.",
)


@attrs.frozen
class RateSettings:
    """How many requests a cold upstream may be sent.

    Attributes:
        factor: Multiple of the rate that its pool states.
        extra: Requests in a second in addition.
    """

    factor: float = 1.0
    extra: float = 0.0


class ColdStarts:
    """Limits the requests that all routers together send to cold upstreams.

    Attributes:
        coldness: Knows which upstreams may be cold.
        peers: The other routers.
        link: Carries messages to them.
        clock: The suspension clock: a permit must not outlast a suspension.
        settings: How many requests a cold upstream may be sent.
        zones: Number of availability zones that the settings name.
        exchange: Exchanges shares of the rate with the routers of the zone.
        calls: Questions to owners.
        denied_until: Router clock until which an upstream's owner need not be
            asked again.
        logged_limits: Limit in the last log line, by short id of the upstream.
        wake: Set when shares are to be asked for at once.
        presence: Returns what is known of the routers of a zone.
    """

    def __init__(
        self,
        coldness: colds.Coldness,
        peers: peers_module.Peers,
        link: interfaces.DatagramLink,
        clock: Callable[[], float],
        rng: random.Random,
        settings: RateSettings,
        zones: int = 1,
    ) -> None:
        self.coldness = coldness
        self.peers = peers
        self.owners = peers.owners
        self.link = link
        self.clock = clock
        self.settings = settings
        self.zones = zones
        self.exchange = share_exchange.ShareExchange(peers, link, clock)
        self.calls = owner_calls.OwnerCalls(link)
        self.numbers = itertools.count(rng.getrandbits(30))
        self.denied_until: dict[str, float] = {}
        self.logged_limits: dict[int, float] = {}
        self.wake = trio.Event()
        self.presence: Callable[[str], zone_records.Presence] = lambda zone: (
            zone_records.Presence.CONFIRMED
        )
        peers.handlers.update(
            {
                messages_forwarding.ColdStartRequest: self.on_request,
                messages_forwarding.ColdStartReply: self.calls.take,
                messages_forwarding.RateShareRequest: self.exchange.on_request,
                messages_forwarding.RateShareReply: self.exchange.on_reply,
            }
        )

    async def permit(self, upstream: forwarding.Upstream) -> float | None:
        """Asks whether a request may be sent to a cold upstream.

        Returns:
            The suspension clock until which it may be sent, None if not now.
        """
        now = trio.current_time()
        if self.denied_until.get(upstream.instance, 0.0) > now:
            return None
        asked_at = self.clock()
        reply = await self.ask(upstream)
        if reply is None or not reply.permitted:
            PERMITS.inc({'outcome': 'no reply' if reply is None else 'denied'})
            wait = 0 if reply is None else reply.wait_milliseconds
            self.denied_until[upstream.instance] = now + wait / MILLISECONDS
            return None
        PERMITS.inc({'outcome': 'permitted'})
        return asked_at + rate_shares.PERMIT_SECONDS

    async def ask(
        self, upstream: forwarding.Upstream
    ) -> messages_forwarding.ColdStartReply | None:
        """Returns the owner's reply, None if no router replied in time."""
        short = hashing.short_id(upstream.instance)
        zone = upstream.vm.availability_zone
        host = self.owners.router_to_ask(short, zone)
        if host is None:
            return None
        request = messages_forwarding.ColdStartRequest(
            next(self.numbers), self.peers.host, short, zone
        )
        if host == self.peers.host:
            return self.reply_to(request)
        reply = await self.calls.call(host, request)
        if reply is None:
            self.owners.note_unresponsive(host)
            return None
        self.owners.note_owner(short, reply.owner)
        return reply

    def on_request(self, request: messages_forwarding.ColdStartRequest) -> None:
        """Replies to a question, or passes it on to the owner."""
        owner = self.owners.relay_target(request)
        if owner != self.peers.host:
            self.link.send(owner, attrs.evolve(request, forwarded=True))
            return
        self.link.send(request.host, self.reply_to(request))

    def reply_to(
        self, request: messages_forwarding.ColdStartRequest
    ) -> messages_forwarding.ColdStartReply:
        """Returns this router's reply as the owner."""
        limit = self.limit(request)
        self.log_limit(request, limit)
        shares = self.exchange.shares(request.upstream)
        shares.wanted_until = self.clock() + WANTED_SECONDS
        permitted = shares.try_permit(request.host, request.number, limit)
        GRANTED.inc(
            {
                'outcome': 'permitted' if permitted else 'denied',
                'zone': 'own' if request.zone == self.peers.zone else 'other',
            }
        )
        wait = 0.0 if permitted else shares.wait_seconds()
        if not shares.by_lender:
            self.wake.set()
            wait = SHARES_WAIT_SECONDS
        return messages_forwarding.ColdStartReply(
            request.number,
            self.peers.host,
            request.upstream,
            permitted,
            round(wait * MILLISECONDS),
        )

    def limit(self, request: messages_forwarding.ColdStartRequest) -> float:
        """Returns how many requests an owner may permit in a second.

        The routers of an upstream's zone permit what it tolerates once all
        routers know that the zone has any. Until then, and where it has none,
        routers of several zones may each take themselves for its owner: each
        zone has a part.
        """
        instance = self.peers.loads.instances.get(request.upstream)
        pool = None if instance is None else self.coldness.pool(instance)
        if pool is None:
            return 0.0
        limit = pool.warm_up_rate * self.settings.factor + self.settings.extra
        part = limit / max(1, self.zones, len(self.peers.fleet.counts))
        presence = self.presence(request.zone)
        if request.zone == self.peers.zone:
            confirmed = presence is zone_records.Presence.CONFIRMED
            return limit if confirmed else part
        if request.zone in self.peers.fleet.counts:
            return 0.0
        # Settings that name no zones do not tell how many may have a part.
        if presence is not zone_records.Presence.ABSENT or self.zones <= 1:
            return 0.0
        return part

    def log_limit(
        self, request: messages_forwarding.ColdStartRequest, limit: float
    ) -> None:
        """Writes how many requests this router may permit, if that changed."""
        if self.logged_limits.get(request.upstream) == limit:
            return
        self.logged_limits[request.upstream] = limit
        logs.change(
            'cold_upstream_owned',
            upstream=self.peers.loads.instances.get(request.upstream),
            zone=request.zone,
            own_zone=self.peers.zone,
            limit=round(limit, 3),
            presence=self.presence(request.zone).name.lower(),
            counted_zones=sorted(self.peers.fleet.counts),
            zones=self.zones,
        )

    async def run(self) -> None:
        """Asks for shares while upstreams of this router are cold."""
        while True:
            self.wake = trio.Event()
            self.remove_expired()
            self.exchange.borrow(self.wanted())
            # Questions that arrive before any share was lent, as while the
            # whole fleet starts, must not cause a broadcast each.
            await trio.sleep(MIN_BORROW_SECONDS)
            with trio.move_on_after(BORROW_SECONDS - MIN_BORROW_SECONDS):
                await self.wake.wait()

    def wanted(self) -> set[int]:
        """Returns the upstreams whose shares this router needs."""
        now = self.clock()
        wanted = {
            short
            for short, shares in self.exchange.borrowed.items()
            if shares.wanted_until > now
        }
        for instance in self.coldness.cold():
            upstream = self.coldness.upstreams.get(instance)
            if upstream is None:
                continue
            short = hashing.short_id(instance)
            zone = upstream.vm.availability_zone
            if self.owns(short, zone):
                wanted.add(short)
        return wanted

    def owns(self, upstream: int, zone: str) -> bool:
        """Returns whether this router takes itself for an upstream's owner."""
        if self.owners.owning_zone(upstream, zone) != self.peers.zone:
            return False
        return self.owners.owner_in_zone(upstream) == self.peers.host

    def remove_expired(self) -> None:
        """Removes state that is too old to matter."""
        now = trio.current_time()
        for instance, until in list(self.denied_until.items()):
            if until <= now:
                del self.denied_until[instance]
        for upstream in self.logged_limits.keys() - self.exchange.borrowed:
            del self.logged_limits[upstream]

    def may_send(self, instance: str, permitted_until: float | None) -> bool:
        """Returns whether a request may be sent to an upstream now.

        Args:
            instance: The upstream.
            permitted_until: Suspension clock at which the request's permit
                ends, None without one.
        """
        if permitted_until is not None:
            return self.clock() <= permitted_until
        if not self.coldness.is_cold(instance):
            return True
        logs.change('cold_upstream_withheld', upstream=instance)
        return False
