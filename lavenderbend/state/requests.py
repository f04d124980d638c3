"""A caller's request as the router sees it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


class Priority(enum.IntEnum):
    """How urgent a request is; a smaller number goes first."""

    INSTANT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


@attrs.frozen
class Request:
    """One request, read whole from its caller.

    Attributes:
        id: Unique for each request; upstreams echo it.
        customer: From the credential, never from the body.
        method: HTTP method.
        path: HTTP path with the query string.
        headers: Names in lower case; credentials are taken out.
        body: The bytes as they came.
        model: Model named in the body, if it is a model request.
        adapter: Adapter named in the body, if any.
        chat_key: Stays the same from turn to turn of one chat; unique only
            within the customer.
        prompt_tokens: Estimated size of the prompt.
        stream: Whether the caller wants the answer as it is generated.
        idempotency_key: The caller's key for at-most-once, if any.
        availability_zone: Zone of the router that the request entered at.
        arrived: Router clock (trio seconds) at arrival.
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
