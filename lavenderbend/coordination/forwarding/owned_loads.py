"""Requests at the upstreams that this router owns."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import permits

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import loads

# Cost of copying a cached prompt from another upstream, as a fraction of the
# time that it takes to process it.
COPY_COST_FRACTION = 0.2
MAX_CHATS = 20_000
MAX_HOLDERS = 3
# A reservation whose end was lost expires after this time.
MAX_RESERVATION_SECONDS = 15.0
MILLISECONDS = 1000

RESERVATIONS = metrics.gauge(
    'lavenderbend_forward_reservations',
    'Requests counted at the upstreams that this router owns.',
)


class NoteKind(enum.IntEnum):
    """Kind of a note about a reservation.

    Attributes:
        BEGUN: The upstream has processed the prompt and begun to answer.
        ENDED: The request has ended there, or was sent elsewhere.
        HELD: Another upstream holds the prompt of the chat in its cache.
        PACE: The upstream stated how long work takes there, in percent of
            the usual time; the row has it in place of the holder.
    """

    BEGUN = 1
    ENDED = 2
    HELD = 3
    PACE = 4


@attrs.define
class CountedRequest:
    """A request that its owner counts at an upstream.

    Attributes:
        unread: Prompt tokens that the upstream has yet to process.
        until: Router clock at which the reservation expires.
    """

    unread: int
    until: float


def no_report(upstream: int) -> None:
    """Returns no load report of any upstream."""


class OwnedLoads:
    """Counts the requests at the upstreams that this router owns.

    Each upstream is owned by one router, and other routers reserve there
    before they send it a prompt. In a fleet of hundreds the owner is the only
    router that knows at once what all others have sent: gossiped loads are
    half a second old, while a prompt takes a quarter of a second to process.
    The owner decides nothing; if it is dead, unreachable or wrong, routers
    choose by their own knowledge.

    Requests that the owner does not count are known from the upstream's load
    reports only: the excess of the last report over the reservations that were
    live at its time is added to the reservations that are live now.

    Attributes:
        host: This router.
        last_report: Returns the last load report of an upstream, None if it is
            unknown or expired.
        upstreams: Reservations by upstream, then by router and number.
        table: The same reservations, combined with the load reports.
        chats: Upstreams that hold each chat and the router clock at which
            that was last reported; the most recently updated chat last.
    """

    def __init__(
        self,
        host: str,
        last_report: Callable[[int], loads.LoadReport | None] = no_report,
    ) -> None:
        self.host = host
        self.last_report = last_report
        self.upstreams: dict[int, dict[tuple[str, int], CountedRequest]] = {}
        self.table = permits.PermitTable()
        self.chats: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def reserve(
        self, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply:
        """Counts a request; returns the load of the upstream before it.

        A reservation request that arrives twice is counted once, and one at
        an upstream that holds its `max_load` is not.
        """
        now = trio.current_time()
        self.discard(request)
        self.drop_expired(request.upstream, now)
        counted = self.upstreams.setdefault(request.upstream, {})
        holders = self.holders(request.chat)
        reply = messages_forwarding.ReservationReply(
            request.number,
            self.host,
            request.upstream,
            self.load(request.upstream),
            sum(other.unread for other in counted.values()),
            holders,
        )
        if 0 < request.max_load <= reply.load:
            return reply
        seconds = min(
            request.lifetime_milliseconds / MILLISECONDS,
            MAX_RESERVATION_SECONDS,
        )
        counted[request.host, request.number] = CountedRequest(
            unread_tokens(
                request.tokens,
                request.own_tokens,
                request.upstream in holders,
                bool(holders),
            ),
            now + seconds,
        )
        self.table.add(
            permits.LivePermit(
                request.host, request.number, table_key(request.upstream), now
            )
        )
        return reply

    def load(self, upstream: int) -> int:
        """Returns how many requests an upstream has."""
        key = table_key(upstream)
        report = self.last_report(upstream)
        matched = self.table.reports.get(key)
        if report is None:
            self.table.remove_report(key)
        elif matched is None or matched.at != report.at:
            self.table.join(key, report.at, report.load)
        return self.table.load(key)

    def discard(self, request: messages_forwarding.ReservationRequest) -> None:
        """Removes a reservation whose request has been received again."""
        counted = self.upstreams.get(request.upstream, {})
        counted.pop((request.host, request.number), None)
        permit = self.table.get(request.host, request.number)
        if permit is not None:
            self.table.discard(permit)

    def holders(self, chat: int) -> list[int]:
        """Returns the upstreams that hold a chat, the latest first."""
        holders = self.chats.get(chat, {})
        return sorted(holders, key=holders.__getitem__, reverse=True)

    def apply_notes(self, notes: messages_forwarding.ReservationNotes) -> None:
        """Applies notes about reservations; idempotent.

        Rows of a kind that this version does not know are ignored.
        """
        handlers: dict[int, Callable[..., None]] = {
            NoteKind.BEGUN: self.note_begun,
            NoteKind.ENDED: self.note_ended,
            NoteKind.HELD: self.note_held,
        }
        for kind, number, upstream, chat, holder in notes.rows:
            handler = handlers.get(kind)
            if handler is not None:
                handler(notes.host, number, upstream, chat, holder)

    def note_begun(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Records that an upstream processed a prompt and holds its chat."""
        counted = self.upstreams.get(upstream, {}).get((host, number))
        if counted is not None:
            counted.unread = 0
        self.note_held(host, number, upstream, chat, upstream)

    def note_ended(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Removes a request that has ended."""
        counted = self.upstreams.get(upstream, {})
        if counted.pop((host, number), None) is not None:
            self.table.remove(host, number, trio.current_time())

    def note_held(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Records which upstream holds a chat."""
        holders = self.chats.setdefault(chat, {})
        self.chats.move_to_end(chat)
        holders[holder] = trio.current_time()
        if len(holders) > MAX_HOLDERS:
            del holders[min(holders, key=holders.__getitem__)]
        if len(self.chats) > MAX_CHATS:
            self.chats.popitem(last=False)

    def remove_expired(self) -> None:
        """Removes expired reservations and updates the metric."""
        now = trio.current_time()
        for upstream, counted in list(self.upstreams.items()):
            self.drop_expired(upstream, now)
            if not counted:
                del self.upstreams[upstream]
        self.table.remove_idle(now)
        count = sum(len(counted) for counted in self.upstreams.values())
        RESERVATIONS.set({}, count)

    def drop_expired(self, upstream: int, now: float) -> None:
        """Removes the expired reservations at an upstream."""
        counted = self.upstreams.get(upstream, {})
        for host, number in [
            key for key, request in counted.items() if request.until <= now
        ]:
            del counted[host, number]
            self.table.remove(host, number, now)


def table_key(upstream: int) -> str:
    """Returns the key of an upstream in the table of reservations."""
    return f'{upstream:08x}'


def unread_tokens(
    tokens: int, own_tokens: int, held_there: bool, held: bool
) -> int:
    """Returns the cost of a prompt to an upstream, in tokens it processes.

    Args:
        tokens: Length of the prompt.
        own_tokens: Length of its part that no other request has.
        held_there: Whether the upstream holds the rest in its cache.
        held: Whether any upstream does, from which the rest is copied.
    """
    if held_there:
        return own_tokens
    shared = tokens - own_tokens
    return own_tokens + round(shared * COPY_COST_FRACTION if held else shared)
