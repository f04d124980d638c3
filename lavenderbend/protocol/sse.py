"""Incremental parser and encoder of server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend import errors
from lavenderbend.protocol import counts

if TYPE_CHECKING:
    from collections.abc import Iterator

CONTENT_TYPE = 'text/event-stream'
DONE = b'[DONE]'
ID_FIELD = b'id: '
DATA_FIELD = b'data: '
END = b'\n\n'
TERMINATOR = b'data: [DONE]\n\n'


@attrs.define
class Event:
    """One event.

    Attributes:
        raw: The bytes of the event, with the empty line at the end.
        data: Contents of the data lines, joined by newlines.
        name: Type of the event, empty for the default type.
        offset: Number in the `id` line, None if there is none.
    """

    raw: bytes
    data: bytes
    name: bytes = b''
    offset: int | None = None

    @property
    def done(self) -> bool:
        """Whether the event is the terminator of a chat answer."""
        return self.data == DONE


def parse_event(raw: bytes) -> Event:
    """Returns the event of one block of lines.

    Raises:
        UpstreamBroke: The block is not an event.
    """
    # Fast path: most events are one data line, with or without an id before.
    start = 0
    offset = None
    if raw.startswith(ID_FIELD):
        start = raw.find(b'\n') + 1
        offset = read_offset(raw[len(ID_FIELD) : start - 1])
    one_line = raw.find(b'\n', start) == len(raw) - 2
    if one_line and raw.startswith(DATA_FIELD, start):
        return Event(raw, raw[start + len(DATA_FIELD) : -2], b'', offset)
    return parse_lines(raw)


def parse_lines(raw: bytes) -> Event:
    """Returns the event of any block of lines.

    Raises:
        UpstreamBroke: The block is not an event.
    """
    lines: list[bytes] = []
    name = b''
    offset = None
    for line in raw.splitlines():
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            lines.append(value)
        elif field == b'event':
            name = value
        elif field == b'id':
            offset = read_offset(value)
        elif field not in (b'', b'retry'):
            raise errors.UpstreamBroke(
                'the answer has a line that is not part of an event'
            )
    return Event(raw, b'\n'.join(lines), name, offset)


def read_offset(value: bytes) -> int | None:
    """Returns the number in an `id` line, None if it is not a number."""
    return counts.parse_count(value)


class Parser:
    """Splits a stream of bytes into events.

    Attributes:
        max_bytes: Maximum size of an event.
        rest: Received bytes of the event that is not yet complete.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.rest = b''

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that these bytes complete.

        Raises:
            UpstreamBroke: An event is too large or malformed.
        """
        for block in self.split(data):
            yield parse_event(block)
        self.check_size()

    def split(self, data: bytes) -> list[bytes]:
        """Returns the blocks of lines that these bytes complete."""
        buffer = self.rest + data if self.rest else data
        if b'\r' in buffer:
            buffer = self.normalise(buffer)
        end = buffer.find(END)
        # Fast path: most reads are exactly one event.
        if end == len(buffer) - len(END) and end > 0:
            self.rest = b''
            return [buffer]
        blocks = []
        start = 0
        while end >= 0:
            block = buffer[start : end + len(END)]
            start = end + len(END)
            if len(block) > len(END):
                blocks.append(block)
            end = buffer.find(END, start)
        self.rest = buffer[start:]
        return blocks

    def check_size(self) -> None:
        """Checks the size of the incomplete event.

        Raises:
            UpstreamBroke: It exceeds `max_bytes`.
        """
        if len(self.rest) > self.max_bytes:
            raise errors.UpstreamBroke('an event of the answer is too large')

    def normalise(self, buffer: bytes) -> bytes:
        """Returns the bytes with each line ending replaced by a newline."""
        # A carriage return at the end may be the first half of a CR LF.
        pending = b'\r' if buffer.endswith(b'\r') else b''
        text = buffer[: len(buffer) - len(pending)]
        return text.replace(b'\r\n', b'\n').replace(b'\r', b'\n') + pending


def encode(data: bytes, name: str = '', offset: int | None = None) -> bytes:
    """Returns the bytes of one event; the data must not have a newline."""
    parts = []
    if name:
        parts.append(b'event: ' + name.encode() + b'\n')
    if offset is not None:
        parts.append(b'id: %d\n' % offset)
    parts.append(b'data: ' + data + b'\n\n')
    return b''.join(parts)
