"""Small costs: records, rules of a revision, owners of groups."""

from __future__ import annotations

import collections
import time
import tracemalloc

import attrs

from bench import rules_cost
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.rules import rules
from lavenderbend.state import decisions

RECORDS = 5000
ROUNDS = 3
REGIONS = 5
REGION_ROUTERS = 66
POOLS = 14
GROUPS = (1, 5, 10, 24)
RULES = (10, 100, 1000)
POOL_STEP = 7919  # any number that keeps the pools' ids apart


@attrs.frozen
class Spread:
    """How the groups of a region fall to its routers.

    Attributes:
        groups: Groups of each of the pools.
        owners: Fewest and most routers that own any, over the regions.
        most: Most groups on one router, over the regions.
        choose_ms: Processor time to look at the owners of all groups.
    """

    groups: int
    owners: tuple[int, int]
    most: int
    choose_ms: float


def decision(number: int) -> decisions.Decision:
    """Returns a record as of a chat that was sent to one engine."""
    over = tuple(
        decisions.PassedOver(f'engine-{number + other:05d}', 'over bound')
        for other in range(3)
    )
    attempt = decisions.Attempt(
        f'engine-{number:05d}',
        f'router-{number % 330}',
        f'router-1/{number}',
        'held chat',
        over,
        waited=0.001 + number,
        started=1.0 + number,
        first_byte=0.5 + number,
        finished=9.0 + number,
        result='complete',
    )
    return decisions.Decision(
        f'{number:032x}',
        customer=f'customer-{number % rules_cost.CUSTOMERS}',
        method='POST',
        path='/v1/chat/completions',
        model='model-1',
        chat=f'{number:016x}',
        revision=number // 100,
        rule=f'rule-{number % 1000}',
        pool='model-1',
        priority='NORMAL',
        attempts=[attempt],
        outcome='complete',
        at=1e9 + number,
        duration=9.1 + number,
        availability_zone='zone-1',
        headers={'x-task': f'summary {number}'},
    )


def record_bytes() -> float:
    """Returns the bytes of memory of one recorded decision."""
    tracemalloc.start()
    store = decisions.DecisionStore(RECORDS)
    for number in range(RECORDS):
        store.add(decision(number))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(used / len(store.entries))


def compile_ms(count: int) -> float:
    """Returns the milliseconds to compile the rules of a revision."""
    found = []
    for _ in range(ROUNDS):
        revision = rules_cost.make_revision(count)
        rule_set = rules.RuleSet()
        started = time.process_time()
        rule_set.compiled_rules(revision)
        found.append(time.process_time() - started)
    return round(min(found) * 1000, 2)


def spread(count: int) -> Spread:
    """Returns how so many groups of each pool fall to routers."""
    used, most = [], []
    started = time.process_time()
    for region in range(REGIONS):
        routers = [f'router-{region}-{n}' for n in range(REGION_ROUTERS)]
        found = collections.Counter(
            groups.owner(groups.GroupId(pool * POOL_STEP, index), routers)
            for pool in range(POOLS)
            for index in range(count)
        )
        used.append(len(found))
        most.append(max(found.values()))
    spent = (time.process_time() - started) / REGIONS
    return Spread(
        count, (min(used), max(used)), max(most), round(spent * 1000, 2)
    )
