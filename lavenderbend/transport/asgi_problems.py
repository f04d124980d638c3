"""Sends errors of the router from ASGI middleware."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import problems

if TYPE_CHECKING:
    from lavenderbend import errors

BODY_MESSAGE = 'http.request'


async def send_problem(
    receive: Any, send: Any, error: errors.RequestError
) -> None:
    """Sends an error as problem details, and closes the connection.

    What still arrives of the body is discarded meanwhile: the server would
    wait for it to be received before it closes the connection.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(discard_body, receive)
        await send_whole(send, error)
        nursery.cancel_scope.cancel()


async def discard_body(receive: Any) -> None:
    """Receives the rest of a body until the caller disconnects."""
    while (await receive())['type'] == BODY_MESSAGE:
        pass


async def send_whole(send: Any, error: errors.RequestError) -> None:
    """Sends an error as problem details."""
    headers = problems.to_headers(error, '')
    headers['connection'] = 'close'
    raw = [(k.encode(), v.encode()) for k, v in headers.items()]
    await send(
        {
            'type': 'http.response.start',
            'status': error.status,
            'headers': raw,
        }
    )
    await send(
        {
            'type': 'http.response.body',
            'body': problems.to_body(error, ''),
            'more_body': False,
        }
    )
