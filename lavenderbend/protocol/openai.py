"""The part of the OpenAI chat completions API that a router reads."""

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
    """What a router reads from the body of a chat request.

    Attributes:
        model: Model asked for.
        adapter: Adapter asked for, an extension of the API.
        stream: Whether the answer is to be streamed.
        cache_key: `prompt_cache_key`, if the caller gives one.
        beginning: The messages up to the first one of the user, which stay
            the same from turn to turn.
        prompt_tokens: Estimate from the size of the messages.
    """

    model: str
    adapter: str | None
    stream: bool
    cache_key: str | None
    beginning: bytes
    prompt_tokens: int


def load_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in the body.

    Raises:
        RequestInvalid: The body is no JSON object.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise errors.RequestInvalid(f'the body is not JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise errors.RequestInvalid('the body is not a JSON object')
    return document


def read_name(document: dict[str, Any], key: str) -> str | None:
    """Returns a short text field, None if it is absent or null."""
    value = document.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not value:
        raise errors.RequestInvalid(f'`{key}` must be a text')
    if len(value) > MAX_NAME_BYTES:
        raise errors.RequestInvalid(f'`{key}` is too long')
    return value


def read_messages(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the messages."""
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise errors.RequestInvalid('`messages` must be a list with members')
    if len(messages) > MAX_MESSAGES:
        raise errors.RequestInvalid('`messages` has too many members')
    for item in messages:
        if not isinstance(item, dict) or not isinstance(item.get('role'), str):
            raise errors.RequestInvalid('each message must have a `role`')
    return messages


def read_beginning(messages: list[dict[str, Any]]) -> bytes:
    """Returns the messages up to and with the first one of the user.

    A later turn appends messages, so that this part never changes.
    """
    count = 0
    for item in messages:
        count += 1
        if item['role'] == 'user':
            break
    return orjson.dumps(messages[:count], option=orjson.OPT_SORT_KEYS)


def parse(body: bytes) -> ChatRequest:
    """Returns what a router needs to know of a chat request.

    Raises:
        RequestInvalid: The body is no chat request.
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
    # the beginning is only looked at when the caller gives no key
    beginning = b'' if cache_key is not None else read_beginning(messages)
    return ChatRequest(
        model=model,
        adapter=read_name(document, 'adapter'),
        stream=stream,
        cache_key=cache_key,
        beginning=beginning,
        prompt_tokens=len(body) // BYTES_PER_TOKEN,
    )


def work_of(body: bytes) -> bytes:
    """Returns what the engine works on, the same for equal work."""
    document = load_object(body)
    work = [document.get(key) for key in ('model', 'adapter', 'messages')]
    return orjson.dumps(work, option=orjson.OPT_SORT_KEYS)


def rewrite(body: bytes, model: str | None, adapter: str | None) -> bytes:
    """Returns the body with model and adapter replaced where given."""
    document = load_object(body)
    if model is not None:
        document['model'] = model
    if adapter is not None:
        document['adapter'] = adapter
    return orjson.dumps(document)


@attrs.define
class Chunk:
    """What a router reads from one event of a streamed answer.

    Attributes:
        id: Id of the answer, the same in each of its events.
        text: Text that the event adds.
        plain: Whether the event says nothing that its text does not, so
            that the same text in other events is the same answer.
        final: Whether the event gives a finish reason.
    """

    id: str
    text: str
    plain: bool
    final: bool = False


def read_chunk(data: bytes) -> Chunk:
    """Returns what matters of the data of one event.

    Raises:
        UpstreamBroke: The data is no chunk of a chat answer.
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
            'an event of the answer is no chunk of a chat answer'
        ) from exc
    if not isinstance(answer_id, str) or not isinstance(text, str):
        raise errors.UpstreamBroke('a chunk of the answer has a wrong type')
    plain = len(choices) == 1 and not delta.get('tool_calls')
    return Chunk(answer_id, text, plain, final)


def continue_chunk(data: bytes, answer_id: str | None, count: int) -> bytes:
    """Returns an event of another run as part of the answer so far.

    It gets the id of that answer and loses its first `count` characters.
    """
    document = orjson.loads(data)
    document['id'] = answer_id
    delta = document['choices'][0]['delta']
    if count:
        delta['content'] = delta['content'][count:]
    return orjson.dumps(document)


def check_whole(body: bytes, named_by: str) -> None:
    """Checks that a body is a whole chat answer.

    Args:
        body: The body.
        named_by: Text that the id of the answer must hold.

    Raises:
        UpstreamBroke: It is no chat answer.
        AnswerMismatch: It is the answer to another request.
    """
    try:
        document = orjson.loads(body)
        whole = bool(document['choices'])
        named = named_by in document['id']
    except (ValueError, TypeError, LookupError) as exc:
        raise errors.UpstreamBroke('the answer is no chat answer') from exc
    if not whole:
        raise errors.UpstreamBroke('the answer has no choices')
    if not named:
        raise errors.AnswerMismatch('the answer is to another request')
