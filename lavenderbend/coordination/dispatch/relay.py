"""Checks on an answer as it passes through the router."""

from __future__ import annotations

import xxhash

from lavenderbend import errors
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse


class StreamCheck:
    """Checks the events of a streamed chat answer and what was passed on.

    Only whole events are passed on, each once and in order. The text that
    the caller has is remembered as a hash, so that the answer of a further
    attempt can be compared with it.

    Attributes:
        parser: Cuts the bytes into events.
        max_bytes: Size of the largest event.
        named_by: Text that the id of the answer must hold.
        answer_id: Id that the caller saw in the first event.
        source_id: Id in the events of the current upstream.
        next_offset: Number that the next event must have, if numbered.
        events: Events passed on.
        length: Characters of text passed on.
        digest: Hash of that text.
        comparable: Whether the text says all of what was passed on.
        finished: Whether an event with a finish reason was passed on.
        done: Whether the terminator has come.
        rerun: Whether this upstream answers from the beginning again.
        skipped: Characters of a further attempt compared so far.
        skipped_digest: Hash of those.
        pending: An error that came after events that were passed on.
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
        """Prepares for an upstream that goes on where it broke off."""
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
        """Returns the bytes to pass on after these bytes have come.

        Raises:
            UpstreamBroke: The bytes are no part of a chat answer.
            AnswerMismatch: An event belongs to another answer.
        """
        out: list[bytes] = []
        try:
            self.read_events(data, out)
        except errors.UpstreamError as exc:
            # the events before the broken one count as passed on, so they
            # must reach the caller before the error is dealt with
            if not any(out):
                raise
            self.deferred_error = exc
        return out[0] if len(out) == 1 else b''.join(out)

    def read_events(self, data: bytes, out: list[bytes]) -> None:
        """Adds to `out` what the events in the bytes pass on."""
        for block in self.parser.split(data):
            event = sse.parse_event(block)
            if event.data == sse.DONE:
                self.check_end()
                self.done = True
                out.append(block)
                # what follows the terminator is no part of the answer
                return
            out.append(self.process_event(event))
        self.parser.check_size()

    def raise_deferred_error(self) -> None:
        """Raises the error that was held back by `feed`, if any."""
        deferred_error = self.deferred_error
        if deferred_error is not None:
            self.deferred_error = None
            raise deferred_error

    def process_event(self, event: sse.Event) -> bytes:
        """Returns the bytes of one event to pass on, which may be none."""
        if not event.data:
            return b''
        if event.name == b'error':
            raise errors.UpstreamBroke('the upstream broke off its answer')
        chunk = openai.read_chunk(event.data)
        self.check_id(chunk.id)
        if event.offset is not None and not self.is_next_event(event.offset):
            return b''
        if self.restarted:
            return self.compare(event, chunk)
        return self.relay_event(event.raw, chunk)

    def relay_event(self, raw: bytes, chunk: openai.Chunk) -> bytes:
        """Remembers an event that goes to the caller."""
        self.events += 1
        if chunk.text:
            self.text_length += len(chunk.text)
            self.digest.update(chunk.text.encode())
        if not chunk.plain:
            self.comparable = False
        if chunk.final:
            self.finished = True
        return raw

    def check_id(self, source_id: str) -> None:
        """Checks that all events carry the id of one answer."""
        if self.source_id is None:
            # the head carried the right id, but an upstream that mixes up
            # its streams may begin with somebody else's first event
            if self.expected_id not in source_id:
                raise errors.AnswerMismatch('an event of another request')
            self.source_id = source_id
            if self.answer_id is None:
                self.answer_id = source_id
            return
        # two answers mixed up inside an upstream show as a change of the id
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
        """Returns what a further attempt adds to what the caller has."""
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
            chunk.id, chunk.text[len(text) :], chunk.plain, chunk.final
        )
        return self.relay_remainder(sse.encode(data), remainder)

    def relay_remainder(self, raw: bytes, chunk: openai.Chunk) -> bytes:
        """Passes on an event of a further attempt."""
        self.compared_length += len(chunk.text)
        self.compared_digest.update(chunk.text.encode())
        return self.relay_event(raw, chunk)

    def check_equal_text(self) -> None:
        """Checks that both attempts say the same so far.

        Raises:
            AnswerContradicts: They do not.
        """
        if self.compared_digest.digest() != self.digest.digest():
            raise errors.AnswerContradicts(
                'a further attempt answers something else'
            )

    def check_end(self) -> None:
        """Checks at the terminator that the caller's text was reached."""
        if self.restarted and self.compared_length < self.text_length:
            raise errors.AnswerContradicts('a further attempt is shorter')
