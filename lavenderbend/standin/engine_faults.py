"""Faults that a stand-in engine plays in its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import registry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    Play = Callable[
        [AsyncIterator[bytes], 'Fault', bytes], AsyncIterator[bytes]
    ]

FAULTS: registry.Registry[Play] = registry.Registry('engine fault')

# faults of the head of an answer; the others are faults of its events
REFUSE = 'refuse'
ERROR = 'error'
WRONG_ECHO = 'wrong_echo'
CUT_BEFORE_HEAD = 'cut_before_head'
SHORT_BODY = 'short_body'
HEAD_FAULTS = (REFUSE, ERROR, WRONG_ECHO, CUT_BEFORE_HEAD, SHORT_BODY)


class CutConnection(Exception):  # noqa: N818
    """The stand-in resets the connection here."""


@attrs.frozen
class Fault:
    """One fault, which one request meets.

    Attributes:
        kind: One of `HEAD_FAULTS`, or a name in `FAULTS`.
        after: Events that are sent before it.
        seconds: How long a stall lasts.
    """

    kind: str
    after: int = 2
    seconds: float = 3600.0


def known(kind: str) -> bool:
    """Returns whether there is such a fault."""
    return kind in HEAD_FAULTS or kind in tuple(FAULTS)


async def play(
    events: AsyncIterator[bytes], fault: Fault | None, foreign: bytes
) -> AsyncIterator[bytes]:
    """Yields the events as the fault changes them.

    Args:
        events: The right events.
        fault: The fault, or None.
        foreign: An event of somebody else's answer.
    """
    if fault is None or fault.kind in HEAD_FAULTS:
        async for event in events:
            yield event
        return
    async for event in FAULTS.get(fault.kind)(events, fault, foreign):
        yield event


@FAULTS.register('short')
async def end_short(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Ends in good order before the terminator."""
    count = 0
    async for event in events:
        if count == fault.after:
            return
        yield event
        count += 1


@FAULTS.register('cut')
async def cut_connection(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Resets the connection."""
    count = 0
    async for event in events:
        if count == fault.after:
            raise CutConnection
        yield event
        count += 1


@FAULTS.register('garbage')
async def send_garbage(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Puts bytes of no event between the events."""
    count = 0
    async for event in events:
        if count == fault.after:
            yield b'data: {"id": \x00\xff\n\n'
        yield event
        count += 1


@FAULTS.register('stall')
async def stall(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Stops sending for a time."""
    count = 0
    async for event in events:
        if count == fault.after:
            await trio.sleep(fault.seconds)
        yield event
        count += 1


@FAULTS.register('duplicate')
async def send_twice(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Sends one event twice."""
    count = 0
    async for event in events:
        yield event
        if count == fault.after:
            yield event
        count += 1


@FAULTS.register('reorder')
async def send_out_of_order(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Sends one event after the next one."""
    count = 0
    held = b''
    async for event in events:
        if count == fault.after:
            held = event
        else:
            yield event
            if held:
                yield held
                held = b''
        count += 1


@FAULTS.register('swap')
async def mix_in_foreign(
    events: AsyncIterator[bytes], fault: Fault, foreign: bytes
) -> AsyncIterator[bytes]:
    """Sends an event of somebody else's answer."""
    count = 0
    async for event in events:
        if count == fault.after:
            yield foreign
        yield event
        count += 1
