"""Requests through a forwarding router, over fake upstreams."""

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


def make_router(exchanges, rules=None, upstream_names=('e1', 'e2'), **follow):
    upstreams = [fakes.upstream(name) for name in upstream_names]
    content = fakes.snapshot(1, fakes.table(1, rules), *upstreams)
    return fakes.Router(content, exchanges, **follow)


def both(*steps):
    """Returns two upstreams that share one sequence of responses."""
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


class ConnectTimeouts(fakes.Exchanges):
    async def open(self, upstream, repeatable):
        await trio.sleep(0.5)
        raise errors.UpstreamUnreachable('timed out')


async def test_response_is_passed_on_unchanged(autojump_clock):
    exchanges = both(fakes.reply(201, (b'do', b'ne'), etag='"1"'))
    answer, error = await make_router(exchanges).send_request()
    assert error is None
    assert (answer.status, answer.body) == (201, b'done')
    assert (b'x-signature', b'sig') in answer.headers
    assert (b'etag', b'"1"') in answer.headers


async def test_request_is_passed_on_without_credential_and_reserved_headers(
    autojump_clock,
):
    exchanges = both(fakes.reply())
    await make_router(exchanges).send_request(
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


async def test_upstream_gets_the_remaining_time(autojump_clock):
    rules = (fakes.rule(timeout=2.0, idempotent=True, attempts=2),)
    exchanges = both(fakes.reply(500, delay=0.5), fakes.reply())
    await make_router(exchanges, rules).send_request(x_deadline_ms='1500')
    left = [dict(sent.headers)[b'x-deadline-ms'] for _, sent in exchanges.sent]
    assert 1400 < int(left[0]) <= 1500
    assert int(left[1]) <= int(left[0]) - 450


async def test_unknown_path_and_credential_have_different_statuses(
    autojump_clock,
):
    exchanges = both(fakes.reply())
    router = make_router(exchanges)
    _, error = await router.send_request(path='/none/')
    assert error.status == 404
    _, error = await router.send_request(key='wrong')
    assert error.status == 401
    _, error = await router.send_request(key='')
    assert error.status == 401
    assert not exchanges.sent


async def test_public_rule_requires_no_credential(autojump_clock):
    exchanges = both(fakes.reply())
    _, error = await make_router(
        exchanges, (fakes.rule(public=True),)
    ).send_request(key='')
    assert error is None


async def test_first_matching_rule_is_used(autojump_clock):
    # The adapter orders rules by prefix length; here the first match is used.
    inner = fakes.rule('in', '/chat/in/*', public=True)
    exchanges = both(fakes.reply())
    router = make_router(exchanges, (inner, fakes.rule()))
    _, error = await router.send_request(path='/chat/in/1', key='')
    assert error is None
    _, error = await router.send_request(path='/chat/1', key='')
    assert error.status == 401


async def test_router_without_configuration_answers_503(autojump_clock):
    # After a power loss a router knows no route until it has read the store.
    # With 404 or 401 callers would not retry.
    router = fakes.Router(fakes.snapshot(1, None), both(fakes.reply()))
    _, error = await router.send_request()
    assert error.status == 503
    assert error.retry_after > 0


async def test_credential_is_refused_when_the_configuration_is_stale(
    nursery, autojump_clock
):
    # A credential may be revoked while the router is cut off from the store
    # and all peers. After the revocation bound nothing is forwarded.
    exchanges = both(fakes.reply())
    router = make_router(exchanges, revocation_seconds=5.0)
    router.source.error = errors.KeyValueUnavailable('cut')
    nursery.start_soon(router.snapshots.run)
    await trio.sleep(4.7)
    _, error = await router.send_request()
    assert isinstance(error, errors.ConfigurationStale)
    assert error.retry_after > 0
    assert not exchanges.sent


async def test_resumed_router_reads_the_store_before_it_serves(
    nursery, autojump_clock
):
    # After a suspension of ten seconds the first request comes before any
    # timer fires. It must wait for one read and be answered by its result.
    exchanges = both(fakes.reply())
    router = make_router(exchanges, revocation_seconds=5.0)
    nursery.start_soon(router.snapshots.run)
    await trio.sleep(0.1)
    router.clock.suspended += 10.0
    removed = fakes.table(2, customers=(forwarding.ForwardCustomer('corte'),))
    router.source.put(fakes.snapshot(2, removed, fakes.upstream('e1')))
    _, error = await router.send_request()
    assert error.status == 401
    assert not exchanges.sent


async def test_route_missing_in_a_stale_configuration_is_not_answered_with_404(
    nursery, autojump_clock
):
    router = make_router(both(fakes.reply()))
    router.source.error = errors.KeyValueUnavailable('cut')
    nursery.start_soon(router.snapshots.run)
    await trio.sleep(3.0)
    _, error = await router.send_request(path='/new/')
    assert error.status == 503


@pytest.mark.parametrize('rules', [ONCE, STREAM_ONCE])
async def test_request_that_may_have_run_is_not_sent_again(
    autojump_clock, rules
):
    # The connection breaks after a request that may run only once was sent.
    # Retried, it could run twice; reported as "not run", the caller itself
    # would send it again.
    exchanges = both(LOST, fakes.reply())
    _, error = await make_router(exchanges, rules).send_request()
    assert len(exchanges.sent) == 1
    assert error.status == 504
    assert error.retry_after is None


@pytest.mark.parametrize('rules', [ONCE, STREAM_ONCE, IDEMPOTENT, RESUMABLE])
async def test_request_that_did_not_run_goes_to_another_upstream(
    autojump_clock, rules
):
    exchanges = both(fakes.not_run(), fakes.reply(body=(event(1),)))
    answer, error = await make_router(exchanges, rules).send_request()
    assert error is None
    assert answer.status == 200
    assert sorted(exchanges.names()) == ['e1', 'e2']


async def test_request_refused_by_all_upstreams_has_a_retry_after(
    autojump_clock,
):
    exchanges = both(fakes.not_run())
    _, error = await make_router(exchanges, ONCE).send_request()
    assert error.status == 503
    assert 0 < error.retry_after <= 5.0 / 3


async def test_refusal_after_a_possible_run_is_not_reported_as_not_run(
    autojump_clock,
):
    # The first upstream may have run the request, the second refuses it:
    # "not run" would be false.
    exchanges = both(LOST, fakes.not_run())
    _, error = await make_router(exchanges, IDEMPOTENT).send_request()
    assert error.status == 504


async def test_attempts_of_the_rule_are_not_exceeded(autojump_clock):
    rules = (fakes.rule(idempotent=True, attempts=2),)
    exchanges = fakes.Exchanges(e1=[LOST], e2=[LOST], e3=[LOST])
    await make_router(exchanges, rules, ('e1', 'e2', 'e3')).send_request()
    assert len(exchanges.sent) == 2


async def test_unreachable_upstream_is_not_counted_as_an_attempt(
    autojump_clock,
):
    exchanges = fakes.Exchanges(
        e1=[fakes.reply()], e2=[fakes.reply()], e3=[fakes.reply()]
    )
    exchanges.refusing = {'e1', 'e2'}
    rules = (fakes.rule(attempts=1),)
    answer, error = await make_router(
        exchanges, rules, ('e1', 'e2', 'e3')
    ).send_request()
    assert error is None
    assert exchanges.names() == ['e3']


async def test_failure_of_one_upstream_is_retried_at_another(autojump_clock):
    exchanges = both(fakes.reply(500, (b'oops',)), fakes.reply())
    answer, error = await make_router(exchanges, IDEMPOTENT).send_request()
    assert (answer.status, error) == (200, None)


async def test_failure_of_all_upstreams_is_passed_on(autojump_clock):
    exchanges = both(fakes.reply(500, (b'oops',)))
    answer, error = await make_router(exchanges, IDEMPOTENT).send_request()
    assert (answer.status, answer.body, error) == (500, b'oops', None)
    assert (b'x-signature', b'sig') in answer.headers


@pytest.mark.parametrize(
    'bad',
    [
        fakes.reply(**{'x-signature': ''}),
        fakes.reply(**{'content-encoding': 'gzip'}),
        fakes.reply(body=(b'half',), error=LOST),
    ],
)
async def test_invalid_success_never_reaches_a_caller(autojump_clock, bad):
    answer, error = await make_router(both(bad), ONCE).send_request()
    assert not answer.started
    assert error.status == 504


async def test_final_answer_at_the_timeout_of_the_rule(autojump_clock):
    rules = (fakes.rule(timeout=0.5),)
    exchanges = both(fakes.reply(delay=10.0))
    began = trio.current_time()
    _, error = await make_router(exchanges, rules).send_request()
    assert trio.current_time() - began == pytest.approx(0.5, abs=0.01)
    assert error.status == 504
    assert exchanges.closed == [(exchanges.names()[0], False)]


async def test_hanging_upstream_leaves_time_for_another(autojump_clock):
    exchanges = both(fakes.reply(delay=60.0), fakes.reply())
    answer, error = await make_router(exchanges, IDEMPOTENT).send_request()
    assert (answer.status, error) == (200, None)


async def test_retries_are_bounded_when_all_upstreams_fail(autojump_clock):
    # Every upstream of a service fails. Retrying each request would double the
    # load while the service is overloaded.
    exchanges = both(LOST)
    router = make_router(exchanges, IDEMPOTENT)
    for _ in range(200):
        await router.send_request()
    repeats = len(exchanges.sent) - 200
    assert 0 < repeats <= 0.2 * 200 + 50


async def test_stream_is_passed_on_in_complete_events(autojump_clock):
    both_events = event(1) + event(2)
    exchanges = both(
        fakes.reply(body=(both_events[:5], both_events[5:20], both_events[20:]))
    )
    answer, error = await make_router(exchanges, RESUMABLE).send_request()
    assert answer.body == both_events
    assert answer.finished


async def test_broken_stream_is_resumed_at_another_upstream(autojump_clock):
    # The first upstream breaks off within its third event. The caller must get
    # one stream with each event once and the headers of the first upstream.
    first = fakes.reply(body=(event(1) + event(2), b'id: 3\nda'), error=LOST)
    second = fakes.reply(body=(event(3), event(4)), **{'x-signature': 'other'})
    exchanges = both(first, second)
    answer, error = await make_router(exchanges, RESUMABLE).send_request()
    assert error is None
    assert answer.body == b''.join(event(number) for number in range(1, 5))
    assert answer.finished
    assert answer.heads == 1
    assert (b'x-signature', b'sig') in answer.headers
    _, again = exchanges.sent[1]
    assert dict(again.headers)[b'last-event-id'] == b'2'


async def test_silent_stream_is_resumed_at_another_upstream(autojump_clock):
    first = fakes.reply(body=(event(1), 30.0))
    exchanges = both(first, fakes.reply(body=(event(2),)))
    answer, error = await make_router(exchanges, RESUMABLE).send_request()
    assert answer.body == event(1) + event(2)
    assert exchanges.closed[0][1] is False


async def test_resumed_stream_with_a_missing_event_is_not_passed_on(
    autojump_clock,
):
    first = fakes.reply(body=(event(1),), error=LOST)
    exchanges = both(first, fakes.reply(body=(event(3),)))
    answer, error = await make_router(exchanges, RESUMABLE).send_request()
    assert answer.body == event(1)
    assert not answer.finished
    assert error is not None


async def test_stream_that_cannot_be_resumed_ends_broken(autojump_clock):
    first = fakes.reply(body=(event(1),), error=LOST)
    exchanges = both(first, fakes.reply(body=(event(1), event(2))))
    answer, error = await make_router(exchanges, STREAM_ONCE).send_request()
    assert len(exchanges.sent) == 1
    assert answer.started
    assert not answer.finished


async def test_resuming_caller_gets_only_later_events(autojump_clock):
    exchanges = both(fakes.reply(body=(event(8), event(9))))
    answer, error = await make_router(exchanges, RESUMABLE).send_request(
        last_event_id='7'
    )
    assert answer.body == event(8) + event(9)
    assert dict(exchanges.sent[0][1].headers)[b'last-event-id'] == b'7'


async def test_replaced_upstream_is_not_tried_again(autojump_clock):
    # The upstream is gone and its address belongs to a process of another
    # service, which refuses misdirected requests.
    exchanges = fakes.Exchanges(
        e1=[fakes.not_run(421)], e2=[fakes.not_run(421)], e3=[fakes.reply()]
    )
    router = make_router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    for _ in range(6):
        await router.send_request()
    assert exchanges.names().count('e1') <= 1
    assert exchanges.names().count('e2') <= 1


async def test_replaced_upstreams_are_not_counted_as_attempts(
    autojump_clock,
):
    # A quarter of the engines crashed, and others started at their addresses
    # before the store showed it. A request reached two of these, which refused
    # it as misdirected; both counted as attempts of its rule, which allows two,
    # and the caller was refused although other engines were idle.
    names = tuple(f'e{number}' for number in range(1, 7))
    exchanges = fakes.Exchanges(**dict.fromkeys(names, ()))
    shared = [*[fakes.not_run(421)] * 3, fakes.reply()]
    exchanges.steps = dict.fromkeys(names, shared)
    once = (fakes.rule(attempts=1),)
    answer, error = await make_router(exchanges, once, names).send_request()
    assert (answer.status, error) == (200, None)
    assert len(set(exchanges.names())) == 4


async def test_replaced_upstreams_use_up_the_retry_budget(
    autojump_clock,
):
    # Each further send is load on the service and uses up the retry budget.
    names = tuple(f'e{number}' for number in range(1, 10))
    exchanges = fakes.Exchanges(**dict.fromkeys(names, [fakes.not_run(421)]))
    router = make_router(exchanges, ONCE, names)
    router.budget.settings = budget.RetryBudgetSettings(0.0, 2.5, 10.0)
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert len(exchanges.sent) == 3


async def test_many_refused_connections_do_not_end_a_request(autojump_clock):
    # A rack of engines has just failed: connections to nine of ten are refused
    # at once. A request was refused after four of them, at an age of 11 ms.
    names = tuple(f'e{number}' for number in range(1, 11))
    exchanges = fakes.Exchanges(**{name: [fakes.reply()] for name in names})
    router = make_router(exchanges, ONCE, names)
    first = router.chooser.choose(
        'chat', choice_module.RequestPrompt(), (), 'r1'
    )
    exchanges.refusing = set(names) - {'e7'}
    assert first.upstream.instance in names
    answer, error = await router.send_request()
    assert (answer.status, error) == (200, None)
    assert exchanges.names() == ['e7']


async def test_connect_timeouts_end_a_request_before_its_deadline(
    autojump_clock,
):
    # No engine answers any packet, and each connection takes half a second to
    # fail. The caller must be refused while it can still try another router.
    names = tuple(f'e{number}' for number in range(1, 17))
    exchanges = ConnectTimeouts(**dict.fromkeys(names, ()))
    router = make_router(exchanges, ONCE, names)
    began = trio.current_time()
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert error.retry_after > 0.0
    assert 2.0 <= trio.current_time() - began <= 3.0


async def test_upstream_that_answers_with_errors_is_avoided(autojump_clock):
    exchanges = fakes.Exchanges(
        e1=[fakes.reply(500)], e2=[fakes.reply()], e3=[fakes.reply()]
    )
    router = make_router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    for number in range(40):
        await router.send_request(x_request_id=f'r{number}')
    assert exchanges.names()[15:].count('e1') == 0


async def test_request_that_crashes_upstreams_is_quarantined(
    nursery, autojump_clock
):
    # A request crashes each upstream that runs it, and its caller sends it
    # again through any router. After two crashes it must reach no upstream.
    exchanges = fakes.Exchanges(e1=[LOST], e2=[LOST], e3=[LOST])
    router = make_router(exchanges, ONCE, ('e1', 'e2', 'e3'))
    nursery.start_soon(router.crashes.run)
    await trio.lowlevel.checkpoint()
    for _ in range(5):
        await router.send_request(body=b'poison')
        if exchanges.sent:
            exchanges.refusing.add(exchanges.names()[-1])
        await trio.sleep(0.2)
    assert len(exchanges.sent) == 2
    _, error = await router.send_request(body=b'poison')
    assert isinstance(error, errors.RequestQuarantined)
    assert error.status == 503
    # One fact for each crash is shared with the other routers.
    assert [fact.kind for fact in router.applied_facts] == [crashes.DEATH] * 2
    assert len({fact.source for fact in router.applied_facts}) == 2


async def test_request_that_succeeds_between_crashes_is_not_quarantined(
    autojump_clock,
):
    # Two upstreams crash while they have the same harmless request, which
    # succeeded between the crashes.
    router = make_router(both(fakes.reply()), ONCE)
    ticket = await router.resolver.admit(fakes.request())
    subject = crashes.fact_subject(router.crashes.fingerprint(ticket))
    facts = router.crashes.facts
    for name in ('gone-1', 'gone-2'):
        await trio.sleep(0.1)
        facts.add(crashes.DEATH, subject, name, 60.0)
        answer, error = await router.send_request()
        assert (answer.status, error) == (200, None)
        assert facts.current(crashes.DEATH, subject) == []
    kinds = [fact.kind for fact in router.applied_facts]
    assert kinds == [crashes.DEATH, crashes.CLEARED] * 2


async def test_reset_connection_is_not_counted_as_a_crash(
    nursery, autojump_clock
):
    # The network resets a connection; the upstream still accepts others.
    exchanges = both(LOST)
    router = make_router(exchanges, ONCE)
    nursery.start_soon(router.crashes.run)
    await trio.lowlevel.checkpoint()
    for _ in range(6):
        await router.send_request()
        await trio.sleep(0.2)
    assert len(exchanges.sent) == 6
    assert not router.crashes.facts.may_have(crashes.DEATH)


async def test_cancelled_request_closes_its_exchange(autojump_clock):
    exchanges = both(fakes.reply(delay=60.0))
    router = make_router(exchanges)
    with trio.move_on_after(0.2):
        await router.send_request()
    assert exchanges.closed == [(exchanges.names()[0], False)]
    assert not router.loads.own


async def test_requests_are_split_by_pool_weights(autojump_clock):
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
    router = fakes.Router(content, exchanges)
    for number in range(400):
        await router.send_request(x_request_id=f'r{number}')
    assert 20 <= exchanges.names().count('o1') <= 65


async def test_restarted_upstream_keeps_its_id_and_gets_new_health(
    autojump_clock,
):
    # An engine that crashed starts again under the same id. Requests name that
    # id, but the suspicion and the load of its earlier run must not apply.
    first = fakes.upstream('e1', start='/1')
    exchanges = fakes.Exchanges(**{'e1/2': [fakes.reply()]})
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, IDEMPOTENT), first), exchanges
    )
    router.health.note_unreachable('e1/1')
    router.loads.begin('e1/1')
    later = fakes.upstream('e1', start='/2')
    router.snapshots.accept(
        fakes.snapshot(2, fakes.table(1, IDEMPOTENT), later),
        router.clock(),
    )
    choice = router.chooser.choose(
        'chat', choice_module.RequestPrompt(), (), 't'
    )
    assert (choice.load, choice.reason) == (0, choice_module.LEAST_LOADED)
    _, error = await router.send_request()
    assert error is None
    ((_, sent),) = exchanges.sent
    assert dict(sent.headers)[b'x-expect-instance'] == b'e1'


async def test_unchanged_rules_are_not_compiled_again(autojump_clock):
    # Guards against a new version that blocks the router while all its rules
    # are compiled again.
    stays = fakes.rule('stays', '/stays/*')
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, (stays,))), fakes.Exchanges()
    )
    router.resolver.compile(fakes.table(1, (stays,)))
    (before,) = router.resolver.compiled.rules
    router.resolver.compile(fakes.table(2, (fakes.rule(), stays)))
    assert router.resolver.compiled.rules[1] is before
