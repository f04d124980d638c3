"""Questions to the owners of upstreams, by datagrams that may be lost."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.protocol import messages_forwarding

# An owner in another zone replies within three or four milliseconds, a busy
# one later. A request waits no longer for it.
REPLY_TIMEOUT_SECONDS = 0.02
# A question or its reply may be lost: it is sent once more.
RETRANSMIT_SECONDS = 0.01
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
    """

    def __init__(self, link: interfaces.DatagramLink) -> None:
        self.link = link
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
        try:
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
                self.link.send(host, request)
                with trio.move_on_after(RETRANSMIT_SECONDS):
                    await pending.answered.wait()
                if pending.reply is None:
                    self.link.send(host, request)
                await pending.answered.wait()
        finally:
            del self.pending[request.number]
        return pending.reply

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
