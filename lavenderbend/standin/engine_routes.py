"""The routes of a stand-in engine's HTTP interface."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import registry
from lavenderbend.standin import asgi

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.standin import engine_core

    Handler = Callable[['EngineApp', asgi.HttpExchange], Awaitable[None]]

ROUTES: registry.Registry[Handler] = registry.Registry('engine route')

REQUEST_ID = 'x-request-id'
CACHE_PATH = '/v1/kv-cache/'


class EngineApp:
    """The ASGI application of one engine.

    Attributes:
        engine: The engine.
        last_id: Id of the request before this one, for wrong echoes.
    """

    def __init__(self, engine: engine_core.Engine) -> None:
        self.engine = engine
        self.last_id = 'none'

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope['type'] != 'http':
            return
        exchange = asgi.HttpExchange(scope, receive, send)
        try:
            await self.route(exchange)
        except asgi.CallerLeft:
            return
        except ValueError as exc:
            await exchange.respond_json(400, {'error': str(exc)})

    async def route(self, exchange: asgi.HttpExchange) -> None:
        """Finds the handler of a request."""
        if self.engine.down:
            await exchange.abort()
            return
        path = exchange.path
        if path.startswith(CACHE_PATH):
            path = CACHE_PATH
        key = f'{exchange.method} {path}'
        if key not in ROUTES.entries:
            await exchange.respond_json(404, {'error': 'no such path'})
            return
        await ROUTES.get(key)(self, exchange)

    def head(self, request_id: str) -> dict[str, str]:
        """Returns the headers of every answer."""
        return {REQUEST_ID: request_id, 'x-instance': self.engine.instance}
