"""Requests of which an earlier step was only partly done."""

from __future__ import annotations

import attrs
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import shared_freshness
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

LOST = errors.UpstreamLost('reset')
NAMES = ('e1', 'e2', 'e3', 'e4')
SERVICE = 'chat'
# The fraction of it that is used allows one retry.
ONE_REPEAT = budget.RetryBudgetSettings(0.0, 1.0 / budget.USABLE_FRACTION, 10.0)


def upstream_of(name):
    """Returns an upstream with its own port."""
    base = fakes.upstream(name)
    port = 1000 + NAMES.index(name)
    return attrs.evolve(base, vm=attrs.evolve(base.vm, port=port))


def make_router(rule, *steps, names=NAMES):
    """Returns a router whose upstreams share one sequence of responses."""
    shared = list(steps)
    exchanges = fakes.Exchanges(**dict.fromkeys(names, ()))
    exchanges.steps = dict.fromkeys(names, shared)
    upstreams = [upstream_of(name) for name in names]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *upstreams)
    return fakes.Router(content, exchanges)


def next_choice(router, *used):
    prompt = router.resolver.make_ticket(
        fakes.request(), router.snapshots.table.rules[0], None
    ).prompt
    return router.chooser.choose(SERVICE, prompt, used, 'r1').upstream


async def test_held_failure_is_not_sent_after_a_stream_began(autojump_clock):
    # An upstream answers 500, which is held as fallback. The next one starts a
    # stream and breaks off, and no attempt is left. Sending the fallback would
    # put a second response into the caller's stream.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    broken = fakes.reply(200, (b'id: 1\ndata: x\n\n',), error=LOST)
    router = make_router(rule, fakes.reply(500, (b'bad',)), broken)
    answer, error = await router.send_request()
    assert len(router.exchanges.sent) == 2
    assert (answer.heads, answer.finished) == (1, False)
    assert answer.body == b'id: 1\ndata: x\n\n'
    assert isinstance(error, errors.OutcomeUnknown)


async def send_while_service_empties(router):
    """Returns the result of a request whose service loses all upstreams."""

    async def empty():
        await trio.sleep(0.1)
        table = router.snapshots.table
        router.snapshots.accept(fakes.snapshot(2, table), 1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(empty)
        return await router.send_request()


async def test_request_that_may_have_run_is_not_reported_as_not_run(
    autojump_clock,
):
    # The only upstream breaks off its response and leaves the store. A retry
    # is allowed, but no upstream is left. The caller was wrongly told that its
    # request had not run.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, fakes.reply(delay=0.2, error=LOST))
    answer, error = await send_while_service_empties(router)
    assert not answer.started
    assert isinstance(error, errors.OutcomeUnknown)


async def test_held_failure_is_passed_on_when_no_upstream_is_left(
    autojump_clock,
):
    # An upstream answers 500, which is held because a retry is allowed. The
    # service has lost its upstreams meanwhile: the caller gets the held 500.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, fakes.reply(500, (b'bad',), delay=0.2))
    answer, error = await send_while_service_empties(router)
    assert error is None
    assert (answer.status, answer.body) == (500, b'bad')


async def test_retry_that_was_not_sent_is_not_used_up(autojump_clock):
    # An upstream breaks off, the next accepts no connection, a third would
    # answer. One retry is allowed. It was counted for the second, to which
    # nothing was sent, and the caller got no response.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, LOST, fakes.reply())
    router.budget.settings = ONE_REPEAT
    first = next_choice(router).instance
    second = next_choice(router, first).instance
    router.exchanges.refusing.add(second)
    answer, error = await router.send_request()
    assert error is None
    assert answer.status == 200
    assert len(router.exchanges.sent) == 2


async def test_connections_for_a_retry_are_bounded(autojump_clock):
    # After the first upstream breaks off, no other accepts a connection. Each
    # further connect attempt delays the caller's response.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, LOST)
    first = next_choice(router).instance
    router.exchanges.refusing |= set(NAMES) - {first}
    _, error = await router.send_request()
    assert isinstance(error, errors.OutcomeUnknown)
    assert len(router.exchanges.sent) <= 2


async def test_attempt_is_ended_only_with_a_reserved_retry(autojump_clock):
    # Two requests wait for slow upstreams beyond the limit, and one retry is
    # allowed. Both attempts were ended for it: one request was retried, the
    # other lost an upstream that would have answered and got no response.
    rule = fakes.rule(idempotent=True, attempts=2)
    slow = fakes.reply(delay=2.5)
    router = make_router(rule, slow, slow, fakes.reply())
    router.budget.settings = ONE_REPEAT
    results = []

    async def send():
        results.append(await router.send_request())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        nursery.start_soon(send)
    assert [error for _, error in results] == [None, None]
    assert [answer.status for answer, _ in results] == [200, 200]
    assert len(router.exchanges.sent) == 3


async def test_prompt_is_not_copied_from_an_upstream_that_refused_it(
    autojump_clock,
):
    # A chat's prompt is cached at an upstream that is deprioritized for a
    # moment. The next one refuses the request as not run, a third accepts it.
    # The refusing one was recorded as holder of the prompt: the third was told
    # to copy the prompt from an upstream that never had it.
    rule = fakes.rule(idempotent=True, attempts=3)
    router = make_router(
        rule, fakes.reply(), fakes.not_run(), fakes.reply(), fakes.reply()
    )
    parts = 'base:100,chat-1:900,own:50'
    await router.send_request(x_prompt_parts=parts)
    place = router.exchanges.names()[0]
    health = router.health
    health.extend_avoidance(health.record(place), trio.current_time() + 1.0)
    answer, _ = await router.send_request(x_prompt_parts=parts)
    assert answer.status == 200
    assert len(router.exchanges.sent) == 3
    _, sent = router.exchanges.sent[-1]
    address = b'127.0.0.1:%d' % upstream_of(place).vm.port
    assert dict(sent.headers).get(b'x-copy-from') == address


async def test_success_clears_a_crash_that_is_not_confirmed_yet(
    nursery, autojump_clock
):
    # Two upstreams lose power at once; each had the same harmless request,
    # which then succeeds at others. The crashes are confirmed a moment after
    # these successes. They were recorded as if nothing had succeeded since,
    # and the request was refused for two minutes.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, LOST, LOST, fakes.reply())
    exchanges = router.exchanges
    nursery.start_soon(router.crashes.run)
    await trio.lowlevel.checkpoint()
    async with trio.open_nursery() as callers:
        callers.start_soon(router.send_request)
        callers.start_soon(router.send_request)
    died = set(exchanges.names()[:2])
    assert len(died) == 2
    assert len(exchanges.sent) == 4
    exchanges.refusing |= died
    await trio.sleep(0.2)
    answer, error = await router.send_request()
    assert (answer.status, error) == (200, None)


async def test_version_that_cannot_be_compiled_is_not_in_force(
    autojump_clock,
):
    # A new version has credentials that cannot be compiled. It was marked as
    # compiled first: the next request was served with the credentials of the
    # previous version, which may have been revoked.
    rule = fakes.rule()
    router = make_router(rule, fakes.reply())
    resolver = router.resolver
    await resolver.admit(fakes.request())
    broken = (forwarding.ForwardCustomer('corte', (['k'],)),)
    table = fakes.table(2, (rule,), broken)
    router.snapshots.accept(fakes.snapshot(2, table, upstream_of('e1')), 1.0)
    for _ in range(2):
        with pytest.raises(TypeError):
            await resolver.admit(fakes.request())
    assert resolver.version == 1


class OldSnapshotLink(fakes.Network):
    """A link on which a router serves an older snapshot than announced."""

    def __init__(self, content):
        super().__init__('10.0.0.1', {}, set())
        self.content = content

    async def fetch(self, host, base):
        await trio.lowlevel.checkpoint()
        return self.content.raw


async def test_freshness_proof_is_not_applied_to_an_older_snapshot(
    autojump_clock,
):
    # A router announces that revision 12 was the newest just now. Before its
    # snapshot is fetched it restarts, and serves revision 11 that it has from
    # another router. The proof of freshness was applied to that snapshot: a
    # credential revoked by revision 12 would be served as confirmed.
    router = make_router(fakes.rule(), fakes.reply())
    snapshots = router.snapshots
    await trio.sleep(10.0)
    old = fakes.snapshot(11, fakes.table(11), upstream_of('e1'))
    router.source.snapshots_by_digest[old.digest] = old
    shared = shared_freshness.SharedFreshness(
        5, snapshots, OldSnapshotLink(old)
    )
    state = messages_forwarding.RouterState(
        name='router-2',
        incarnation=6,
        host='10.0.0.2',
        zone=fakes.ZONE,
        leaving=False,
        reply_requested=False,
        sent_at=1.0,
        echo_incarnation=5,
        echo_at=snapshots.clock(),
        echo_delay=0.0,
        proof_age=0.0,
        revision=12,
        digest=12,
    )
    assert shared.note(state) == 0.0
    await shared.fetch(shared.offer)
    assert snapshots.age >= 10.0


async def test_full_upstream_that_becomes_unreachable_is_avoided_longer(
    autojump_clock,
):
    # An upstream refuses a request as full and loses power a moment later. The
    # short pause for a full upstream was kept instead of the long one for an
    # unreachable one: other routers were not told, and requests were sent
    # there again.
    upstream_health = health.Health()
    reported = []
    upstream_health.on_suspect = lambda instance, seconds: reported.append(
        (instance, seconds)
    )
    upstream_health.note_full('e1')
    upstream_health.note_unreachable('e1')
    await trio.sleep(health.FULL_SECONDS + 0.1)
    assert upstream_health.is_suspected('e1')
    assert reported == [('e1', health.FIRST_AVOID_SECONDS)]


async def test_failure_answered_to_a_resume_counts_once(autojump_clock):
    # One response was counted as two failures, so that an upstream was avoided
    # after half the intended number.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    truncated = fakes.reply(body=(b'id: 1\ndata: a\n\n',), error=LOST)
    router = make_router(rule, truncated, fakes.reply(500), names=('e1', 'e2'))
    await router.send_request()
    second = router.exchanges.names()[1]
    assert router.health.record(second).failures == pytest.approx(1.0)


async def test_event_that_was_not_passed_on_does_not_prevent_a_resume(
    autojump_clock,
):
    # An upstream sends an event without a number and a wrong number in the same
    # bytes, none of which are passed on. The next one sends a correct event and
    # breaks off; a third can resume the stream.
    rule = fakes.rule(streaming=True, resumable=True, attempts=3)
    router = make_router(
        rule,
        fakes.reply(body=(event(1), b'data: q\n\n' + event(9))),
        fakes.reply(body=(event(2),), error=LOST),
        fakes.reply(body=(event(3),)),
        names=NAMES[:3],
    )
    answer, error = await router.send_request()
    assert error is None
    assert answer.body == event(1) + event(2) + event(3)


def unframed(*numbers):
    """Returns a stream without length that is closed behind some events."""
    answer = fakes.reply(body=tuple(event(number) for number in numbers))
    return attrs.evolve(answer, head=attrs.evolve(answer.head, framed=False))


@pytest.mark.parametrize('gone', [True, False])
async def test_stream_without_length_ends_only_if_its_upstream_lives(
    gone, autojump_clock
):
    """Guards against a crash between two events that looks like the end."""
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    router = make_router(
        rule, unframed(1, 2), fakes.reply(body=(event(3),)), names=('e1', 'e2')
    )
    router.exchanges.gone = {'e1', 'e2'} if gone else set()
    answer, error = await router.send_request()
    assert (answer.finished, error) == (True, None)
    numbers = (1, 2, 3) if gone else (1, 2)
    assert answer.body == b''.join(event(number) for number in numbers)


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


async def test_missing_number_of_the_second_event_in_a_read_is_detected(
    autojump_clock,
):
    # Both events come in one read; the number belongs only to the first.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    both = event(1) + b'data: q\n\n'
    router = make_router(rule, fakes.reply(body=(both,), error=LOST))
    answer, error = await router.send_request()
    assert isinstance(error, errors.OutcomeUnknown)
    assert answer.body == both
    assert len(router.exchanges.sent) == 1


@pytest.mark.parametrize('value', ['\u00b2', '9' * 5000])
async def test_invalid_last_event_id_of_a_caller_is_ignored(
    value, autojump_clock
):
    rule = fakes.rule(streaming=True, resumable=True)
    router = make_router(rule, fakes.reply(body=(event(1),)))
    answer, error = await router.send_request(last_event_id=value)
    assert (answer.body, error) == (event(1), None)


async def test_attempt_continues_if_no_other_upstream_is_left(autojump_clock):
    # The only upstream leaves the store while it runs a request. If the
    # attempt were ended, no other upstream could answer; its response comes
    # 2.5 s later.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router(rule, fakes.reply(delay=2.5), names=('e1',))

    async def leave():
        await trio.sleep(0.1)
        table = router.snapshots.table
        router.snapshots.accept(fakes.snapshot(2, table), 1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        answer, error = await router.send_request()
    assert (answer.status, error) == (200, None)


async def test_expired_reserved_retry_is_reserved_again(autojump_clock):
    # An attempt reserved a retry and then continued by itself. Its upstream
    # fails 11 s later, when the fleet has just used the retry budget of 10 s.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    router = make_router(rule, fakes.reply())
    router.budget.settings = ONE_REPEAT
    ticket = await router.resolver.admit(fakes.request())
    ticket.sent_to.append('e1')
    answer = fakes.Answer()
    assert router.forwarder.retry_check(ticket, answer)()
    await trio.sleep(11.0)
    assert router.budget.try_take(SERVICE)
    assert not router.forwarder.may_continue(ticket, answer)


async def test_success_at_another_router_clears_an_unconfirmed_crash(
    nursery, autojump_clock
):
    rule = fakes.rule(idempotent=True, attempts=1)
    router = make_router(rule, LOST)
    nursery.start_soon(router.crashes.run)
    await trio.testing.wait_all_tasks_blocked()
    await router.send_request()
    (loss,) = router.crashes.pending
    router.exchanges.refusing |= set(NAMES)
    subject = crashes.fact_subject(loss.fingerprint)
    now = trio.current_time()
    cleared = facts.Fact(crashes.CLEARED, subject, '10.0.0.2 0', now, 60.0)
    router.crashes.facts.merge(cleared)
    await trio.sleep(1.0)
    assert not router.crashes.facts.may_have(crashes.DEATH)


async def test_request_of_a_disconnected_caller_is_not_retried(autojump_clock):
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    router = make_router(rule, LOST, fakes.reply(body=(event(1),)))
    answer = fakes.Answer()
    answer.disconnected = True
    with pytest.raises(errors.OutcomeUnknown):
        await router.forwarder.forward(fakes.request(), answer)
    assert len(router.exchanges.sent) == 1
