"""A request's way through a forwarding router, over fakes."""

from __future__ import annotations

import pytest
import trio
import trio.lowlevel

from lavenderbend import errors
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import choice as choice_module
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

LOST = errors.UpstreamLost('reset')


def router(exchanges, rules=None, upstream_names=('e1', 'e2'), **follow):
    found = [fakes.upstream(name) for name in upstream_names]
    content = fakes.snapshot(1, fakes.table(1, rules), *found)
    return fakes.Router(content, exchanges, **follow)


def both(*steps):
    """Returns upstreams that do the same, whichever is asked first."""
    shared = list(steps)
    exchanges = fakes.Exchanges(e1=(), e2=())
    exchanges.steps = {'e1': shared, 'e2': shared}
    return exchanges


IDEMPOTENT = (fakes.rule(idempotent=True, attempts=2),)
ONCE = (fakes.rule(attempts=2),)
RESUMABLE = (fakes.rule(streaming=True, resumable=True, attempts=2),)
STREAM_ONCE = (fakes.rule(streaming=True, attempts=2),)


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class SlowToFail(fakes.Exchanges):
    async def open(self, one, repeatable):
        await trio.sleep(0.5)
        raise errors.UpstreamUnreachable('timed out')


async def test_answer_is_passed_on_as_the_upstream_gave_it(autojump_clock):
    exchanges = both(fakes.reply(201, (b'do', b'ne'), etag='"1"'))
    answer, error = await router(exchanges).ask()
    assert error is None
    assert (answer.status, answer.body) == (201, b'done')
    assert (b'x-signature', b'sig') in answer.headers
    assert (b'etag', b'"1"') in answer.headers


async def test_upstream_gets_what_the_caller_sent_and_no_credential(
    autojump_clock,
):
    exchanges = both(fakes.reply())
    await router(exchanges).ask(
        path='/chat/1?a=b',
        body=b'payload',
        x_hold='forged',
        x_customer='otra',
        x_rank='0',
        x_more='kept',
        connection='x-drop',
        x_drop='1',
    )
    (instance, sent), *_ = exchanges.sent
    headers = dict(sent.headers)
    assert (sent.method, sent.target, sent.body) == (
        b'POST',
        b'/chat/1?a=b',
        b'payload',
    )
    assert headers[b'x-more'] == b'kept'
    assert headers[b'x-customer'] == b'corte'
    assert headers[b'x-rank'] == b'1'
    assert headers[b'x-expect-instance'] == instance.encode()
    assert len(sent.headers) == len(headers)
    for name in (b'authorization', b'x-hold', b'x-drop', b'connection'):
        assert name not in headers


async def test_upstream_is_told_the_time_that_is_left(autojump_clock):
    rules = (fakes.rule(timeout=2.0, idempotent=True, attempts=2),)
    exchanges = both(fakes.reply(500, delay=0.5), fakes.reply())
    await router(exchanges, rules).ask(x_deadline_ms='1500')
    left = [dict(sent.headers)[b'x-deadline-ms'] for _, sent in exchanges.sent]
    assert 1400 < int(left[0]) <= 1500
    assert int(left[1]) <= int(left[0]) - 450


async def test_unknown_path_and_credential_are_told_apart(autojump_clock):
    exchanges = both(fakes.reply())
    the_router = router(exchanges)
    _, error = await the_router.ask(path='/none/')
    assert error.status == 404
    _, error = await the_router.ask(key='wrong')
    assert error.status == 401
    _, error = await the_router.ask(key='')
    assert error.status == 401
    assert not exchanges.sent


async def test_public_rule_asks_for_no_credential(autojump_clock):
    exchanges = both(fakes.reply())
    _, error = await router(exchanges, (fakes.rule(public=True),)).ask(key='')
    assert error is None


async def test_longest_prefix_is_the_first_rule(autojump_clock):
    # the adapter orders rules by length; the first match counts here
    inner = fakes.rule('in', '/chat/in/*', public=True)
    exchanges = both(fakes.reply())
    the_router = router(exchanges, (inner, fakes.rule()))
    _, error = await the_router.ask(path='/chat/in/1', key='')
    assert error is None
    _, error = await the_router.ask(path='/chat/1', key='')
    assert error.status == 401


async def test_router_without_configuration_says_not_run(autojump_clock):
    # All routers lost power right after a change. Until one has read the
    # store it knows no route: 404 or 401 would send the caller away for good.
    the_router = fakes.Router(fakes.snapshot(1, None), both(fakes.reply()))
    _, error = await the_router.ask()
    assert error.status == 503
    assert error.retry_after > 0


async def test_credential_is_refused_when_the_configuration_is_old(
    nursery, autojump_clock
):
    # The credential is taken away while the router is cut off from the
    # store and all peers; past the bound nothing is passed on.
    exchanges = both(fakes.reply())
    the_router = router(exchanges, revocation_seconds=5.0)
    the_router.source.error = errors.KeyValueUnavailable('cut')
    nursery.start_soon(the_router.snapshots.run)
    await trio.sleep(4.7)
    _, error = await the_router.ask()
    assert isinstance(error, errors.ConfigurationStale)
    assert error.retry_after > 0
    assert not exchanges.sent


async def test_router_that_wakes_reads_before_it_serves(
    nursery, autojump_clock
):
    # Suspended for ten seconds, and the first request comes before any
    # timer: it waits for one read and is then answered by what that says.
    exchanges = both(fakes.reply())
    the_router = router(exchanges, revocation_seconds=5.0)
    nursery.start_soon(the_router.snapshots.run)
    await trio.sleep(0.1)
    the_router.clock.suspended += 10.0
    removed = fakes.table(2, customers=(forwarding.ForwardCustomer('corte'),))
    the_router.source.put(fakes.snapshot(2, removed, fakes.upstream('e1')))
    _, error = await the_router.ask()
    assert error.status == 401
    assert not exchanges.sent


async def test_route_that_an_old_router_lacks_is_not_called_unknown(
    nursery, autojump_clock
):
    the_router = router(both(fakes.reply()))
    the_router.source.error = errors.KeyValueUnavailable('cut')
    nursery.start_soon(the_router.snapshots.run)
    await trio.sleep(3.0)
    _, error = await the_router.ask(path='/new/')
    assert error.status == 503


@pytest.mark.parametrize('rules', [ONCE, STREAM_ONCE])
async def test_request_that_may_have_run_is_not_sent_again(
    autojump_clock, rules
):
    # The connection breaks after a request that may run only once was sent.
    # Sent again, the citizen gets two letters; called "not run", the caller
    # sends it again itself.
    exchanges = both(LOST, fakes.reply())
    _, error = await router(exchanges, rules).ask()
    assert len(exchanges.sent) == 1
    assert error.status == 504
    assert error.retry_after is None


@pytest.mark.parametrize('rules', [ONCE, STREAM_ONCE, IDEMPOTENT, RESUMABLE])
async def test_request_that_did_not_run_goes_to_another_upstream(
    autojump_clock, rules
):
    exchanges = both(fakes.not_run(), fakes.reply(body=(event(1),)))
    answer, error = await router(exchanges, rules).ask()
    assert error is None
    assert answer.status == 200
    assert sorted(exchanges.names()) == ['e1', 'e2']


async def test_request_that_nobody_took_says_when_to_come_back(autojump_clock):
    exchanges = both(fakes.not_run())
    _, error = await router(exchanges, ONCE).ask()
    assert error.status == 503
    assert 0 < error.retry_after <= 5.0 / 3


async def test_refusal_after_a_run_is_no_promise(autojump_clock):
    # The first upstream may have run it, the second refuses: "not run" would
    # be a lie.
    exchanges = both(LOST, fakes.not_run())
    _, error = await router(exchanges, IDEMPOTENT).ask()
    assert error.status == 504


async def test_no_more_upstreams_than_the_rule_allows(autojump_clock):
    rules = (fakes.rule(idempotent=True, attempts=2),)
    exchanges = fakes.Exchanges(e1=[LOST], e2=[LOST], e3=[LOST])
    await router(exchanges, rules, ('e1', 'e2', 'e3')).ask()
    assert len(exchanges.sent) == 2


async def test_upstream_without_connection_is_no_attempt(autojump_clock):
    exchanges = fakes.Exchanges(
        e1=[fakes.reply()], e2=[fakes.reply()], e3=[fakes.reply()]
    )
    exchanges.dead = {'e1', 'e2'}
    rules = (fakes.rule(attempts=1),)
    answer, error = await router(exchanges, rules, ('e1', 'e2', 'e3')).ask()
    assert error is None
    assert exchanges.names() == ['e3']


async def test_failure_of_one_upstream_is_made_good_by_another(autojump_clock):
    exchanges = both(fakes.reply(500, (b'oops',)), fakes.reply())
    answer, error = await router(exchanges, IDEMPOTENT).ask()
    assert (answer.status, error) == (200, None)


async def test_failure_of_all_upstreams_is_passed_on(autojump_clock):
    exchanges = both(fakes.reply(500, (b'oops',)))
    answer, error = await router(exchanges, IDEMPOTENT).ask()
    assert (answer.status, answer.body, error) == (500, b'oops', None)
    assert (b'x-signature', b'sig') in answer.headers


@pytest.mark.parametrize(
    'bad',
    [
        fakes.reply(**{'x-signature': ''}),
        fakes.reply(**{'content-encoding': 'gzip'}),
        fakes.reply(body=(b'half',), then=LOST),
    ],
)
async def test_success_that_is_none_never_reaches_a_caller(autojump_clock, bad):
    answer, error = await router(both(bad), ONCE).ask()
    assert not answer.started
    assert error.status == 504


async def test_final_answer_at_the_timeout_of_the_rule(autojump_clock):
    rules = (fakes.rule(timeout=0.5),)
    exchanges = both(fakes.reply(delay=10.0))
    began = trio.current_time()
    _, error = await router(exchanges, rules).ask()
    assert trio.current_time() - began == pytest.approx(0.5, abs=0.01)
    assert error.status == 504
    assert exchanges.closed == [(exchanges.names()[0], False)]


async def test_hanging_upstream_leaves_time_for_another(autojump_clock):
    exchanges = both(fakes.reply(delay=60.0), fakes.reply())
    answer, error = await router(exchanges, IDEMPOTENT).ask()
    assert (answer.status, error) == (200, None)


async def test_repeats_are_bounded_when_all_fail(autojump_clock):
    # Every upstream of a service fails. Each request sent once more would
    # double the load just when it cannot be borne.
    exchanges = both(LOST)
    the_router = router(exchanges, IDEMPOTENT)
    for _ in range(200):
        await the_router.ask()
    repeats = len(exchanges.sent) - 200
    assert 0 < repeats <= 0.2 * 200 + 50


async def test_stream_is_passed_on_by_whole_events(autojump_clock):
    both_events = event(1) + event(2)
    exchanges = both(
        fakes.reply(body=(both_events[:5], both_events[5:20], both_events[20:]))
    )
    answer, error = await router(exchanges, RESUMABLE).ask()
    assert answer.body == both_events
    assert answer.finished


async def test_broken_stream_goes_on_at_another_upstream(autojump_clock):
    # The first upstream breaks off within its third event. The caller gets
    # one stream, each event once, with the headers of the first.
    first = fakes.reply(body=(event(1) + event(2), b'id: 3\nda'), then=LOST)
    second = fakes.reply(body=(event(3), event(4)), **{'x-signature': 'other'})
    exchanges = both(first, second)
    answer, error = await router(exchanges, RESUMABLE).ask()
    assert error is None
    assert answer.body == b''.join(event(number) for number in range(1, 5))
    assert answer.finished
    assert answer.heads == 1
    assert (b'x-signature', b'sig') in answer.headers
    _, again = exchanges.sent[1]
    assert dict(again.headers)[b'last-event-id'] == b'2'


async def test_silent_stream_goes_on_at_another_upstream(autojump_clock):
    first = fakes.reply(body=(event(1), 30.0))
    exchanges = both(first, fakes.reply(body=(event(2),)))
    answer, error = await router(exchanges, RESUMABLE).ask()
    assert answer.body == event(1) + event(2)
    assert exchanges.closed[0][1] is False


async def test_resumed_stream_with_a_hole_is_not_passed_on(autojump_clock):
    first = fakes.reply(body=(event(1),), then=LOST)
    exchanges = both(first, fakes.reply(body=(event(3),)))
    answer, error = await router(exchanges, RESUMABLE).ask()
    assert answer.body == event(1)
    assert not answer.finished
    assert error is not None


async def test_stream_that_cannot_be_resumed_ends_broken(autojump_clock):
    first = fakes.reply(body=(event(1),), then=LOST)
    exchanges = both(first, fakes.reply(body=(event(1), event(2))))
    answer, error = await router(exchanges, STREAM_ONCE).ask()
    assert len(exchanges.sent) == 1
    assert answer.started
    assert not answer.finished


async def test_caller_that_resumes_is_not_sent_what_it_has(autojump_clock):
    exchanges = both(fakes.reply(body=(event(8), event(9))))
    answer, error = await router(exchanges, RESUMABLE).ask(last_event_id='7')
    assert answer.body == event(8) + event(9)
    assert dict(exchanges.sent[0][1].headers)[b'last-event-id'] == b'7'


async def test_other_process_at_the_address_is_not_asked_again(autojump_clock):
    # The upstream has gone and its address belongs to a process of another
    # service, which refuses what was not meant for it.
    exchanges = fakes.Exchanges(
        e1=[fakes.not_run(421)], e2=[fakes.not_run(421)], e3=[fakes.reply()]
    )
    the_router = router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    for _ in range(6):
        await the_router.ask()
    assert exchanges.names().count('e1') <= 1
    assert exchanges.names().count('e2') <= 1


async def test_processes_that_took_over_addresses_cost_no_attempt(
    autojump_clock,
):
    # A quarter of the engines died, and others start at their addresses
    # before the store has told. A request met two of them, each refused what
    # was not meant for it, and its rule allows two attempts: its caller was
    # refused though the others were idle.
    names = tuple(f'e{number}' for number in range(1, 7))
    exchanges = fakes.Exchanges(**dict.fromkeys(names, ()))
    shared = [*[fakes.not_run(421)] * 3, fakes.reply()]
    exchanges.steps = dict.fromkeys(names, shared)
    once = (fakes.rule(attempts=1),)
    answer, error = await router(exchanges, once, names).ask()
    assert (answer.status, error) == (200, None)
    assert len(set(exchanges.names())) == 4


async def test_fleet_repeats_no_more_for_addresses_that_were_taken_over(
    autojump_clock,
):
    # Each further send is an arrival at the service, and counts.
    names = tuple(f'e{number}' for number in range(1, 10))
    exchanges = fakes.Exchanges(**dict.fromkeys(names, [fakes.not_run(421)]))
    the_router = router(exchanges, ONCE, names)
    the_router.budget.settings = budget.RepeatSettings(0.0, 2.5, 10.0)
    _, error = await the_router.ask()
    assert isinstance(error, errors.NoUpstream)
    assert len(exchanges.sent) == 3


async def test_refused_connections_cost_a_request_little_time(autojump_clock):
    # A rack of engines has just died: connections to nine of ten are refused
    # at once. After four of them, 11 ms old, a request was given up.
    names = tuple(f'e{number}' for number in range(1, 11))
    exchanges = fakes.Exchanges(**{name: [fakes.reply()] for name in names})
    the_router = router(exchanges, ONCE, names)
    first = the_router.chooser.choose('chat', choice_module.Need(), (), 'r1')
    exchanges.dead = set(names) - {'e7'}
    assert first.upstream.instance in names
    answer, error = await the_router.ask()
    assert (answer.status, error) == (200, None)
    assert exchanges.names() == ['e7']


async def test_connections_that_time_out_leave_the_caller_time(autojump_clock):
    # No packet comes back from any engine, and each connection takes half a
    # second to fail. The caller is told while it can still go elsewhere.
    names = tuple(f'e{number}' for number in range(1, 17))
    exchanges = SlowToFail(**dict.fromkeys(names, ()))
    the_router = router(exchanges, ONCE, names)
    began = trio.current_time()
    _, error = await the_router.ask()
    assert isinstance(error, errors.NoUpstream)
    assert error.retry_after > 0.0
    assert 2.0 <= trio.current_time() - began <= 3.0


async def test_upstream_that_fails_silently_is_avoided(autojump_clock):
    exchanges = fakes.Exchanges(
        e1=[fakes.reply(500)], e2=[fakes.reply()], e3=[fakes.reply()]
    )
    the_router = router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    for number in range(40):
        await the_router.ask(x_request_id=f'r{number}')
    assert exchanges.names()[15:].count('e1') == 0


async def test_request_that_upstreams_die_of_is_stopped(
    nursery, autojump_clock
):
    # A request crashes each upstream that runs it, and its caller sends it
    # again through any router. After two deaths it reaches no upstream.
    exchanges = fakes.Exchanges(e1=[LOST], e2=[LOST], e3=[LOST])
    the_router = router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    nursery.start_soon(the_router.crashes.run)
    await trio.lowlevel.checkpoint()
    for _ in range(5):
        await the_router.ask(body=b'poison')
        if exchanges.sent:
            exchanges.dead.add(exchanges.names()[-1])
        await trio.sleep(0.2)
    assert len(exchanges.sent) == 2
    _, error = await the_router.ask(body=b'poison')
    assert isinstance(error, errors.RequestQuarantined)
    assert error.status == 503
    # told to the other routers: one fact for each death
    assert [fact.kind for fact in the_router.learned] == [crashes.DEATH] * 2
    assert len({fact.source for fact in the_router.learned}) == 2


async def test_neighbour_of_a_death_is_not_stopped(autojump_clock):
    # Two upstreams die while they have the same harmless request, which has
    # succeeded between the deaths.
    the_router = router(both(fakes.reply()), ONCE)
    ticket = await the_router.resolver.admit(fakes.request())
    subject = crashes.fact_subject(the_router.crashes.fingerprint(ticket))
    known = the_router.crashes.facts
    for name in ('gone-1', 'gone-2'):
        await trio.sleep(0.1)
        known.add(crashes.DEATH, subject, name, 60.0)
        answer, error = await the_router.ask()
        assert (answer.status, error) == (200, None)
        assert known.of(crashes.DEATH, subject) == []
    kinds = [fact.kind for fact in the_router.learned]
    assert kinds == [crashes.DEATH, crashes.CLEARED] * 2


async def test_reset_connection_is_no_death(nursery, autojump_clock):
    # The network resets a connection; the upstream lives and accepts others.
    exchanges = both(LOST)
    the_router = router(exchanges, ONCE)
    nursery.start_soon(the_router.crashes.run)
    await trio.lowlevel.checkpoint()
    for _ in range(6):
        await the_router.ask()
        await trio.sleep(0.2)
    assert len(exchanges.sent) == 6
    assert not the_router.crashes.facts.has(crashes.DEATH)


async def test_caller_that_leaves_ends_the_work(autojump_clock):
    exchanges = both(fakes.reply(delay=60.0))
    the_router = router(exchanges)
    with trio.move_on_after(0.2):
        await the_router.ask()
    assert exchanges.closed == [(exchanges.names()[0], False)]
    assert not the_router.loads.own


async def test_weights_share_the_requests(autojump_clock):
    pools = (
        forwarding.PoolShare('chat', 90.0),
        forwarding.PoolShare('other', 10.0),
    )
    exchanges = fakes.Exchanges(e1=[fakes.reply()], o1=[fakes.reply()])
    content = fakes.snapshot(
        1,
        fakes.table(1, (fakes.rule(pools=pools),)),
        fakes.upstream('e1'),
        fakes.upstream('o1', 'other'),
    )
    the_router = fakes.Router(content, exchanges)
    for number in range(400):
        await the_router.ask(x_request_id=f'r{number}')
    assert 20 <= exchanges.names().count('o1') <= 65


async def test_later_start_is_named_by_its_id_and_judged_anew(autojump_clock):
    # An engine that died comes back under its id. It is asked for by that
    # id, while the suspicion and the load of its earlier start stay behind.
    first = fakes.upstream('e1', start='/1')
    exchanges = fakes.Exchanges(**{'e1/2': [fakes.reply()]})
    the_router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, IDEMPOTENT), first), exchanges
    )
    the_router.health.note_unreachable('e1/1')
    the_router.loads.begin('e1/1')
    later = fakes.upstream('e1', start='/2')
    the_router.snapshots.accept(
        fakes.snapshot(2, fakes.table(1, IDEMPOTENT), later),
        the_router.clock(),
    )
    choice = the_router.chooser.choose('chat', choice_module.Need(), (), 't')
    assert (choice.load, choice.reason) == (0, choice_module.LEAST_LOADED)
    _, error = await the_router.ask()
    assert error is None
    ((_, sent),) = exchanges.sent
    assert dict(sent.headers)[b'x-expect-instance'] == b'e1'


async def test_next_version_keeps_the_rules_that_stay(autojump_clock):
    # guards against a version that stops a router for as long as it has rules
    stays = fakes.rule('stays', '/stays/*')
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, (stays,))), fakes.Exchanges()
    )
    router.resolver.compile(fakes.table(1, (stays,)))
    (before,) = router.resolver.compiled.rules
    router.resolver.compile(fakes.table(2, (fakes.rule(), stays)))
    assert router.resolver.compiled.rules[1] is before
