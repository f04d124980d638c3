"""What a link does with the messages that arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from lavenderbend.transport import links
    from lavenderbend.transport import peer_connections


class Incoming:
    """Hands messages to handlers and answers to those who wait.

    Attributes:
        link: The link.
    """

    def __init__(self, link: links.BatchLink) -> None:
        self.link = link

    def dispatch(
        self, connection: peer_connections.Connection, number: int, item: list
    ) -> None:
        """Takes one message of a batch.

        Raises:
            CodecError: It is no message of ours.
        """
        message = peer.from_wire(item)
        self.link.messages_received += 1
        if number == 0:
            connection.notices.append(message)
            return
        if number > 0:
            self.begin_request(connection, number, message)
            return
        call = self.link.calls.open.get(-number)
        # an answer that comes after its timeout, or from a peer that was
        # not asked, must not end another peer's request
        if call is None or call.peer_id != connection.peer_id:
            self.link.count_dropped('late answer')
            return
        call.answer = message
        call.done.set()

    def begin_request(
        self,
        connection: peer_connections.Connection,
        number: int,
        message: peer.Message,
    ) -> None:
        """Starts the handler of a request."""
        if connection.in_progress >= self.link.limits.handlers:
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
        """Answers one request."""
        try:
            answer = await self.answer_of(connection.peer_id, message)
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
        box = self.link.box(connection.peer_id)
        # the asker's process is gone, and its successor must not get this
        if box.instance != connection.instance:
            return
        self.link.enqueue(box, -number, answer, required=False)

    async def answer_of(
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
            # one wrong handler must not end the link of this router with
            # all its peers; the asker gets a typed failure
            self.link.count_dropped('handler failed')
            logs.change('peer_handler_failed', error=repr(exc))
            return peer.Failure('HandlerFailed', type(exc).__name__)
        return peer.Done() if answer is None else answer

    async def handle_notice(self, peer_id: str, message: peer.Message) -> None:
        """Hands a notice to its handler; a failure is only counted."""
        answer = await self.answer_of(peer_id, message)
        if isinstance(answer, peer.Failure):
            self.link.count_dropped(f'notice {answer.kind}')
