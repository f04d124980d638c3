"""Shares of the rate of requests to cold upstreams, lent to their owners.

Together the routers must not send a cold upstream more requests in any second
than it tolerates, whoever each of them takes for its owner. Each router of the
upstream's zone has an equal share of the rate and lends it to one owner at a
time. An owner permits no more than what it was lent, so that two routers that
both take themselves for the owner permit no more than one would.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lavenderbend.protocol import messages_forwarding

# Time for which a permit may be used: to connect to the upstream.
PERMIT_SECONDS = 0.2
# Requests that are sent within a second were permitted within this time.
WINDOW_SECONDS = 1.0 + PERMIT_SECONDS
# Time for which a share is lent, from when the owner asked for it.
LOAN_SECONDS = 1.0
# A share that was lent to one owner is lent to another only after this time:
# no window contains permits of both.
SEPARATION_SECONDS = LOAN_SECONDS + WINDOW_SECONDS


@attrs.frozen
class Borrower:
    """The process of a router to which a share is lent.

    A router that was restarted does not know what it permitted before, and
    counts as another borrower.

    Attributes:
        host: Its host.
        incarnation: Of its process.
    """

    host: str
    incarnation: int


@attrs.frozen
class Loan:
    """A share that was lent.

    Attributes:
        borrower: The owner to which it was lent.
        lent_at: Suspension clock of the lender.
    """

    borrower: Borrower
    lent_at: float


class Lender:
    """Lends this router's shares.

    Attributes:
        clock: The suspension clock.
        routers: Returns among how many routers of the zone the rate is shared,
            0 if that is not known.
        started_at: Clock at the start of this process, which does not know what
            it lent before.
        loans: The last loan by short id of the upstream.
    """

    def __init__(
        self, clock: Callable[[], float], routers: Callable[[], int]
    ) -> None:
        self.clock = clock
        self.routers = routers
        self.started_at = clock()
        self.loans: dict[int, Loan] = {}

    def lend(self, borrower: Borrower, upstreams: Iterable[int]) -> list[int]:
        """Lends shares to an owner; returns the upstreams whose shares are."""
        now = self.clock()
        if not self.routers() or now < self.started_at + SEPARATION_SECONDS:
            return []
        lent = [
            upstream
            for upstream in upstreams
            if self.may_lend(upstream, borrower, now)
        ]
        for upstream in lent:
            self.loans[upstream] = Loan(borrower, now)
        return lent

    def may_lend(self, upstream: int, borrower: Borrower, now: float) -> bool:
        """Returns whether no other owner may still use a share."""
        loan = self.loans.get(upstream)
        if loan is None or loan.borrower == borrower:
            return True
        return now >= loan.lent_at + SEPARATION_SECONDS

    def remove_expired(self) -> None:
        """Removes loans that no longer hinder another one."""
        oldest = self.clock() - SEPARATION_SECONDS
        self.loans = {
            upstream: loan
            for upstream, loan in self.loans.items()
            if loan.lent_at > oldest
        }


@attrs.frozen
class Share:
    """A share that an owner was lent.

    Attributes:
        asked_at: Suspension clock of the owner when it asked for it.
        routers: Among how many routers the lender shares the rate.
    """

    asked_at: float
    routers: int


class BorrowedShares:
    """The shares of one upstream's rate that this router was lent.

    Attributes:
        clock: The suspension clock.
        by_lender: The latest share of each lender, by its host.
        permitted: Suspension clock of the permits of the last
            `WINDOW_SECONDS`, by host and number of the question.
        wanted_until: Suspension clock until which shares are asked for.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.by_lender: dict[str, Share] = {}
        self.permitted: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self.wanted_until = 0.0

    def add(self, reply: messages_forwarding.RateShareReply) -> None:
        """Adds a share that was lent."""
        known = self.by_lender.get(reply.host)
        if known is None or known.asked_at < reply.asked_at:
            self.by_lender[reply.host] = Share(reply.asked_at, reply.routers)

    def fraction(self) -> float:
        """Returns which fraction of the rate this router was lent."""
        oldest = self.clock() - LOAN_SECONDS
        shares = [
            share
            for share in self.by_lender.values()
            if share.asked_at > oldest
        ]
        if not shares:
            return 0.0
        # A lender that has just started may count too few routers.
        routers = max(share.routers for share in shares)
        return min(1.0, len(shares) / max(1, routers))

    def try_permit(self, host: str, number: int, limit: float) -> bool:
        """Permits a request if the shares allow it; returns whether they do.

        A question that arrives twice is permitted once.

        Args:
            host: The router that asks.
            number: Number of its question.
            limit: Requests that the upstream tolerates in a second.
        """
        now = self.clock()
        self.drop_expired(now)
        if (host, number) in self.permitted:
            return True
        if len(self.permitted) + 1 > self.fraction() * limit:
            return False
        self.permitted[host, number] = now
        return True

    def wait_seconds(self) -> float:
        """Returns the time after which a permit may be available again."""
        oldest = next(iter(self.permitted.values()), None)
        if oldest is None:
            return 0.0
        return max(0.0, oldest + WINDOW_SECONDS - self.clock())

    def drop_expired(self, now: float) -> None:
        """Drops permits that are older than the window."""
        while self.permitted:
            key, at = next(iter(self.permitted.items()))
            if at > now - WINDOW_SECONDS:
                return
            del self.permitted[key]
