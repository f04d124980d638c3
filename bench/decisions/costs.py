"""Processor time and memory of admission, for the capacity page.

Usage:
  bench.decisions.costs

These depend on the machine, so no bound is kept on them.
"""

from __future__ import annotations

import random
import time
import tracemalloc

import docopt
import trio

from bench.decisions import engines
from bench.decisions import network
from bench.decisions import views
from lavenderbend.coordination import admission
from lavenderbend.coordination import interfaces
from lavenderbend.state import configuration
from lavenderbend.state import hashing
from lavenderbend.state import placements
from lavenderbend.state import requests
from lavenderbend.state import upstreams

CYCLES = 4000
CHATS = 50_000


def build(
    nursery: trio.Nursery, count: int
) -> tuple[admission.OwnerAdmission, admission.OwnerAdmission]:
    """Returns an entry and the owner of a pool of so many engines."""
    vms = [views.engine_vm(f'engine-{number}') for number in range(count)]
    board = views.ReportBoard()
    for vm in vms:
        report = upstreams.LoadReport(
            vm.id, 'one', 0, 0, models=(engines.MODEL,)
        )
        board.put(report, 0.0)
    pool = configuration.Pool('chat', 'model', max_load=1000)
    configurations = views.FixedConfiguration(
        configuration.Configuration(pools=(pool,))
    )
    net = network.Network(nursery, 0.0)
    names = ['router-0', 'router-1']
    made = {}
    for name in names:
        view = views.View(names, vms, board)
        made[name] = admission.OwnerAdmission(
            name, net.link(name), view, configurations, random.Random(name)
        )
        nursery.start_soon(made[name].run)
    made['router-0'].refresh_owners()
    owner = next(iter(made['router-0'].owners.values()))
    entry = next(name for name in names if name != owner)
    return made[entry], made[owner]


def ask(number: int) -> interfaces.PermitRequest:
    """Returns an ask of one of a thousand chats."""
    return interfaces.PermitRequest(
        request_id=str(number),
        pool='chat',
        customer=f'customer-{number % 10}',
        chat=hashing.hash64(str(number % 1000)),
        model=engines.MODEL,
        adapter=None,
        priority=requests.Priority.NORMAL,
        prompt_tokens=1000,
        deadline=trio.current_time() + 60,
    )


async def cycle_cost(count: int) -> float:
    """Returns seconds of processor time for a permit and its release."""
    async with trio.open_nursery() as nursery:
        entry, _ = build(nursery, count)
        await trio.sleep(0.1)
        started = time.process_time()
        for number in range(CYCLES):
            permit = await entry.acquire(ask(number))
            entry.release(permit, 'complete')
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    return spent / CYCLES


def place_bytes() -> float:
    """Returns bytes of memory for each chat in the table of places."""
    places = [placements.Place(f'engine-{n}', n) for n in range(20)]
    tracemalloc.start()
    table = placements.Placements(CHATS)
    for number in range(CHATS):
        chat = hashing.hash64(str(number)) >> 32
        table.put(chat, places[number % 20])
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / CHATS


def main() -> None:
    """Prints the costs."""
    docopt.docopt(__doc__)
    for count in (5, 9, 20, 40):
        cost = trio.run(cycle_cost, count)
        print(
            f'{count:3} engines: {cost * 1e6:6.0f} us for each permit, '
            'entry and owner and codec together'
        )
    print(f'{place_bytes():.0f} bytes for each chat in the table of places')


if __name__ == '__main__':
    main()
