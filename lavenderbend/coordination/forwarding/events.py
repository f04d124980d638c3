"""Streams of numbered events, cut where an event ends."""

from __future__ import annotations

import attrs

from lavenderbend import errors

# the blank line behind an event, by the two line ends in use
EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
# an event that never ends would be held whole
MAX_EVENT_BYTES = 1024 * 1024
# numbers of 64 bits; what is longer is no number
MAX_NUMBER_DIGITS = 18


@attrs.frozen
class Position:
    """How far a stream has come.

    Attributes:
        number: Number of its last event, None before the first.
        numbered: Whether all its events had numbers. Without them no
            upstream can be told where to go on.
    """

    number: int | None = None
    numbered: bool = True


class EventSplitter:
    """Passes whole events on and keeps the bytes of an unfinished one.

    An upstream may break off within an event. What a caller has is then a
    whole number of events, so that another upstream can go on behind the
    last one. The bytes are not changed.

    A resume goes on behind `written`, never behind `read`: what was read may
    end there, if its write is cut. Were it counted as passed on before, the
    caller would get a complete answer with an event missing.

    Attributes:
        read_position: The position behind the last whole event that was read.
        written_position: The one behind what was written to the caller.
        passed_events: Whether the caller has events of this answer.
        resume_unconfirmed: Whether an upstream that is to go on has not shown by a
            number that it does.
        partial_event: Bytes of an event that is not complete.
    """

    def __init__(self, last: int | None = None) -> None:
        self.read_position = Position(last)
        self.written_position = self.read_position
        self.passed_events = False
        self.resume_unconfirmed = False
        self.partial_event = b''

    def mark_written(self) -> None:
        """Notes that the caller has all events that were read."""
        self.passed_events = (
            self.passed_events or self.read_position != self.written_position
        )
        self.written_position = self.read_position

    def restart(self) -> None:
        """Prepares for a stream that goes on behind what was written."""
        self.read_position = self.written_position
        self.resume_unconfirmed = self.passed_events
        self.partial_event = b''

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are whole with these bytes.

        Raises:
            AnswerContradicts: An event is missing, comes twice, or may do.
            UpstreamBroke: An event is too large.
        """
        buffer = self.partial_event + data
        end = end_of_events(buffer)
        if not end:
            self.partial_event = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                raise errors.UpstreamBroke('an event is too large')
            return b''
        self.partial_event = buffer[end:]
        complete = buffer[:end]
        self.check_sequence(complete)
        return complete

    def check_partial_event(self) -> None:
        """Checks a last event that lacks its blank line.

        Raises:
            AnswerContradicts: As `feed` does.
        """
        self.check_sequence(self.partial_event + EVENT_TERMINATORS[0])

    def check_sequence(self, complete: bytes) -> None:
        """Checks that events go on behind the last one.

        Raises:
            AnswerContradicts: They do not.
        """
        # what contradicts is not passed on: a resume must not skip the events
        # before it in the same bytes
        position = self.read_position
        resume_unconfirmed = self.resume_unconfirmed
        has_number = has_data = False
        for line in complete.split(b'\n'):
            number = event_number(line)
            if number is not None:
                check_follows(number, position)
                position = Position(number, position.numbered)
                has_number, resume_unconfirmed = True, False
            elif line.startswith(DATA_FIELD):
                has_data = True
            elif not line.strip():
                # a comment has no data: it may come twice
                if has_data and not has_number:
                    position = position_after_unnumbered(
                        position, resume_unconfirmed
                    )
                has_number = has_data = False
        self.read_position = position
        self.resume_unconfirmed = resume_unconfirmed


def check_follows(number: int, position: Position) -> None:
    """Checks that an event follows on a position.

    Raises:
        AnswerContradicts: It does not.
    """
    if position.number is not None and number != position.number + 1:
        raise errors.AnswerContradicts(
            f'event {number} after event {position.number}'
        )


def position_after_unnumbered(
    position: Position, resume_unconfirmed: bool
) -> Position:
    """Returns the position behind an event that has no number.

    Raises:
        AnswerContradicts: Nothing shows that the upstream goes on where it
            was asked to, and does not begin anew.
    """
    if resume_unconfirmed:
        raise errors.AnswerContradicts(
            f'no number where event {position.number} was to be followed'
        )
    return Position(position.number, numbered=False)


def end_of_events(data: bytes) -> int:
    """Returns where the last whole event ends, 0 if none does."""
    ends = (
        data.rfind(end) + len(end) for end in EVENT_TERMINATORS if end in data
    )
    return max(ends, default=0)


def event_number(line: bytes) -> int | None:
    """Returns the number that a line gives its event, None if it is none."""
    if not line.startswith(ID_FIELD):
        return None
    return parse_event_number(line[len(ID_FIELD) :].strip())


def parse_event_number(text: bytes) -> int | None:
    """Returns the number of an event, None for what is none."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)
