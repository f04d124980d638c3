"""Decisions of a forwarding router: choice, caches, budget, events, health."""

from __future__ import annotations

import collections

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import events
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import prompt_holders
from lavenderbend.coordination.forwarding import shared_loads
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.state import hashing
from tests import forwarding_fakes as fakes

ZONES = ('sala-a', 'sala-b', 'sala-c')
# Token counts of the parts. Requests with long answers have short prompts.
LONG_PROMPT = (2500, 6100, 580)
LONG_ANSWER = (100, 500, 110)


class Selection:
    def __init__(self):
        self.followed = snapshots.Snapshots(
            fakes.Source(), snapshots.FollowSettings(), fakes.random.Random(1)
        )
        self.directory = directory.Directory(self.followed)
        self.health = health.Health()
        self.loads = loads.Loads()
        self.holders = prompt_holders.PromptHolders()
        names = shared_loads.SharedLoads(self.followed, self.loads).instances
        self.cached = cached_prompts.CachedPrompts(
            self.directory, self.health, self.holders, names
        )
        self.revision = 0

    def set_upstreams(self, *upstreams):
        self.revision += 1
        self.followed.accept(
            fakes.snapshot(self.revision, fakes.table(), *upstreams),
            self.followed.clock(),
        )

    def chooser(self, zone='sala-a'):
        return choice.Chooser(
            zone,
            self.directory,
            self.health,
            self.loads,
            2.0,
        )


@pytest.fixture
async def selection(autojump_clock):
    selection = Selection()
    await trio.sleep(100.0)
    selection.set_upstreams(
        *(
            fakes.upstream(f'e{n}', zone=ZONES[n % 3], slots=64)
            for n in range(6)
        )
    )
    return selection


def need(chat, kind=LONG_PROMPT):
    parts = (
        choice.PromptPart('system', kind[0]),
        choice.PromptPart(f'chat-{chat}', kind[1]),
        choice.PromptPart('own', kind[2]),
    )
    return choice.RequestPrompt(parts)


def chosen(selection, chat, zone='sala-a', kind=LONG_PROMPT):
    return selection.chooser(zone).choose('chat', need(chat, kind), (), 't')


def test_parts_of_a_prompt():
    parts = choice.parse_parts('5c1e:800,91bd:410,e440:250')
    assert [part.tokens for part in parts] == [800, 410, 250]
    assert choice.affinity_key(parts) == '91bd'
    assert choice.affinity_key(parts[:2]) == '91bd'
    assert choice.affinity_key(parts[:1]) == '5c1e'
    for text in (None, '', 'x', 'x:', ':5', 'a:1,b', 'a:-1'):
        assert choice.parse_parts(text) == ()


async def test_all_routers_choose_the_same_upstream_for_a_chat(
    selection, autojump_clock
):
    # Guards against a separate choice in each zone: each zone processed each
    # file for itself, and half of all prompt tokens were parts that another
    # engine had processed before.
    for chat in range(50):
        for kind in (LONG_PROMPT, LONG_ANSWER):
            instances = {
                chosen(selection, chat, zone, kind).upstream.instance
                for zone in ZONES
            }
            assert len(instances) == 1


async def test_leaving_upstream_moves_only_its_own_chats(
    selection, autojump_clock
):
    before = {
        chat: chosen(selection, chat).upstream.instance for chat in range(99)
    }
    upstreams = dict(selection.followed.current.upstreams)
    del upstreams['e3']
    selection.set_upstreams(*upstreams.values())
    for chat, instance in before.items():
        now = chosen(selection, chat).upstream.instance
        assert (now == instance) or instance == 'e3'


async def test_no_upstream_is_loaded_above_the_multiple_of_the_mean(
    selection, autojump_clock
):
    # All requests belong to one chat. Its upstream gets as many as the bound
    # allows, and the others go to other upstreams.
    for _ in range(60):
        selection.loads.begin(chosen(selection, 'hot').upstream.instance)
        held = [selection.loads.load(f'e{n}') for n in range(6)]
        assert max(held) <= 2.0 * sum(held) / 6 + 3


async def test_avoided_upstream_is_used_when_there_is_no_other(
    selection, autojump_clock
):
    selection.set_upstreams(fakes.upstream('e0'))
    selection.health.note_unreachable('e0')
    decision = chosen(selection, 1)
    assert (decision.upstream.instance, decision.reason) == (
        'e0',
        choice.ALL_AVOIDED,
    )


async def test_service_without_upstreams_gives_no_upstream(
    selection, autojump_clock
):
    selection.set_upstreams()
    assert chosen(selection, 1).upstream is None


async def test_moved_chat_is_copied_from_its_former_upstream(
    selection, autojump_clock
):
    # Guards against prompts that are processed again after a scale-up: an
    # upstream is added, and a sixth of the chats moves there, although their
    # former upstreams still have the prompts cached.
    before = {
        chat: chosen(selection, chat).upstream.instance for chat in range(99)
    }
    upstreams = selection.followed.current.upstreams.values()
    selection.set_upstreams(*upstreams, fakes.upstream('e9', zone='sala-b'))
    moved = 0
    for chat, instance in before.items():
        now = chosen(selection, chat).upstream
        if now.instance == instance:
            continue
        moved += 1
        parts = need(chat).parts
        source = selection.cached.source('chat', f'chat-{chat}', parts, now)
        assert source.upstream.instance == instance
        selection.cached.note_sent(f'chat-{chat}', parts, now.instance)
        again = selection.cached.source('chat', f'chat-{chat}', parts, now)
        assert again is None
    assert 5 <= moved <= 30


async def test_nothing_is_copied_from_removed_or_unreachable_upstreams(
    selection, autojump_clock
):
    upstreams = dict(selection.followed.current.upstreams)
    before = chosen(selection, 7).upstream.instance
    gone = upstreams.pop(before)
    selection.set_upstreams(*upstreams.values())
    now = chosen(selection, 7).upstream
    source = selection.cached.source('chat', 'chat-7', need(7).parts, now)
    assert source is None or source.upstream.instance != before
    selection.set_upstreams(
        *upstreams.values(), fakes.upstream(before, leaving=True)
    )
    source = selection.cached.source('chat', 'chat-7', need(7).parts, now)
    assert source.upstream.instance == gone.instance
    selection.health.note_unreachable(before)
    source = selection.cached.source('chat', 'chat-7', need(7).parts, now)
    assert source is None or source.upstream.instance != before


async def test_chat_over_the_bound_is_copied_from_its_preferred_upstream(
    selection, autojump_clock
):
    # Upstreams registered one after the other before the first request. For a
    # chat whose preferred upstream was full, the prompt was looked up at the
    # upstream preferred among the earlier ones, and was processed again.
    upstreams = list(selection.followed.current.upstreams.values())
    for count in range(1, len(upstreams) + 1):
        selection.set_upstreams(*upstreams[:count])
    for chat in range(50):
        first = chosen(selection, chat).upstream.instance
        for _ in range(20):
            selection.loads.begin(first)
        now = chosen(selection, chat).upstream
        assert now.instance != first
        parts = need(chat).parts
        source = selection.cached.source('chat', f'chat-{chat}', parts, now)
        assert source.upstream.instance == first
        for _ in range(20):
            selection.loads.end(first)


async def test_shared_prefix_of_a_new_chat_is_copied_from_its_holder(
    selection, autojump_clock
):
    # At the start of a day chats are new, and many begin with the same long
    # text. It was looked up at one upstream computed from its name, which had
    # processed it no earlier than the others, so each of sixty upstreams
    # processed it again.
    first = chosen(selection, 1).upstream
    assert (
        selection.cached.source('chat', 'chat-1', need(1).parts, first) is None
    )
    selection.cached.note_sent('chat-1', need(1).parts, first.instance)
    others = [c for c in range(40) if chosen(selection, c).upstream != first]
    assert others
    for chat in others:
        now = chosen(selection, chat).upstream
        source = selection.cached.source(
            'chat', f'chat-{chat}', need(chat).parts, now
        )
        assert source.upstream == first
        assert source.reason == cached_prompts.HOLDS_SHARED_PREFIX
    selection.health.note_unreachable(first.instance)
    chat = others[0]
    now = chosen(selection, chat).upstream
    source = selection.cached.source(
        'chat', f'chat-{chat}', need(chat).parts, now
    )
    assert source is None or source.upstream != first


async def test_chat_is_copied_from_the_upstream_that_last_served_it(
    selection, autojump_clock
):
    # The preferred upstream of a chat is full for a moment, and another router
    # sends the chat to another one. At the next request the preferred upstream
    # has capacity, and processed the whole prompt again although it could be
    # copied from the other upstream.
    first = chosen(selection, 7).upstream
    for _ in range(40):
        selection.loads.begin(first.instance)
    spilled = chosen(selection, 7)
    assert spilled.passed_over
    other_holders = prompt_holders.PromptHolders()
    other_holders.note_chat('chat-7', spilled.upstream.instance)
    selection.holders.merge(other_holders.rows_to_send(other_zone=False))
    for _ in range(40):
        selection.loads.end(first.instance)
    again = chosen(selection, 7).upstream
    assert again == first
    source = selection.cached.source('chat', 'chat-7', need(7).parts, again)
    assert source.upstream == spilled.upstream
    assert source.reason == cached_prompts.SERVED_BY_OTHER_ROUTER


async def test_holders_of_a_shared_prefix_are_sent_and_expire(autojump_clock):
    parts = need(1).parts
    sender = prompt_holders.PromptHolders()
    receiver = prompt_holders.PromptHolders()
    for instance in ('e1', 'e2', 'e3', 'e4'):
        sender.note_shared_prefix(parts, instance)
    receiver.merge(sender.rows_to_send(other_zone=False))
    holder = receiver.shared_prefix_holder(parts, lambda short: True)
    names = {hashing.short_id(name) for name in ('e1', 'e2', 'e3')}
    assert holder in names
    assert (
        receiver.shared_prefix_holder(parts, lambda short: short not in names)
        is None
    )
    await trio.sleep(prompt_holders.HOLDER_TTL_SECONDS + 0.1)
    receiver.remove_expired()
    assert receiver.shared_prefix_holder(parts, lambda short: True) is None
    assert receiver.rows_to_send(other_zone=True) == b''


async def test_latest_holders_of_a_chat_are_kept(autojump_clock):
    holders = prompt_holders.PromptHolders()
    for instance in ('e1', 'e2', 'e3', 'e4'):
        holders.note_chat('chat-1', instance)
        await trio.sleep(1.0)
    names = [hashing.short_id(name) for name in ('e4', 'e3', 'e2')]
    assert holders.chat_holders('chat-1') == names


async def test_prefixes_of_single_chats_are_bounded(autojump_clock):
    # Each chat begins with a text of its own. There is nothing to share, and
    # routers must not send each other every prefix.
    holders = prompt_holders.PromptHolders()
    for chat in range(prompt_holders.MAX_SHARED_PREFIXES + 50):
        parts = choice.parse_parts(f'{chat:x}:100,c{chat:x}:900,f:10')
        holders.note_shared_prefix(parts, 'e1')
    assert len(holders.holders) == prompt_holders.MAX_SHARED_PREFIXES
    assert (
        len(holders.rows_to_send(other_zone=False))
        <= 9 * prompt_holders.MAX_ROWS_SAME_ZONE
    )


async def test_holders_to_send_are_bounded(autojump_clock):
    # In an overload nearly all chats are served by other upstreams than their
    # preferred ones: the entries sent longest ago are left out.
    holders = prompt_holders.PromptHolders()
    for chat in range(3 * prompt_holders.MAX_PENDING_ROWS):
        holders.note_chat(f'chat-{chat}', 'e1')
    messages = 0
    while holders.rows_to_send(other_zone=False):
        messages += 1
    rows = prompt_holders.MAX_PENDING_ROWS * prompt_holders.TRANSMISSIONS
    assert messages <= rows / prompt_holders.MAX_ROWS_SAME_ZONE + 1


async def test_cache_is_copied_from_an_upstream_that_fails_requests(
    selection, autojump_clock
):
    # An engine sends corrupt answers and is avoided for a second. Its chats go
    # to other upstreams, and each prompt was processed again although the
    # engine has it cached.
    before = chosen(selection, 7).upstream.instance
    others = [f'e{n}' for n in range(6)]
    for _ in range(4):
        selection.health.note_failure(before, others)
    now = chosen(selection, 7).upstream
    assert now.instance != before
    source = selection.cached.source('chat', 'chat-7', need(7).parts, now)
    assert source.upstream.instance == before
    assert source.reason == cached_prompts.PREFERRED
    selection.health.note_silent(before)
    source = selection.cached.source('chat', 'chat-7', need(7).parts, now)
    assert source is None or source.upstream.instance != before


async def test_reported_load_counts_with_requests_sent_since(
    autojump_clock,
):
    upstream_loads = loads.Loads()
    upstream_loads.begin('e1')
    upstream_loads.note_report('e1', b'7,2,64')
    upstream_loads.begin('e1')
    assert upstream_loads.load('e1') == 10
    upstream_loads.end('e1')
    upstream_loads.end('e1')
    assert upstream_loads.load('e1') == 8
    await trio.sleep(2.0)
    assert upstream_loads.load('e1') == 0
    for text in (b'', b'x', b'1', b'-1,2,3'):
        upstream_loads.note_report('e2', text)
    assert 'e2' not in upstream_loads.reports


async def test_shares_of_the_budget_stay_below_the_whole(autojump_clock):
    # Seven routers exchange no messages and every request fails: together they
    # retry no more than the fleet may in any window.
    settings = budget.RetryBudgetSettings(0.2, 54.0, 10.0)
    routers = [budget.RetryBudget(settings, lambda: 7) for _ in range(7)]
    repeats = collections.deque()
    requests = collections.deque()
    for _ in range(400):
        await trio.sleep(0.1)
        now = trio.current_time()
        for router in routers:
            router.note_request('desk')
            requests.append(now)
            if router.try_take('desk'):
                repeats.append(now)
        while repeats and repeats[0] < now - 10.0:
            repeats.popleft()
        while requests and requests[0] < now - 10.0:
            requests.popleft()
        assert len(repeats) <= 0.2 * len(requests) + 54.0
    assert repeats


async def test_router_without_a_fleet_size_has_no_share(autojump_clock):
    retry_budget = budget.RetryBudget(
        budget.RetryBudgetSettings(0.2, 54.0), lambda: 0
    )
    assert not any(retry_budget.try_take('desk') for _ in range(100))
    for _ in range(100):
        retry_budget.note_request('desk')
    assert sum(retry_budget.try_take('desk') for _ in range(100)) == 16


async def test_budgets_of_services_are_separate(autojump_clock):
    retry_budget = budget.RetryBudget(
        budget.RetryBudgetSettings(0.0, 10.0), lambda: 1
    )
    while retry_budget.try_take('desk'):
        pass
    assert retry_budget.try_take('chat')


def test_events_are_split_at_their_ends():
    whole = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
    for cut in range(len(whole)):
        splitter = events.EventSplitter()
        got = splitter.feed(whole[:cut])
        assert whole.startswith(got)
        assert not got or got.endswith(b'\n\n')
        assert got + splitter.feed(whole[cut:]) == whole
        assert splitter.read_position.number == 2


def test_unwritten_events_are_requested_again():
    # Two events were read, and the write of the second was cancelled. The
    # upstream that resumes the stream must begin with the second event, and
    # event numbers are checked from there.
    splitter = events.EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\n')
    splitter.mark_written()
    splitter.feed(b'id: 2\ndata: b\n\nid: 3\nda')
    assert splitter.written_position.number == 1
    splitter.restart()
    with pytest.raises(errors.AnswerContradicts):
        splitter.feed(b'id: 3\ndata: c\n\n')
    assert splitter.feed(b'id: 2\ndata: b\n\n')


async def test_upstream_resumes_after_the_last_written_event():
    upstream = fakes.upstream('e1')
    content = fakes.snapshot(1, fakes.table(), upstream)
    router = fakes.Router(content, fakes.Exchanges(e1=[fakes.reply()]))
    ticket = await router.resolver.admit(fakes.request(last_event_id='7'))
    ticket.splitter.feed(b'id: 8\ndata: b\n\n')
    sent = router.forwarder.attempts.requests.build(ticket, upstream)
    assert dict(sent.headers)[b'last-event-id'] == b'7'
    ticket.splitter.mark_written()
    sent = router.forwarder.attempts.requests.build(ticket, upstream)
    assert dict(sent.headers)[b'last-event-id'] == b'8'


@pytest.mark.parametrize('number', [1, 2, 4])
def test_event_out_of_order_is_rejected(number):
    splitter = events.EventSplitter(2)
    with pytest.raises(errors.AnswerContradicts):
        splitter.feed(b'id: %d\ndata: a\n\n' % number)


def test_unterminated_event_is_bounded():
    splitter = events.EventSplitter()
    with pytest.raises(errors.UpstreamBroke):
        for _ in range(100):
            splitter.feed(b'x' * 20_000)


async def test_failing_upstream_is_avoided_longer_each_time(autojump_clock):
    upstream_health = health.Health()
    spans = []
    for _ in range(3):
        while not upstream_health.deprioritized():
            upstream_health.note_failure('e1')
        began = trio.current_time()
        await trio.sleep(upstream_health.records['e1'].avoid_until - began)
        assert upstream_health.deprioritized() == set()
        spans.append(trio.current_time() - began)
    assert spans[0] < spans[1] < spans[2]


async def test_upstreams_that_all_fail_alike_are_all_used(autojump_clock):
    # All engines of a service answer half of their requests with 500. Avoiding
    # one after the other moves each chat to an engine without its prompt in the
    # cache, where it fails as often.
    upstream_health = health.Health()
    names = ['e1', 'e2', 'e3']
    for number in range(60):
        for name in names:
            if number % 2:
                upstream_health.note_failure(name, names)
            else:
                upstream_health.note_success(name)
        await trio.sleep(0.1)
        assert upstream_health.deprioritized() == set()
    for _ in range(100):
        upstream_health.note_failure('e1', names)
    assert upstream_health.deprioritized() == {'e1'}


async def test_few_failures_among_many_successes_are_tolerated(autojump_clock):
    # One request in seven fails at any upstream.
    upstream_health = health.Health()
    for number in range(200):
        if number % 7 == 0:
            upstream_health.note_failure('e1')
        else:
            upstream_health.note_success('e1')
        await trio.sleep(0.1)
        assert upstream_health.deprioritized() == set()
