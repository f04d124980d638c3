"""Requests at the upstreams that this router owns."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

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
    """

    BEGUN = 1
    ENDED = 2
    HELD = 3


@attrs.define
class CountedRequest:
    """A request that its owner counts at an upstream.

    Attributes:
        unread: Prompt tokens that the upstream has yet to process.
        until: Router clock at which the reservation expires.
    """

    unread: int
    until: float


class OwnedLoads:
    """Counts the requests at the upstreams that this router owns.

    Each upstream is owned by one router, and other routers reserve there
    before they send it a prompt. In a fleet of hundreds the owner is the only
    router that knows at once what all others have sent: gossiped loads are
    half a second old, while a prompt takes a quarter of a second to process.
    The owner decides nothing; if it is dead, unreachable or wrong, routers
    choose by their own knowledge.

    Attributes:
        host: This router.
        upstreams: Reservations by upstream, then by router and number.
        chats: Upstreams that hold each chat and the router clock at which
            that was last reported; the most recently updated chat last.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.upstreams: dict[int, dict[tuple[str, int], CountedRequest]] = {}
        self.chats: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def reserve(
        self, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply:
        """Counts a request; returns the load of the upstream before it.

        A reservation request that arrives twice is counted once.
        """
        now = trio.current_time()
        counted = self.upstreams.setdefault(request.upstream, {})
        counted.pop((request.host, request.number), None)
        drop_expired(counted, now)
        holders = self.holders(request.chat)
        reply = messages_forwarding.ReservationReply(
            request.number,
            self.host,
            request.upstream,
            len(counted),
            sum(other.unread for other in counted.values()),
            holders,
        )
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
        return reply

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
        self.upstreams.get(upstream, {}).pop((host, number), None)

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
            drop_expired(counted, now)
            if not counted:
                del self.upstreams[upstream]
        count = sum(len(counted) for counted in self.upstreams.values())
        RESERVATIONS.set({}, count)


def drop_expired(
    counted: dict[tuple[str, int], CountedRequest], now: float
) -> None:
    """Removes the expired requests."""
    for key in [
        key for key, request in counted.items() if request.until <= now
    ]:
        del counted[key]


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
