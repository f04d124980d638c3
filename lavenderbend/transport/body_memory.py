"""Counts the bodies of requests to an ASGI application in a memory limit."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.protocol import counts
from lavenderbend.transport import asgi_problems
from lavenderbend.transport import header_limits
from lavenderbend.transport import turns

if TYPE_CHECKING:
    from collections.abc import Callable

START_MESSAGE = 'http.response.start'
ANSWER_MESSAGE = 'http.response.body'
# keys in the state of an ASGI scope: the stream of the connection, and the
# request as it is counted
STREAM = 'lavenderbend.stream'
COUNTED = 'lavenderbend.counted'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
# quart keeps what it has received beside the body that it hands out
BODY_COPIES = 2
# parts of a body that are taken before each further one takes a turn
FREE_PARTS = 64
# what a write may take up beside the answers counted
UNCOUNTED_BYTES = 4 * 1024


class BodyMemory:
    """ASGI middleware that refuses requests for which there is no memory.

    Attributes:
        app: The wrapped application.
        memory: Memory for what callers send and are sent.
        turns: Turns of the event loop.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        memory: caller_memory.CallerMemory,
        loop_turns: turns.Turns,
    ) -> None:
        self.app = app
        self.memory = memory
        self.turns = loop_turns

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        request = CountedRequest(self.memory, self.turns, scope, receive, send)
        scope.setdefault('state', {})[COUNTED] = request
        try:
            request.begin()
            with request.scope:
                await self.app(scope, request.receive, request.send)
        except errors.RouterOverloaded as exc:
            request.error = exc.with_traceback(None)
        finally:
            request.body.close()
            request.answer.close()
        if request.error is not None and not request.started:
            await asgi_problems.send_problem(receive, send, request.error)


class CountedRequest:
    """One request that is counted as it arrives and is answered.

    Attributes:
        turns: Turns of the event loop.
        asgi_scope: The ASGI scope.
        receive_message: Receives the next ASGI message.
        send_message: Sends an ASGI message.
        body: Memory that head and body take up.
        answer: Memory that the answer takes up.
        scope: Cancel scope of the request.
        error: Why it was refused, None if it was not.
        started: Whether its answer has begun.
        body_bytes: Bytes of its body that have arrived.
        parts: Number of parts in which they arrived.
        head_bytes: Memory that its head takes up.
    """

    def __init__(
        self,
        memory: caller_memory.CallerMemory,
        loop_turns: turns.Turns,
        asgi_scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        self.turns = loop_turns
        self.asgi_scope = asgi_scope
        self.receive_message = receive
        self.send_message = send
        self.body = memory.open(self.end_body)
        self.answer = memory.open(self.end_answer, (caller_memory.ANSWERS,))
        self.scope = trio.CancelScope()
        self.error: errors.RequestError | None = None
        self.started = False
        self.body_bytes = 0
        self.parts = 0
        self.head_bytes = 0

    def begin(self) -> None:
        """Counts the head, and checks that there is room for the body.

        Raises:
            RouterOverloaded: There is none.
        """
        headers = dict(self.asgi_scope['headers'])
        self.head_bytes = caller_memory.head_size(
            len(self.asgi_scope['headers']),
            header_limits.header_bytes(self.asgi_scope),
        )
        self.body.resize(self.head_bytes)
        length = counts.parse_count(headers.get(CONTENT_LENGTH, b'')) or 0
        if not length and TRANSFER_ENCODING not in headers:
            return
        memory = self.body.memory
        memory.require_room(self.body, BODY_COPIES * length)
        memory.await_caller(self.body)

    def join(self, customer: str) -> None:
        """Counts the body among those of a customer from now on."""
        self.body.join((caller_memory.customer_group(customer),))

    async def receive(self) -> Any:
        """Returns the next message; refuses a body without room for it."""
        message = await self.receive_message()
        if message['type'] != asgi_problems.BODY_MESSAGE:
            return message
        part = message.get('body', b'')
        self.parts += 1
        if self.parts > FREE_PARTS:
            await self.take_turn()
        self.body_bytes += len(part)
        self.body.note_moved(len(part))
        try:
            self.body.resize(self.head_bytes + BODY_COPIES * self.body_bytes)
        except errors.RouterOverloaded as exc:
            await self.refuse(exc)
        if not message.get('more_body', False):
            self.body.memory.keep(self.body)
        return message

    async def take_turn(self) -> None:
        """Takes a turn; the wait for it does not count as the caller's."""
        asked = trio.current_time()
        await self.turns.take()
        self.body.moved_at += trio.current_time() - asked

    async def reserve(self, size: int) -> None:
        """Waits until the router may hold so much of the answer, in bytes."""
        await self.answer.memory.wait_room(self.answer, size)

    async def send(self, message: Any) -> None:
        """Sends a message; counts a large part of the answer until it left."""
        if message['type'] == START_MESSAGE:
            self.started = True
        size = 0
        if message['type'] == ANSWER_MESSAGE:
            size = len(message.get('body', b''))
        if size <= UNCOUNTED_BYTES:
            await self.send_message(message)
            return
        stream = self.asgi_scope['state'].get(STREAM)
        memory = self.answer.memory
        memory.set_size(self.answer, max(size, self.answer.size))
        memory.await_caller(self.answer)
        if stream is not None:
            stream.sending = self.answer
        try:
            await self.send_message(message)
        finally:
            self.answer.release()
            if stream is not None:
                stream.sending = None

    async def refuse(self, error: errors.RequestError) -> None:
        """Ends the request with an error."""
        self.error = error.with_traceback(None)
        self.scope.cancel()
        await trio.lowlevel.checkpoint()

    def end_body(self) -> None:
        """Ends a request whose body has stopped arriving."""
        self.error = caller_memory.stalled()
        self.scope.cancel()

    def end_answer(self) -> None:
        """Ends the connection of a caller that does not take its answer."""
        stream = self.asgi_scope['state'].get(STREAM)
        if stream is not None:
            # the server shields its writes: cancelled, they would go on
            stream.reset()
