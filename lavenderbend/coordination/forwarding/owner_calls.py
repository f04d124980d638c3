"""Questions to the owners of upstreams, by datagrams that may be lost."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.protocol import messages_forwarding

# A question or its reply may be lost: it is sent once more.
RETRANSMIT_SECONDS = 0.01
# Where replies from a zone take long, the question is sent once more after this
# multiple of their usual time. Over links of 5 ms each one would be sent twice.
RETRANSMIT_REPLY_MULTIPLE = 2.0
MAX_RETRANSMIT_SECONDS = 0.05
# A request waits for a reply for this multiple of the time until the question
# is sent once more.
TIMEOUT_MULTIPLE = 2.0
# The wait for a reply from a zone whose replies take a few milliseconds.
REPLY_TIMEOUT_SECONDS = TIMEOUT_MULTIPLE * RETRANSMIT_SECONDS
SMOOTHING_FACTOR = 0.1
# Numbers of answered questions that are kept to recognize a second reply; none
# arrives more than this many replies later.
MAX_ANSWERED = 256


@attrs.define
class PendingCall:
    """A question without a reply so far.

    Attributes:
        reply: The reply, None until it arrives.
        answered: Set when it has arrived.
    """

    reply: messages_forwarding.OwnerReply | None = None
    answered: trio.Event = attrs.field(factory=trio.Event)


class OwnerCalls:
    """Questions of one kind and their replies.

    Attributes:
        link: Carries messages to other routers.
        pending: Questions without a reply, by number.
        answered: Numbers of those with a reply, the latest last.
        reply_seconds: Smoothed time until replies to questions about the
            upstreams of a zone, by zone.
    """

    def __init__(self, link: interfaces.DatagramLink) -> None:
        self.link = link
        self.reply_seconds: dict[str, float] = {}
        self.pending: dict[int, PendingCall] = {}
        self.answered: collections.deque[int] = collections.deque(
            maxlen=MAX_ANSWERED
        )

    async def call(
        self, host: str, request: messages_forwarding.OwnerRequest
    ) -> messages_forwarding.OwnerReply | None:
        """Sends a question, twice if the reply is late.

        Returns:
            The reply, None if it does not arrive in time.
        """
        pending = self.pending[request.number] = PendingCall()
        retransmit = self.retransmit_seconds(request.zone)
        begun = trio.current_time()
        try:
            with trio.move_on_after(TIMEOUT_MULTIPLE * retransmit):
                self.link.send(host, request)
                with trio.move_on_after(retransmit):
                    await pending.answered.wait()
                if pending.reply is None:
                    self.link.send(host, request)
                await pending.answered.wait()
        finally:
            del self.pending[request.number]
        if pending.reply is not None:
            self.note_reply_seconds(request.zone, trio.current_time() - begun)
        return pending.reply

    def retransmit_seconds(self, zone: str) -> float:
        """Returns the time after which a question is sent once more."""
        usual = self.reply_seconds.get(zone, 0.0)
        seconds = RETRANSMIT_REPLY_MULTIPLE * usual
        return min(max(seconds, RETRANSMIT_SECONDS), MAX_RETRANSMIT_SECONDS)

    def note_reply_seconds(self, zone: str, seconds: float) -> None:
        """Records how long a reply took."""
        before = self.reply_seconds.get(zone, seconds)
        self.reply_seconds[zone] = before + SMOOTHING_FACTOR * (
            seconds - before
        )

    def take(self, reply: messages_forwarding.OwnerReply) -> bool:
        """Takes a reply; returns whether its question was asked in time.

        The second reply to a question that was sent twice is in time too.
        """
        pending = self.pending.get(reply.number)
        if pending is None:
            return reply.number in self.answered
        pending.reply = reply
        pending.answered.set()
        self.answered.append(reply.number)
        return True
