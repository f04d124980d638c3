"""Tests of chat requests, chunks and chat keys."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from lavenderbend import errors
from lavenderbend.protocol import chat_keys
from lavenderbend.protocol import openai

USER = {'role': 'user', 'content': 'summarise'}
SYSTEM = {'role': 'system', 'content': 'be brief'}
ANSWER = {'role': 'assistant', 'content': 'done'}


def body(messages, **fields):
    return orjson.dumps({'model': 'm', 'messages': messages, **fields})


def key_of(messages, headers=None, **fields):
    chat = openai.parse(body(messages, **fields))
    return chat_keys.read_key(chat, headers or {})


def test_key_is_the_same_in_each_turn_of_a_chat():
    # A chat continues with the answer and a further question; with another
    # key it would be sent to an engine that does not have it cached.
    first = key_of([SYSTEM, USER])
    second = key_of([SYSTEM, USER, ANSWER, {'role': 'user', 'content': 'x'}])
    assert first == second
    other = key_of([SYSTEM, {'role': 'user', 'content': 'other'}])
    assert first != other


def test_key_given_by_the_caller_takes_precedence():
    headers = {chat_keys.HEADER: 'from header'}
    assert key_of([USER], headers) == 'from header'
    assert key_of([USER], headers, prompt_cache_key='own') == 'own'
    assert chat_keys.read_key(None, {}) is None


def test_too_long_key_is_rejected():
    with pytest.raises(errors.RequestInvalid):
        key_of([USER], {chat_keys.HEADER: 'x' * 300})


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'{}',
        b'\xff',
        b'{"model": 1, "messages": [{"role": "user"}]}',
        b'{"model": "m"}',
        b'{"model": "m", "messages": []}',
        b'{"model": "m", "messages": [1]}',
        b'{"model": "m", "messages": [{}]}',
        b'{"model": "m", "messages": [{"role": "user"}], "stream": 1}',
        b'{"model": "m", "messages": [{"role": "user"}], "adapter": []}',
    ],
)
def test_invalid_bodies_are_rejected(data):
    with pytest.raises(errors.RequestInvalid):
        openai.parse(data)


def test_canonical_input_does_not_depend_on_formatting():
    # A prompt that crashes engines is sent again, streamed and with other
    # whitespace. Identified by its bytes, it would crash two more engines.
    first = body([SYSTEM, USER])
    reformatted = b' ' + body([SYSTEM, USER], stream=True, temperature=0.1)
    assert openai.canonical_input(first) == openai.canonical_input(reformatted)
    assert openai.canonical_input(first) != openai.canonical_input(
        body([USER, SYSTEM])
    )


def test_rewrite_replaces_only_given_fields():
    data = body([USER], stream=True)
    document = orjson.loads(openai.rewrite(data, 'new', None))
    assert document['model'] == 'new'
    assert document['messages'] == [USER]
    assert 'adapter' not in document


@hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
@hypothesis.given(strategies.binary(max_size=80))
def test_any_event_is_a_chunk_or_a_typed_error(data):
    try:
        openai.read_chunk(data)
    except errors.UpstreamBroke:
        return


def test_continued_chunk_has_the_earlier_id_and_no_repeated_text():
    data = orjson.dumps(
        {'id': 'b', 'choices': [{'delta': {'content': 'hello'}}]}
    )
    chunk = openai.read_chunk(openai.continue_chunk(data, 'a', 2))
    assert (chunk.id, chunk.text) == ('a', 'llo')


def test_complete_answer_to_another_request_is_rejected():
    data = orjson.dumps({'id': 'chatcmpl-other', 'choices': [{}]})
    openai.check_complete(data, 'other')
    with pytest.raises(errors.AnswerMismatch):
        openai.check_complete(data, 'mine')
    with pytest.raises(errors.UpstreamBroke):
        openai.check_complete(b'{"choices": [], "id": "mine"}', 'mine')
