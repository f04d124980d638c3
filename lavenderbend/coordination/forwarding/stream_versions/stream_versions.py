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
OTHER_ROUTER = 'other router'
NOBODY = 'nobody'


@attrs.define
class Question:
    """A question without a reply so far.

    Attributes:
        software_id: The reply, None until one arrives.
        answered: Set when it has arrived.
    """

    software_id: int | None = None
    answered: trio.Event = attrs.field(factory=trio.Event)


class StreamVersions:
    """Knows which software began the streams that callers take up.

    While a service has run one version for longer than a stream lasts, that
    one began it. While it runs several, a stream begins at the version that is
    drawn for it if that has room, so that any router can draw it again; and
    the router that passes its first event on tells the stream's keepers before
    it does so. The router at which the caller takes the stream up draws where
    that is certain, and asks them elsewhere.

    Attributes:
        peers: The other routers.
        link: Carries messages to them.
        settled: Knows of which services a stream's key tells the software.
        origins: The streams of which this router knows or was told.
        keepers: Finds the routers to tell and to ask.
        numbers: Numbers of questions.
        questions: Questions without a reply, by number.
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
        self.questions: dict[int, Question] = {}
        settled.on_unsettled = self.tell_untold
        peers.on_earlier_build = settled.note_earlier_build
        peers.handlers.update(
            {
                messages_forwarding.StreamsBegun: self.on_begun,
                messages_forwarding.StreamQuestion: self.on_question,
                messages_forwarding.StreamReply: self.on_reply,
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
        stream = origins.stream_key(ticket.customer, ticket.resumes)
        software_id = self.origins.software_id(stream)
        if software_id is not None:
            return THIS_ROUTER, software_id
        settled = self.settled.software_id(
            ticket.service, ticket.regions, draw_key(ticket)
        )
        state = self.settled.state(ticket.service)
        only = state is settled_versions.Settled.ONLY
        one_pool = len(ticket.rule.then.pools) == 1
        if settled is not None and one_pool and only:
            return SETTLED, settled
        # That a stream began elsewhere than drawn shows in the store later
        # than the routers that were told know it.
        if ticket.resumes:
            software_id = await self.ask(stream)
        if software_id is not None:
            return OTHER_ROUTER, software_id
        drawn = ticket.resumes and self.may_have_forgotten(ticket)
        if settled is not None and (only or drawn):
            return SETTLED, settled
        return NOBODY, None

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

    async def ask(self, stream: int) -> int | None:
        """Asks the keepers of a stream; returns None if none knows it."""
        number = next(self.numbers)
        question = self.questions[number] = Question()
        message = messages_forwarding.StreamQuestion(
            number, self.peers.host, stream
        )
        try:
            with trio.move_on_after(self.patience()):
                while True:
                    for host in self.keepers.to_ask(stream):
                        self.link.send(host, message)
                    with trio.move_on_after(REPEAT_SECONDS):
                        await question.answered.wait()
                        break
        finally:
            del self.questions[number]
        return question.software_id

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
        if message.forwarded:
            return
        forwarded = attrs.evolve(message, forwarded=True)
        for host in self.keepers.in_zone(
            message.stream, keepers_module.ROUTERS_ASKED
        ):
            self.link.send(host, forwarded)

    def on_reply(self, message: messages_forwarding.StreamReply) -> None:
        """Takes a reply."""
        question = self.questions.get(message.number)
        if question is not None:
            question.software_id = message.software_id
            question.answered.set()

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
