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
CLIENTS = 140
SECONDS = 40.0
SEED = 1
# one of seven servers, which works four times as long as usual
SERVERS = 7
SLOW_FACTOR = 4
WORK_MILLISECONDS = (243, 253)
TIMEOUT_MILLISECONDS = 1000
DEADLINE_MILLISECONDS = 5000
# the rule allows so many at a machine
ALLOWED = 3


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
        kept = answer.whole
        if not kept:
            caller.close()
            caller = callers.Caller(router)
    caller.close()
    return answers


async def play(fleet: fleets.Fleet) -> bool:
    """Plays the case; returns whether the rule was broken."""
    router = fleet.routers[0]
    if cases.trouble():
        fleet.workers[0].slow_factor = SLOW_FACTOR
    until = time.monotonic() + SECONDS
    clients = [
        asyncio.to_thread(play_client, router, number, until)
        for number in range(CLIENTS)
    ]
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
    route = fleets.route(
        'commit', 'non_idempotent', timeoutMs=TIMEOUT_MILLISECONDS
    )
    table = fleets.configuration(1, [route], [fleets.KEY])
    cases.run(FOLDER, fleets.Fleet(3, SERVERS), table, play)


if __name__ == '__main__':
    main()
