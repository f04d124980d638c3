"""Upstreams that one router counts for all."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import trio

from bench.fleet import prompts
from bench.fleet import world
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import placing
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

HELD = owned_loads.NoteKind.HELD
ENDED = owned_loads.NoteKind.ENDED
BEGUN = owned_loads.NoteKind.BEGUN
PROMPT = reservations.Prompt(chat=77, tokens=9000, own_tokens=500)
# of all callers, those whose answers begin within the time they want
IN_TIME = 0.95
# of all requests, those that may find an upstream over its bound
OVER_BOUND = 0.03


def asked(number=1, upstream=5, chat=77, milliseconds=5000, host='10.0.0.2'):
    return messages_forwarding.ReservationRequest(
        number, host, upstream, 'zone-0', chat, 9000, 500, milliseconds
    )


def notes(*rows, host='10.0.0.2'):
    return messages_forwarding.ReservationNotes(host, [list(r) for r in rows])


@pytest.fixture
def owned(autojump_clock):
    return owned_loads.OwnedLoads('10.0.0.1')


async def test_each_sees_those_before_it(owned, autojump_clock):
    first = owned.reserve(asked(1))
    assert (first.load, first.unread, first.holders) == (0, 0, [])
    second = owned.reserve(asked(2, chat=78))
    assert (second.load, second.unread) == (1, 9000)


async def test_question_that_comes_twice_is_counted_once(owned, autojump_clock):
    # The answer was lost on its way, and the router asked again.
    assert owned.reserve(asked(1)).load == 0
    assert owned.reserve(asked(1)).load == 0
    assert owned.reserve(asked(2)).load == 1


async def test_prompt_that_was_read_delays_nobody(owned, autojump_clock):
    owned.reserve(asked(1))
    owned.take(notes([BEGUN, 1, 5, 77, 0]))
    later = owned.reserve(asked(2))
    assert (later.load, later.unread, later.holders) == (1, 0, [5])
    # the chat is held there now: only its own part is read
    assert owned.reserve(asked(3)).unread == 500


async def test_request_of_a_router_that_died_counts_until_its_deadline(
    owned, autojump_clock
):
    # The router that sent a request is killed: nobody says that it ended.
    owned.reserve(asked(1, milliseconds=1000))
    await trio.sleep(0.9)
    assert owned.reserve(asked(2, milliseconds=1)).load == 1
    await trio.sleep(0.2)
    assert owned.reserve(asked(3)).load == 0


async def test_holders_are_few_and_the_latest_first(owned, autojump_clock):
    for holder in (5, 6, 7, 8):
        owned.take(notes([HELD, 0, 5, 77, holder]))
        await trio.sleep(0.1)
    assert owned.holders(77) == [8, 7, 6]


@given(st.lists(st.integers(0, 30), min_size=1, max_size=60), st.randoms())
@settings(max_examples=60, deadline=None)
def test_notes_that_come_twice_and_in_any_order_are_counted_once(ends, rng):
    async def run():
        owned = owned_loads.OwnedLoads('10.0.0.1')
        for number in range(31):
            owned.reserve(asked(number))
        rows = [[ENDED, number, 5, 77, 0] for number in ends * 2]
        rows += [[BEGUN, number, 5, 77, 0] for number in ends]
        rng.shuffle(rows)
        owned.take(notes(*rows))
        return owned.reserve(asked(99)).load

    assert trio.run(run) == 31 - len(set(ends))


async def test_row_of_a_later_version_is_passed_over(owned, autojump_clock):
    owned.reserve(asked(1))
    owned.take(notes([99, 1, 5, 77, 0], [ENDED, 1, 5, 77, 0]))
    assert owned.reserve(asked(2)).load == 0


async def started(nursery, size, **kept):
    fleet = world.make(nursery, size, engines=round(size * 0.6), **kept)
    await fleet.start_all(list(range(size)))
    await trio.sleep(4.0)
    return fleet


def upstream_of(fleet, number=1):
    return fleet.store.content.upstreams[f'i-{number:08x}']


@pytest.mark.parametrize('size', [20, 120])
async def test_all_routers_are_counted_by_one_owner(
    nursery, autojump_clock, size
):
    # Routers of all zones send to one upstream in the same moment. What they
    # tell each other of loads comes half a second later: each took the
    # upstream for idle.
    fleet = await started(nursery, size, loss=0.0)
    upstream = upstream_of(fleet)
    found = []
    for router in fleet.routers.values():
        asks = router.peers.reservations
        found.append(await asks.ask(upstream, PROMPT, 5.0))
    assert [one.load for one in found] == list(range(size))
    assert {one.owner for one in found} <= {
        router.host
        for router in fleet.routers.values()
        if router.zone == upstream.vm.availability_zone
    }
    assert len({one.owner for one in found}) == 1


async def test_owner_that_died_costs_one_short_wait(nursery, autojump_clock):
    # The owner of an upstream is killed. A request that asks it waits for
    # what only makes its place better, and the next ones do not wait.
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    asker = fleet.routers[0].peers.reservations
    owner = (await asker.ask(upstream, PROMPT, 5.0)).owner
    number = next(n for n, r in fleet.routers.items() if r.host == owner)
    assert number != 0
    fleet.end(number)
    begin = trio.current_time()
    assert await asker.ask(upstream, PROMPT, 5.0) is None
    waited = trio.current_time() - begin
    assert waited <= reservations.ANSWER_SECONDS + 0.001
    await asker.ask(upstream, PROMPT, 5.0)
    assert trio.current_time() - begin <= 2 * reservations.ANSWER_SECONDS
    await trio.sleep(6.0)
    # the first one that is asked may be the dead one once more
    found = [await asker.ask(upstream, PROMPT, 5.0) for _ in range(3)]
    assert owner not in {one.owner for one in found if one is not None}
    assert found[-1] is not None


async def test_lost_question_is_put_again(nursery, autojump_clock):
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    asker = fleet.routers[0].peers.reservations
    owner = (await asker.ask(upstream, PROMPT, 5.0)).owner
    begin = trio.current_time()
    fleet.net.cut = lambda source, target: trio.current_time() < begin + 0.005
    found = await asker.ask(upstream, PROMPT, 5.0)
    assert (found.owner, found.load) == (owner, 1)


async def test_second_answer_to_one_question_gives_nothing_back(
    nursery, autojump_clock
):
    # Messages take longer than a question waits before it is put again: both
    # answers come, and the second one after the request was sent.
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    asker = fleet.routers[0].peers.reservations
    await asker.ask(upstream, PROMPT, 5.0)
    fleet.net.delay = lambda source, target: 0.007
    assert (await asker.ask(upstream, PROMPT, 5.0)).load == 1
    await trio.sleep(0.5)
    assert (await asker.ask(upstream, PROMPT, 5.0)).load == 2


async def test_answer_that_comes_too_late_is_given_back(
    nursery, autojump_clock
):
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    asker = fleet.routers[0].peers.reservations
    first = await asker.ask(upstream, PROMPT, 5.0)
    asker.note(first, ENDED, 0)
    fleet.net.delay = lambda source, target: 0.05
    assert await asker.ask(upstream, PROMPT, 5.0) is None
    await trio.sleep(1.5)
    fleet.net.delay = lambda source, target: 0.001
    assert (await asker.ask(upstream, PROMPT, 5.0)).load == 0


@pytest.fixture
async def chats(nursery, autojump_clock):
    fleet = await started(nursery, 20, loss=0.0)
    return prompts.Chats(fleet.routers[0], by_owners=True)


def ticket(chat='chat-1', shared_tokens=8600):
    parts = (
        choice.PromptPart('all', 0),
        choice.PromptPart(chat, shared_tokens),
        choice.PromptPart('own', 600),
    )
    return prompts.ticket_of(parts)


async def test_chat_goes_to_its_place_while_that_reads_nothing(
    chats, autojump_clock
):
    found = await chats.placing.choose(ticket())
    places = chats.chooser.directory.candidates(world.SERVICE).places
    assert found.upstream.instance == places.first('chat-1')
    assert found.reason == choice.PROMPT_CACHED


async def test_chat_leaves_a_place_that_reads_long_prompts(
    chats, autojump_clock
):
    first = await chats.placing.choose(ticket())
    places = chats.chooser.directory.candidates(world.SERVICE).places
    number = 2
    while places.first(f'chat-{number}') != first.upstream.instance:
        number += 1
    other = ticket(f'chat-{number}')
    found = await chats.placing.choose(other)
    assert found.upstream.instance != first.upstream.instance
    assert found.reason == placing.LESS_UNREAD
    assert [one.upstream for one in found.passed_over] == [
        first.upstream.instance
    ]
    assert found.passed_over[0].reason == placing.MORE_UNREAD


@pytest.mark.parametrize(
    ('tokens', 'goes_back'), [(30_000, True), (8600, False)]
)
async def test_long_chat_comes_back_to_who_holds_it(
    chats, autojump_clock, tokens, goes_back
):
    # A chat was served elsewhere while its place was dead. The router that
    # has its next request did not see that; the owner of the place did. A
    # long one goes where it is held; a short one is copied to its place, so
    # that an engine that was dead has chats again.
    first = ticket(shared_tokens=tokens)
    found = await chats.placing.choose(first)
    place = found.upstream.instance
    holder = next(
        one for one in chats.placing.instances.values() if one != place
    )
    first.reservation.reservations.note(
        first.reservation.place,
        HELD,
        first.reservation.chat,
        hashing.short_id(holder),
    )
    first.reservation.ended()
    await trio.sleep(0.5)
    again = ticket(shared_tokens=tokens)
    found = await chats.placing.choose(again)
    assert found.upstream.instance == (holder if goes_back else place)
    assert again.reservation.holders == [holder]


async def test_report_over_the_bound_counts_against_a_new_owner(
    chats, autojump_clock
):
    # An owner that has just become one counts from nothing, and would send
    # requests to an upstream that is over its bound.
    places = chats.chooser.directory.candidates(world.SERVICE).places
    place = places.first('chat-1')
    chats.router.loads.note_report(place, b'30,0,32')
    found = await chats.placing.choose(ticket())
    assert found.upstream.instance != place
    assert found.load < found.allowed


async def test_upstream_that_leaves_while_owners_are_asked_is_not_chosen(
    chats, nursery, autojump_clock
):
    places = chats.chooser.directory.candidates(world.SERVICE).places
    place = places.first('chat-1')
    subject = ticket()
    found = []

    async def choose():
        found.append(await chats.placing.choose(subject))

    nursery.start_soon(choose)
    await trio.sleep(0.0)
    chats.chooser.directory.misplaced.add(place)
    await trio.sleep(0.2)
    assert found[0].upstream.instance != place
    if subject.reservation is not None:
        assert subject.reservation.reservation.instance != place


async def test_nobody_is_asked_in_a_small_fleet(nursery, autojump_clock):
    fleet = await started(nursery, placing.SMALL_FLEET, loss=0.0)
    chats = prompts.Chats(fleet.routers[0], by_owners=True)
    subject = ticket()
    await chats.placing.choose(subject)
    assert subject.reservation is None


@pytest.mark.parametrize('size', [30, 90])
async def test_prompts_begin_in_time_while_no_engine_holds_any(
    nursery, autojump_clock, size
):
    # All callers come at once, twice as many as usual, and no engine has read
    # anything. Placed by hashes alone, a fifth of the long prompts queued
    # behind others while engines beside them were idle.
    fleet = await started(nursery, size)
    found = prompts.Prompts(fleet, by_owners=True, rate=2.0)
    await found.play(prompts.BEGINNING_SECONDS)
    figures = found.figures()
    assert figures['long_in_time'] >= IN_TIME
    assert figures['short_in_time'] >= IN_TIME
    assert figures['over_bound'] <= OVER_BOUND


@pytest.mark.parametrize('size', [30, 100])
async def test_chat_that_all_ask_for_overloads_no_engine(
    nursery, autojump_clock, size
):
    # A fifth of all requests are of one chat. Its place is full, and so are
    # the next in its order; routers that knew late of each other's requests
    # sent theirs to the same engine, which then held over twice the mean.
    fleet = await started(nursery, size)
    found = prompts.Prompts(fleet, by_owners=True)
    await found.play(prompts.BEGINNING_SECONDS)
    found.figures()
    found.hot_part = 0.2
    await found.play(6.0)
    figures = found.figures()
    assert figures['over_bound'] <= OVER_BOUND
    assert figures['long_in_time'] >= IN_TIME
    assert figures['short_in_time'] >= IN_TIME


async def test_full_upstreams_are_passed_by_until_one_has_room(
    chats, autojump_clock
):
    places = chats.chooser.directory.candidates(world.SERVICE).places
    order = list(places.order('chat-1'))
    owners = chats.placing.reservations
    bound = chats.chooser.allowed(places.sample)
    for name in order[:5]:
        upstream = chats.placing.chooser.directory.known(name)
        for _ in range(bound):
            found = await owners.ask(upstream, PROMPT, 5.0)
            assert found is not None, (name, owners.owners.members.far)
            owners.note(found, BEGUN, 0)
    await trio.sleep(0.5)
    found = await chats.placing.choose(ticket())
    assert found.upstream.instance == order[5]
    assert [one.reason for one in found.passed_over] == (
        [choice.OVER_ITS_BOUND] * 5
    )


def halves_cut(fleet, both_ways):
    """Returns what parts the routers of every zone into two halves.

    One way, those of one half still hear of the others and ask them, but
    are not heard.
    """
    first = {
        router.host
        for number, router in fleet.routers.items()
        if number // fleet.zones % 2 == 0
    }

    def cut(source, target):
        if (source in first) == (target in first):
            return False
        return both_ways or source in first

    return cut


def owned_twice(fleet):
    """Returns how many upstreams routers of their zone see two owners of."""
    owners = collections.defaultdict(set)
    for upstream in fleet.store.content.upstreams.values():
        short = hashing.short_id(upstream.instance)
        for router in fleet.routers.values():
            if router.zone == upstream.vm.availability_zone:
                asked = router.peers.reservations.owners
                owners[short].add(asked.own_of_zone(short))
    return sum(len(found) > 1 for found in owners.values())


@pytest.mark.parametrize('both_ways', [False, True])
@pytest.mark.parametrize('size', [30, 60])
async def test_two_owners_of_an_upstream_overload_no_engine(
    nursery, autojump_clock, size, both_ways
):
    # two halves that do not hear each other own the same upstreams, and
    # neither owner counts what the other does
    fleet = await started(nursery, size)
    found = prompts.Prompts(fleet, by_owners=True, hot_part=0.2)
    await found.play(prompts.BEGINNING_SECONDS)
    fleet.net.cut = halves_cut(fleet, both_ways)
    await found.play(4.0)
    found.figures()
    await found.play(4.0)

    assert owned_twice(fleet) > 0
    assert found.figures()['over_bound'] <= OVER_BOUND
