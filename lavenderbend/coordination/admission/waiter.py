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
        entry: Router that asks.
        ask: What it asks for.
        deadline: Owner clock.
        since: Owner clock at which it came.
        polled: Owner clock of the entry's last sign about it.
        done: Set when `choice`, `error` or `elsewhere` is.
        choice: The permit.
        error: Why there is none.
        elsewhere: Group of the pool to ask instead.
        nobody: Whether no upstream of the group serves it.
        passed: Times that others of its customer went before it.
        patient_until: Owner clock until which it waits for room where its
            context is, though other upstreams have room.
    """

    entry: str
    ask: messages_decisions.PermitRequest
    deadline: float
    since: float
    polled: float
    done: trio.Event = attrs.field(factory=trio.Event)
    choice: placement.Choice | None = None
    error: errors.RequestError | None = None
    elsewhere: int | None = None
    nobody: bool = False
    passed: int = 0
    patient_until: float = 0.0
