"""Reserves requests with the routers that own the upstreams."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import owner_calls
from lavenderbend.coordination.forwarding.admission import grants
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import loads
    from lavenderbend.coordination.forwarding import owners as owners_module
    from lavenderbend.coordination.forwarding.admission import demand as demands
    from lavenderbend.state import forwarding

Outcome = messages_forwarding.ReservationOutcome
Shortage = messages_forwarding.Shortage

FLUSH_SECONDS = 0.05
# Each note is sent twice: if it were lost, the request would be counted until
# its deadline.
NOTE_TRANSMISSIONS = 2
MAX_ROWS = 40
MILLISECONDS = 1000
# A reply to an abandoned wait arrives at most this many abandoned waits later.
MAX_ABANDONED = 1024
# A router without a reservation at an upstream tells its owner of the pace at
# this interval at most.
PACE_INTERVAL_SECONDS = 0.1
MAX_PACES = 10_000

OWNER_REQUESTS = metrics.counter(
    'lavenderbend_forward_owners_asked_total',
    'Questions to the owners of upstreams, by whether they answered.',
)


@attrs.frozen
class PromptSummary:
    """The data on a request's prompt that is sent to an owner.

    Attributes:
        chat: Short id of its chat.
        tokens: Its length.
        own_tokens: Length of the part that no other request has.
    """

    chat: int
    tokens: int
    own_tokens: int


NO_PROMPT = PromptSummary(0, 0, 0)


@attrs.define
class Reservation:
    """One request at one upstream, as counted by the owner of the upstream.

    Attributes:
        number: Identifies it among the reservations of this router.
        instance: The upstream.
        upstream: Short id of the upstream.
        owner: The router that counts it, empty if none does.
        load: Requests that the upstream had before.
        unread: Prompt tokens that the upstream had yet to process.
        holders: Short ids of upstreams that hold the chat.
        outcome: A `ReservationOutcome`.
        shortage: A `Shortage`: why it was not granted.
        expected_seconds: Expected time until the upstream begins with the
            request, 0 if the owner states none.
        queued: Requests that wait for the upstream at its owner.
        request: The message to the owner, which is resent during a wait.
        sent_at: Router clock at which it was last sent.
        wait_end: How the wait for it ended, None if it has not waited.
    """

    number: int
    instance: str
    upstream: int
    owner: str = ''
    load: int = 0
    unread: int = 0
    holders: tuple[int, ...] = ()
    outcome: int = Outcome.GRANTED
    shortage: int = Shortage.NONE
    expected_seconds: float = 0.0
    queued: int = 0
    request: messages_forwarding.ReservationRequest | None = None
    sent_at: float = 0.0
    wait_end: grants.WaitEnd | None = None

    @property
    def granted(self) -> bool:
        """Whether the owner counts the request, which may be sent."""
        return self.outcome == Outcome.GRANTED

    def apply_reply(self, reply: messages_forwarding.ReservationReply) -> None:
        """Takes over what the owner replied."""
        self.owner = reply.owner
        self.load = reply.load
        self.unread = reply.unread_tokens
        self.holders = tuple(reply.holders)
        self.outcome = reply.outcome
        self.shortage = reply.shortage
        self.expected_seconds = reply.expected_milliseconds / MILLISECONDS
        self.queued = reply.queued


@attrs.frozen
class ActiveReservation:
    """The reservation that a request uses.

    Attributes:
        reservations: Sends notes to owners.
        reservation: The reservation at the upstream that gets the request.
        preferred: The reservation at the chat's preferred upstream, whose
            owner records which upstreams hold the chat.
        chat: Short id of the chat.
        holders: Upstreams that hold the chat, according to that owner.
        urgent: Whether other requests may wait for what these notes free, so
            that they are sent at once.
    """

    reservations: Reservations
    reservation: Reservation
    preferred: Reservation
    chat: int
    holders: Sequence[str]
    urgent: bool = False

    def note_begun(self) -> None:
        """Notifies owners that the upstream has processed the prompt."""
        if not self.chat:
            # the request has no prompt
            return
        queue_note = self.reservations.queue_note
        queue_note(self.reservation, owned_loads.NoteKind.BEGUN, self.chat)
        if self.preferred is not self.reservation:
            queue_note(
                self.preferred,
                owned_loads.NoteKind.HELD,
                self.chat,
                self.reservation.upstream,
            )
        if self.urgent:
            self.reservations.flush_owner(self.reservation.owner)

    def note_ended(self) -> None:
        """Notifies the owner that the request has ended at the upstream."""
        self.reservations.queue_note(
            self.reservation, owned_loads.NoteKind.ENDED, self.chat
        )
        if not self.chat:
            # others wait for the slot
            self.reservations.flush()
        elif self.urgent:
            self.reservations.flush_owner(self.reservation.owner)


class Reservations:
    """Reserves with the owners of upstreams, and replies as an owner.

    Attributes:
        host: This router.
        owners: Finds the owners.
        owned: Requests at the upstreams that this router owns.
        link: Carries messages to other routers.
        numbers: Numbers of the next reservations.
        calls: Reservation requests to other routers.
        notes: Rows to be sent, by owner, each with the remaining number of
            transmissions.
        notes_queued: Set while there are rows to be sent.
        waiting: Reservations that wait at owners, by number, and the state of
            each wait.
        abandoned: Numbers of reservations whose wait ended without a grant,
            the latest last.
        paces_sent_at: Router clock at which the owner of each upstream was
            last told of its pace without a reservation.
        nursery: Runs its tasks, None before `run`.
        grants_started: Whether the task that grants waiting requests runs.
    """

    def __init__(
        self,
        host: str,
        owners: owners_module.Owners,
        link: interfaces.DatagramLink,
        rng: random.Random,
        last_report: Callable[[int], loads.LoadReport | None],
    ) -> None:
        self.host = host
        self.owners = owners
        self.owned = owned_loads.OwnedLoads(host, last_report)
        self.link = link
        self.numbers = itertools.count(rng.getrandbits(30))
        self.calls = owner_calls.OwnerCalls(link)
        self.notes: dict[str, collections.deque[tuple[list[int], int]]] = {}
        self.notes_queued = trio.Event()
        self.waiting: dict[int, tuple[Reservation, grants.WaitState]] = {}
        self.abandoned: collections.deque[int] = collections.deque(
            maxlen=MAX_ABANDONED
        )
        self.paces_sent_at: dict[int, float] = {}
        self.nursery: trio.Nursery | None = None
        self.grants_started = False
        self.owned.on_grant = self.send_grant

    async def reserve(
        self,
        upstream: forwarding.Upstream,
        prompt: PromptSummary,
        seconds: float,
        max_load: int = 0,
        demand: demands.Demand | None = None,
        wait_seconds: float = 0.0,
    ) -> Reservation | None:
        """Has a request counted at an upstream by its owner.

        Args:
            upstream: The upstream.
            prompt: The prompt of the request.
            seconds: Time after which the reservation expires.
            max_load: Requests at the upstream from which on the request is
                not counted, 0 for no such number.
            demand: What the request needs, None if the owner may not decline
                it.
            wait_seconds: How long it may wait at the owner, 0 to be declined
                at once. A reservation that waits is to be passed to
                `Grants.wait` before anything else is awaited.

        Returns:
            The reservation, None if no router replied in time.
        """
        short = hashing.short_id(upstream.instance)
        zone = upstream.vm.availability_zone
        host = self.owners.router_to_ask(short, zone)
        if host is None:
            OWNER_REQUESTS.inc({'answered': 'nobody known'})
            return None
        request = messages_forwarding.ReservationRequest(
            next(self.numbers),
            self.host,
            short,
            zone,
            prompt.chat,
            prompt.tokens,
            prompt.own_tokens,
            max(1, round(seconds * MILLISECONDS)),
            max_load=max_load,
        )
        if demand is not None:
            request = with_demand(request, demand, wait_seconds)
        if host == self.host:
            reply = self.answer(request)
        else:
            reply = await self.call(host, request)
        if reply is None:
            OWNER_REQUESTS.inc({'answered': 'no'})
            self.owners.note_unresponsive(host)
            return None
        OWNER_REQUESTS.inc({'answered': 'yes'})
        self.owners.note_owner(short, reply.owner)
        reservation = Reservation(reply.number, upstream.instance, short)
        reservation.request = request
        reservation.sent_at = trio.current_time()
        reservation.apply_reply(reply)
        if demand is not None:
            self.decline_over_limit(reservation, max_load)
        if reservation.outcome == Outcome.WAITING:
            until = trio.current_time() + wait_seconds
            self.waiting[reservation.number] = (
                reservation,
                grants.WaitState(until),
            )
        return reservation

    async def call(
        self, host: str, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply | None:
        """Asks an owner; returns its reply, None if there is none in time.

        The owner may have counted a request of which no reply is used.
        """
        reply = None
        try:
            reply = await self.calls.call(host, request)
        finally:
            if reply is None:
                unused = Reservation(request.number, '', request.upstream, host)
                self.queue_note(unused, owned_loads.NoteKind.ENDED, 0)
        return reply

    def decline_over_limit(
        self, reservation: Reservation, max_load: int
    ) -> None:
        """Marks a reservation that an owner of the previous build declined.

        Such an owner does not count a request from `max_load` on, states no
        outcome and has no queue.
        """
        if not reservation.granted or not 0 < max_load <= reservation.load:
            return
        self.queue_note(reservation, owned_loads.NoteKind.ENDED, 0)
        reservation.outcome = Outcome.DECLINED
        reservation.shortage = Shortage.QUEUE

    def resend(self, reservation: Reservation, max_load: int) -> None:
        """Sends the message of a waiting reservation again.

        Args:
            reservation: The reservation.
            max_load: Requests that the upstream may hold now.
        """
        now = trio.current_time()
        reservation.request = attrs.evolve(
            with_less_time(reservation.request, now - reservation.sent_at),
            max_load=max_load,
        )
        reservation.sent_at = now
        if reservation.owner != self.host:
            self.link.send(reservation.owner, reservation.request)
            return
        self.on_reply(self.answer(reservation.request))

    def keep(self, reservation: Reservation) -> None:
        """Ends the wait for a reservation that was granted.

        Further replies to its resends end nothing.
        """
        del self.waiting[reservation.number]
        self.calls.answered.append(reservation.number)

    def abandon(self, reservation: Reservation) -> None:
        """Ends the wait for a reservation that is not used."""
        del self.waiting[reservation.number]
        self.abandoned.append(reservation.number)
        self.queue_note(reservation, owned_loads.NoteKind.ENDED, 0)
        self.flush_owner(reservation.owner)

    def release(self, reservation: Reservation) -> None:
        """Has the owner count a reservation no more that is not used."""
        if not reservation.granted:
            return
        self.queue_note(reservation, owned_loads.NoteKind.ENDED, 0)
        if reservation.queued:
            # others wait for what it frees
            self.flush_owner(reservation.owner)

    def send_grant(
        self, host: str, reply: messages_forwarding.ReservationReply
    ) -> None:
        """Sends an entry the grant for a request that waited here."""
        if host == self.host:
            self.on_reply(reply)
            return
        self.link.send(host, reply)

    def note_pace(
        self,
        upstream: forwarding.Upstream,
        reservation: Reservation | None,
        percent: int,
    ) -> None:
        """Notifies the owner how long work takes at an upstream.

        Args:
            upstream: The upstream.
            reservation: A reservation there, None if the request has none.
            percent: The time, in percent of the usual time.
        """
        if reservation is None:
            reservation = self.pace_receiver(upstream)
        if reservation is not None:
            # A copy that is sent later could replace a newer pace.
            self.queue_note(
                reservation, owned_loads.NoteKind.PACE, 0, percent, 1
            )

    def pace_receiver(
        self, upstream: forwarding.Upstream
    ) -> Reservation | None:
        """Returns where a pace is sent, None if it was sent a moment ago."""
        now = trio.current_time()
        short = hashing.short_id(upstream.instance)
        sent_at = self.paces_sent_at.get(short, float('-inf'))
        if now - sent_at < PACE_INTERVAL_SECONDS:
            return None
        if len(self.paces_sent_at) >= MAX_PACES:
            self.paces_sent_at.clear()
        self.paces_sent_at[short] = now
        zone = upstream.vm.availability_zone
        owner = self.owners.router_to_ask(short, zone)
        if owner is None:
            return None
        return Reservation(0, upstream.instance, short, owner)

    def on_request(
        self, request: messages_forwarding.ReservationRequest
    ) -> None:
        """Replies to a reservation request, or forwards it to the owner."""
        owner = self.owners.relay_target(request)
        if owner != self.host:
            self.link.send(owner, attrs.evolve(request, forwarded=True))
            return
        self.link.send(request.host, self.answer(request))

    def on_reply(self, reply: messages_forwarding.ReservationReply) -> None:
        """Handles a reply; ends the reservation of one that is too late.

        The second reply to a request that was sent twice ends nothing: the
        request that it counts is in transit.
        """
        if reply.number in self.waiting:
            reservation, state = self.waiting[reply.number]
            if state.outcome == Outcome.GRANTED:
                return
            reservation.apply_reply(reply)
            self.decline_over_limit(reservation, reservation.request.max_load)
            state.note_reply(reservation.outcome)
            return
        abandoned = reply.number in self.abandoned
        if not abandoned and self.calls.take(reply):
            return
        if reply.outcome == Outcome.DECLINED:
            return
        late = Reservation(reply.number, '', reply.upstream, reply.owner)
        self.queue_note(late, owned_loads.NoteKind.ENDED, 0)

    def queue_note(
        self,
        reservation: Reservation,
        kind: owned_loads.NoteKind,
        chat: int,
        value: int = 0,
        transmissions: int = NOTE_TRANSMISSIONS,
    ) -> None:
        """Queues a note on a reservation for its owner.

        Args:
            reservation: The reservation.
            kind: What the note tells.
            chat: Short id of the chat.
            value: Last number of the row: the holder or the pace.
            transmissions: How often it is sent.
        """
        row = [
            int(kind),
            reservation.number,
            reservation.upstream,
            chat,
            value,
        ]
        if reservation.owner == self.host:
            self.owned.apply_notes(
                messages_forwarding.ReservationNotes(self.host, [row])
            )
            return
        queue = self.notes.setdefault(reservation.owner, collections.deque())
        queue.append((row, transmissions))
        self.notes_queued.set()

    async def run(self) -> None:
        """Sends queued notes to owners, and grants what waits here."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.send_notes()

    def answer(
        self, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply:
        """Returns the reply of this router as the owner.

        Grants by the passage of time begin with the first request that may
        wait; where none does, no further task runs.
        """
        if request.checks_room and self.nursery and not self.grants_started:
            self.grants_started = True
            self.nursery.start_soon(self.owned.run)
        return self.owned.reserve(request)

    async def send_notes(self) -> None:
        """Sends queued notes to owners."""
        while True:
            await self.notes_queued.wait()
            # Notes that are queued soon afterwards go into the same message.
            await trio.sleep(FLUSH_SECONDS)
            self.flush()
            if not self.notes:
                self.notes_queued = trio.Event()

    def flush(self) -> None:
        """Sends each owner one message of queued notes."""
        for owner in list(self.notes):
            self.flush_owner(owner)

    def flush_owner(self, owner: str) -> None:
        """Sends an owner one message of queued notes, if there are any."""
        queue = self.notes.get(owner)
        if queue is None:
            return
        rows = []
        for _ in range(min(MAX_ROWS, len(queue))):
            row, transmissions = queue.popleft()
            rows.append(row)
            if transmissions > 1:
                queue.append((row, transmissions - 1))
        if not queue:
            del self.notes[owner]
        self.link.send(
            owner, messages_forwarding.ReservationNotes(self.host, rows)
        )


def with_demand(
    request: messages_forwarding.ReservationRequest,
    demand: demands.Demand,
    wait_seconds: float,
) -> messages_forwarding.ReservationRequest:
    """Returns a request that the owner may decline or have wait."""
    # A request without a target has one that has passed.
    target = max(0.0, demand.target_at - trio.current_time())
    return attrs.evolve(
        request,
        rank=demand.rank,
        customer=demand.customer,
        output_tokens=demand.output_tokens,
        target_milliseconds=round(target * MILLISECONDS),
        checks_room=True,
        wait_milliseconds=max(0, round(wait_seconds * MILLISECONDS)),
    )


def with_less_time(
    request: messages_forwarding.ReservationRequest, seconds: float
) -> messages_forwarding.ReservationRequest:
    """Returns a request as it is some seconds after it was sent.

    Its times count from its arrival, and an owner that has dropped it, or a new
    one, decides anew.
    """
    passed = round(seconds * MILLISECONDS)
    return attrs.evolve(
        request,
        lifetime_milliseconds=max(1, request.lifetime_milliseconds - passed),
        target_milliseconds=max(0, request.target_milliseconds - passed),
        wait_milliseconds=max(1, request.wait_milliseconds - passed),
    )
