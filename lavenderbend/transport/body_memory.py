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

if TYPE_CHECKING:
    from collections.abc import Callable

START_MESSAGE = 'http.response.start'
CONTENT_LENGTH = b'content-length'
# quart keeps what it has received beside the body that it hands out
BODY_COPIES = 2


class BodyMemory:
    """ASGI middleware that refuses requests for which there is no memory.

    Attributes:
        app: The wrapped application.
        memory: Memory for what callers send.
    """

    def __init__(
        self, app: Callable[..., Any], memory: caller_memory.CallerMemory
    ) -> None:
        self.app = app
        self.memory = memory

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        request = CountedRequest(self.memory, receive, send)
        try:
            request.begin(scope)
            with request.scope:
                await self.app(scope, request.receive, request.send)
        except errors.RouterOverloaded as exc:
            request.error = exc.with_traceback(None)
        finally:
            request.holding.release()
        if request.error is not None and not request.started:
            await asgi_problems.send_problem(receive, send, request.error)


class CountedRequest:
    """One request whose body is counted as it arrives.

    Attributes:
        holding: Memory that it takes up.
        receive_message: Receives the next ASGI message.
        send_message: Sends an ASGI message.
        scope: Cancel scope of the request.
        error: Why it was refused, None if it was not.
        started: Whether its answer has begun.
        body_bytes: Bytes of its body that have arrived.
        head_bytes: Memory that its head takes up.
    """

    def __init__(
        self, memory: caller_memory.CallerMemory, receive: Any, send: Any
    ) -> None:
        self.holding = memory.open(self.end)
        self.receive_message = receive
        self.send_message = send
        self.scope = trio.CancelScope()
        self.error: errors.RequestError | None = None
        self.started = False
        self.body_bytes = 0
        self.head_bytes = 0

    def begin(self, scope: Any) -> None:
        """Counts the head, and checks that there is room for the body.

        Raises:
            RouterOverloaded: There is none.
        """
        headers = scope['headers']
        text_bytes = header_limits.header_bytes(scope)
        self.head_bytes = caller_memory.head_size(len(headers), text_bytes)
        self.holding.resize(self.head_bytes)
        lengths = [value for name, value in headers if name == CONTENT_LENGTH]
        length = counts.parse_count(lengths[0]) if lengths else None
        memory = self.holding.memory
        memory.require_room(self.holding, BODY_COPIES * (length or 0))
        memory.await_caller(self.holding)

    async def receive(self) -> Any:
        """Returns the next message; refuses a body without room for it."""
        message = await self.receive_message()
        if message['type'] != asgi_problems.BODY_MESSAGE:
            return message
        part = message.get('body', b'')
        self.body_bytes += len(part)
        self.holding.note_moved(len(part))
        try:
            self.holding.resize(self.head_bytes + BODY_COPIES * self.body_bytes)
        except errors.RouterOverloaded as exc:
            await self.refuse(exc)
        if not message.get('more_body', False):
            self.holding.memory.keep(self.holding)
        return message

    async def send(self, message: Any) -> None:
        """Sends a message."""
        if message['type'] == START_MESSAGE:
            self.started = True
        await self.send_message(message)

    async def refuse(self, error: errors.RequestError) -> None:
        """Ends the request with an error."""
        self.error = error.with_traceback(None)
        self.scope.cancel()
        await trio.lowlevel.checkpoint()

    def end(self) -> None:
        """Ends a request whose body has stopped arriving."""
        self.error = errors.RouterOverloaded(
            'the body stopped arriving while others needed its memory',
            caller_memory.RETRY_AFTER_SECONDS,
        )
        self.scope.cancel()
