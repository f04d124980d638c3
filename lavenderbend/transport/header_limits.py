"""Limits the size of request headers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.transport import asgi_problems

if TYPE_CHECKING:
    from collections.abc import Callable

HEADER_TOO_LARGE = 431


def header_bytes(scope: Any) -> int:
    """Returns the size of a request's target and headers in bytes."""
    size = len(scope['raw_path']) + len(scope['query_string'])
    for name, value in scope['headers']:
        size += len(name) + len(value)
    return size


class HeaderLimit:
    """ASGI middleware that rejects requests with large headers.

    h11 only limits the size of an incomplete header that it buffers: a header
    that arrives complete in a single read is not limited by it.

    Attributes:
        app: The wrapped application.
        limit: Maximum size of target and headers in bytes.
    """

    def __init__(self, app: Callable[..., Any], limit: int) -> None:
        self.app = app
        self.limit = limit

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope['type'] != 'http' or header_bytes(scope) <= self.limit:
            await self.app(scope, receive, send)
            return
        error = errors.RequestTooLarge(f'the header is over {self.limit} bytes')
        error.status = HEADER_TOO_LARGE
        await asgi_problems.send_problem(receive, send, error)
