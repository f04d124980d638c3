"""A bare relay of the same libraries: no rules, no checks, no records."""

from __future__ import annotations

import functools

import httpx
import hypercorn
from hypercorn import trio as hypercorn_trio
import quart
import quart_trio
import trio

from bench.relay import stub
from lavenderbend.protocol import http_limits
from lavenderbend.state import requests
from lavenderbend.state import upstreams
from lavenderbend.transport import upstream_http

CHAT_PATH = '/v1/chat/completions'
LONG_SECONDS = 600.0


async def open_httpx(upstream_port: int):
    """Returns a function that opens an answer by httpx."""
    client = httpx.AsyncClient(
        base_url=f'http://{stub.HOST}:{upstream_port}',
        limits=httpx.Limits(max_connections=None, max_keepalive_connections=64),
        timeout=None,
        trust_env=False,
    )

    async def open_answer(body: bytes):
        request = client.build_request('POST', CHAT_PATH, content=body)
        answer = await client.send(request, stream=True)
        kind = answer.headers['content-type']
        return answer.status_code, kind, answer.aiter_raw(), answer.aclose

    return open_answer


async def open_h11(upstream_port: int):
    """Returns a function that opens an answer by the router's own client."""
    client = upstream_http.HttpUpstreamClient(
        http_limits.AnswerLimits(stall_seconds=LONG_SECONDS)
    )
    kind = upstreams.UpstreamKind.ENGINE
    vm = upstreams.Vm('e', stub.HOST, upstream_port, 'zone', 'engines', kind)

    async def open_answer(body: bytes):
        request = requests.Request(
            'same', 'one', 'POST', CHAT_PATH, {}, body, 0.0
        )
        answer = await client.open(vm, request, {}, LONG_SECONDS)
        kind = answer.start.headers['content-type']
        return answer.start.status, kind, answer.chunks(), answer.close

    return open_answer


def make_app(open_answer) -> quart_trio.QuartTrio:
    """Returns the application."""
    app = quart_trio.QuartTrio('bare', static_folder=None)
    app.config['RESPONSE_TIMEOUT'] = None

    async def relay() -> quart.Response:
        body = await quart.request.get_data()
        status, kind, chunks, close = await open_answer(body)

        async def pieces():
            try:
                async for data in chunks:
                    yield data
            finally:
                await close()

        response = quart.Response(pieces(), status=status)
        response.headers['content-type'] = kind
        response.timeout = None
        return response

    app.add_url_rule(CHAT_PATH, view_func=relay, methods=['POST'])
    return app


async def serve(
    upstream_port: int,
    client: str,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled."""
    config = hypercorn.Config()
    config.bind = [f'{stub.HOST}:0']
    config.backlog = 4096
    config.errorlog = None
    config.keep_alive_max_requests = 1_000_000
    config.keep_alive_timeout = 600
    opener = {'httpx': open_httpx, 'h11': open_h11}[client]
    app = make_app(await opener(upstream_port))
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            functools.partial(hypercorn_trio.serve, app, config)
        )
        task_status.started(int(binds[0].rpartition(':')[2]))
