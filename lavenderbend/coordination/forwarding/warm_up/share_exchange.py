"""Exchange of shares of the rate of cold upstreams within a zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination.forwarding.warm_up import rate_shares
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import peers as peers_module


class ShareExchange:
    """Lends this router's shares to owners, and borrows those of others.

    Attributes:
        peers: The other routers.
        link: Carries messages to them.
        clock: The suspension clock: a share must not outlast a suspension.
        lender: Lends this router's shares.
        borrowed: Shares that this router was lent, by short id of the upstream.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        link: interfaces.DatagramLink,
        clock: Callable[[], float],
    ) -> None:
        self.peers = peers
        self.link = link
        self.clock = clock
        self.lender = rate_shares.Lender(clock, peers.zone_divisor.divisor)
        self.borrowed: dict[int, rate_shares.BorrowedShares] = {}

    def shares(self, upstream: int) -> rate_shares.BorrowedShares:
        """Returns the shares of an upstream, created if there are none."""
        shares = self.borrowed.get(upstream)
        if shares is None:
            shares = rate_shares.BorrowedShares(self.clock)
            self.borrowed[upstream] = shares
        return shares

    def on_request(self, request: messages_forwarding.RateShareRequest) -> None:
        """Lends shares to an owner."""
        lent = self.lend(request)
        if lent is not None:
            self.link.send(request.host, lent)

    def on_reply(self, reply: messages_forwarding.RateShareReply) -> None:
        """Adds shares that were lent to this process."""
        if reply.incarnation != self.peers.incarnation:
            return
        for upstream in reply.upstreams:
            self.shares(upstream).add(reply)

    def lend(
        self, request: messages_forwarding.RateShareRequest
    ) -> messages_forwarding.RateShareReply | None:
        """Returns the message that lends shares, None if none can be lent."""
        borrower = rate_shares.Borrower(request.host, request.incarnation)
        lent = self.lender.lend(borrower, request.upstreams)
        if not lent:
            return None
        return messages_forwarding.RateShareReply(
            self.peers.host,
            request.incarnation,
            request.asked_at,
            max(self.lender.routers(), request.routers),
            lent,
        )

    def borrow(self, wanted: Collection[int]) -> None:
        """Asks all routers of the zone for their shares.

        Args:
            wanted: Short ids of the upstreams whose shares are needed.
        """
        self.lender.remove_expired()
        self.remove_unwanted(wanted)
        if not wanted:
            return
        request = messages_forwarding.RateShareRequest(
            self.peers.host,
            self.peers.incarnation,
            self.clock(),
            self.lender.routers(),
            sorted(wanted),
        )
        own = self.lend(request)
        if own is not None:
            self.on_reply(own)
        for host in self.peers.members.same_zone.alive():
            self.link.send(host, request)

    def remove_unwanted(self, wanted: Collection[int]) -> None:
        """Removes shares that are not needed, once their permits are over."""
        oldest = self.clock() - rate_shares.SEPARATION_SECONDS
        for short, shares in list(self.borrowed.items()):
            if short not in wanted and shares.wanted_until < oldest:
                del self.borrowed[short]
