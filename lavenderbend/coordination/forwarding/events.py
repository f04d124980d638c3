"""Streams of numbered events, cut where an event ends."""

from __future__ import annotations

import attrs

from lavenderbend import errors

# the blank line behind an event, by the two line ends in use
ENDS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
# an event that never ends would be held whole
MAX_EVENT_BYTES = 1024 * 1024
# numbers of 64 bits; what is longer is no number
MAX_DIGITS = 18


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


class EventCutter:
    """Passes whole events on and keeps the bytes of an unfinished one.

    An upstream may break off within an event. What a caller has is then a
    whole number of events, so that another upstream can go on behind the
    last one. The bytes are not changed.

    A resume goes on behind `written`, never behind `read`: what was read may
    end there, if its write is cut. Were it counted as passed on before, the
    caller would get a complete answer with an event missing.

    Attributes:
        read: The position behind the last whole event that was read.
        written: The one behind what was written to the caller.
        begun: Whether the caller has events of this answer.
        unproved: Whether an upstream that is to go on has not shown by a
            number that it does.
        rest: Bytes of an event that is not complete.
    """

    def __init__(self, last: int | None = None) -> None:
        self.read = Position(last)
        self.written = self.read
        self.begun = False
        self.unproved = False
        self.rest = b''

    def note_written(self) -> None:
        """Notes that the caller has all events that were read."""
        self.begun = self.begun or self.read != self.written
        self.written = self.read

    def restart(self) -> None:
        """Prepares for a stream that goes on behind what was written."""
        self.read = self.written
        self.unproved = self.begun
        self.rest = b''

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are whole with these bytes.

        Raises:
            AnswerContradicts: An event is missing, comes twice, or may do.
            UpstreamBroke: An event is too large.
        """
        buffer = self.rest + data
        end = end_of_events(buffer)
        if not end:
            self.rest = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                raise errors.UpstreamBroke('an event is too large')
            return b''
        self.rest = buffer[end:]
        whole = buffer[:end]
        self.check(whole)
        return whole

    def check_rest(self) -> None:
        """Checks a last event that lacks its blank line.

        Raises:
            AnswerContradicts: As `feed` does.
        """
        self.check(self.rest + ENDS[0])

    def check(self, whole: bytes) -> None:
        """Checks that events go on behind the last one.

        Raises:
            AnswerContradicts: They do not.
        """
        # what contradicts is not passed on: a resume must not skip the events
        # before it in the same bytes
        position = self.read
        unproved = self.unproved
        found = has_data = False
        for line in whole.split(b'\n'):
            number = number_of(line)
            if number is not None:
                check_follows(number, position)
                position = Position(number, position.numbered)
                found, unproved = True, False
            elif line.startswith(DATA_FIELD):
                has_data = True
            elif not line.strip():
                # a comment has no data: it may come twice
                if has_data and not found:
                    position = without_number(position, unproved)
                found = has_data = False
        self.read = position
        self.unproved = unproved


def check_follows(number: int, position: Position) -> None:
    """Checks that an event follows on a position.

    Raises:
        AnswerContradicts: It does not.
    """
    if position.number is not None and number != position.number + 1:
        raise errors.AnswerContradicts(
            f'event {number} after event {position.number}'
        )


def without_number(position: Position, unproved: bool) -> Position:
    """Returns the position behind an event that has no number.

    Raises:
        AnswerContradicts: Nothing shows that the upstream goes on where it
            was asked to, and does not begin anew.
    """
    if unproved:
        raise errors.AnswerContradicts(
            f'no number where event {position.number} was to be followed'
        )
    return Position(position.number, numbered=False)


def end_of_events(data: bytes) -> int:
    """Returns where the last whole event ends, 0 if none does."""
    ends = (data.rfind(end) + len(end) for end in ENDS if end in data)
    return max(ends, default=0)


def number_of(line: bytes) -> int | None:
    """Returns the number that a line gives its event, None if it is none."""
    if not line.startswith(ID_FIELD):
        return None
    return parse_number(line[len(ID_FIELD) :].strip())


def parse_number(text: bytes) -> int | None:
    """Returns the number of an event, None for what is none."""
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
