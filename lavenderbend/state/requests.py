"""Requests of callers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping


class Priority(enum.IntEnum):
    """Priority of a request; a smaller number is served first."""

    INSTANT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


@attrs.frozen
class Request:
    """A request that was read completely from its caller.

    Attributes:
        id: Unique for each request; upstreams echo it.
        customer: Customer of the credential, never taken from the body.
        method: HTTP method.
        path: HTTP path with the query string.
        headers: Names in lower case; credentials are removed.
        body: The bytes as received.
        model: Model named in the body, if it is a model request.
        adapter: Adapter named in the body, if any.
        chat_key: The same for all turns of a chat; unique only within the
            customer.
        prompt_tokens: Estimated number of tokens of the prompt.
        stream: Whether the caller wants the answer as it is generated.
        idempotency_key: The caller's key for at-most-once execution, if
            any.
        availability_zone: Zone of the router that received the request.
        arrived: Router clock (trio seconds) at arrival.
        reserve: Waits until the router may hold so many bytes of the answer,
            None where nothing limits that.
    """

    id: str
    customer: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    arrived: float
    model: str | None = None
    adapter: str | None = None
    chat_key: str | None = None
    prompt_tokens: int = 0
    stream: bool = False
    idempotency_key: str | None = None
    availability_zone: str = ''
    reserve: Callable[[int], Awaitable[None]] | None = None
