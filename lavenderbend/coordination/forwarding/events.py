"""Streams of numbered events, cut where an event ends."""

from __future__ import annotations

from lavenderbend import errors

END = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'
# an event that never ends would be held whole
MAX_EVENT_BYTES = 1024 * 1024


class EventCutter:
    """Passes whole events on and keeps the bytes of an unfinished one.

    An upstream may break off within an event. What a caller has is then a
    whole number of events, so that another upstream can go on behind the
    last one. The bytes are not changed.

    A resume goes on behind `written`, never behind `last`: what was read may
    end there, if its write is cut. Were it counted as passed on before, the
    caller would get a complete answer with an event missing.

    Attributes:
        last: Number of the last whole event that was read, None before the
            first.
        written: Number of the last event that was written to the caller,
            None before the first.
        numbered: Whether all events that were read had numbers. Without
            them no upstream can be told where to go on.
        rest: Bytes of an event that is not complete.
    """

    def __init__(self, last: int | None = None) -> None:
        self.last = last
        self.written = last
        self.numbered = True
        self.rest = b''

    def note_written(self) -> None:
        """Notes that the caller has all events that were read."""
        self.written = self.last

    def restart(self) -> None:
        """Prepares for a stream that goes on behind what was written."""
        self.last = self.written
        self.rest = b''

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are whole with these bytes.

        Raises:
            AnswerContradicts: An event is missing or comes twice.
            UpstreamBroke: An event is too large.
        """
        buffer = self.rest + data
        end = buffer.rfind(END)
        if end < 0:
            self.rest = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                raise errors.UpstreamBroke('an event is too large')
            return b''
        end += len(END)
        self.rest = buffer[end:]
        whole = buffer[:end]
        self.check(whole)
        return whole

    def check(self, whole: bytes) -> None:
        """Checks that the events go on behind the last one.

        Raises:
            AnswerContradicts: An event is missing or comes twice.
        """
        # what contradicts is not passed on: a resume must not skip the events
        # before it in the same bytes
        last = self.last
        found = has_data = False
        for line in whole.split(b'\n'):
            if line.startswith(DATA_FIELD):
                has_data = True
            elif not line:
                # a comment has no data: it may come twice
                if has_data and not found:
                    self.numbered = False
                found = has_data = False
            number = number_of(line)
            if number is None:
                continue
            if last is not None and number != last + 1:
                raise errors.AnswerContradicts(
                    f'event {number} after event {last}'
                )
            last = number
            found = True
        self.last = last


def number_of(line: bytes) -> int | None:
    """Returns the number that a line gives its event, None if it is none."""
    if not line.startswith(ID_FIELD):
        return None
    value = line[len(ID_FIELD) :].strip()
    return int(value) if value.isdigit() else None
