"""Requests at the upstreams that this router owns."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding.admission import demand as demands
from lavenderbend.coordination.forwarding.admission import owner_queue
from lavenderbend.coordination.forwarding.admission import pace as paces
from lavenderbend.coordination.forwarding.admission import room as rooms
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
# Notes may fail to arrive and load reports change: what waits is checked this
# often.
GRANT_SECONDS = 0.02

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


def no_report(upstream: int) -> None:
    """Returns no load report of any upstream."""


def ignore_grant(
    host: str, reply: messages_forwarding.ReservationReply
) -> None:
    """Leaves a grant to the next resend of its request."""


def is_present(upstream: int) -> bool:
    """Returns that every upstream exists."""
    return True


class OwnedLoads:
    """Counts the requests at the upstreams that this router owns.

    Each upstream is owned by one router, and other routers reserve there
    before they send it a prompt. In a fleet of hundreds the owner is the only
    router that knows at once what all others have sent: gossiped loads are
    half a second old, while a prompt takes a quarter of a second to process.
    The owner declines or queues only requests that say so; if it is dead,
    unreachable or wrong, routers choose by their own knowledge.

    Requests that the owner does not count are known from the upstream's load
    reports only: the excess of the last report over the reservations that were
    live at its time is added to the reservations that are live now.

    Attributes:
        host: This router.
        last_report: Returns the last load report of an upstream, None if it is
            unknown or expired.
        upstreams: Reservations by upstream.
        table: The same reservations, combined with the load reports.
        chats: Upstreams that hold each chat and the router clock at which
            that was last reported; the most recently updated chat last.
        paces: How fast upstreams are.
        queue: Decides on requests that may be declined or wait.
        queued: Set while requests may be waiting.
        on_grant: Called with the entry's host and the reply for each request
            that is granted after waiting.
        is_present: Returns whether an upstream still exists.
        memory_tokens: Returns the capacity of an upstream's memory, None if
            it is unknown.
    """

    def __init__(
        self,
        host: str,
        last_report: Callable[[int], loads.LoadReport | None] = no_report,
    ) -> None:
        self.host = host
        self.last_report = last_report
        self.upstreams: dict[int, rooms.Room] = {}
        self.table = permits.PermitTable()
        self.chats: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )
        self.paces: dict[int, paces.UpstreamPace] = {}
        self.queue = owner_queue.OwnerQueue(self)
        self.queued = trio.Event()
        self.on_grant: Callable[
            [str, messages_forwarding.ReservationReply], None
        ] = ignore_grant
        self.is_present: Callable[[int], bool] = is_present
        self.memory_tokens: Callable[[int], int | None] = lambda upstream: None

    def reserve(
        self, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply:
        """Returns the reply to a request, the first one or a resend.

        A request that checks for room is counted, queued or declined; any
        other is counted, unless the upstream holds its `max_load`. The load
        in the reply is that before the request, which is counted once however
        often it arrives.
        """
        now = trio.current_time()
        if request.checks_room:
            self.drop_expired(request.upstream, now)
            reply = self.queue.answer(request, now)
            if self.queue.queues:
                self.queued.set()
            return reply
        self.discard(request)
        self.drop_expired(request.upstream, now)
        reply = messages_forwarding.ReservationReply(
            request.number,
            self.host,
            request.upstream,
            self.load(request.upstream),
            self.room(request.upstream).unread(),
            self.holders(request.chat),
        )
        if 0 < request.max_load <= reply.load:
            return reply
        need = demands.of_request(request, now)
        until = min(need.deadline, now + owner_queue.MAX_RESERVATION_SECONDS)
        unread = self.unread(request.upstream, need)
        counted = rooms.count(need, unread, until, now)
        counted.measured_tokens = 0 if reply.unread_tokens else unread
        self.count(request, counted)
        return reply

    def count(
        self,
        request: messages_forwarding.ReservationRequest,
        counted: rooms.CountedRequest,
    ) -> None:
        """Counts a request at its upstream."""
        room = self.room(request.upstream)
        room.counted[request.host, request.number] = counted
        self.table.add(
            permits.LivePermit(
                request.host,
                request.number,
                table_key(request.upstream),
                counted.granted_at,
            )
        )

    def room(self, upstream: int) -> rooms.Room:
        """Returns what is counted at an upstream."""
        room = self.upstreams.get(upstream)
        if room is None:
            room = rooms.Room(memory_tokens=self.memory_tokens(upstream))
            self.upstreams[upstream] = room
        return room

    def pace(self, upstream: int) -> paces.UpstreamPace:
        """Returns how fast an upstream is."""
        pace = self.paces.get(upstream)
        if pace is None:
            pace = self.paces[upstream] = paces.UpstreamPace()
        return pace

    def unread(self, upstream: int, need: demands.Demand) -> int:
        """Returns the tokens that an upstream would process for a request."""
        holders = self.chats.get(need.chat, {})
        return unread_tokens(
            need.tokens, need.own_tokens, upstream in holders, bool(holders)
        )

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
        room = self.room(request.upstream)
        room.counted.pop((request.host, request.number), None)
        permit = self.table.get(request.host, request.number)
        if permit is not None:
            self.table.discard(permit)

    def holders(self, chat: int) -> list[int]:
        """Returns the upstreams that hold a chat, the latest first."""
        holders = self.chats.get(chat, {})
        return sorted(holders, key=holders.__getitem__, reverse=True)

    def apply_notes(self, notes: messages_forwarding.ReservationNotes) -> None:
        """Applies notes about reservations; idempotent.

        Rows of a kind that this version does not know are ignored. Waiting
        requests that fit afterwards are granted.
        """
        handlers: dict[int, Callable[..., None]] = {
            NoteKind.BEGUN: self.note_begun,
            NoteKind.ENDED: self.note_ended,
            NoteKind.HELD: self.note_held,
            NoteKind.PACE: self.note_pace,
        }
        for kind, number, upstream, chat, holder in notes.rows:
            handler = handlers.get(kind)
            if handler is not None:
                handler(notes.host, number, upstream, chat, holder)
        for upstream in {row[2] for row in notes.rows}:
            self.queue.grant_changed(upstream, trio.current_time())

    def note_begun(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Records that an upstream processed a prompt and holds its chat."""
        counted = self.counted(host, number, upstream)
        if counted is not None and not counted.begun:
            now = trio.current_time()
            counted.begun = True
            counted.unread = 0
            seconds = now - counted.granted_at
            self.pace(upstream).note_begun(
                counted.measured_tokens, seconds, now
            )
        self.note_held(host, number, upstream, chat, upstream)

    def note_ended(
        self, host: str, number: int, upstream: int, chat: int, holder: int
    ) -> None:
        """Removes a request that has ended, or that waits no longer."""
        now = trio.current_time()
        self.queue.note_ended(upstream, (host, number), now)
        counted = self.counted(host, number, upstream)
        if counted is None:
            return
        del self.upstreams[upstream].counted[host, number]
        self.table.remove(host, number, now)
        # A prompt that ends before the upstream began was sent elsewhere.
        if counted.begun or not counted.chat:
            self.pace(upstream).note_ended(now - counted.granted_at, now)

    def note_pace(
        self, host: str, number: int, upstream: int, chat: int, percent: int
    ) -> None:
        """Records the pace that an upstream stated."""
        self.pace(upstream).note_percent(percent, trio.current_time())

    def counted(
        self, host: str, number: int, upstream: int
    ) -> rooms.CountedRequest | None:
        """Returns a counted request, None if it is not counted."""
        room = self.upstreams.get(upstream)
        return None if room is None else room.counted.get((host, number))

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

    async def run(self) -> None:
        """Grants waiting requests that fit by the passage of time."""
        while True:
            await self.queued.wait()
            await trio.sleep(GRANT_SECONDS)
            self.grant_ready()
            if not self.queue.queues:
                self.queued = trio.Event()

    def grant_ready(self) -> None:
        """Grants waiting requests that fit by now, and drops overdue ones."""
        now = trio.current_time()
        for upstream in list(self.queue.queues):
            self.drop_expired(upstream, now)
        self.queue.grant_ready(now)

    def remove_expired(self) -> None:
        """Removes expired reservations and updates the metrics."""
        now = trio.current_time()
        for upstream in list(self.queue.queues):
            if not self.is_present(upstream):
                self.queue.drop_upstream(upstream)
        for upstream, room in list(self.upstreams.items()):
            self.drop_expired(upstream, now)
            if not room:
                del self.upstreams[upstream]
        for upstream, pace in list(self.paces.items()):
            if upstream not in self.upstreams and pace.is_idle(now):
                del self.paces[upstream]
        self.table.remove_idle(now)
        self.grant_ready()
        self.queue.remove_expired(now)
        RESERVATIONS.set({}, sum(len(room) for room in self.upstreams.values()))

    def drop_expired(self, upstream: int, now: float) -> None:
        """Removes the expired reservations at an upstream."""
        room = self.upstreams.get(upstream)
        if room is None:
            return
        for host, number in [
            key for key, counted in room.counted.items() if counted.until <= now
        ]:
            del room.counted[host, number]
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
