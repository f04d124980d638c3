"""Reads the bodies of upstreams' answers that are passed on as a whole."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.protocol import part_sizes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import silence

MAX_BODY_BYTES = 8 * 1024 * 1024
# The body of a refusal or a server error tells nothing for which a request
# would have to wait longer.
ERROR_BODY_SECONDS = 0.5


async def read_body(
    exchange: interfaces.Exchange,
    waiting: silence.UpstreamWait,
    seconds: float = math.inf,
    reserve: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Returns the complete body of a response.

    Args:
        exchange: The request and its response.
        waiting: The wait for the upstream.
        seconds: Time within which all of it must have arrived.
        reserve: Waits until the router may hold so many bytes of it.

    Raises:
        UpstreamBroke: The response broke off, or does not end.
    """
    parts: list[bytes] = []
    size = 0
    with trio.move_on_after(seconds):
        while (data := await waiting.read(exchange.read)) is not None:
            parts.append(data)
            size += part_sizes.counted_size(data)
            if size > MAX_BODY_BYTES:
                raise errors.UpstreamBroke(
                    f'body of {len(parts)} parts over the limit'
                )
            if reserve is not None and size > caller_memory.SMALL_BYTES:
                await reserve(size)
        return b''.join(parts)
    raise errors.UpstreamBroke(f'body incomplete after {seconds:g} s')
