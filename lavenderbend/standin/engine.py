"""A stand-in model engine as a server."""

from __future__ import annotations

import functools

import trio

from lavenderbend.protocol import http_limits
from lavenderbend.standin import engine_chat  # noqa: F401 - has routes
from lavenderbend.standin import engine_control  # noqa: F401 - has routes
from lavenderbend.standin import engine_core
from lavenderbend.standin import engine_routes
from lavenderbend.transport import serving

Engine = engine_core.Engine
EngineSettings = engine_core.EngineSettings
EngineApp = engine_routes.EngineApp

IDLE_SECONDS = 3600.0


async def serve(
    host: str,
    port: int,
    engine: engine_core.Engine,
    *,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an engine until cancelled, or until `shutdown` is set."""
    limits = http_limits.HttpLimits(idle_seconds=IDLE_SECONDS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        bound = await nursery.start(
            functools.partial(
                serving.serve,
                EngineApp(engine),
                host,
                port,
                shutdown=shutdown or trio.Event(),
                limits=limits,
            )
        )
        task_status.started(bound)
