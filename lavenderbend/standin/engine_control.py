"""Load, orders, cache and faults of a stand-in engine."""

from __future__ import annotations

import math

import attrs
import trio

from lavenderbend.standin import asgi
from lavenderbend.standin import engine_cache
from lavenderbend.standin import engine_core
from lavenderbend.standin import engine_faults
from lavenderbend.standin import engine_orders
from lavenderbend.standin import engine_routes

LONG_SECONDS = 3600.0


@engine_routes.ROUTES.register('GET /v1/load')
async def get_load(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Reports the load, some time late."""
    await exchange.respond_json(200, app.engine.report())


@engine_routes.ROUTES.register('GET /healthz')
async def get_health(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Says that the process runs."""
    document = {'instance': app.engine.instance}
    await exchange.respond_json(200, document)


@engine_routes.ROUTES.register('GET /v1/orders')
async def get_orders(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Tells what the engine serves."""
    await exchange.respond_json(200, {'state': app.engine.orders.state()})


@engine_routes.ROUTES.register('POST /v1/orders')
async def post_order(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Takes an order."""
    orders = app.engine.orders
    order = engine_orders.read_order(asgi.read_object(await exchange.read()))
    try:
        await orders.apply(order)
    except engine_orders.StaleFencing:
        await exchange.respond_json(409, {'fencing': orders.fencing})
        return
    await exchange.respond_json(200, {'state': orders.state()})


@engine_routes.ROUTES.register('GET /v1/kv-cache/')
async def export_cache(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Exports the cache of one chat."""
    chat = exchange.path.removeprefix(engine_routes.CACHE_PATH)
    blocks = app.engine.cache.export(chat)
    if blocks is None:
        await exchange.respond_json(404, {'error': 'not held'})
        return
    document = {'chat': chat, 'blocks': [attrs.astuple(b) for b in blocks]}
    await exchange.respond_json(200, document)


@engine_routes.ROUTES.register('PUT /v1/kv-cache/')
async def import_cache(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Imports the cache of one chat."""
    chat = exchange.path.removeprefix(engine_routes.CACHE_PATH)
    document = asgi.read_object(await exchange.read())
    blocks = [
        engine_cache.Block(int(key), int(tokens))
        for key, tokens in document.get('blocks', ())
    ]
    app.engine.cache.store(chat, blocks, trio.current_time())
    await exchange.respond_json(200, {'tokens': sum(b.tokens for b in blocks)})


@engine_routes.ROUTES.register('GET /v1/cache-events')
async def get_cache_events(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Shows cache events late and with gaps."""
    engine = app.engine
    _, _, after = exchange.query.partition('after=')
    first = int(after) if after.isdigit() else 0
    limit = trio.current_time() - engine.settings.event_lag_seconds
    shown = [
        attrs.asdict(event)
        for event in engine.cache.events
        if event.number > first
        and event.at <= limit
        # whether an event is lost does not change from call to call
        and not is_lost(engine, event.number)
    ]
    await exchange.respond_json(200, {'events': shown})


def is_lost(engine: engine_core.Engine, number: int) -> bool:
    """Returns whether a cache event is never shown."""
    share = math.modf((number * 2654435761 % 2**32) / 2**32)[0]
    return share < engine.settings.event_loss


@engine_routes.ROUTES.register('POST /standin/faults')
async def post_fault(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Sets faults: `{"kind": ..., "after": ..., "count": ...}`."""
    document = asgi.read_object(await exchange.read())
    kind = str(document.get('kind'))
    if kind == 'crash':
        app.engine.crash()
    elif kind == 'drain':
        app.engine.draining = bool(document.get('on', True))
        app.engine.drain_refuses = bool(document.get('refuse', True))
    elif engine_faults.known(kind):
        fault = engine_faults.Fault(
            kind,
            int(document.get('after', 2)),
            float(document.get('seconds', LONG_SECONDS)),
        )
        app.engine.faults.extend([fault] * int(document.get('count', 1)))
    else:
        raise ValueError(f'no fault {kind!r}')
    await exchange.respond_json(200, {'faults': len(app.engine.faults)})


@engine_routes.ROUTES.register('GET /standin/runs')
async def get_runs(
    app: engine_routes.EngineApp, exchange: asgi.HttpExchange
) -> None:
    """Shows what the engine ran."""
    await exchange.respond_json(200, app.engine.log.to_document())
