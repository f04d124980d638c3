"""Parsing of the parts of the OpenAI chat completions API in use here."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from lavenderbend import errors

CHAT_PATH = '/v1/chat/completions'
BYTES_PER_TOKEN = 4
MAX_NAME_BYTES = 256
MAX_MESSAGES = 10_000


@attrs.frozen
class ChatRequest:
    """Fields of a chat request that a router uses.

    Attributes:
        model: Requested model.
        adapter: Requested adapter, an extension of the API.
        stream: Whether a streamed response is requested.
        cache_key: `prompt_cache_key`, None if the caller gives none.
        prefix: The messages up to and including the first user message,
            which are the same in each turn of a chat.
        prompt_tokens: Estimate from the size of the body.
    """

    model: str
    adapter: str | None
    stream: bool
    cache_key: str | None
    prefix: bytes
    prompt_tokens: int


def load_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in the body.

    Raises:
        RequestInvalid: The body is not a JSON object.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise errors.RequestInvalid(f'the body is not JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise errors.RequestInvalid('the body is not a JSON object')
    return document


def read_name(document: dict[str, Any], key: str) -> str | None:
    """Returns the value of a short string field, None if absent or null.

    Raises:
        RequestInvalid: The value is not a string, empty or too long.
    """
    value = document.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not value:
        raise errors.RequestInvalid(f'`{key}` must be a non-empty string')
    if len(value) > MAX_NAME_BYTES:
        raise errors.RequestInvalid(f'`{key}` is too long')
    return value


def read_messages(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the messages of a chat request.

    Raises:
        RequestInvalid: They are missing, too many or malformed.
    """
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise errors.RequestInvalid('`messages` must be a non-empty list')
    if len(messages) > MAX_MESSAGES:
        raise errors.RequestInvalid('`messages` has too many entries')
    for message in messages:
        if not isinstance(message, dict) or not isinstance(
            message.get('role'), str
        ):
            raise errors.RequestInvalid('each message must have a `role`')
    return messages


def read_prefix(messages: list[dict[str, Any]]) -> bytes:
    """Returns the messages up to and including the first user message.

    Later turns only append messages, so this prefix does not change.
    """
    count = 0
    for message in messages:
        count += 1
        if message['role'] == 'user':
            break
    return orjson.dumps(messages[:count], option=orjson.OPT_SORT_KEYS)


def parse(body: bytes) -> ChatRequest:
    """Returns the fields of a chat request that a router uses.

    Raises:
        RequestInvalid: The body is not a chat request.
    """
    document = load_object(body)
    model = read_name(document, 'model')
    if model is None:
        raise errors.RequestInvalid('`model` is missing')
    stream = document.get('stream') or False
    if not isinstance(stream, bool):
        raise errors.RequestInvalid('`stream` must be true or false')
    messages = read_messages(document)
    cache_key = read_name(document, 'prompt_cache_key')
    # The prefix is used only if the caller gives no key.
    prefix = b'' if cache_key is not None else read_prefix(messages)
    return ChatRequest(
        model=model,
        adapter=read_name(document, 'adapter'),
        stream=stream,
        cache_key=cache_key,
        prefix=prefix,
        prompt_tokens=len(body) // BYTES_PER_TOKEN,
    )


def canonical_input(body: bytes) -> bytes:
    """Returns the engine's input in canonical form.

    Requests that differ only in their JSON formatting or in fields other than
    model, adapter and messages have the same canonical input.

    Raises:
        RequestInvalid: The body is not a JSON object.
    """
    document = load_object(body)
    values = [document.get(key) for key in ('model', 'adapter', 'messages')]
    return orjson.dumps(values, option=orjson.OPT_SORT_KEYS)


def rewrite(body: bytes, model: str | None, adapter: str | None) -> bytes:
    """Returns the body with model and adapter replaced, unless None."""
    document = load_object(body)
    if model is not None:
        document['model'] = model
    if adapter is not None:
        document['adapter'] = adapter
    return orjson.dumps(document)


@attrs.define
class Chunk:
    """Fields of one event of a streamed answer that a router uses.

    Attributes:
        id: Id of the answer, the same in each of its events.
        text: Text that the event appends to the answer.
        text_only: Whether the event carries nothing but its text, so that
            other events with the same text are the same answer.
        final: Whether the event has a finish reason.
    """

    id: str
    text: str
    text_only: bool
    final: bool = False


def read_chunk(data: bytes) -> Chunk:
    """Returns the chunk in the data of one event.

    Raises:
        UpstreamBroke: The data is not a chunk of a chat answer.
    """
    try:
        document = orjson.loads(data)
        answer_id = document['id']
        choices = document['choices']
        if not choices:
            return Chunk(answer_id, '', True)
        choice = choices[0]
        delta = choice['delta']
        text = delta.get('content') or ''
        final = choice.get('finish_reason') is not None
    except (ValueError, TypeError, LookupError, AttributeError) as exc:
        raise errors.UpstreamBroke(
            'an event of the answer is not a chunk of a chat answer'
        ) from exc
    if not isinstance(answer_id, str) or not isinstance(text, str):
        raise errors.UpstreamBroke(
            'a field in a chunk of the answer has the wrong type'
        )
    text_only = len(choices) == 1 and not delta.get('tool_calls')
    return Chunk(answer_id, text, text_only, final)


def continue_chunk(data: bytes, answer_id: str | None, count: int) -> bytes:
    """Returns the data of another run's event, adapted to an earlier answer.

    Args:
        data: Data of the event.
        answer_id: Id of the earlier answer, which replaces the event's id.
        count: Number of characters to remove from the start of the text,
            because the caller already has them.
    """
    document = orjson.loads(data)
    document['id'] = answer_id
    delta = document['choices'][0]['delta']
    if count:
        delta['content'] = delta['content'][count:]
    return orjson.dumps(document)


def check_complete(body: bytes, expected_id: str) -> None:
    """Checks that a body is a complete chat answer to the request.

    Args:
        body: The body.
        expected_id: Text that the id of the answer must contain.

    Raises:
        UpstreamBroke: The body is not a chat answer.
        AnswerMismatch: The answer belongs to another request.
    """
    try:
        document = orjson.loads(body)
        has_choices = bool(document['choices'])
        id_matches = expected_id in document['id']
    except (ValueError, TypeError, LookupError) as exc:
        raise errors.UpstreamBroke('the answer is not a chat answer') from exc
    if not has_choices:
        raise errors.UpstreamBroke('the answer has no choices')
    if not id_matches:
        raise errors.AnswerMismatch('the answer belongs to another request')
