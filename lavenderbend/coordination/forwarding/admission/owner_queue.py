"""Decisions of an owner: which requests are sent to an upstream, and when."""

from __future__ import annotations

import itertools
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.forwarding.admission import demand as demands
from lavenderbend.coordination.forwarding.admission import room as rooms
from lavenderbend.coordination.forwarding.admission import waiting as waitings
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lavenderbend.coordination.forwarding.admission import pace as paces

# Entries resend a waiting request every 0.1 s; after three lost messages in a
# row it is dropped.
UNHEARD_SECONDS = 0.35
# Changes that show in nothing that the upstream holds, such as targets that
# have passed, take effect within this time.
RECHECK_SECONDS = 0.1
# A reservation whose end was lost expires after this time.
MAX_RESERVATION_SECONDS = 15.0
MILLISECONDS = 1000
WAIT_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)

WAITING = metrics.gauge(
    'lavenderbend_forward_waiting_requests',
    'Requests waiting for upstreams that this router owns.',
)
REPLIES = metrics.counter(
    'lavenderbend_forward_admission_decisions_total',
    'Decisions of this router as the owner of upstreams on requests that it '
    'may decline, by outcome and by what the upstream had too little of.',
)
WAITED = metrics.histogram(
    'lavenderbend_forward_waited_seconds',
    'Time that requests waited for upstreams that this router owns, by '
    'outcome.',
    WAIT_BUCKETS_SECONDS,
)

Outcome = messages_forwarding.ReservationOutcome
Shortage = messages_forwarding.Shortage
Request = messages_forwarding.ReservationRequest
Reply = messages_forwarding.ReservationReply


class Ledger(Protocol):
    """The requests counted at the upstreams of this router.

    Attributes:
        host: This router.
        on_grant: Called with the entry's host and the reply for each request
            that is granted after waiting.
    """

    host: str
    on_grant: Callable[[str, Reply], None]

    def room(self, upstream: int) -> rooms.Room:
        """Returns what is counted at an upstream."""

    def load(self, upstream: int) -> int:
        """Returns how many requests an upstream has."""

    def pace(self, upstream: int) -> paces.UpstreamPace:
        """Returns how fast an upstream is."""

    def holders(self, chat: int) -> list[int]:
        """Returns the upstreams that hold a chat, the latest first."""

    def unread(self, upstream: int, need: demands.Demand) -> int:
        """Returns the tokens that an upstream would process for a request."""

    def count(self, request: Request, counted: rooms.CountedRequest) -> None:
        """Counts a request at its upstream."""


@attrs.define
class Declined:
    """The reply to a declined or ended request, for its next resends.

    A resend that overtakes the reply or the end must not be counted: its
    entry has gone on, and would not end it.

    Attributes:
        reply: The reply.
        heard_at: Router clock at which the entry last sent the request.
    """

    reply: Reply
    heard_at: float


@attrs.define
class WorkAhead:
    """The work that an upstream does before it begins a request.

    Attributes:
        pace: How fast the upstream is.
        load: Requests that it holds.
        tokens: Prompt tokens to be processed.
        chats: Chats whose prompts are among them.
        position: Waiting requests that are served before.
    """

    pace: paces.UpstreamPace
    load: int
    tokens: int
    chats: set[int]
    position: int = 0

    def add(self, waiting: waitings.WaitingRequest) -> None:
        """Adds a waiting request; a chat's prompt is processed once."""
        need = waiting.need
        self.position += 1
        if need.chat and need.chat in self.chats:
            self.tokens += min(waiting.unread, need.own_tokens)
            return
        self.tokens += waiting.unread
        if waiting.unread > rooms.LIGHT_TOKENS:
            self.chats.add(need.chat)

    def seconds(self, request: Request, now: float) -> float:
        """Returns the expected time until a request begins."""
        over = 0
        if request.max_load:
            over = self.load + self.position + 1 - request.max_load
        slots = self.pace.slot_seconds(over, request.max_load, now)
        if not request.tokens:
            return slots
        return max(slots, self.pace.reading_seconds(self.tokens, now))


class OwnerQueue:
    """Grants, queues and declines requests for the upstreams of this router.

    Attributes:
        owned: Counts the requests that are granted.
        queues: Waiting requests by upstream, none of them empty.
        declined: Replies to requests that were declined or have ended, by
            upstream, then by router and number.
        checked: For each upstream with waiting requests, the router clock at
            which they were last considered and what it held afterwards.
    """

    def __init__(self, owned: Ledger) -> None:
        self.owned = owned
        self.queues: dict[int, waitings.WaitingRequests] = {}
        self.declined: dict[int, dict[rooms.Key, Declined]] = {}
        self.checked: dict[int, tuple[float, rooms.Occupancy]] = {}

    def answer(self, request: Request, now: float) -> Reply:
        """Returns the reply to a request, the first one or a resend."""
        key = (request.host, request.number)
        counted = self.owned.room(request.upstream).counted.get(key)
        if counted is not None and counted.reply is not None:
            return counted.reply
        declined = self.declined.get(request.upstream, {}).get(key)
        if declined is not None:
            declined.heard_at = now
            return declined.reply
        queue = self.queues.get(request.upstream)
        if queue is None:
            return self.decide(request, now)
        waiting = queue.get(key)
        if waiting is None:
            self.grant_waiting(request.upstream, now)
            return self.decide(request, now)
        waiting.heard_at = now
        # The load bound may have changed since the entry sent it last.
        waiting.message = request
        reading = self.reading_seconds(waiting, now)
        if self.end_overdue(waiting, reading, now):
            self.remove_empty(request.upstream)
            return self.declined[request.upstream][key].reply
        return self.state_of(waiting, now)

    def decide(self, request: Request, now: float) -> Reply:
        """Grants, queues or declines a new request."""
        need = demands.of_request(request, now)
        unread = self.owned.unread(request.upstream, need)
        occupancy = self.occupancy(request.upstream, now)
        room = self.owned.room(request.upstream)
        shortage = room.shortage(occupancy, need, unread, request.max_load)
        if shortage is Shortage.NONE:
            return self.grant(request, need, unread, occupancy, now)
        waiting = waitings.WaitingRequest(
            request,
            need,
            now,
            now + request.wait_milliseconds / MILLISECONDS,
            now,
            unread=unread,
            shortage=shortage,
        )
        reading = self.reading_seconds(waiting, now)
        waiting.in_time = waiting.can_meet_target(reading, now)
        waiting.expected_seconds = self.expected(waiting, occupancy, now)
        if now + waiting.expected_seconds + reading > need.deadline:
            return self.decline(waiting, Shortage.TIME, occupancy)
        if not request.wait_milliseconds:
            return self.decline(waiting, shortage, occupancy)
        return self.enqueue(waiting, occupancy, now)

    def enqueue(
        self,
        waiting: waitings.WaitingRequest,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> Reply:
        """Queues a request.

        If the queue is full the last request in order is declined, not the
        newest: one customer with many requests would fill the queue, and
        those of others would always find it full.
        """
        upstream = waiting.message.upstream
        queue = self.queues.setdefault(upstream, waitings.WaitingRequests())
        queue.add(waiting)
        self.checked.setdefault(upstream, (now, occupancy))
        if len(queue) > waitings.MAX_WAITING:
            last = queue.last()
            if last is waiting:
                queue.remove(waiting)
                return self.decline(waiting, Shortage.QUEUE, occupancy)
            self.end(last, Shortage.QUEUE, now)
        REPLIES.inc({'outcome': 'waiting', 'short': waiting.shortage.name})
        return self.reply(
            waiting.message,
            Outcome.WAITING,
            waiting.shortage,
            waiting.expected_seconds,
            occupancy,
        )

    def state_of(self, waiting: waitings.WaitingRequest, now: float) -> Reply:
        """Returns the reply to a resend of a request that still waits."""
        upstream = waiting.message.upstream
        return self.reply(
            waiting.message,
            Outcome.WAITING,
            waiting.shortage,
            waiting.expected_seconds,
            self.occupancy(upstream, now),
        )

    def grant(
        self,
        request: Request,
        need: demands.Demand,
        unread: int,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> Reply:
        """Counts a request that fits."""
        pace = self.owned.pace(request.upstream)
        ahead = WorkAhead(pace, occupancy.load, occupancy.unread, set())
        reply = self.reply(
            request,
            Outcome.GRANTED,
            Shortage.NONE,
            ahead.seconds(request, now),
            occupancy,
        )
        until = min(need.deadline, now + MAX_RESERVATION_SECONDS)
        counted = rooms.count(need, unread, until, now)
        counted.measured_tokens = 0 if occupancy.reading else unread
        counted.reply = reply
        self.owned.count(request, counted)
        occupancy.add(counted, now)
        occupancy.load += 1
        REPLIES.inc({'outcome': 'granted', 'short': Shortage.NONE.name})
        return reply

    def decline(
        self,
        waiting: waitings.WaitingRequest,
        shortage: Shortage,
        occupancy: rooms.Occupancy,
    ) -> Reply:
        """Returns the reply to a request that is neither sent nor queued."""
        REPLIES.inc({'outcome': 'declined', 'short': shortage.name})
        reply = self.reply(
            waiting.message,
            Outcome.DECLINED,
            shortage,
            waiting.expected_seconds,
            occupancy,
        )
        self.remember(waiting.key, reply, waiting.heard_at)
        return reply

    def remember(self, key: rooms.Key, reply: Reply, now: float) -> None:
        """Keeps the reply to the next resends of a request."""
        by_key = self.declined.setdefault(reply.upstream, {})
        by_key[key] = Declined(reply, now)

    def reply(
        self,
        request: Request,
        outcome: Outcome,
        shortage: Shortage,
        expected_seconds: float,
        occupancy: rooms.Occupancy,
    ) -> Reply:
        """Returns a reply with the state of the upstream."""
        return Reply(
            request.number,
            self.owned.host,
            request.upstream,
            occupancy.load,
            occupancy.unread,
            self.owned.holders(request.chat),
            int(outcome),
            int(shortage),
            round(expected_seconds * MILLISECONDS),
            len(self.queues.get(request.upstream, ())),
        )

    def expected(
        self,
        waiting: waitings.WaitingRequest,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> float:
        """Returns the expected time until a new request begins, in seconds."""
        upstream = waiting.message.upstream
        ahead = self.work_ahead(upstream, occupancy)
        queue = self.queues.get(upstream)
        if queue is not None:
            position = queue.ahead(waiting.need, waiting.in_time)
            for other in itertools.islice(queue, position):
                ahead.add(other)
        return ahead.seconds(waiting.message, now)

    def work_ahead(
        self, upstream: int, occupancy: rooms.Occupancy
    ) -> WorkAhead:
        """Returns the work of the requests that an upstream holds."""
        return WorkAhead(
            self.owned.pace(upstream),
            occupancy.load,
            occupancy.unread,
            set(occupancy.chats_reading),
        )

    def occupancy(self, upstream: int, now: float) -> rooms.Occupancy:
        """Returns what an upstream holds."""
        load = self.owned.load(upstream)
        return self.owned.room(upstream).occupancy(load, now)

    def reading_seconds(
        self, waiting: waitings.WaitingRequest, now: float
    ) -> float:
        """Returns the time from the beginning of a request to its output."""
        tokens = waiting.unread
        if waiting.shortage is Shortage.CHAT:
            tokens = min(tokens, waiting.need.own_tokens)
        pace = self.owned.pace(waiting.message.upstream)
        return pace.reading_seconds(tokens, now)

    def grant_ready(self, now: float) -> None:
        """Grants waiting requests at upstreams where anything has changed."""
        for upstream in list(self.queues):
            self.grant_changed(upstream, now)

    def grant_changed(self, upstream: int, now: float) -> None:
        """Grants waiting requests if what their upstream holds has changed.

        Each note arrives twice, and most copies change nothing.
        """
        if upstream not in self.queues:
            return
        checked_at, held = self.checked[upstream]
        if (
            now - checked_at >= RECHECK_SECONDS
            or self.occupancy(upstream, now) != held
        ):
            self.grant_waiting(upstream, now)

    def grant_waiting(self, upstream: int, now: float) -> None:
        """Grants the waiting requests that fit, in their order."""
        queue = self.queues.get(upstream)
        if queue is None:
            return
        self.update(upstream, queue, now)
        occupancy = self.occupancy(upstream, now)
        granted = self.grant_fitting(queue, occupancy, now)
        self.note_expected(upstream, queue, occupancy, now)
        self.checked[upstream] = (now, occupancy)
        self.remove_empty(upstream)
        # The entry may answer at once with a note, which grants more.
        for reply, waiting in granted:
            self.owned.on_grant(waiting.message.host, reply)

    def update(
        self, upstream: int, queue: waitings.WaitingRequests, now: float
    ) -> None:
        """Drops requests that wait no longer, and reorders the others."""
        for waiting in queue:
            waiting.unread = self.owned.unread(upstream, waiting.need)
            reading = self.reading_seconds(waiting, now)
            if now - waiting.heard_at > UNHEARD_SECONDS:
                queue.remove(waiting)
                observe_wait(waiting, 'unheard', now)
            elif self.end_overdue(waiting, reading, now):
                continue
            elif not waiting.can_meet_target(reading, now):
                queue.note_late(waiting)

    def end_overdue(
        self, waiting: waitings.WaitingRequest, reading: float, now: float
    ) -> bool:
        """Declines a request that may wait no longer.

        Args:
            waiting: The request.
            reading: Time from its beginning to its output, in seconds.
            now: Router clock.

        Returns:
            Whether it was declined.
        """
        if now + reading >= waiting.need.deadline:
            self.end(waiting, Shortage.TIME, now)
            return True
        if now >= waiting.wait_until:
            self.end(waiting, waiting.shortage, now)
            return True
        return False

    def end(
        self, waiting: waitings.WaitingRequest, shortage: Shortage, now: float
    ) -> None:
        """Declines a waiting request with the reply to its next resend."""
        upstream = waiting.message.upstream
        self.queues[upstream].remove(waiting)
        self.decline(waiting, shortage, self.occupancy(upstream, now))
        observe_wait(waiting, 'declined', now)

    def grant_fitting(
        self,
        queue: waitings.WaitingRequests,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> list[tuple[Reply, waitings.WaitingRequest]]:
        """Grants what fits; returns the replies and their requests.

        A grant makes no other request fit, so that each is tried once; the
        longest-waiting one is also tried whenever it has its turn.
        """
        granted = []
        for waiting in queue:
            for candidate in with_turn(queue, waiting):
                reply = self.try_grant(candidate, occupancy, now)
                if reply is not None:
                    queue.take(candidate)
                    granted.append((reply, candidate))
                    observe_wait(candidate, 'granted', now)
        return granted

    def try_grant(
        self,
        waiting: waitings.WaitingRequest,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> Reply | None:
        """Grants a waiting request if it fits; None if it does not."""
        request = waiting.message
        waiting.shortage = self.owned.room(request.upstream).shortage(
            occupancy, waiting.need, waiting.unread, request.max_load
        )
        if waiting.shortage is not Shortage.NONE:
            return None
        return self.grant(request, waiting.need, waiting.unread, occupancy, now)

    def note_expected(
        self,
        upstream: int,
        queue: waitings.WaitingRequests,
        occupancy: rooms.Occupancy,
        now: float,
    ) -> None:
        """Records the expected wait of each waiting request."""
        ahead = self.work_ahead(upstream, occupancy)
        for waiting in queue:
            waiting.expected_seconds = ahead.seconds(waiting.message, now)
            ahead.add(waiting)

    def note_ended(self, upstream: int, key: rooms.Key, now: float) -> None:
        """Removes a request that its entry has ended."""
        counted = self.owned.room(upstream).counted.get(key)
        if counted is not None and counted.reply is not None:
            self.remember(key, as_declined(counted.reply), now)
        queue = self.queues.get(upstream)
        waiting = None if queue is None else queue.get(key)
        if queue is None or waiting is None:
            return
        self.remember(key, as_declined(self.state_of(waiting, now)), now)
        queue.remove(waiting)
        observe_wait(waiting, 'given up', now)
        self.remove_empty(upstream)

    def remove_empty(self, upstream: int) -> None:
        """Removes the queue of an upstream if nothing waits."""
        if upstream in self.queues and not self.queues[upstream]:
            del self.queues[upstream]
            del self.checked[upstream]

    def drop_upstream(self, upstream: int) -> None:
        """Drops the queue of an upstream that does not exist any more."""
        self.queues.pop(upstream, None)
        self.checked.pop(upstream, None)
        self.declined.pop(upstream, None)

    def remove_expired(self, now: float) -> None:
        """Removes replies that nobody asks for, and updates the metric."""
        for upstream, by_key in list(self.declined.items()):
            for key, declined in list(by_key.items()):
                if now - declined.heard_at > UNHEARD_SECONDS:
                    del by_key[key]
            if not by_key:
                del self.declined[upstream]
        WAITING.set({}, sum(len(queue) for queue in self.queues.values()))


def as_declined(reply: Reply) -> Reply:
    """Returns a reply as it is after its request has ended."""
    return attrs.evolve(reply, outcome=int(Outcome.DECLINED))


def with_turn(
    queue: waitings.WaitingRequests, waiting: waitings.WaitingRequest
) -> Iterable[waitings.WaitingRequest]:
    """Yields the request whose turn it is, if any, then the next in order."""
    due = queue.due()
    if due is not None and due is not waiting:
        yield due
    if waiting in queue:
        yield waiting


def observe_wait(
    waiting: waitings.WaitingRequest, outcome: str, now: float
) -> None:
    """Records how long a request waited."""
    WAITED.observe({'outcome': outcome}, now - waiting.arrived_at)
