from __future__ import annotations

import attrs
import pytest
import trio

from bench.decisions import cases
from bench.decisions import store
from bench.decisions import workload
from bench.decisions import world
from lavenderbend import errors
from lavenderbend.coordination.quarantine import quarantine
from lavenderbend.coordination.quarantine import records as quarantine_records
from tests import fakes

POISON = 0xBAD


class Routers:
    """Quarantines of some routers over one network and store."""

    def __init__(self, nursery, count=3):
        self.nursery = nursery
        self.network = fakes.Network(nursery, 0.001)
        self.store = store.MemoryStore()
        self.board = fakes.ReportBoard()
        self.names = [f'router-{number}' for number in range(count)]
        self.all = [self.start(name) for name in self.names]

    def start(self, name):
        view = fakes.View(self.names, (), self.board)
        link = self.network.link(name)
        one = quarantine.Quarantine(name, self.store, link, view)
        self.nursery.start_soon(one.run)
        return one


@pytest.fixture
def routers(nursery):
    return Routers(nursery)


async def test_second_upstream_that_dies_quarantines_everywhere(
    routers, autojump_clock
):
    # a caller sends a request that kills its engine, and sends it again
    # through another router each time: without a common record, every
    # router would lose two engines to it
    first, second, third = routers.all
    await first.crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await trio.sleep(1)
    assert third.suspect(POISON)
    assert third.may_retry(POISON)
    await second.crashed(POISON, 'engine-1', 'b', 1, 0.1)
    await trio.sleep(1)

    for one in routers.all:
        assert not one.may_retry(POISON)
        with pytest.raises(errors.RequestQuarantined) as caught:
            one.check(POISON)
        assert caught.value.retry_after > 0


async def test_one_death_by_two_names_counts_once(routers, autojump_clock):
    # a poison request kills its engine before a byte of its answer, beside
    # a clerk's stream there: its entry does not know the engine's instance,
    # the clerk's does. Taken for two deaths, the second looked like a fault
    # of the machines, and a third engine had to die
    first, second, _ = routers.all
    await first.crashed(POISON, 'engine-0', '', 2, 0.1)
    await second.crashed(0x5AFE, 'engine-0', 'a', 1, 9.0)
    await trio.sleep(0.5)

    await second.crashed(POISON, 'engine-1', '', 1, 0.1)

    with pytest.raises(errors.RequestQuarantined):
        second.check(POISON)
    second.check(0x5AFE)


async def test_all_routers_refuse_before_the_caller_is_told(
    routers, autojump_clock
):
    # a caller whose request has just killed its second engine is told so
    # and sends it again at once through another router, which had not heard
    # yet: a third engine died
    first, second, third = routers.all
    await first.crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await first.crashed(POISON, 'engine-1', 'b', 1, 0.1)

    for one in (second, third):
        with pytest.raises(errors.RequestQuarantined):
            one.check(POISON)


async def test_quarantine_survives_all_routers(nursery, autojump_clock):
    # every router is replaced within minutes of the finding, and the caller
    # sends the request again: only the key-value service still knows
    before = Routers(nursery)
    await before.all[0].crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await before.all[0].crashed(POISON, 'engine-1', 'b', 1, 0.1)
    await trio.sleep(2)
    after = Routers.__new__(Routers)
    after.nursery = nursery
    after.network = fakes.Network(nursery, 0.001)
    after.store = before.store
    after.board = before.board
    after.names = ['router-9']
    replaced = after.start('router-9')
    await trio.sleep(1)

    with pytest.raises(errors.RequestQuarantined):
        replaced.check(POISON)


async def test_same_upstream_dying_twice_proves_nothing(
    routers, autojump_clock
):
    one = routers.all[0]
    await one.crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await one.crashed(POISON, 'engine-0', 'b', 1, 0.1)
    await trio.sleep(2)

    one.check(POISON)


async def test_innocent_that_was_at_both_deaths_is_run_again(
    routers, autojump_clock
):
    # A request was on an engine that a poisonous one killed, and is run
    # again on the engine that the poison kills next, through another router.
    # Its own router has not heard of the poison yet: it took the request for
    # one that engines die of, and its caller got an error.
    one, other, _ = routers.all
    await one.crashed(7, 'engine-0', 'a', 2, 5.0)
    await other.crashed(POISON, 'engine-0', 'a', 2, 0.1)
    await trio.sleep(1)
    await one.crashed(7, 'engine-1', 'b', 2, 5.0)
    await other.crashed(POISON, 'engine-1', 'b', 2, 0.1)
    await one.wait_notices(7)

    assert one.may_retry(7)
    assert not other.may_retry(POISON)


@pytest.mark.parametrize('seed', [3, 4, 6, 8])
def test_poison_costs_no_innocent_caller_its_answer(seed):
    # the story above with real admission, a request that kills its engine
    # and 20 others a second; in these draws one of them is at both deaths
    setup = cases.poison(cases.Length(45.0, 5.0, ()))[0]

    record = world.run(attrs.evolve(setup.case, seed=seed), list(setup.events))

    refused = [one for one in record.outcomes if one.error]
    assert record.poisoned == 2
    assert all(one.arrival.poison for one in refused)


async def test_hundred_innocents_on_a_dying_engine_stay_free(
    routers, autojump_clock
):
    # an engine's VM dies with 100 requests in progress over three routers;
    # they are run again elsewhere, and then a second engine dies with some
    # of them, long since started: none of them is to blame
    for number in range(100):
        router = routers.all[number % 3]
        await router.crashed(number, 'engine-0', 'a', 100, 7.0)
    await trio.sleep(10)
    for number in range(0, 100, 8):
        router = routers.all[number % 3]
        await router.crashed(number, 'engine-1', 'b', 100, 7.0)
    await trio.sleep(2)

    for number in range(100):
        for router in routers.all:
            router.check(number)


async def test_rack_that_dies_takes_no_request_for_the_cause(
    routers, autojump_clock
):
    # a rack goes: three engines die within seconds; a request was on the
    # first and, run again, alone among suspects on the second
    one, other, _ = routers.all
    await one.crashed(7, 'engine-0', 'a', 1, 5.0)
    await other.crashed(8, 'engine-2', 'c', 1, 5.0)
    await trio.sleep(1)
    await one.crashed(7, 'engine-1', 'b', 1, 0.2)
    await trio.sleep(2)

    one.check(7)


async def test_survivor_is_cleared_on_all_routers(routers, autojump_clock):
    one, other, _ = routers.all
    await one.crashed(7, 'engine-0', 'a', 1, 0.1)
    await trio.sleep(1)
    other.survived(7)
    await trio.sleep(1)

    assert not one.suspect(7)
    await one.crashed(7, 'engine-1', 'b', 1, 0.1)
    await trio.sleep(2)
    one.check(7)


async def test_finding_is_kept_when_the_store_is_down(routers, autojump_clock):
    # the key-value service is down when the second engine dies; the record
    # must follow when it is back, or a replaced router would not know
    working = routers.store.create
    down = True

    async def create(key, value, lease=0):
        if down:
            raise errors.KeyValueUnavailable('down')
        return await working(key, value, lease)

    routers.store.create = create
    one = routers.all[0]
    await one.crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await one.crashed(POISON, 'engine-1', 'b', 1, 0.1)
    await trio.sleep(5)
    assert not routers.store.items
    down = False
    await trio.sleep(5)

    assert len(routers.store.items) == 1


async def test_second_finding_is_learned_after_the_first_has_ended(
    routers, autojump_clock
):
    # A request was quarantined, and the time of that ended. It kills two
    # more engines; the third router misses the notices and reads the record
    # of the finding. It took the finding for known, from the first one, and
    # let the request through to a further engine.
    first, second, third = routers.all
    await first.crashed(POISON, 'engine-0', 'a', 1, 0.1)
    await second.crashed(POISON, 'engine-1', 'b', 1, 0.1)
    await trio.sleep(quarantine.QUARANTINE_SECONDS + 5.0)
    # the service's lease of the record has ended too
    routers.store.items.clear()
    for name in routers.names[:2]:
        routers.network.cut(name, routers.names[2])
    for one in (first, second):
        one.check(POISON)
    await first.crashed(POISON, 'engine-2', 'c', 1, 0.1)
    await second.crashed(POISON, 'engine-3', 'd', 1, 0.1)
    await trio.sleep(1)

    with pytest.raises(errors.RequestQuarantined):
        first.check(POISON)
    with pytest.raises(errors.RequestQuarantined):
        third.check(POISON)


async def test_watches_spread_out_while_the_store_is_down(
    nursery, autojump_clock
):
    # the key-value service falls over under load and comes back after ten
    # minutes; were every router of the fleet to come each second, all at
    # the same moments, it would be kept down, for a watch that can wait
    routers = Routers(nursery, 0)
    asked = []

    class Down(store.MemoryStore):
        async def read(self, *args, **kwargs):
            asked.append(trio.current_time())
            raise errors.KeyValueUnavailable('down')

    working = routers.store
    routers.store = Down()
    all_routers = [routers.start(f'router-{number}') for number in range(20)]
    began = trio.current_time()
    await trio.sleep(600)

    late = [at for at in asked if at > began + 60]
    assert 20 * 20 < len(late) < 20 * 120
    assert len({round(at, 3) for at in late}) > 0.95 * len(late)

    await working.create(
        f'{quarantine_records.DEFAULT_PREFIX}{POISON:016x}', b'{}'
    )
    for one in all_routers:
        one.records.store = working
    await trio.sleep(quarantine_records.WATCH_RETRIES.max_delay)
    for one in all_routers:
        assert not one.may_retry(POISON)


def test_poison_kills_two_engines_and_no_innocent_is_refused():
    # a request that kills its engine is sent 50 times through all routers
    # while 20 others a second run
    length = cases.Length(45.0, 5.0, ())
    setup = cases.poison(length)[0]

    record = world.run(setup.case, list(setup.events))

    refused = [one for one in record.outcomes if one.error]
    assert record.poisoned == 2
    assert len(refused) == 50
    assert all(one.arrival.poison for one in refused)
    assert workload.poison(0, 1, 1, 1)[0].poison
