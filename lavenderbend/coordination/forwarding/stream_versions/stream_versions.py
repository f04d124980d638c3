"""Finds the software that began a stream which a caller takes up."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import keepers as keepers_module
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding.stream_versions import origins
from lavenderbend.coordination.forwarding.stream_versions import questions
from lavenderbend.coordination.forwarding.stream_versions import (
    settled_versions,
)
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import peers as peers_module
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# A router of another zone replies through two others within a few milliseconds.
ASK_SECONDS = 0.05
# A question or its reply may be lost, or its receiver dead: others are asked.
REPEAT_SECONDS = 0.015
# What a router that has just started does not know of the others, and what the
# others have not told since a second version appeared, it hears within this.
UNSETTLED_ASK_SECONDS = 0.5
# Time after which a second version has been seen by all routers.
SETTLE_SECONDS = 3.0
# A store that does not answer within this time may be out of reach.
STORE_SECONDS = 0.3
# When a zone is lost its callers come to all other routers at once, and the
# store answers 2,000 reads a second.
FLEET_READS_PER_SECOND = 500.0
# Streams in a message.
MAX_ROWS = 200
MILLISECONDS = 1000

TAKEN_UP = metrics.counter(
    'lavenderbend_forward_streams_taken_up_total',
    'Streams that callers took up, by what told the software that began them.',
)
TOLD = metrics.counter(
    'lavenderbend_forward_streams_told_total',
    'Messages that tell other routers which software began streams.',
)

THIS_ROUTER = 'this router'
SETTLED = 'store'
UNANIMOUS = 'routers without store'
OTHER_ROUTER = 'other router'
NOBODY = 'nobody'


class StreamVersions:
    """Knows which software began the streams that callers take up.

    While a service has run one version for longer than a stream lasts, that
    one began it. A router that was cut off or stood still may have missed
    another version, which serves a few milliseconds after it has joined: only
    what the store says after the caller came is trusted, and while the store
    does not answer, what those routers say that would have been told. While it
    runs several, a stream begins at the version that is drawn for it if that
    has room, so that any router can draw it again; and the router that passes
    its first event on tells the stream's keepers before it does so. The router
    at which the caller takes the stream up draws where that is certain, and
    asks them elsewhere.

    Attributes:
        peers: The other routers.
        link: Carries messages to them.
        settled: Knows of which services a stream's key tells the software.
        origins: The streams of which this router knows or was told.
        keepers: Finds the routers to tell and to ask.
        numbers: Numbers of questions.
        questions: Questions without a reply, by number.
        read_at: Router clock at which the store is read next for a stream.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        link: interfaces.DatagramLink,
        settled: settled_versions.SettledVersions,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.link = link
        self.settled = settled
        self.origins = origins.Origins()
        self.keepers = keepers_module.Keepers(
            peers.host, peers.zone, peers.members, peers.fleet, rng
        )
        self.numbers = itertools.count(rng.getrandbits(30))
        self.questions: dict[int, questions.Question] = {}
        self.read_at = 0.0
        settled.on_unsettled = self.tell_untold
        peers.on_earlier_build = settled.note_earlier_build
        peers.handlers.update(
            {
                messages_forwarding.StreamsBegun: self.on_begun,
                messages_forwarding.StreamQuestion: self.on_question,
                messages_forwarding.StreamReply: self.on_reply,
                messages_forwarding.StreamNotTold: self.on_not_told,
            }
        )

    async def prepare(self, ticket: tickets.Ticket) -> None:
        """Finds at which software a request's stream begins, or goes on.

        Raises:
            StreamVersionUnknown: It takes up a stream; nobody knows which
                software began that.
        """
        if ticket.takes_up:
            await self.identify(ticket)
        elif ticket.rule.then.resumable:
            ticket.drawn_software_id = self.draw(ticket)

    def draw(self, ticket: tickets.Ticket) -> int | None:
        """Returns the software drawn for a new stream, None for any."""
        if self.settled.runs_one_version(ticket.service):
            return None
        return self.settled.draws.software_id(
            ticket.service, ticket.regions, draw_key(ticket)
        )

    async def note_begun(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that a caller is about to get the first event of a stream."""
        if ticket.takes_up or not ticket.rule.then.resumable or not ticket.id:
            return
        stream = origins.stream_key(ticket.customer, ticket.id)
        software_id = upstream.software_id
        # With several pools a stream's version tells its service too.
        told = len(ticket.rule.then.pools) > 1 or not self.settled.is_only(
            software_id
        )
        self.origins.remember(stream, software_id, told)
        if told:
            self.tell(stream, software_id, 0.0)
        if self.draw(ticket) not in (None, software_id):
            await self.settled.note_not_as_drawn(ticket.service)

    def tell(self, stream: int, software_id: int, age: float) -> None:
        """Tells the keepers of a stream which software began it."""
        row = [stream, software_id, round(age * MILLISECONDS)]
        message = messages_forwarding.StreamsBegun([row])
        for host in self.keepers.to_tell(stream):
            TOLD.inc({})
            self.link.send(host, message)

    def tell_untold(self) -> None:
        """Tells of the streams that began while there was one version."""
        by_host: dict[str, list[list[int]]] = {}
        now = trio.current_time()
        for stream, origin in self.origins.untold():
            if self.settled.is_only(origin.software_id):
                continue
            origin.told = True
            age = now + origins.KEEP_SECONDS - origin.until
            row = [stream, origin.software_id, round(age * MILLISECONDS)]
            for host in self.keepers.to_tell(stream):
                by_host.setdefault(host, []).append(row)
        for host, rows in by_host.items():
            for first in range(0, len(rows), MAX_ROWS):
                TOLD.inc({})
                self.link.send(
                    host,
                    messages_forwarding.StreamsBegun(
                        rows[first : first + MAX_ROWS]
                    ),
                )

    def on_begun(self, message: messages_forwarding.StreamsBegun) -> None:
        """Remembers streams, and passes those of other keepers on."""
        by_host: dict[str, list[list[int]]] = {}
        for stream, software_id, age in message.rows:
            self.origins.remember(
                stream, software_id, told=True, age=age / MILLISECONDS
            )
            if message.forwarded:
                continue
            for host in self.keepers.in_zone(
                stream, keepers_module.ROUTERS_TOLD
            ):
                by_host.setdefault(host, []).append([stream, software_id, age])
        for host, rows in by_host.items():
            self.link.send(
                host, messages_forwarding.StreamsBegun(rows, forwarded=True)
            )

    async def identify(self, ticket: tickets.Ticket) -> None:
        """Finds the software and the service that began a request's stream.

        Raises:
            StreamVersionUnknown: No router knows it, and the service has run
                several versions lately.
        """
        asked_at = trio.current_time()
        known_by, software_id = await self.find(ticket)
        TAKEN_UP.inc({'known_by': known_by})
        logs.change(
            'stream_taken_up',
            request=ticket.id,
            resumes=ticket.resumes,
            after_event=ticket.splitter.first_position.number,
            known_by=known_by,
            software=self.settled.software_name(software_id),
            waited=round(trio.current_time() - asked_at, 4),
            age=round(self.settled.snapshots.age, 3),
            versions=self.settled.versions(ticket.service),
            peers=self.peers.fleet_size(),
        )
        if software_id is None:
            raise errors.StreamVersionUnknown(
                'no router knows the software version that began the stream',
                request_resolver.retry_after_seconds(ticket.seconds_left),
            )
        ticket.software_id = software_id
        ticket.service = self.service(ticket, software_id)

    async def find(self, ticket: tickets.Ticket) -> tuple[str, int | None]:
        """Returns what tells which software began a stream, and that one."""
        asked_at = self.settled.snapshots.clock()
        stream = origins.stream_key(
            ticket.customer, ticket.resumes or ticket.id
        )
        software_id = self.origins.software_id(stream)
        if software_id is not None:
            return THIS_ROUTER, software_id
        if not ticket.resumes and len(ticket.rule.then.pools) > 1:
            # The pool of a stream is drawn by the id of its first try.
            return NOBODY, None
        if await self.is_only_now(ticket, asked_at):
            return SETTLED, self.settled_software_id(ticket)
        # That a stream began elsewhere than drawn shows in the store later
        # than the routers that were told know it.
        question = await self.ask(ticket, stream)
        if question.software_id is not None:
            return OTHER_ROUTER, question.software_id
        if self.is_unanimous(ticket, question):
            return UNANIMOUS, self.settled_software_id(ticket)
        if self.settled_software_id(ticket) is None:
            return NOBODY, None
        if not await self.sees_present(asked_at):
            return NOBODY, None
        software_id = self.settled_software_id(ticket)
        return (NOBODY if software_id is None else SETTLED), software_id

    async def is_only_now(
        self, ticket: tickets.Ticket, asked_at: float
    ) -> bool:
        """Returns whether the store says that one version began a stream.

        Args:
            ticket: The request that takes it up.
            asked_at: When that came, by the suspension clock.
        """
        if not self.is_only(ticket) or self.settled.snapshots.failures:
            return False
        if not await self.sees_present(asked_at):
            return False
        return self.is_only(ticket) and len(ticket.rule.then.pools) == 1

    async def sees_present(self, asked_at: float) -> bool:
        """Waits for a view of the store that is not older than a request.

        Args:
            asked_at: When the request came, by the suspension clock.
        """
        snapshots = self.settled.snapshots
        if snapshots.proved_at < asked_at:
            await self.wait_for_turn()
        waited = snapshots.clock() - asked_at
        return await snapshots.wait_proved_since(
            asked_at, max(0.0, STORE_SECONDS - waited)
        )

    async def wait_for_turn(self) -> None:
        """Waits until this router may have the store read for a stream.

        All that wait share the next read.
        """
        turn = self.read_at
        await trio.sleep_until(max(turn, trio.current_time()))
        if self.read_at == turn:
            pause = self.peers.fleet_size() / FLEET_READS_PER_SECOND
            pause = min(pause, STORE_SECONDS / 2)
            self.read_at = trio.current_time() + pause

    def is_only(self, ticket: tickets.Ticket) -> bool:
        """Returns whether a service has run one version, as far as is seen."""
        state = self.settled.state(ticket.service)
        return state is settled_versions.Settled.ONLY

    def settled_software_id(self, ticket: tickets.Ticket) -> int | None:
        """Returns the software that began a stream by its key, if any does."""
        drawn = ticket.resumes and self.may_have_forgotten(ticket)
        if not self.is_only(ticket) and not drawn:
            return None
        return self.settled.software_id(
            ticket.service, ticket.regions, draw_key(ticket)
        )

    def is_unanimous(
        self, ticket: tickets.Ticket, question: questions.Question
    ) -> bool:
        """Returns whether no router knows of a second version of a service."""
        if not self.is_only(ticket):
            return False
        software_id = self.settled_software_id(ticket)
        if not self.vouches(software_id):
            return False
        if self.peers.is_alone():
            return True
        return question.unanimous and self.peers.hears_fleet()

    def vouches(self, software_id: int) -> bool:
        """Returns whether this router is sure that one version has run.

        What was told to an earlier process of this router shows in the store
        by the time at which this one started.
        """
        runs_for = trio.current_time() - self.peers.started
        return (
            self.settled.is_only(software_id)
            and self.settled.snapshots.age <= runs_for
        )

    def may_have_forgotten(self, ticket: tickets.Ticket) -> bool:
        """Returns whether all routers that were told may have been restarted.

        Where they were not, a stream of which nobody knows is one that its
        caller names wrongly, and a draw by that name is none of the stream's.
        """
        lasts = self.settled.stream_seconds().get(ticket.service, 0.0)
        return trio.current_time() - self.peers.started < lasts

    def service(self, ticket: tickets.Ticket, software_id: int) -> str:
        """Returns the service that a software belongs to, if it is allowed."""
        for share in ticket.rule.then.pools:
            if self.settled.runs(share.pool, software_id):
                return share.pool
        return ticket.service

    async def ask(
        self, ticket: tickets.Ticket, stream: int
    ) -> questions.Question:
        """Asks the keepers of a stream, and all zones if one version runs."""
        question = questions.Question(self.keepers.expected_replies(stream))
        only = self.is_only(ticket)
        if not ticket.resumes and not only:
            return question
        number = next(self.numbers)
        self.questions[number] = question
        software_id = self.settled_software_id(ticket) if only else 0
        to_ask = self.keepers.to_ask_all if only else self.keepers.to_ask
        message = messages_forwarding.StreamQuestion(
            number, self.peers.host, stream, only=software_id
        )
        try:
            with trio.move_on_after(self.patience()):
                while not question.answered.is_set():
                    for host in to_ask(stream):
                        self.link.send(host, message)
                    with trio.move_on_after(REPEAT_SECONDS):
                        await question.answered.wait()
        finally:
            del self.questions[number]
        return question

    def patience(self) -> float:
        """Returns for how many seconds a question is repeated."""
        if self.peers.is_starting() or self.settled.unsettled_within(
            SETTLE_SECONDS
        ):
            return UNSETTLED_ASK_SECONDS
        return ASK_SECONDS

    def on_question(self, message: messages_forwarding.StreamQuestion) -> None:
        """Replies if this router knows the stream, or asks other keepers."""
        software_id = self.origins.software_id(message.stream)
        if software_id is not None:
            self.link.send(
                message.host,
                messages_forwarding.StreamReply(message.number, software_id),
            )
            return
        if self.vouches(message.only) and self.keepers.is_asked(message.stream):
            self.link.send(
                message.host,
                messages_forwarding.StreamNotTold(
                    message.number, self.peers.host, self.peers.zone
                ),
            )
        if message.forwarded:
            return
        forwarded = attrs.evolve(message, forwarded=True)
        for host in self.keepers.in_zone(
            message.stream, keepers_module.ROUTERS_ASKED
        ):
            self.link.send(host, forwarded)

    def on_reply(self, message: messages_forwarding.StreamReply) -> None:
        """Takes a reply that names the software."""
        question = self.questions.get(message.number)
        if question is not None:
            question.note_software(message.software_id)

    def on_not_told(self, message: messages_forwarding.StreamNotTold) -> None:
        """Takes the reply of a keeper that was told nothing."""
        question = self.questions.get(message.number)
        if question is not None:
            question.note_not_told(message.zone, message.host)

    def remove_expired(self) -> None:
        """Removes the streams that are over."""
        self.origins.remove_expired()


def draw_key(ticket: tickets.Ticket) -> str:
    """Returns by what the version of a stream is drawn, empty if not known.

    A chat stays at one version, where its prompt is cached.
    """
    if ticket.prompt.chat:
        return ticket.prompt.chat
    return ticket.resumes if ticket.takes_up else ticket.id
