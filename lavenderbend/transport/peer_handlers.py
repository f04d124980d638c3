"""Dispatch of the messages that a link receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from lavenderbend.transport import links
    from lavenderbend.transport import peer_connections


class MessageDispatcher:
    """Passes requests and notices to handlers, and answers to their callers.

    Attributes:
        link: The link.
    """

    def __init__(self, link: links.BatchLink) -> None:
        self.link = link

    def dispatch(
        self, connection: peer_connections.Connection, number: int, values: list
    ) -> None:
        """Dispatches one message of a batch.

        Args:
            connection: The connection it was received on.
            number: 0 for a notice, positive for a request, the negated
                number of the request for an answer.
            values: The encoded message.

        Raises:
            CodecError: The values are not a known message.
        """
        message = peer.from_wire(values)
        self.link.messages_received += 1
        if number == 0:
            connection.notices.append(message)
            return
        if number > 0:
            self.start_request(connection, number, message)
            return
        pending = self.link.pending_requests.requests.get(-number)
        # an answer that arrives after the timeout, or from a peer the request
        # was not sent to, must not end a request to another peer
        if pending is None or pending.peer_id != connection.peer_id:
            self.link.count_dropped('late answer')
            return
        pending.answer = message
        pending.done.set()

    def start_request(
        self,
        connection: peer_connections.Connection,
        number: int,
        message: peer.Message,
    ) -> None:
        """Starts the handler of a request, or refuses the request if busy."""
        if connection.in_progress >= self.link.limits.max_handlers:
            failure = peer.Failure('PeerBusy', 'too many requests', 0.1)
            self.reply(connection, number, failure)
            return
        connection.in_progress += 1
        self.link.nursery.start_soon(
            self.handle_request, connection, number, message
        )

    async def handle_request(
        self,
        connection: peer_connections.Connection,
        number: int,
        message: peer.Message,
    ) -> None:
        """Calls the handler of a request and queues the answer."""
        try:
            answer = await self.call_handler(connection.peer_id, message)
        finally:
            connection.in_progress -= 1
        self.reply(connection, number, answer)

    def reply(
        self,
        connection: peer_connections.Connection,
        number: int,
        answer: peer.Message,
    ) -> None:
        """Queues an answer."""
        outbox = self.link.outbox(connection.peer_id)
        # the process that sent the request has ended, and its successor must
        # not receive the answer
        if outbox.instance != connection.instance:
            return
        self.link.enqueue(outbox, -number, answer, required=False)

    async def call_handler(
        self, peer_id: str, message: peer.Message
    ) -> peer.Message:
        """Returns the handler's answer, or the failure it raised."""
        handler = self.link.handlers.get(type(message))
        if handler is None:
            return peer.Failure('NoHandler', type(message).__name__)
        try:
            answer = await handler(peer_id, message)
        except errors.LavenderbendError as exc:
            retry_after = getattr(exc, 'retry_after', None)
            return peer.Failure(type(exc).__name__, str(exc), retry_after)
        except Exception as exc:
            # a fault in one handler must not end the link of this router to
            # all its peers; the requesting router gets a typed failure
            self.link.count_dropped('handler failed')
            logs.change('peer_handler_failed', error=repr(exc))
            return peer.Failure('HandlerFailed', type(exc).__name__)
        return peer.Done() if answer is None else answer

    async def handle_notice(self, peer_id: str, message: peer.Message) -> None:
        """Calls the handler of a notice; a failure is only counted."""
        answer = await self.call_handler(peer_id, message)
        if isinstance(answer, peer.Failure):
            self.link.count_dropped(f'notice {answer.kind}')
