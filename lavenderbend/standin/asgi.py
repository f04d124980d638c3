"""The little of an ASGI application that the stand-ins need."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend.transport import serving

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

JSON_TYPE = 'application/json'


def read_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body; raises `ValueError` for none."""
    document = orjson.loads(body)
    if not isinstance(document, dict):
        # as for bytes that are no JSON at all
        raise ValueError('the body is no JSON object')  # noqa: TRY004
    return document


class CallerLeft(Exception):  # noqa: N818
    """The caller closed the connection before its request was whole."""


class HttpExchange:
    """One request and its response.

    Attributes:
        scope: The scope of ASGI.
        method: HTTP method.
        path: HTTP path without the query string.
        query: The query string.
        headers: Names in lower case.
    """

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query: str = scope['query_string'].decode('latin-1')
        self.headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }

    async def read(self) -> bytes:
        """Returns the body."""
        parts = []
        while True:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                raise CallerLeft
            parts.append(message.get('body', b''))
            if not message.get('more_body', False):
                return b''.join(parts)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the head of the response."""
        raw = [(k.encode(), v.encode('latin-1')) for k, v in headers.items()]
        await self.send(
            {'type': 'http.response.start', 'status': status, 'headers': raw}
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def end(self) -> None:
        """Ends the body."""
        await self.send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def respond(
        self,
        status: int,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a whole response."""
        head = {'content-type': JSON_TYPE, **(headers or {})}
        head.setdefault('content-length', str(len(body)))
        await self.start(status, head)
        await self.write(body)
        await self.end()

    async def respond_json(
        self,
        status: int,
        document: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a whole response as JSON."""
        await self.respond(status, orjson.dumps(document), headers)

    async def abort(self) -> None:
        """Resets the connection."""
        abort = self.scope['state'].get(serving.ABORT)
        if abort is not None:
            await abort()

    async def while_connected(
        self, step: Callable[[], Any], on_left: Callable[[], None]
    ) -> None:
        """Runs a step; it is cancelled if the caller goes away."""

        async def watch() -> None:
            while True:
                message = await self.receive()
                if message['type'] == 'http.disconnect':
                    on_left()
                    nursery.cancel_scope.cancel()
                    return

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await step()
            nursery.cancel_scope.cancel()
