"""Memory of the software that began each stream."""

from __future__ import annotations

import collections

import attrs
import trio

from lavenderbend.observe import metrics
from lavenderbend.state import hashing

# Longer than a stream lasts over all tries of its caller.
KEEP_SECONDS = 60.0
# At 250 bytes each. Above this the earliest streams are forgotten.
MAX_STREAMS = 20_000

STREAMS = metrics.gauge(
    'lavenderbend_forward_streams_remembered',
    'Streams of which this router knows the software that began them.',
)
FORGOTTEN = metrics.counter(
    'lavenderbend_forward_streams_forgotten_total',
    'Streams that this router forgot early, as it remembered too many.',
)


def stream_key(customer: str, request_id: str) -> int:
    """Returns the key of the stream that a request began.

    The customer is part of it: a caller that sends the id of another
    customer's request must not change where that one's stream goes on.
    """
    return hashing.hash64(customer, request_id)


@attrs.define
class Origin:
    """The software that began a stream.

    Attributes:
        software_id: The software.
        until: Router clock until which it is remembered.
        told: Whether this router need not tell others.
    """

    software_id: int
    until: float
    told: bool


class Origins:
    """The software that began each of the latest streams.

    Attributes:
        by_stream: Origins by key of the stream, the earliest first.
    """

    def __init__(self) -> None:
        self.by_stream: collections.OrderedDict[int, Origin] = (
            collections.OrderedDict()
        )

    def remember(
        self, stream: int, software_id: int, told: bool, age: float = 0.0
    ) -> None:
        """Remembers which software began a stream.

        Args:
            stream: Key of the stream.
            software_id: The software.
            told: Whether this router need not tell others.
            age: Seconds since the stream began.
        """
        until = trio.current_time() + KEEP_SECONDS - age
        self.by_stream[stream] = Origin(software_id, until, told)
        self.by_stream.move_to_end(stream)
        if len(self.by_stream) > MAX_STREAMS:
            self.by_stream.popitem(last=False)
            FORGOTTEN.inc({})

    def software_id(self, stream: int) -> int | None:
        """Returns the software that began a stream, None if not known."""
        origin = self.by_stream.get(stream)
        if origin is None or origin.until <= trio.current_time():
            return None
        return origin.software_id

    def untold(self) -> list[tuple[int, Origin]]:
        """Returns the streams of which others were not told."""
        return [
            (stream, origin)
            for stream, origin in self.by_stream.items()
            if not origin.told
        ]

    def remove_expired(self) -> None:
        """Removes the streams that are over."""
        now = trio.current_time()
        for stream, origin in list(self.by_stream.items()):
            if origin.until <= now:
                del self.by_stream[stream]
        STREAMS.set({}, len(self.by_stream))
