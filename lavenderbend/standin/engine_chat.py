"""Chat requests to a stand-in engine."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend.protocol import sse
from lavenderbend.standin import asgi
from lavenderbend.standin import engine_core
from lavenderbend.standin import engine_faults
from lavenderbend.standin import engine_routes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RESUME_OFFSET = 'x-resume-offset'
FOREIGN_ID = 'chatcmpl-of-another-request'


@engine_routes.ROUTES.register('POST /v1/chat/completions')
async def complete_chat(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Answers a chat request, streamed or whole."""
    engine = app.engine
    body = await exchange.read()
    document = read_chat(body)
    request_id = exchange.headers.get(engine_routes.REQUEST_ID, '')
    fault = engine.faults.popleft() if engine.faults else None
    head = app.head(request_id)
    if fault is not None and await play_head(app, exchange, fault, head):
        return
    app.last_id = request_id
    if engine.refuses:
        await refuse(exchange, head)
        return
    run, offset = open_run(app, exchange, document, body)
    if offset:
        head[RESUME_OFFSET] = str(offset)
    send = stream_answer if document.get('stream') else send_whole
    await exchange.while_connected(
        functools.partial(send, app, exchange, run, offset, fault, head),
        functools.partial(engine.cancel, run),
    )


def read_chat(body: bytes) -> dict[str, Any]:
    """Returns the body of a chat request; raises `ValueError` for none."""
    document = asgi.read_object(body)
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise ValueError('no chat request')
    if not all(isinstance(item, dict) for item in messages):
        raise ValueError('a message is no object')
    return document


def open_run(
    app: engine_routes.EngineApp,
    exchange: asgi.HttpExchange,
    document: dict[str, Any],
    body: bytes,
) -> tuple[engine_core.Run, int]:
    """Returns the run of a request and the offset at which it goes on."""
    request_id = exchange.headers.get(engine_routes.REQUEST_ID, '')
    wanted = exchange.headers.get(RESUME_OFFSET, '')
    if wanted.isdigit():
        known = app.engine.resume(request_id, int(wanted))
        if known is not None:
            return known, int(wanted)
    digest = engine_core.digest_of(body)
    run = app.engine.submit(request_id, document, exchange.headers, digest)
    return run, 0


async def refuse(exchange: asgi.HttpExchange, head: dict[str, str]) -> None:
    """Says that the request was not started."""
    await exchange.respond_json(
        503, {'error': 'not started'}, {**head, 'x-not-started': '1'}
    )


async def play_head(
    app: engine_routes.EngineApp,
    exchange: asgi.HttpExchange,
    fault: engine_faults.Fault,
    head: dict[str, str],
) -> bool:
    """Plays a fault of the head; returns whether the answer is over."""
    if fault.kind == engine_faults.REFUSE:
        await refuse(exchange, head)
        return True
    if fault.kind == engine_faults.ERROR:
        await exchange.respond_json(500, {'error': 'failed'}, head)
        return True
    if fault.kind == engine_faults.CUT_BEFORE_HEAD:
        await exchange.abort()
        return True
    if fault.kind == engine_faults.WRONG_ECHO:
        head[engine_routes.REQUEST_ID] = app.last_id
    return False


def chunk_of(
    run: engine_core.Run, delta: dict[str, Any], reason: str | None
) -> dict[str, Any]:
    """Returns one chunk of a streamed answer."""
    return {
        'id': f'chatcmpl-{run.id}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': run.document.get('model', ''),
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': reason}],
    }


def usage_of(run: engine_core.Run) -> dict[str, Any]:
    """Returns the usage of a run."""
    return {
        'prompt_tokens': run.prompt_tokens,
        'completion_tokens': len(run.tokens),
        'total_tokens': run.prompt_tokens + len(run.tokens),
        'prompt_tokens_details': {'cached_tokens': run.cached_tokens},
    }


def encode_token(run: engine_core.Run, index: int) -> bytes:
    """Returns the event of one token."""
    delta = {'content': run.tokens[index]}
    if index == 0:
        delta['role'] = 'assistant'
    return sse.encode(orjson.dumps(chunk_of(run, delta, None)), '', index)


async def events_of(run: engine_core.Run, offset: int) -> AsyncIterator[bytes]:
    """Yields the events of a run from an offset on, as they come about."""
    index = offset
    while index < len(run.tokens):
        while index >= run.produced and not run.cut:
            await run.changed.park()
        if run.cut:
            raise engine_faults.CutConnection
        yield encode_token(run, index)
        index += 1
    if index == len(run.tokens):
        last = chunk_of(run, {}, 'stop')
        last['usage'] = usage_of(run)
        yield sse.encode(orjson.dumps(last), '', index)
    yield sse.TERMINATOR


async def stream_answer(
    app: engine_routes.EngineApp,
    exchange: asgi.HttpExchange,
    run: engine_core.Run,
    offset: int,
    fault: engine_faults.Fault | None,
    head: dict[str, str],
) -> None:
    """Sends the answer as it comes about."""
    foreign = sse.encode(
        orjson.dumps(
            {**chunk_of(run, {'content': 'x'}, None), 'id': FOREIGN_ID}
        )
    )
    events = engine_faults.play(events_of(run, offset), fault, foreign)
    started = False
    try:
        async for event in events:
            if not started:
                started = True
                head['content-type'] = sse.CONTENT_TYPE
                await exchange.start(200, head)
            await exchange.write(event)
        await exchange.end()
    except engine_faults.CutConnection:
        app.engine.cancel(run)
        await exchange.abort()


async def send_whole(
    app: engine_routes.EngineApp,
    exchange: asgi.HttpExchange,
    run: engine_core.Run,
    offset: int,
    fault: engine_faults.Fault | None,
    head: dict[str, str],
) -> None:
    """Sends the answer when it is whole."""
    while not run.done and not run.cut:
        await run.changed.park()
    if run.cut or (fault is not None and fault.kind == 'cut'):
        await exchange.abort()
        return
    if fault is not None and fault.kind == 'stall':
        await trio.sleep(fault.seconds)
    message = {'role': 'assistant', 'content': ''.join(run.tokens)}
    document = {
        'id': f'chatcmpl-{run.id}',
        'object': 'chat.completion',
        'created': 0,
        'model': run.document.get('model', ''),
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': usage_of(run),
    }
    body = orjson.dumps(document)
    if fault is not None and fault.kind == 'garbage':
        body = b'\x00' * len(body)
    if fault is not None and fault.kind == engine_faults.SHORT_BODY:
        await send_short(exchange, body, head)
        return
    await exchange.respond(200, body, head)


async def send_short(
    exchange: asgi.HttpExchange, body: bytes, head: dict[str, str]
) -> None:
    """Sends half of a body whose full length was stated."""
    stated = {
        **head,
        'content-type': asgi.JSON_TYPE,
        'content-length': str(len(body)),
    }
    await exchange.start(200, stated)
    await exchange.write(body[: len(body) // 2])
    await exchange.abort()
