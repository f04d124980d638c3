"""Reads the head of an upstream's answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


# Begins each answer; within a head it shows that another one was cut there.
VERSION = b'HTTP/1.'
# More than any upstream has reason to send before its answer.
MAX_INFORMATIONAL = 32


async def next_head(
    protocol: h11.Connection, receive: Callable[[], Awaitable[None]]
) -> h11.Response:
    """Returns the head of the next answer, skipping informational ones.

    Args:
        protocol: HTTP/1.1 state of the connection.
        receive: Reads the next bytes from the connection into `protocol`.

    Raises:
        RemoteProtocolError: The upstream closed the connection before it
            answered, or its bytes are not valid HTTP/1.1 or do not come to an
            answer.
    """
    informational = 0
    while informational <= MAX_INFORMATIONAL:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            await receive()
        elif isinstance(event, h11.Response):
            if VERSION in event.reason:
                raise h11.RemoteProtocolError('an answer begins within a head')
            return event
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError('connection closed before the answer')
        elif isinstance(event, h11.InformationalResponse):
            informational += 1
    raise h11.RemoteProtocolError('informational answers without end')
