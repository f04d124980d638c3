"""Requests whose earlier step ended half done, over fakes."""

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
# the used part of it is one repeat
ONE_REPEAT = budget.RepeatSettings(0.0, 1.0 / budget.USED_PART, 10.0)


def upstream(name):
    """Returns an upstream with an address of its own."""
    found = fakes.upstream(name)
    port = 1000 + NAMES.index(name)
    return attrs.evolve(found, vm=attrs.evolve(found.vm, port=port))


def router(rule, *steps, names=NAMES):
    """Returns a router whose upstreams do the steps, whoever is asked."""
    shared = list(steps)
    exchanges = fakes.Exchanges(**dict.fromkeys(names, ()))
    exchanges.steps = dict.fromkeys(names, shared)
    found = [upstream(name) for name in names]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *found)
    return fakes.Router(content, exchanges)


def next_choice(the_router, *used):
    need = the_router.resolver.make_ticket(
        fakes.request(), the_router.snapshots.table.rules[0], None
    ).prompt
    return the_router.chooser.choose(SERVICE, need, used, 'r1').upstream


async def test_failure_that_is_held_never_follows_a_stream(autojump_clock):
    # An upstream answers 500, which is held. The next one starts a stream and
    # breaks off, and no attempt is left. The held answer would be a second
    # one within the caller's stream.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    broken = fakes.reply(200, (b'id: 1\ndata: x\n\n',), then=LOST)
    the_router = router(rule, fakes.reply(500, (b'bad',)), broken)
    answer, error = await the_router.ask()
    assert len(the_router.exchanges.sent) == 2
    assert (answer.heads, answer.finished) == (1, False)
    assert answer.body == b'id: 1\ndata: x\n\n'
    assert isinstance(error, errors.OutcomeUnknown)


async def ask_while_service_empties(the_router):
    """Returns what a caller gets whose service loses all its upstreams."""

    async def empty():
        await trio.sleep(0.1)
        table = the_router.snapshots.table
        the_router.snapshots.accept(fakes.snapshot(2, table), 1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(empty)
        return await the_router.ask()


async def test_request_that_may_have_run_is_not_called_not_run(
    autojump_clock,
):
    # The only upstream breaks off within its answer and leaves the store. A
    # repeat is allowed, and nobody is left for it. The caller was told that
    # its request had not run.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, fakes.reply(delay=0.2, then=LOST))
    answer, error = await ask_while_service_empties(the_router)
    assert not answer.started
    assert isinstance(error, errors.OutcomeUnknown)


async def test_failure_is_passed_on_when_nobody_is_left(autojump_clock):
    # An upstream answers 500, which is held for a repeat. Meanwhile the
    # service has lost its upstreams. The caller gets what it was answered.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, fakes.reply(500, (b'bad',), delay=0.2))
    answer, error = await ask_while_service_empties(the_router)
    assert error is None
    assert (answer.status, answer.body) == (500, b'bad')


async def test_repeat_that_was_not_sent_is_not_spent(autojump_clock):
    # An upstream breaks off, the next accepts no connection, a third one
    # would answer. One repeat is allowed. It was counted for the second, to
    # which nothing was sent, and the caller got no answer.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, LOST, fakes.reply())
    the_router.budget.settings = ONE_REPEAT
    first = next_choice(the_router).instance
    second = next_choice(the_router, first).instance
    the_router.exchanges.dead.add(second)
    answer, error = await the_router.ask()
    assert error is None
    assert answer.status == 200
    assert len(the_router.exchanges.sent) == 2


async def test_connections_for_a_repeat_are_bounded(autojump_clock):
    # After the first break no upstream accepts a connection: each try costs
    # time that the caller waits.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, LOST)
    first = next_choice(the_router).instance
    the_router.exchanges.dead |= set(NAMES) - {first}
    _, error = await the_router.ask()
    assert isinstance(error, errors.OutcomeUnknown)
    assert len(the_router.exchanges.sent) <= 2


async def test_wait_is_given_up_only_if_its_repeat_is_held(autojump_clock):
    # Two requests wait for slow upstreams beyond the limit, and one repeat is
    # allowed. Both waits were given up for it: one request was sent again,
    # the other lost its upstream, which would have answered, and got nothing.
    rule = fakes.rule(idempotent=True, attempts=2)
    slow = fakes.reply(delay=2.5)
    the_router = router(rule, slow, slow, fakes.reply())
    the_router.budget.settings = ONE_REPEAT
    results = []

    async def ask():
        results.append(await the_router.ask())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        nursery.start_soon(ask)
    assert [error for _, error in results] == [None, None]
    assert [answer.status for answer, _ in results] == [200, 200]
    assert len(the_router.exchanges.sent) == 3


async def test_prompt_is_not_copied_from_who_refused_it(autojump_clock):
    # A chat is cached at its place, which is held back for a moment. The
    # next upstream refuses the request as not run, a third one takes it. The
    # refusal was noted as the chat's latest place: the third was told to
    # copy the prompt from an upstream that never had it.
    rule = fakes.rule(idempotent=True, attempts=3)
    the_router = router(
        rule, fakes.reply(), fakes.not_run(), fakes.reply(), fakes.reply()
    )
    parts = 'base:100,chat-1:900,own:50'
    await the_router.ask(x_prompt_parts=parts)
    place = the_router.exchanges.names()[0]
    health = the_router.health
    health.hold_back(health.record(place), trio.current_time() + 1.0)
    answer, _ = await the_router.ask(x_prompt_parts=parts)
    assert answer.status == 200
    assert len(the_router.exchanges.sent) == 3
    _, sent = the_router.exchanges.sent[-1]
    address = b'127.0.0.1:%d' % upstream(place).vm.port
    assert dict(sent.headers).get(b'x-copy-from') == address


async def test_success_clears_a_death_that_is_still_examined(
    nursery, autojump_clock
):
    # Two upstreams lose power at once; each had the same harmless request,
    # which then succeeds at others. That both died is known a moment after
    # these successes. The deaths were noted as if nothing had succeeded
    # since, and the request was refused for two minutes.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, LOST, LOST, fakes.reply())
    exchanges = the_router.exchanges
    nursery.start_soon(the_router.crashes.run)
    await trio.lowlevel.checkpoint()
    async with trio.open_nursery() as callers:
        callers.start_soon(the_router.ask)
        callers.start_soon(the_router.ask)
    died = set(exchanges.names()[:2])
    assert len(died) == 2
    assert len(exchanges.sent) == 4
    exchanges.dead |= died
    await trio.sleep(0.2)
    answer, error = await the_router.ask()
    assert (answer.status, error) == (200, None)


async def test_version_that_cannot_be_compiled_is_not_in_force(
    autojump_clock,
):
    # A version comes whose credentials cannot be used. It was marked as
    # compiled first: the next request was served by the credentials of the
    # version before, though they may have been taken away.
    rule = fakes.rule()
    the_router = router(rule, fakes.reply())
    resolver = the_router.resolver
    await resolver.admit(fakes.request())
    broken = (forwarding.ForwardCustomer('corte', (['k'],)),)
    table = fakes.table(2, (rule,), broken)
    the_router.snapshots.accept(fakes.snapshot(2, table, upstream('e1')), 1.0)
    for _ in range(2):
        with pytest.raises(TypeError):
            await resolver.admit(fakes.request())
    assert resolver.version == 1


class OldSnapshots(fakes.Network):
    """A link over which a router hands out an older snapshot than it told."""

    def __init__(self, content):
        super().__init__('10.0.0.1', {}, set())
        self.content = content

    async def fetch(self, host, known):
        await trio.lowlevel.checkpoint()
        return self.content.raw


async def test_proof_of_one_snapshot_is_none_of_an_older_one(autojump_clock):
    # A router tells that revision 12 was the newest just now. Before its
    # snapshot is fetched it starts anew, and hands out revision 11 that it
    # has of another router. The proof was taken over with it: a credential
    # that revision 12 takes away would be served as confirmed.
    the_router = router(fakes.rule(), fakes.reply())
    followed = the_router.snapshots
    await trio.sleep(10.0)
    old = fakes.snapshot(11, fakes.table(11), upstream('e1'))
    the_router.source.known[old.digest] = old
    shared = shared_freshness.SharedFreshness(5, followed, OldSnapshots(old))
    state = messages_forwarding.RouterState(
        name='router-2',
        incarnation=6,
        host='10.0.0.2',
        zone=fakes.ZONE,
        leaving=False,
        asks=False,
        sent_at=1.0,
        echo_incarnation=5,
        echo_at=followed.clock(),
        echo_held=0.0,
        proof_age=0.0,
        revision=12,
        digest=12,
    )
    assert shared.note(state) == 0.0
    await shared.fetch(shared.offer)
    assert followed.age >= 10.0


async def test_full_upstream_that_dies_is_suspected_for_its_whole_time(
    autojump_clock,
):
    # An upstream refuses for want of room and loses power a moment later. The
    # short time for which a full one is held back stood for the long one of a
    # dead one: other routers were not told, and requests went there again.
    known = health.Health()
    told = []
    known.on_suspect = lambda instance, seconds: told.append(
        (instance, seconds)
    )
    known.note_full('e1')
    known.note_unreachable('e1')
    await trio.sleep(health.FULL_SECONDS + 0.1)
    assert known.is_suspected('e1')
    assert told == [('e1', health.FIRST_AVOID_SECONDS)]


async def test_failure_answered_to_a_resume_counts_once(autojump_clock):
    # One answer counted as two failures: an upstream was avoided after half
    # of what it takes.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    torn = fakes.reply(body=(b'id: 1\ndata: a\n\n',), then=LOST)
    the_router = router(rule, torn, fakes.reply(500), names=('e1', 'e2'))
    await the_router.ask()
    second = the_router.exchanges.names()[1]
    assert the_router.health.record(second).failures == pytest.approx(1.0)


async def test_event_that_nobody_got_hinders_no_resume(autojump_clock):
    # An upstream sends an event without a number and contradicts itself in
    # the same bytes: nothing of them is passed on. The next one is sound and
    # breaks off; a third can go on behind it.
    rule = fakes.rule(streaming=True, resumable=True, attempts=3)
    the_router = router(
        rule,
        fakes.reply(body=(event(1), b'data: q\n\n' + event(9))),
        fakes.reply(body=(event(2),), then=LOST),
        fakes.reply(body=(event(3),)),
        names=NAMES[:3],
    )
    answer, error = await the_router.ask()
    assert error is None
    assert answer.body == event(1) + event(2) + event(3)


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


async def test_second_of_two_events_without_a_number_is_seen(autojump_clock):
    # both come in one read; the number of the first is none of the second
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    both = event(1) + b'data: q\n\n'
    the_router = router(rule, fakes.reply(body=(both,), then=LOST))
    answer, error = await the_router.ask()
    assert isinstance(error, errors.OutcomeUnknown)
    assert answer.body == both
    assert len(the_router.exchanges.sent) == 1


@pytest.mark.parametrize('value', ['\u00b2', '9' * 5000])
async def test_last_event_of_a_caller_that_is_no_number(value, autojump_clock):
    rule = fakes.rule(streaming=True, resumable=True)
    the_router = router(rule, fakes.reply(body=(event(1),)))
    answer, error = await the_router.ask(last_event_id=value)
    assert (answer.body, error) == (event(1), None)


async def test_wait_is_kept_if_nobody_is_left_to_follow(autojump_clock):
    # The only upstream leaves the store while it works on a request. Given
    # up, the request would have nobody; its answer comes 2.5 s later.
    rule = fakes.rule(idempotent=True, attempts=2)
    the_router = router(rule, fakes.reply(delay=2.5), names=('e1',))

    async def leave():
        await trio.sleep(0.1)
        table = the_router.snapshots.table
        the_router.snapshots.accept(fakes.snapshot(2, table), 1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        answer, error = await the_router.ask()
    assert (answer.status, error) == (200, None)


async def test_repeat_that_was_held_for_long_is_taken_anew(autojump_clock):
    # A wait was allowed a repeat and ended by itself. Its upstream fails 11 s
    # later, as the fleet has just repeated all that it may in 10 s.
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    the_router = router(rule, fakes.reply())
    the_router.budget.settings = ONE_REPEAT
    ticket = await the_router.resolver.admit(fakes.request())
    ticket.sent_to.append('e1')
    answer = fakes.Answer()
    assert the_router.forwarder.retry_check(ticket, answer)()
    await trio.sleep(11.0)
    assert the_router.budget.try_take(SERVICE)
    assert not the_router.forwarder.may_continue(ticket, answer)


async def test_success_told_by_another_router_clears_an_examined_death(
    nursery, autojump_clock
):
    rule = fakes.rule(idempotent=True, attempts=1)
    the_router = router(rule, LOST)
    nursery.start_soon(the_router.crashes.run)
    await trio.testing.wait_all_tasks_blocked()
    await the_router.ask()
    (loss,) = the_router.crashes.pending
    the_router.exchanges.dead |= set(NAMES)
    subject = crashes.fact_subject(loss.fingerprint)
    now = trio.current_time()
    cleared = facts.Fact(crashes.CLEARED, subject, '10.0.0.2 0', now, 60.0)
    the_router.crashes.facts.take(cleared)
    await trio.sleep(1.0)
    assert not the_router.crashes.facts.has(crashes.DEATH)


async def test_request_whose_caller_left_goes_nowhere_else(autojump_clock):
    rule = fakes.rule(streaming=True, resumable=True, attempts=2)
    the_router = router(rule, LOST, fakes.reply(body=(event(1),)))
    answer = fakes.Answer()
    answer.disconnected = True
    with pytest.raises(errors.OutcomeUnknown):
        await the_router.forwarder.forward(fakes.request(), answer)
    assert len(the_router.exchanges.sent) == 1
