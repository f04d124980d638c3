"""Reservations with the router that owns an upstream."""

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
from lavenderbend.coordination.forwarding import owner_calls
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing
from lavenderbend.state import permits

HELD = owned_loads.NoteKind.HELD
ENDED = owned_loads.NoteKind.ENDED
BEGUN = owned_loads.NoteKind.BEGUN
PROMPT = reservations.PromptSummary(chat=77, tokens=9000, own_tokens=500)
# Least fraction of requests whose answers begin within the time callers expect.
MIN_IN_TIME_FRACTION = 0.95
# Greatest fraction of requests that may find an upstream over its load bound.
MAX_OVER_BOUND_FRACTION = 0.03


def request(number=1, upstream=5, chat=77, milliseconds=5000, host='10.0.0.2'):
    return messages_forwarding.ReservationRequest(
        number, host, upstream, 'zone-0', chat, 9000, 500, milliseconds
    )


def notes(*rows, host='10.0.0.2'):
    return messages_forwarding.ReservationNotes(host, [list(r) for r in rows])


@pytest.fixture
def owned(autojump_clock):
    return owned_loads.OwnedLoads('10.0.0.1')


async def test_reply_holds_the_load_of_earlier_requests(owned, autojump_clock):
    first = owned.reserve(request(1))
    assert (first.load, first.unread_tokens, first.holders) == (0, 0, [])
    second = owned.reserve(request(2, chat=78))
    assert (second.load, second.unread_tokens) == (1, 9000)


async def test_request_received_twice_is_counted_once(owned, autojump_clock):
    # The reply was lost, and the router sent its request again.
    assert owned.reserve(request(1)).load == 0
    assert owned.reserve(request(1)).load == 0
    assert owned.reserve(request(2)).load == 1


async def test_processed_prompt_has_no_unread_tokens(owned, autojump_clock):
    owned.reserve(request(1))
    owned.apply_notes(notes([BEGUN, 1, 5, 77, 0]))
    later = owned.reserve(request(2))
    assert (later.load, later.unread_tokens, later.holders) == (1, 0, [5])
    # The chat is cached there now: only its own part is to be processed.
    assert owned.reserve(request(3)).unread_tokens == 500


async def test_request_of_a_dead_router_counts_until_its_deadline(
    owned, autojump_clock
):
    # The router that sent a request is killed and sends no end of it.
    owned.reserve(request(1, milliseconds=1000))
    await trio.sleep(0.9)
    assert owned.reserve(request(2, milliseconds=1)).load == 1
    await trio.sleep(0.2)
    assert owned.reserve(request(3)).load == 0


async def test_holders_are_limited_and_latest_first(owned, autojump_clock):
    for holder in (5, 6, 7, 8):
        owned.apply_notes(notes([HELD, 0, 5, 77, holder]))
        await trio.sleep(0.1)
    assert owned.holders(77) == [8, 7, 6]


@given(st.lists(st.integers(0, 30), min_size=1, max_size=60), st.randoms())
@settings(max_examples=60, deadline=None)
def test_duplicate_and_reordered_notes_are_counted_once(ends, rng):
    async def run():
        owned = owned_loads.OwnedLoads('10.0.0.1')
        for number in range(31):
            owned.reserve(request(number))
        rows = [[ENDED, number, 5, 77, 0] for number in ends * 2]
        rows += [[BEGUN, number, 5, 77, 0] for number in ends]
        rng.shuffle(rows)
        owned.apply_notes(notes(*rows))
        return owned.reserve(request(99)).load

    assert trio.run(run) == 31 - len(set(ends))


async def test_row_of_a_later_version_is_ignored(owned, autojump_clock):
    owned.reserve(request(1))
    owned.apply_notes(notes([99, 1, 5, 77, 0], [ENDED, 1, 5, 77, 0]))
    assert owned.reserve(request(2)).load == 0


async def started(nursery, size, **options):
    fleet = world.make(nursery, size, engines=round(size * 0.6), **options)
    await fleet.start_all(list(range(size)))
    await trio.sleep(4.0)
    return fleet


def upstream_of(fleet, number=1):
    return fleet.store.content.upstreams[f'i-{number:08x}']


@pytest.mark.parametrize('size', [20, 120])
async def test_one_owner_counts_requests_of_all_routers(
    nursery, autojump_clock, size
):
    # Routers of all zones send to one upstream at the same moment. Gossiped
    # loads arrive half a second later: each router took the upstream for idle.
    fleet = await started(nursery, size, loss=0.0)
    upstream = upstream_of(fleet)
    replies = []
    for router in fleet.routers.values():
        client = router.peers.reservations
        replies.append(await client.reserve(upstream, PROMPT, 5.0))
    assert [reply.load for reply in replies] == list(range(size))
    assert {reply.owner for reply in replies} <= {
        router.host
        for router in fleet.routers.values()
        if router.zone == upstream.vm.availability_zone
    }
    assert len({reply.owner for reply in replies}) == 1


async def test_dead_owner_delays_a_request_once_and_briefly(
    nursery, autojump_clock
):
    # The owner of an upstream is killed. A request waits only briefly for a
    # reservation, which merely improves its choice; the next do not wait.
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    client = fleet.routers[0].peers.reservations
    owner = (await client.reserve(upstream, PROMPT, 5.0)).owner
    number = next(n for n, r in fleet.routers.items() if r.host == owner)
    assert number != 0
    fleet.end(number)
    begin = trio.current_time()
    assert await client.reserve(upstream, PROMPT, 5.0) is None
    waited = trio.current_time() - begin
    assert waited <= owner_calls.REPLY_TIMEOUT_SECONDS + 0.001
    await client.reserve(upstream, PROMPT, 5.0)
    assert trio.current_time() - begin <= 2 * owner_calls.REPLY_TIMEOUT_SECONDS
    await trio.sleep(6.0)
    # The first request may go to the dead router once more.
    replies = [await client.reserve(upstream, PROMPT, 5.0) for _ in range(3)]
    assert owner not in {reply.owner for reply in replies if reply is not None}
    assert replies[-1] is not None


async def test_lost_request_is_sent_again(nursery, autojump_clock):
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    client = fleet.routers[0].peers.reservations
    owner = (await client.reserve(upstream, PROMPT, 5.0)).owner
    begin = trio.current_time()
    fleet.net.cut = lambda source, target: trio.current_time() < begin + 0.005
    reply = await client.reserve(upstream, PROMPT, 5.0)
    assert (reply.owner, reply.load) == (owner, 1)


async def test_second_reply_to_one_request_ends_no_reservation(
    nursery, autojump_clock
):
    # Messages take longer than the time after which a reservation request is
    # sent again: two replies arrive, the second after the request was sent.
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    client = fleet.routers[0].peers.reservations
    await client.reserve(upstream, PROMPT, 5.0)
    fleet.net.delay = lambda source, target: 0.007
    assert (await client.reserve(upstream, PROMPT, 5.0)).load == 1
    await trio.sleep(0.5)
    assert (await client.reserve(upstream, PROMPT, 5.0)).load == 2


async def test_reservation_of_a_late_reply_is_ended(nursery, autojump_clock):
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    client = fleet.routers[0].peers.reservations
    first = await client.reserve(upstream, PROMPT, 5.0)
    client.queue_note(first, ENDED, 0)
    fleet.net.delay = lambda source, target: 0.05
    assert await client.reserve(upstream, PROMPT, 5.0) is None
    await trio.sleep(1.5)
    fleet.net.delay = lambda source, target: 0.001
    assert (await client.reserve(upstream, PROMPT, 5.0)).load == 0


async def test_reservation_without_a_reply_is_ended(nursery, autojump_clock):
    # An owner that is heard no more would count it until its deadline.
    fleet = await started(nursery, 20, loss=0.0)
    upstream = upstream_of(fleet)
    client = fleet.routers[0].peers.reservations
    first = await client.reserve(upstream, PROMPT, 5.0)
    client.queue_note(first, ENDED, 0)
    await trio.sleep(0.5)
    fleet.net.cut = lambda source, target: source == first.owner
    assert await client.reserve(upstream, PROMPT, 5.0) is None
    await trio.sleep(0.5)
    owner = next(r for r in fleet.routers.values() if r.host == first.owner)
    assert not owner.peers.reservations.owned.upstreams.get(first.upstream)


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


async def test_chat_goes_to_its_idle_preferred_upstream(chats, autojump_clock):
    chosen = await chats.placing.choose(ticket())
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    assert chosen.upstream.instance == places.first('chat-1')
    assert chosen.reason == choice.PROMPT_CACHED


async def test_chat_avoids_a_preferred_upstream_with_long_prompts(
    chats, autojump_clock
):
    first = await chats.placing.choose(ticket())
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    number = 2
    while places.first(f'chat-{number}') != first.upstream.instance:
        number += 1
    other = ticket(f'chat-{number}')
    chosen = await chats.placing.choose(other)
    assert chosen.upstream.instance != first.upstream.instance
    assert chosen.reason == reserving_chooser.LESS_UNREAD
    assert [skipped.upstream for skipped in chosen.passed_over] == [
        first.upstream.instance
    ]
    assert chosen.passed_over[0].reason == reserving_chooser.MORE_UNREAD


@pytest.mark.parametrize(
    ('tokens', 'goes_back'), [(30_000, True), (8600, False)]
)
async def test_long_chat_returns_to_the_upstream_that_holds_it(
    chats, autojump_clock, tokens, goes_back
):
    # A chat was served elsewhere while its preferred upstream was dead. The
    # router of its next request did not see that, the owner did. A long chat
    # goes to its holder; a short one is copied, so that a restarted engine has
    # chats again.
    first = ticket(shared_tokens=tokens)
    chosen = await chats.placing.choose(first)
    preferred = chosen.upstream.instance
    holder = next(
        instance
        for instance in chats.placing.instances.values()
        if instance != preferred
    )
    first.reservation.reservations.queue_note(
        first.reservation.preferred,
        HELD,
        first.reservation.chat,
        hashing.short_id(holder),
    )
    first.reservation.note_ended()
    await trio.sleep(0.5)
    again = ticket(shared_tokens=tokens)
    chosen = await chats.placing.choose(again)
    assert chosen.upstream.instance == (holder if goes_back else preferred)
    assert again.reservation.holders == [holder]


async def test_report_over_the_bound_counts_against_a_new_owner(
    chats, autojump_clock
):
    # A router that has just become an owner starts counting at zero, and would
    # send requests to an upstream that is over its bound.
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    preferred = places.first('chat-1')
    chats.router.loads.note_report(preferred, b'30,0,32')
    chosen = await chats.placing.choose(ticket())
    assert chosen.upstream.instance != preferred
    assert chosen.load < chosen.allowed


async def test_upstream_that_leaves_during_reservations_is_not_chosen(
    chats, nursery, autojump_clock
):
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    preferred = places.first('chat-1')
    subject = ticket()
    choices = []

    async def choose():
        choices.append(await chats.placing.choose(subject))

    nursery.start_soon(choose)
    await trio.sleep(0.0)
    chats.chooser.directory.replaced.add(preferred)
    await trio.sleep(0.2)
    assert choices[0].upstream.instance != preferred
    if subject.reservation is not None:
        assert subject.reservation.reservation.instance != preferred


async def test_small_fleet_makes_no_reservations(nursery, autojump_clock):
    fleet = await started(
        nursery, reserving_chooser.SMALL_FLEET_ROUTERS, loss=0.0
    )
    chats = prompts.Chats(fleet.routers[0], by_owners=True)
    subject = ticket()
    await chats.placing.choose(subject)
    assert subject.reservation is None


@pytest.mark.parametrize('size', [30, 90])
async def test_prompts_begin_in_time_while_all_caches_are_empty(
    nursery, autojump_clock, size
):
    # All callers arrive at once, twice as many as usual, and all prompt caches
    # are empty. With choices by hashing alone, a fifth of the long prompts
    # queued behind others while other engines were idle.
    fleet = await started(nursery, size)
    traffic = prompts.Prompts(fleet, by_owners=True, rate=2.0)
    await traffic.play(prompts.BEGINNING_SECONDS)
    figures = traffic.figures()
    assert figures['long_in_time'] >= MIN_IN_TIME_FRACTION
    assert figures['short_in_time'] >= MIN_IN_TIME_FRACTION
    assert figures['over_bound'] <= MAX_OVER_BOUND_FRACTION


@pytest.mark.parametrize('size', [30, 100])
async def test_popular_chat_overloads_no_engine(nursery, autojump_clock, size):
    # A fifth of all requests are of one chat. Its preferred upstream and the
    # next in its order are full; routers that learned late of each other's
    # requests sent theirs to one engine, which then held over twice the mean.
    fleet = await started(nursery, size)
    traffic = prompts.Prompts(fleet, by_owners=True)
    await traffic.play(prompts.BEGINNING_SECONDS)
    traffic.figures()
    traffic.hot_part = 0.2
    await traffic.play(6.0)
    figures = traffic.figures()
    assert figures['over_bound'] <= MAX_OVER_BOUND_FRACTION
    assert figures['long_in_time'] >= MIN_IN_TIME_FRACTION
    assert figures['short_in_time'] >= MIN_IN_TIME_FRACTION


async def test_full_upstreams_are_skipped_until_one_has_capacity(
    chats, autojump_clock
):
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    order = list(places.order('chat-1'))
    reserving = chats.placing.reservations
    bound = chats.chooser.load_bound(places.sample)
    for name in order[:5]:
        upstream = chats.placing.chooser.directory.find(name)
        for _ in range(bound):
            reply = await reserving.reserve(upstream, PROMPT, 5.0)
            assert reply is not None, (
                name,
                reserving.owners.members.other_zones,
            )
            reserving.queue_note(reply, BEGUN, 0)
    await trio.sleep(0.5)
    chosen = await chats.placing.choose(ticket())
    assert chosen.upstream.instance == order[5]
    assert [skipped.reason for skipped in chosen.passed_over] == (
        [choice.OVER_BOUND] * 5
    )


def partition(fleet, both_ways):
    """Returns a cut of the network between two halves of each zone's routers.

    Unless it is both ways, routers of the second half reach those of the
    first, while messages of the first half to the second are lost.
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


def count_owned_twice(fleet):
    """Returns how many upstreams have two owners in the view of their zone."""
    owners = collections.defaultdict(set)
    for upstream in fleet.store.content.upstreams.values():
        short = hashing.short_id(upstream.instance)
        for router in fleet.routers.values():
            if router.zone == upstream.vm.availability_zone:
                view = router.peers.reservations.owners
                owners[short].add(view.owner_in_zone(short))
    return sum(len(hosts) > 1 for hosts in owners.values())


@pytest.mark.parametrize('both_ways', [False, True])
@pytest.mark.parametrize('size', [30, 60])
async def test_two_owners_of_an_upstream_overload_no_engine(
    nursery, autojump_clock, size, both_ways
):
    # During a partition both halves of a zone have an owner of the same
    # upstream, and neither owner counts the requests of the other half.
    fleet = await started(nursery, size)
    traffic = prompts.Prompts(fleet, by_owners=True, hot_part=0.2)
    await traffic.play(prompts.BEGINNING_SECONDS)
    fleet.net.cut = partition(fleet, both_ways)
    await traffic.play(4.0)
    traffic.figures()
    await traffic.play(4.0)

    assert count_owned_twice(fleet) > 0
    assert traffic.figures()['over_bound'] <= MAX_OVER_BOUND_FRACTION


def heard_by_first(fleet):
    """Returns the routers that messages of the first router reach."""
    host = fleet.routers[0].host
    return [
        router
        for router in fleet.routers.values()
        if not fleet.net.cut(host, router.host)
    ]


def preferred_upstream(fleet, chat):
    """Returns the instance that a chat prefers."""
    chats = prompts.Chats(fleet.routers[0], by_owners=True)
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    return places.first(chat)


async def place(traffic, router, chat):
    """Has a router place a request of a chat, whose prompt is read at once."""
    subject = ticket(chat)
    chats = prompts.Chats(router, by_owners=True)
    chosen = await chats.placing.choose(subject)
    traffic.note_load(traffic.engines[chosen.upstream.instance])
    router.loads.begin(chosen.upstream.instance)
    if subject.reservation is not None:
        subject.reservation.note_begun()
    await trio.sleep(reservations.FLUSH_SECONDS + 0.01)
    return chosen


async def place_after_report(nursery, load, age):
    """Has a half place one chat's requests after a report of the other's.

    Each request is sent through another router, and no report follows.

    Returns:
        The traffic, and the choices of the chat's preferred upstream.
    """
    fleet = await started(nursery, 30, loss=0.0, zones=1)
    fleet.net.cut = partition(fleet, both_ways=True)
    await trio.sleep(4.0)
    preferred = preferred_upstream(fleet, 'chat-1')
    traffic = prompts.Prompts(fleet, by_owners=True)
    for engine in traffic.engines.values():
        engine.load = 3
    traffic.engines[preferred].load = load
    half = heard_by_first(fleet)
    for router in half:
        for instance, engine in traffic.engines.items():
            router.loads.note_peer_report(instance, engine.load, age)
    choices = [await place(traffic, router, 'chat-1') for router in half[:10]]
    return traffic, [
        chosen for chosen in choices if chosen.upstream.instance == preferred
    ]


@pytest.mark.parametrize('age', [0.1, 0.8])
async def test_reservations_after_a_report_add_to_its_load(
    nursery, autojump_clock, age
):
    # The report of 7 hid all that other routers reserved after it, up to 7.
    _, choices = await place_after_report(nursery, 7, age)
    unseen = [7 + n - chosen.load for n, chosen in enumerate(choices)]
    assert max(unseen) <= 0


@pytest.mark.parametrize('age', [0.1, 0.8])
async def test_half_of_a_fleet_overloads_no_engine_between_reports(
    nursery, autojump_clock, age
):
    # One half filled the bound again above the other's reported requests.
    traffic, _ = await place_after_report(nursery, 7, age)
    assert sum(traffic.over) == 0


async def test_half_that_the_owner_does_not_hear_overloads_no_engine(
    nursery, autojump_clock
):
    # Routers heard an owner that did not hear them, and none counted for them.
    fleet = await started(nursery, 30, loss=0.0, zones=1)
    fleet.net.cut = partition(fleet, both_ways=False)
    await trio.sleep(4.0)
    half = heard_by_first(fleet)
    owners = fleet.routers[0].peers.reservations.owners
    number = 1
    while True:
        preferred = preferred_upstream(fleet, f'chat-{number}')
        owner = owners.owner_in_zone(hashing.short_id(preferred))
        if fleet.net.cut(fleet.routers[0].host, owner):
            break
        number += 1
    # Each router has noticed that this owner does not reply to it.
    upstream = fleet.store.content.upstreams[preferred]
    for router in half:
        await router.peers.reservations.reserve(upstream, PROMPT, 0.001)
    traffic = prompts.Prompts(fleet, by_owners=True)
    for router in half:
        await place(traffic, router, f'chat-{number}')
    assert sum(traffic.over) == 0


async def test_full_upstream_is_not_used_after_another_owner_is_silent(
    chats, autojump_clock
):
    # The owner's answer was dropped with the offers when the next was silent.
    places = chats.chooser.directory.candidates(world.SERVICE).rendezvous
    preferred = places.first('chat-1')
    reserving = chats.placing.reservations
    upstream = chats.chooser.directory.find(preferred)
    for _ in range(2 * chats.chooser.load_bound(places.sample)):
        reply = await reserving.reserve(upstream, PROMPT, 5.0)
    network = chats.router.peers.link.network
    network.cut = lambda source, target: reply.owner not in (source, target)
    chosen = await chats.placing.choose(ticket())
    assert chosen.upstream.instance != preferred


async def test_chat_stays_at_an_idle_upstream_whose_owner_died(
    chats, autojump_clock
):
    # Its prompt would be read again elsewhere, for as long as this is unknown.
    owners = chats.router.peers.owners
    candidates = chats.chooser.directory.candidates(world.SERVICE)
    preferred = {
        chat: candidates.rendezvous.first(chat)
        for chat in (f'chat-{number}' for number in range(100))
    }
    chat, dead = next(
        (chat, owners.owner_in_zone(hashing.short_id(name)))
        for chat, name in preferred.items()
        if candidates.by_name[name].vm.availability_zone == owners.zone
        and owners.owner_in_zone(hashing.short_id(name)) != owners.host
    )
    chats.router.peers.link.network.cut = lambda source, target: target == dead
    chosen = await chats.placing.choose(ticket(chat))
    assert chosen.upstream.instance == preferred[chat]


async def test_request_waits_for_two_silent_owners_at_most(
    chats, autojump_clock
):
    # All other routers died at once: each owner asked costs the full timeout.
    chats.router.peers.link.network.cut = lambda source, target: True
    begin = trio.current_time()
    chosen = await chats.placing.choose(ticket())
    waited = trio.current_time() - begin
    assert chosen.upstream is not None
    assert waited <= 2 * owner_calls.REPLY_TIMEOUT_SECONDS + 0.001


async def test_upstream_without_requests_is_forgotten(owned, autojump_clock):
    # Upstreams come and go for as long as a router runs.
    owned.reserve(request(1))
    owned.reserve(request(2, milliseconds=1000))
    owned.apply_notes(notes([ENDED, 1, 5, 77, 0]))
    await trio.sleep(2.0)
    owned.remove_expired()
    await trio.sleep(permits.RELEASED_RETENTION_SECONDS + 1.0)
    owned.remove_expired()
    assert not owned.upstreams
    assert not owned.table.live
    assert not owned.table.released
