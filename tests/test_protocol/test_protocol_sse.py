"""Tests of the parser and encoder of server-sent events."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from lavenderbend import errors
from lavenderbend.protocol import sse

STREAM = (
    b'id: 0\ndata: one\n\n: comment\n\nevent: error\ndata: two\ndata: more\n\n'
    b'data: [DONE]\n\n'
)


def settings(examples=200):
    return hypothesis.settings(
        max_examples=examples, derandomize=True, deadline=None, database=None
    )


def parse_in_pieces(data, cuts):
    parser = sse.Parser(1000)
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events.extend(parser.feed(data[start:end]))
    return events


@settings()
@hypothesis.given(strategies.lists(strategies.integers(0, 200), max_size=8))
def test_events_do_not_depend_on_how_the_bytes_are_split(cuts):
    events = parse_in_pieces(STREAM, cuts)
    assert [event.data for event in events] == [
        b'one',
        b'',
        b'two\nmore',
        b'[DONE]',
    ]
    assert events[0].offset == 0
    assert events[2].name == b'error'
    assert events[3].done


@settings()
@hypothesis.given(strategies.lists(strategies.integers(0, 200), max_size=8))
def test_lines_may_end_with_cr_lf(cuts):
    data = STREAM.replace(b'\n', b'\r\n')
    events = parse_in_pieces(data, cuts)
    assert [event.data for event in events][-2:] == [b'two\nmore', b'[DONE]']


@settings()
@hypothesis.given(strategies.lists(strategies.binary(max_size=50), max_size=9))
def test_any_bytes_are_events_or_a_typed_error(pieces):
    parser = sse.Parser(60)
    try:
        for piece in pieces:
            list(parser.feed(piece))
            assert len(parser.rest) <= 60
    except errors.UpstreamBroke:
        return


def test_event_without_an_end_exceeds_the_size_limit():
    # An upstream sends an endless line: without the limit the router would
    # buffer all of it.
    parser = sse.Parser(1000)
    with pytest.raises(errors.UpstreamBroke):
        for _ in range(100):
            list(parser.feed(b'x' * 100))


def test_encoded_event_is_parsed_to_the_same_fields():
    raw = sse.encode(b'{}', 'error', 7)
    (event,) = sse.Parser(100).feed(raw)
    assert (event.data, event.name, event.offset) == (b'{}', b'error', 7)
    assert event.raw == raw
