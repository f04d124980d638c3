"""Reserves requests with the routers that own the upstreams."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import owner_calls
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
    from lavenderbend.state import forwarding

FLUSH_SECONDS = 0.05
# Each note is sent twice: if it were lost, the request would be counted until
# its deadline.
NOTE_TRANSMISSIONS = 2
MAX_ROWS = 40
MILLISECONDS = 1000

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
    """

    number: int
    instance: str
    upstream: int
    owner: str = ''
    load: int = 0
    unread: int = 0
    holders: tuple[int, ...] = ()


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
    """

    reservations: Reservations
    reservation: Reservation
    preferred: Reservation
    chat: int
    holders: Sequence[str]

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

    def note_ended(self) -> None:
        """Notifies the owner that the request has ended at the upstream."""
        self.reservations.queue_note(
            self.reservation, owned_loads.NoteKind.ENDED, self.chat
        )
        if not self.chat:
            # others wait for the slot
            self.reservations.flush()


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

    async def reserve(
        self,
        upstream: forwarding.Upstream,
        prompt: PromptSummary,
        seconds: float,
        max_load: int = 0,
    ) -> Reservation | None:
        """Has a request counted at an upstream by its owner.

        Args:
            upstream: The upstream.
            prompt: The prompt of the request.
            seconds: Time after which the reservation expires.
            max_load: Requests at the upstream from which on the request is
                not counted, 0 for no such number.

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
        if host == self.host:
            reply = self.owned.reserve(request)
        else:
            reply = await self.calls.call(host, request)
        if reply is None:
            OWNER_REQUESTS.inc({'answered': 'no'})
            self.owners.note_unresponsive(host)
            # The owner may have counted it, and its replies were lost.
            lost = Reservation(request.number, '', short, host)
            self.queue_note(lost, owned_loads.NoteKind.ENDED, 0)
            return None
        OWNER_REQUESTS.inc({'answered': 'yes'})
        self.owners.note_owner(short, reply.owner)
        return Reservation(
            reply.number,
            upstream.instance,
            short,
            reply.owner,
            reply.load,
            reply.unread_tokens,
            tuple(reply.holders),
        )

    def on_request(
        self, request: messages_forwarding.ReservationRequest
    ) -> None:
        """Replies to a reservation request, or forwards it to the owner."""
        owner = self.owners.relay_target(request)
        if owner != self.host:
            self.link.send(owner, attrs.evolve(request, forwarded=True))
            return
        self.link.send(request.host, self.owned.reserve(request))

    def on_reply(self, reply: messages_forwarding.ReservationReply) -> None:
        """Handles a reply; ends the reservation of one that is too late.

        The second reply to a request that was sent twice ends nothing: the
        request that it counts is in transit.
        """
        if self.calls.take(reply):
            return
        late = Reservation(reply.number, '', reply.upstream, reply.owner)
        self.queue_note(late, owned_loads.NoteKind.ENDED, 0)

    def queue_note(
        self,
        reservation: Reservation,
        kind: owned_loads.NoteKind,
        chat: int,
        holder: int = 0,
    ) -> None:
        """Queues a note on a reservation for its owner."""
        row = [
            int(kind),
            reservation.number,
            reservation.upstream,
            chat,
            holder,
        ]
        if reservation.owner == self.host:
            self.owned.apply_notes(
                messages_forwarding.ReservationNotes(self.host, [row])
            )
            return
        queue = self.notes.setdefault(reservation.owner, collections.deque())
        queue.append((row, NOTE_TRANSMISSIONS))
        self.notes_queued.set()

    async def run(self) -> None:
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
        for owner, queue in list(self.notes.items()):
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
