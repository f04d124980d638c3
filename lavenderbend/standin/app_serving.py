"""Serves the applications of stand-ins by hypercorn."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import hypercorn
import hypercorn.trio
import trio

if TYPE_CHECKING:
    import quart_trio


async def serve(
    app: quart_trio.QuartTrio,
    host: str,
    port: int,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled; reports the URL when the port is bound."""
    config = hypercorn.Config()
    config.bind = [f'{host}:{port}']
    config.loglevel = 'WARNING'
    config.accesslog = None
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(
            functools.partial(
                hypercorn.trio.serve,
                app,
                config,
                shutdown_trigger=trio.sleep_forever,
            )
        )
        task_status.started(urls[0])
