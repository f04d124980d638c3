"""Checks of streamed answers and of answers continued by a retry."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from lavenderbend import errors
from lavenderbend.coordination.dispatch import relay
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse

TEXT = 'la ruta sale a las seis por el puente norte'


def event(text, answer_id='a-r1', reason=None, offset=None, delta=None):
    content = {'content': text} if delta is None else delta
    choice = {'index': 0, 'delta': content, 'finish_reason': reason}
    data = orjson.dumps({'id': answer_id, 'choices': [choice]})
    return sse.encode(data, '', offset)


def stream(text, sizes, answer_id='a-r1', numbered=False):
    """Returns the events of an answer split into pieces of these sizes."""
    events = []
    start = 0
    while start < len(text):
        size = sizes[len(events) % len(sizes)]
        offset = len(events) if numbered else None
        piece = text[start : start + size]
        events.append(event(piece, answer_id, offset=offset))
        start += size
    last = event('', answer_id, 'stop', len(events) if numbered else None, {})
    return [*events, last, sse.TERMINATOR]


def read(data):
    """Returns text, ids, number of finish reasons, whether terminated."""
    texts, ids, reasons, done = [], set(), 0, False
    for block in sse.Parser(10_000).feed(data):
        if block.done:
            done = True
            continue
        chunk = openai.read_chunk(block.data)
        texts.append(chunk.text)
        ids.add(chunk.id)
        reasons += chunk.final
    return ''.join(texts), ids, reasons, done


SIZES = strategies.lists(strategies.integers(1, 9), min_size=1, max_size=5)


def settings():
    return hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )


@settings()
@hypothesis.given(SIZES, SIZES, strategies.integers(0, 60))
def test_retry_adds_only_the_text_not_yet_relayed(first, second, cut):
    # An engine crashes in mid-stream; another one runs the request again and
    # splits its answer into other pieces. The caller must get the text once,
    # with one id and one finish reason.
    check = relay.StreamCheck(10_000, 'r1')
    events = stream(TEXT, first)
    cut = min(cut, len(events) - 1)
    out = b''.join(check.feed(block) for block in events[:cut])
    check.continue_from_start()
    out += b''.join(check.feed(block) for block in stream(TEXT, second, 'b-r1'))
    text, ids, reasons, done = read(out)
    assert text == TEXT
    assert reasons == 1
    assert done
    assert len(ids) == 1


@settings()
@hypothesis.given(SIZES, SIZES, strategies.integers(2, 8))
def test_retry_with_another_text_is_rejected(first, second, cut):
    # The second run returns another text. Its end after the beginning of the
    # first one would be a text that neither run generated.
    check = relay.StreamCheck(10_000, 'r1')
    events = stream(TEXT, first)
    out = b''.join(check.feed(block) for block in events[:cut])
    relayed = read(out)[0]
    check.continue_from_start()
    other = 'X' + TEXT[1:]
    with pytest.raises(errors.AnswerContradicts):
        for block in stream(other, second):
            out += check.feed(block)
    assert read(out)[0] == relayed


def test_retry_with_a_shorter_text_is_rejected():
    check = relay.StreamCheck(10_000)
    check.feed(event(TEXT))
    check.continue_from_start()
    with pytest.raises(errors.AnswerContradicts):
        for block in stream(TEXT[:10], [3]):
            check.feed(block)


def test_tool_calls_cannot_be_compared():
    # A tool call is not part of the compared text: two runs with equal texts
    # may call different tools.
    check = relay.StreamCheck(10_000)
    check.feed(event('', delta={'tool_calls': [{'id': 'x'}]}))
    assert not check.comparable


@settings()
@hypothesis.given(strategies.data())
def test_numbered_events_are_relayed_once_and_in_order(data):
    # Events arrive twice, out of order or with gaps. The relayed text is
    # always a prefix of the answer, and a missing event raises an error.
    check = relay.StreamCheck(10_000)
    events = stream(TEXT, [4], numbered=True)[:-1]
    order = data.draw(
        strategies.lists(strategies.sampled_from(events), max_size=30)
    )
    out = b''
    try:
        for block in order:
            out += check.feed(block)
    except errors.UpstreamBroke:
        pass
    text = read(out)[0]
    assert TEXT.startswith(text)


def test_events_before_a_broken_one_are_relayed_first():
    # One read returns a valid event and garbage. The valid one counts as
    # relayed, so it must be relayed before the error is raised.
    check = relay.StreamCheck(10_000)
    out = check.feed(event('la ') + b'data: noise\n\n')
    assert read(out)[0] == 'la '
    with pytest.raises(errors.UpstreamBroke):
        check.raise_deferred_error()
    check.raise_deferred_error()


def test_bytes_after_the_terminator_are_dropped():
    check = relay.StreamCheck(10_000)
    out = check.feed(event('la') + sse.TERMINATOR + event('more'))
    assert out.endswith(sse.TERMINATOR)
    assert read(out)[0] == 'la'


@settings()
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_events_or_a_typed_error(data):
    check = relay.StreamCheck(100)
    try:
        check.feed(data)
        check.raise_deferred_error()
    except errors.UpstreamError:
        return
