"""Runs a case: sets up a fleet, judges, writes the record, ends all."""

from __future__ import annotations

import asyncio
import concurrent.futures
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

    from harness import caller as callers
    from harness import fleet as fleets

# exit codes of the program; `run.sh` ends with 0, 1 and 2
HELD = 0
BROKEN = 10
NOT_RUN = 11
# routers that were started by then are in touch (`contactMs`)
TOUCH_SECONDS = 4.0
MAX_CALLERS = 200


class CaseNotRunError(Exception):
    """The case could not be brought about."""


def trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def note_answer(fleet: fleets.Fleet, name: str, answer: callers.Answer) -> None:
    """Adds a request and its answer to the record."""
    fleet.note(
        'request',
        name=name,
        id=answer.id,
        sent=round(answer.sent_at - fleet.began, 3),
        status=answer.status,
        whole=answer.whole,
        bytes=len(answer.body),
        cause=answer.cause,
        ended=round(answer.ended_at - fleet.began, 3),
    )


def ran(fleet: fleets.Fleet) -> set[str]:
    """Returns the ids of the requests that workers have begun to run."""
    return {run['id'] for worker in fleet.workers for run in worker.runs}


async def play_case(
    fleet: fleets.Fleet,
    table: dict[str, object],
    play: Callable[[fleets.Fleet], Awaitable[bool]],
) -> int:
    """Starts the fleet and plays the case; returns the exit code."""
    loop = asyncio.get_running_loop()
    loop.set_default_executor(
        concurrent.futures.ThreadPoolExecutor(MAX_CALLERS)
    )
    try:
        await fleet.start(table)
        await asyncio.sleep(TOUCH_SECONDS)
        broken = await play(fleet)
    except (CaseNotRunError, TimeoutError, OSError) as exc:
        fleet.note('not_run', cause=repr(exc))
        return NOT_RUN
    fleet.note('verdict', broken=broken, trouble=trouble())
    return BROKEN if broken else HELD


def run(
    folder: pathlib.Path,
    fleet: fleets.Fleet,
    table: dict[str, object],
    play: Callable[[fleets.Fleet], Awaitable[bool]],
) -> None:
    """Runs a case and exits with its code."""
    code = NOT_RUN

    def stop(*_: object) -> None:
        # clients in threads may keep the interpreter from ending for long
        fleet.end_routers()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(play_case(fleet, table, play))
    except Exception:  # noqa: BLE001 - reported as a case that could not run
        traceback.print_exc()
    finally:
        fleet.close(folder / 'record.txt')
    print(f'code {code}, see {folder.name}/record.txt')
    sys.exit(code)
