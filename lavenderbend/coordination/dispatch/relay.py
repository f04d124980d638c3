"""Checks of a streamed answer while it is relayed."""

from __future__ import annotations

import xxhash

from lavenderbend import errors
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse


class StreamCheck:
    """Checks the events of a streamed chat answer across attempts.

    Only complete events are relayed, each once and in order. A hash of the
    relayed text is kept, so that the answer of a further attempt can be
    compared with it.

    Attributes:
        parser: Splits the bytes into events.
        max_bytes: Size limit of an event.
        expected_id: Text that the id of the answer must contain.
        answer_id: Id in the first event that was relayed.
        source_id: Id in the events of the current upstream.
        next_offset: Number that the next event must have, if numbered.
        events: Number of events relayed.
        text_length: Characters of text relayed.
        digest: Hash of that text.
        comparable: Whether the text is all that the relayed events contain.
        finished: Whether an event with a finish reason was relayed.
        done: Whether the terminator has been received.
        restarted: Whether this upstream answers from the beginning again.
        compared_length: Characters of a further attempt compared so far.
        compared_digest: Hash of those.
        deferred_error: An error found after events that are still relayed.
    """

    def __init__(self, max_bytes: int, expected_id: str = '') -> None:
        self.max_bytes = max_bytes
        self.expected_id = expected_id
        self.parser = sse.Parser(max_bytes)
        self.answer_id: str | None = None
        self.source_id: str | None = None
        self.next_offset = 0
        self.events = 0
        self.text_length = 0
        self.digest = xxhash.xxh3_128()
        self.comparable = True
        self.finished = False
        self.done = False
        self.restarted = False
        self.compared_length = 0
        self.compared_digest = xxhash.xxh3_128()
        self.deferred_error: errors.UpstreamError | None = None

    @property
    def numbered(self) -> bool:
        """Whether the upstream numbers its events."""
        return self.next_offset > 0

    def continue_at_offset(self) -> None:
        """Prepares for an upstream that resumes at the next offset."""
        self.parser = sse.Parser(self.max_bytes)

    def continue_from_start(self) -> None:
        """Prepares for an upstream that answers from the beginning."""
        self.parser = sse.Parser(self.max_bytes)
        self.source_id = None
        self.next_offset = 0
        self.restarted = self.events > 0
        self.compared_length = 0
        self.compared_digest = xxhash.xxh3_128()

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes to relay after receiving `data`.

        Raises:
            UpstreamBroke: The bytes are not part of a chat answer.
            AnswerMismatch: An event belongs to another answer.
        """
        out: list[bytes] = []
        try:
            self.read_events(data, out)
        except errors.UpstreamError as exc:
            # the events before the broken one count as relayed, so they
            # must be sent to the caller before the error is handled
            if not any(out):
                raise
            self.deferred_error = exc
        return out[0] if len(out) == 1 else b''.join(out)

    def read_events(self, data: bytes, out: list[bytes]) -> None:
        """Appends the bytes to relay of each event in `data` to `out`."""
        for block in self.parser.split(data):
            event = sse.parse_event(block)
            if event.data == sse.DONE:
                self.check_end()
                self.done = True
                out.append(block)
                # bytes after the terminator are not part of the answer
                return
            out.append(self.process_event(event))
        self.parser.check_size()

    def raise_deferred_error(self) -> None:
        """Raises the error that `feed` deferred, if any."""
        deferred_error = self.deferred_error
        if deferred_error is not None:
            self.deferred_error = None
            raise deferred_error

    def process_event(self, event: sse.Event) -> bytes:
        """Returns the bytes to relay of one event, which may be empty."""
        if not event.data:
            return b''
        if event.name == b'error':
            raise errors.UpstreamBroke('the upstream sent an error event')
        chunk = openai.read_chunk(event.data)
        self.check_id(chunk.id)
        if event.offset is not None and not self.is_next_event(event.offset):
            return b''
        if self.restarted:
            return self.compare(event, chunk)
        return self.relay_event(event.raw, chunk)

    def relay_event(self, raw: bytes, chunk: openai.Chunk) -> bytes:
        """Records an event and returns its bytes to relay."""
        self.events += 1
        if chunk.text:
            self.text_length += len(chunk.text)
            self.digest.update(chunk.text.encode())
        if not chunk.text_only:
            self.comparable = False
        if chunk.final:
            self.finished = True
        return raw

    def check_id(self, source_id: str) -> None:
        """Checks that all events have the id of one answer."""
        if self.source_id is None:
            # the head had the right id, but an upstream that mixes up its
            # streams may begin with the first event of another request
            if self.expected_id not in source_id:
                raise errors.AnswerMismatch(
                    'the first event belongs to another request'
                )
            self.source_id = source_id
            if self.answer_id is None:
                self.answer_id = source_id
            return
        # an upstream that mixes up two answers changes the id in mid-stream
        if source_id != self.source_id:
            raise errors.AnswerMismatch('an event belongs to another answer')

    def is_next_event(self, offset: int) -> bool:
        """Returns whether the numbered event is new.

        Raises:
            UpstreamBroke: Events before it are missing.
        """
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            raise errors.UpstreamBroke('events of the answer are missing')
        self.next_offset += 1
        return True

    def compare(self, event: sse.Event, chunk: openai.Chunk) -> bytes:
        """Returns the bytes that a further attempt adds to the relayed text."""
        missing = self.text_length - self.compared_length
        text = chunk.text[:missing]
        self.compared_length += len(text)
        self.compared_digest.update(text.encode())
        if self.compared_length == self.text_length:
            self.check_equal_text()
        extra = len(chunk.text) - len(text)
        if extra == 0 and not (chunk.final and not self.finished):
            return b''
        data = openai.continue_chunk(event.data, self.answer_id, len(text))
        remainder = openai.Chunk(
            chunk.id, chunk.text[len(text) :], chunk.text_only, chunk.final
        )
        return self.relay_remainder(sse.encode(data), remainder)

    def relay_remainder(self, raw: bytes, chunk: openai.Chunk) -> bytes:
        """Relays the new part of an event of a further attempt."""
        self.compared_length += len(chunk.text)
        self.compared_digest.update(chunk.text.encode())
        return self.relay_event(raw, chunk)

    def check_equal_text(self) -> None:
        """Checks that both attempts have the same text so far.

        Raises:
            AnswerContradicts: The texts differ.
        """
        if self.compared_digest.digest() != self.digest.digest():
            raise errors.AnswerContradicts(
                'a further attempt returned a different text'
            )

    def check_end(self) -> None:
        """Checks at the terminator that all relayed text was compared."""
        if self.restarted and self.compared_length < self.text_length:
            raise errors.AnswerContradicts(
                'a further attempt returned a shorter text'
            )
