"""Splits a stream of numbered server-sent events at event boundaries."""

from __future__ import annotations

import attrs

from lavenderbend import errors
from lavenderbend.protocol import counts
from lavenderbend.protocol import part_sizes

# The blank line that ends an event, for both line endings in use.
EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
# Lines that a run may begin with though they are no part of an event: comments,
# and fields that alone make none.
NO_EVENT_FIELDS = (b':', b'event:', b'retry:')
# Bounds the memory for an event that never ends.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen
class Position:
    """A position in a stream.

    Attributes:
        number: Number of the last event, None before the first.
        numbered: Whether all events so far had numbers. Without them no
            upstream can be told where to resume.
    """

    number: int | None = None
    numbered: bool = True


class EventSplitter:
    """Returns complete events and buffers the bytes of a partial one.

    An upstream may break off within an event. The caller has then received a
    whole number of events, and another upstream can resume after the last
    one. The bytes are not changed.

    A stream is resumed after `written_position`, never after `read_position`:
    the write of events that were read may be cancelled. Counting them as
    passed on would give the caller a complete response that lacks an event.

    Attributes:
        first_position: The position at which this response begins.
        read_position: The position after the last complete event read.
        written_position: The position after the last event written to the
            caller.
        passed_events: Whether the caller has events of this response.
        resume_unconfirmed: Whether no event number has shown yet that the
            upstream resumes the stream and does not restart it.
        run_has_events: Whether the current upstream has sent an event.
        partial_event: Bytes of the event that is not complete yet.
        partial_size: What its parts count for against the limit.
    """

    def __init__(self, last: int | None = None) -> None:
        self.first_position = Position(last)
        self.read_position = self.first_position
        self.written_position = self.first_position
        self.passed_events = False
        self.resume_unconfirmed = False
        self.run_has_events = False
        self.partial_event = b''
        self.partial_size = 0

    def mark_written(self) -> None:
        """Records that all events read were written to the caller."""
        self.passed_events = (
            self.passed_events or self.read_position != self.written_position
        )
        self.written_position = self.read_position

    def restart(self) -> None:
        """Prepares for a stream that resumes after the written position."""
        self.read_position = self.written_position
        self.resume_unconfirmed = self.passed_events
        self.run_has_events = False
        self.partial_event = b''
        self.partial_size = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the events that these bytes complete.

        Raises:
            AnswerContradicts: An event is missing or comes twice, or a lack
                of numbers leaves that open.
            UpstreamBroke: An event is too large.
        """
        buffer = self.partial_event + data
        end = end_of_events(buffer)
        if not end:
            self.partial_event = buffer
            self.partial_size += part_sizes.counted_size(data)
            if self.partial_size > MAX_EVENT_BYTES:
                raise errors.UpstreamBroke(
                    f'event of {len(buffer)} bytes over the limit'
                )
            return b''
        self.partial_event = buffer[end:]
        self.partial_size = len(self.partial_event)
        complete = buffer[:end]
        self.check_sequence(complete)
        return complete

    def check_partial_event(self) -> None:
        """Checks a last event that lacks its blank line.

        Raises:
            AnswerContradicts: As in `feed`.
        """
        self.check_sequence(self.partial_event + EVENT_TERMINATORS[0])

    def check_sequence(self, complete: bytes) -> None:
        """Checks that complete events follow the last one read.

        Raises:
            AnswerContradicts: They do not.
        """
        # The position changes only if all events are in order. Otherwise none
        # of these bytes is passed on, and a resume must not skip the events
        # that precede the wrong one.
        position = self.read_position
        resume_unconfirmed = self.resume_unconfirmed
        run_has_events = self.run_has_events
        has_number = has_data = has_text = False
        for line in complete.split(b'\n'):
            number = event_number(line)
            if number is not None:
                check_follows(number, position)
                position = Position(number, position.numbered)
                has_number, resume_unconfirmed = True, False
            elif line.strip():
                has_data = has_data or line.startswith(DATA_FIELD)
                has_text = has_text or not line.startswith(NO_EVENT_FIELDS)
            else:
                # A comment has no data and may be repeated without harm.
                if has_text and not has_number and resume_unconfirmed:
                    raise not_resumed(position)
                if has_data and not has_number:
                    position = Position(position.number, numbered=False)
                run_has_events = run_has_events or has_number or has_data
                has_number = has_data = has_text = False
        self.read_position = position
        self.resume_unconfirmed = resume_unconfirmed
        self.run_has_events = run_has_events


def check_follows(number: int, position: Position) -> None:
    """Checks that an event number follows a position.

    Raises:
        AnswerContradicts: It does not.
    """
    if position.number is not None and number != position.number + 1:
        raise errors.AnswerContradicts(
            f'event {number} after event {position.number}'
        )


def not_resumed(position: Position) -> errors.AnswerContradicts:
    """Returns the error for a resume that begins without a number.

    Nothing shows that the upstream resumes the stream where it was asked to,
    and does not restart it or send something else.
    """
    return errors.AnswerContradicts(
        f'bytes without a number after event {position.number} in a resume'
    )


def end_of_events(data: bytes) -> int:
    """Returns the offset after the last complete event, 0 without one."""
    ends = (
        data.rfind(end) + len(end) for end in EVENT_TERMINATORS if end in data
    )
    return max(ends, default=0)


def event_number(line: bytes) -> int | None:
    """Returns the event number of an id line, None for other lines."""
    if not line.startswith(ID_FIELD):
        return None
    return parse_event_number(line[len(ID_FIELD) :].strip())


def parse_event_number(text: bytes) -> int | None:
    """Returns an event number, None for text that is not one."""
    return counts.parse_count(text)
