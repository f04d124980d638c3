"""A permit request that is not decided yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend import errors
    from lavenderbend.coordination import placement
    from lavenderbend.protocol import messages_decisions


@attrs.define(eq=False)
class Waiter:
    """A permit request that is not decided yet.

    Attributes:
        entry: Router that sent the request.
        request: The message.
        deadline: Owner clock.
        arrived_at: Owner clock at which the request arrived.
        polled_at: Owner clock of the entry router's last message about it.
        done: Set when `choice`, `error`, `redirect_group` or `unserved` is.
        choice: The granted permit.
        error: Why no permit is granted.
        redirect_group: Index of the group of the pool to ask instead.
        unserved: Whether no upstream of the group serves it.
        overtaken: How many requests of its customer were granted a permit
            in its place.
        locality_wait_until: Owner clock until which it waits for headroom
            at the upstream that holds its context, though other upstreams
            have headroom.
    """

    entry: str
    request: messages_decisions.PermitRequest
    deadline: float
    arrived_at: float
    polled_at: float
    done: trio.Event = attrs.field(factory=trio.Event)
    choice: placement.Choice | None = None
    error: errors.RequestError | None = None
    redirect_group: int | None = None
    unserved: bool = False
    overtaken: int = 0
    locality_wait_until: float = 0.0
