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

CHAT_PATH = '/v1/chat/completions'


def make_app(upstream_port: int) -> quart_trio.QuartTrio:
    """Returns the application."""
    app = quart_trio.QuartTrio('bare', static_folder=None)
    app.config['RESPONSE_TIMEOUT'] = None
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    client = httpx.AsyncClient(
        base_url=f'http://{stub.HOST}:{upstream_port}',
        limits=limits,
        timeout=None,
        trust_env=False,
    )

    async def relay() -> quart.Response:
        body = await quart.request.get_data()
        request = client.build_request('POST', CHAT_PATH, content=body)
        answer = await client.send(request, stream=True)

        async def pieces():
            try:
                async for data in answer.aiter_raw():
                    yield data
            finally:
                await answer.aclose()

        response = quart.Response(pieces(), status=answer.status_code)
        response.headers['content-type'] = answer.headers['content-type']
        response.timeout = None
        return response

    app.add_url_rule(CHAT_PATH, view_func=relay, methods=['POST'])
    return app


async def serve(
    upstream_port: int,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled."""
    config = hypercorn.Config()
    config.bind = [f'{stub.HOST}:0']
    config.backlog = 4096
    config.errorlog = None
    config.keep_alive_max_requests = 1_000_000
    config.keep_alive_timeout = 600
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            functools.partial(
                hypercorn_trio.serve, make_app(upstream_port), config
            )
        )
        task_status.started(int(binds[0].rpartition(':')[2]))
