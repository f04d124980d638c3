"""Requests that end at the timeout of their route get no answer at all."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time

from harness import caller as callers
from harness import cases
from harness import fleet as fleets

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENTS = 30
SECONDS = 45.0
SEED = 1
# each request takes about a second
WORK_MILLISECONDS = (950, 1050)
FIRST_TIMEOUT_MILLISECONDS = 5000
# of the version that follows
TIMEOUT_MILLISECONDS = 1000
CHANGE_SECONDS = 3.0
DEADLINE_MILLISECONDS = 5000
# the rule allows so many at a machine
ALLOWED = 3


def table(version: int, timeout: int) -> dict[str, object]:
    """Returns a version of the configuration."""
    route = fleets.route('commit', 'non_idempotent', timeoutMs=timeout)
    return fleets.configuration(version, [route], [fleets.KEY])


def play_client(
    router: fleets.Router, number: int, until: float
) -> list[tuple[callers.Answer, bool]]:
    """Sends one request after the other; tells which came on a kept connection.

    A request that got no answer is not sent again.
    """
    rng = random.Random(SEED * CLIENTS + number)
    answers = []
    caller = callers.Caller(router)
    kept = False
    while time.monotonic() < until:
        work = rng.randint(*WORK_MILLISECONDS)
        answer = caller.call(
            f'/commit/x?ms={work}', deadline_ms=DEADLINE_MILLISECONDS
        )
        answers.append((answer, kept))
        kept = callers.keeps(answer)
        if not kept:
            caller.close()
            caller = callers.Caller(router)
    caller.close()
    return answers


async def play(fleet: fleets.Fleet) -> bool:
    """Plays the case; returns whether the rule was broken."""
    router = fleet.routers[0]
    until = time.monotonic() + SECONDS
    clients = [
        asyncio.create_task(
            asyncio.to_thread(play_client, router, number, until)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(CHANGE_SECONDS)
    if cases.trouble():
        fleet.store.put('op/config', table(2, TIMEOUT_MILLISECONDS))
        fleet.note('configuration', version=2, timeout=TIMEOUT_MILLISECONDS)
    results = await asyncio.gather(*clients)
    ran = cases.ran(fleet)
    counts = {'whole': 0, 'cut': 0}
    for answers in results:
        for answer, kept in answers:
            cases.note_answer(fleet, 'kept' if kept else 'first', answer)
            counts['whole'] += answer.whole
            cut = kept and answer.id in ran and not answer.status
            counts['cut'] += cut
    fleet.note('judged', passed_on_and_cut=counts['cut'], allowed=ALLOWED)
    if not counts['whole']:
        raise cases.CaseNotRunError('no request was answered')
    return counts['cut'] > ALLOWED


def main() -> None:
    """Runs the case."""
    first = table(1, FIRST_TIMEOUT_MILLISECONDS)
    cases.run(FOLDER, fleets.Fleet(3, 3), first, play)


if __name__ == '__main__':
    main()
