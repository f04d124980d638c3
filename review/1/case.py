"""A planned stop cuts off requests that it has read late."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

from harness import caller as callers
from harness import cases
from harness import fleet as fleets

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENTS = 24
# the first streams begin before the SIGTERM, and end after it at these times
LEAD_SECONDS = 2.0
FIRST_END_SECONDS = 3.5
LAST_END_SECONDS = 7.0
# both as the sheet has them for `borrador`: 70 events, pauses up to 250 ms
EVENTS = 70
SECOND_MILLISECONDS = 2000
GRACE_SECONDS = fleets.BOUNDS['graceS']
# the rule excuses requests that were sent by then
EXCUSED_SECONDS = 3.0


def play_client(
    router: fleets.Router, number: int, term_at: float
) -> tuple[callers.Answer, callers.Answer]:
    """Sends two streams one after the other on one connection."""
    share = number / (CLIENTS - 1)
    seconds = FIRST_END_SECONDS
    seconds += share * (LAST_END_SECONDS - FIRST_END_SECONDS)
    left = round((term_at + seconds - time.monotonic()) * 1000)
    caller = callers.Caller(router)
    first = caller.call(f'/talk/a?events={EVENTS}&ms={left}')
    if not callers.keeps(first):
        return first, first
    second = caller.call(f'/talk/b?events={EVENTS}&ms={SECOND_MILLISECONDS}')
    caller.close()
    return first, second


async def play(fleet: fleets.Fleet) -> bool:
    """Plays the case; returns whether the rule was broken."""
    router = fleet.routers[0]
    term_at = time.monotonic() + LEAD_SECONDS
    clients = [
        asyncio.create_task(
            asyncio.to_thread(play_client, router, number, term_at)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(term_at - time.monotonic())
    if cases.trouble():
        router.send(signal.SIGTERM)
        fleet.note('sigterm', router=router.host)
    cut = 0
    for first, second in await asyncio.gather(*clients):
        cases.note_answer(fleet, 'first', first)
        cases.note_answer(fleet, 'second', second)
        if not callers.keeps(first):
            raise cases.CaseNotRunError(f'first stream: {first.cause}')
        if second.sent_at < term_at + EXCUSED_SECONDS:
            continue
        if second.ended_at > term_at + GRACE_SECONDS and not second.whole:
            continue
        passed_on = second.id in cases.ran(fleet)
        cut += passed_on and not second.whole
    fleet.note('judged', passed_on_and_cut=cut)
    return cut > 0


def main() -> None:
    """Runs the case."""
    routes = [fleets.route('talk', 'streaming', targetGapMs=250)]
    table = fleets.configuration(1, routes, [fleets.KEY])
    cases.run(FOLDER, fleets.Fleet(3, 2), table, play)


if __name__ == '__main__':
    main()
