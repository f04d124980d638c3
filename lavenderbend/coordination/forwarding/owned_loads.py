"""What this router knows of the upstreams that it owns."""

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

# of a prompt that another upstream holds, as a part of what reading it takes
COPY_PART = 0.2
MAX_CHATS = 20_000
MAX_HOLDERS = 3
# a reservation whose end was lost counts no longer than this
MAX_SECONDS = 15.0
MILLISECONDS = 1000

RESERVATIONS = metrics.gauge(
    'lavenderbend_forward_reservations',
    'Requests counted at the upstreams that this router owns.',
)


class NoteKind(enum.IntEnum):
    """What became of a reservation.

    Attributes:
        BEGUN: Its upstream has read the prompt and begun to answer.
        ENDED: The request has ended there, or went elsewhere.
        HELD: Another upstream holds the chat.
    """

    BEGUN = 1
    ENDED = 2
    HELD = 3


@attrs.define
class Counted:
    """A request that is counted at an upstream.

    Attributes:
        unread: Tokens that the upstream has yet to read of its prompt.
        until: Router clock at which it has ended at the latest.
    """

    unread: int
    until: float


class OwnedLoads:
    """Requests at the upstreams that this router owns.

    Each upstream is owned by one router, which is asked before a prompt is
    sent there. In a fleet of hundreds it is the only one that knows at once
    what all have sent: what routers tell each other of loads is half a second
    old, and a prompt is read in a quarter of one. It decides nothing; if it
    is dead, cut off or wrong, routers choose by what they know themselves.

    Attributes:
        host: This router.
        upstreams: Reservations by upstream, then by router and number.
        chats: Upstreams that hold each chat and when they were seen to, the
            latest asked last.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.upstreams: dict[int, dict[tuple[str, int], Counted]] = {}
        self.chats: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def reserve(
        self, asked: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply:
        """Counts a request; returns what was there before it.

        The same question may come twice: it is counted once.
        """
        now = trio.current_time()
        found = self.upstreams.setdefault(asked.upstream, {})
        found.pop((asked.host, asked.number), None)
        drop_ended(found, now)
        holders = self.holders(asked.chat)
        reply = messages_forwarding.ReservationReply(
            asked.number,
            self.host,
            asked.upstream,
            len(found),
            sum(one.unread for one in found.values()),
            holders,
        )
        seconds = min(asked.milliseconds / MILLISECONDS, MAX_SECONDS)
        found[asked.host, asked.number] = Counted(
            unread_tokens(
                asked.tokens,
                asked.own_tokens,
                asked.upstream in holders,
                bool(holders),
            ),
            now + seconds,
        )
        return reply

    def holders(self, chat: int) -> list[int]:
        """Returns the upstreams that hold a chat, the latest first."""
        found = self.chats.get(chat, {})
        return sorted(found, key=found.__getitem__, reverse=True)

    def take(self, notes: messages_forwarding.ReservationNotes) -> None:
        """Takes in what became of reservations; again makes no difference."""
        takers: dict[int, Callable[..., None]] = {
            NoteKind.BEGUN: self.note_begun,
            NoteKind.ENDED: self.note_ended,
            NoteKind.HELD: self.note_held,
        }
        for kind, number, upstream, chat, holder in notes.rows:
            taker = takers.get(kind)
            if taker is not None:
                taker(notes.host, number, upstream, chat, holder)

    def note_begun(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Notes that an upstream has read a prompt."""
        found = self.upstreams.get(upstream, {}).get((host, number))
        if found is not None:
            found.unread = 0
        self.note_held(host, number, upstream, chat, upstream)

    def note_ended(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Notes that a request has ended."""
        self.upstreams.get(upstream, {}).pop((host, number), None)

    def note_held(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Notes who holds a chat."""
        found = self.chats.setdefault(chat, {})
        self.chats.move_to_end(chat)
        found[holder] = trio.current_time()
        if len(found) > MAX_HOLDERS:
            del found[min(found, key=found.__getitem__)]
        if len(self.chats) > MAX_CHATS:
            self.chats.popitem(last=False)

    def tidy(self) -> None:
        """Forgets what has ended."""
        now = trio.current_time()
        for upstream, found in list(self.upstreams.items()):
            drop_ended(found, now)
            if not found:
                del self.upstreams[upstream]
        count = sum(len(found) for found in self.upstreams.values())
        RESERVATIONS.set({}, count)


def drop_ended(found: dict[tuple[str, int], Counted], now: float) -> None:
    """Takes out the requests whose time is over."""
    for key in [key for key, one in found.items() if one.until <= now]:
        del found[key]


def unread_tokens(
    tokens: int, own_tokens: int, held_there: bool, held: bool
) -> int:
    """Returns how many tokens an upstream reads of a prompt, as time taken.

    Args:
        tokens: Length of the prompt.
        own_tokens: Of these, what no other request has.
        held_there: Whether the upstream holds the rest.
        held: Whether any upstream does, from which it is copied.
    """
    if held_there:
        return own_tokens
    shared = tokens - own_tokens
    return own_tokens + round(shared * COPY_PART if held else shared)
