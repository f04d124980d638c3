"""Log lines of a forwarding router about each request."""

from __future__ import annotations

import contextlib

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import failed_attempts
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import silence
from lavenderbend.observe import logs
from tests import forwarding_fakes as fakes
from tests.logged import named


def make_router(steps, rule):
    exchanges = fakes.Exchanges(e1=(), e2=())
    exchanges.steps = {'e1': steps, 'e2': steps}
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *upstreams)
    return fakes.Router(content, exchanges)


def events(lines):
    return [
        line['message_type'].removeprefix('lavenderbend:')
        for line in lines
        if line.get('request') == 'r1'
    ]


async def test_each_decision_on_a_request_is_logged(autojump_clock, lines):
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router([fakes.LOST_ANSWER, fakes.reply()], rule)
    await router.send_request()
    assert events(lines) == [
        'request_admitted',
        'request_sent',
        'attempt_failed',
        'request_sent',
        'request_ended',
    ]
    (admitted,) = named(lines, 'request_admitted')
    assert (admitted['rule'], admitted['customer']) == ('chat', 'corte')
    assert (admitted['version'], admitted['rank']) == (1, 1)
    assert admitted['age'] < 1.0
    first, second = named(lines, 'request_sent')
    assert second['upstream'] != first['upstream']
    assert second['passed_over'] == [f'{first["upstream"]} had the request']
    assert second['attempt'] == 2


async def test_request_refused_by_its_head_is_logged(autojump_clock, lines):
    """Guards against refusals that nobody can find the cause of."""
    router = make_router([fakes.reply()], fakes.rule())
    with pytest.raises(errors.NotAuthenticated):
        await router.forwarder.check(fakes.request(key='wrong'))
    (ended,) = named(lines, 'request_ended')
    assert ended['outcome'] == errors.NotAuthenticated.kind
    assert not ended['may_have_run']
    assert not router.resolver.hits


async def test_killed_process_has_logged_where_a_request_was_sent(
    autojump_clock, lines
):
    # A router is killed while an upstream runs a request, and never logs its
    # end. Whether the request may have run shows in the line logged when it
    # was sent.
    rule = fakes.rule()
    router = make_router([fakes.reply(delay=4.0)], rule)
    async with fakes.trio.open_nursery() as nursery:
        nursery.start_soon(router.send_request)
        await fakes.trio.sleep(1.0)
        assert events(lines) == ['request_admitted', 'request_sent']
        nursery.cancel_scope.cancel()


async def test_failed_request_is_logged_above_the_log_rate(
    autojump_clock, lines
):
    # A flood of ordinary requests uses up the log rate. A request that fails
    # among them must still have all lines needed to find the cause.
    logs.SUCCESS_BUDGET.rate = logs.SUCCESS_BUDGET.tokens = 0.0
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router([fakes.LOST_ANSWER], rule)
    await router.send_request()
    assert events(lines) == [
        'attempt_failed',
        'request_sent',
        'attempt_failed',
        'request_ended',
    ]
    (ended,) = named(lines, 'request_ended')
    assert len(ended['placed']) == 2
    assert ended['outcome'] == 'unknown'


async def test_ordinary_request_above_the_log_rate_is_only_counted(
    autojump_clock, lines
):
    logs.SUCCESS_BUDGET.rate = logs.SUCCESS_BUDGET.tokens = 0.0
    router = make_router([fakes.reply()], fakes.rule())
    await router.send_request()
    assert events(lines) == []


async def test_refused_request_is_logged_with_its_reason(autojump_clock, lines):
    router = make_router([fakes.reply()], fakes.rule())
    await router.send_request(key='wrong')
    assert events(lines) == ['request_ended']
    (ended,) = named(lines, 'request_ended')
    assert ended['outcome'] == 'not-authenticated'


async def test_lines_tell_which_stream_and_versions_a_request_had(
    autojump_clock, lines
):
    """Streams of two versions cannot be told from others without these."""
    logs.SUCCESS_BUDGET.rate = logs.SUCCESS_BUDGET.tokens = 0.0
    exchanges = fakes.Exchanges(e1=[fakes.reply(body=[event(8)])])
    upstream = attrs.evolve(fakes.upstream('e1'), software='v1.1')
    rule = fakes.rule(streaming=True, resumable=True)
    content = fakes.snapshot(1, fakes.table(1, (rule,)), upstream)
    router = fakes.Router(content, exchanges)
    await router.send_request(last_event_id='7', x_resumes='r0')
    (admitted,) = named(lines, 'request_admitted')
    assert (admitted['resumes'], admitted['after_event']) == ('r0', 7)
    (sent,) = named(lines, 'request_sent')
    assert sent['software'] == 'v1.1'
    (ended,) = named(lines, 'request_ended')
    assert ended['software'] == ['v1.1']


async def test_log_line_names_the_source_of_a_prompt_copy(
    autojump_clock, lines
):
    # When the first event of a returning chat is late, the request's log line
    # must show whether its prompt was copied, and from where, or processed
    # again.
    router = make_router([fakes.reply()], fakes.rule())
    parts = {'x_prompt_parts': 'sys:100,chat:9000,own:10'}
    await router.send_request(**parts)
    (ended,) = named(lines, 'request_ended')
    assert ended['copied_from'] == []
    (first,) = ended['sent_to']
    for _ in range(40):
        router.loads.begin(first)
    await router.send_request(**parts)
    _, ended = named(lines, 'request_ended')
    assert ended['sent_to'] != [first]
    assert ended['copied_from'] == [f'{first}: sent there before']


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class WritingAnswer(fakes.Answer):
    """A response of which the caller has a part only after its write ended."""

    seconds = 0.0

    async def send(self, data):
        self.write_pending = True
        await fakes.trio.sleep(self.seconds)
        self.write_pending = False
        self.body += data


async def ended_attempt(lines, router, answer=None, **fields):
    """Returns the log line of a request's first attempt, which failed."""
    answer = answer or WritingAnswer()
    async with fakes.trio.open_nursery() as nursery:
        nursery.start_soon(router.silence.run)
        with contextlib.suppress(errors.RequestError):
            await router.forwarder.forward(fakes.request(**fields), answer)
        nursery.cancel_scope.cancel()
    return named(lines, 'attempt_failed')[0]


STREAM = fakes.rule(streaming=True, resumable=True, attempts=2)
ENDS = {
    'broken off': (
        fakes.reply(body=(event(1),), error=fakes.LOST_ANSWER),
        ('UpstreamLost', 'upstream', 'upstream', 'reset'),
    ),
    'silent': (
        fakes.reply(body=(event(1), 30.0)),
        ('UpstreamStalled', 'router', 'upstream', silence.ALL_SILENT),
    ),
    'contradicts': (
        fakes.reply(body=(event(1), event(9))),
        ('AnswerContradicts', 'router', '', 'event 9 after event 1'),
    ),
}


@pytest.mark.parametrize('end', sorted(ENDS))
async def test_failed_attempt_is_logged_with_who_ended_it(
    end, autojump_clock, lines
):
    # Causes of a gap in a stream look alike to the caller and the upstream.
    # The log must show whether the upstream broke off, or the router ended the
    # attempt and why.
    step, (kind, by, waited_for, cause) = ENDS[end]
    rest = fakes.reply(body=(event(2),))
    line = await ended_attempt(lines, make_router([step, rest], STREAM))
    assert (line['kind'], line['ended_by']) == (kind, by)
    assert (line['waited_for'], line['cause']) == (waited_for, cause)
    assert (line['last_event'], line['written_event']) == (1, 1)


async def test_attempt_ended_within_a_write_logs_the_written_event(
    autojump_clock, lines
):
    # The deadline passes while the second event is written to a slow caller:
    # it was read, but the caller has only the first.
    answer = WritingAnswer()
    answer.seconds = 0.3
    router = make_router([fakes.reply(body=(event(1), event(2)))], STREAM)
    line = await ended_attempt(lines, router, answer, x_deadline_ms='500')
    assert (line['kind'], line['ended_by']) == ('Cancelled', 'router')
    assert line['cause'] == failed_attempts.DEADLINE
    assert (line['last_event'], line['written_event']) == (2, 1)
    assert line['waited_for'] == 'caller'
    assert line['waited'] == pytest.approx(0.2, abs=0.01)


async def test_unfinished_event_of_a_broken_stream_is_counted(
    autojump_clock, lines
):
    truncated = fakes.reply(
        body=(event(1) + b'id: 2\nda',), error=fakes.LOST_ANSWER
    )
    rest = fakes.reply(body=(event(2),))
    line = await ended_attempt(lines, make_router([truncated, rest], STREAM))
    assert line['unfinished_bytes'] == len(b'id: 2\nda')
    assert line['written_event'] == 1


async def test_broken_off_upstream_is_logged_if_the_caller_disconnected(
    autojump_clock, lines
):
    # The connections of both are reset at the same moment.
    answer = WritingAnswer()
    answer.disconnected = True
    truncated = fakes.reply(body=(event(1),), error=fakes.LOST_ANSWER)
    line = await ended_attempt(lines, make_router([truncated], STREAM), answer)
    assert line['ended_by'] == 'upstream'


async def test_held_failure_is_logged_as_waiting_for_neither_side(
    autojump_clock, lines
):
    rule = fakes.rule(idempotent=True, attempts=2)
    line = await ended_attempt(
        lines, make_router([fakes.reply(500), fakes.reply()], rule)
    )
    assert (line['ended_by'], line['waited_for']) == ('upstream', '')


async def test_unfinished_bytes_are_counted_for_each_attempt(
    autojump_clock, lines
):
    truncated = fakes.reply(body=(event(1), b'id: 2'), error=fakes.LOST_ANSWER)
    rule = fakes.rule(streaming=True, resumable=True, attempts=3)
    await ended_attempt(
        lines, make_router([truncated, fakes.LOST_ANSWER], rule)
    )
    failed = named(lines, 'attempt_failed')
    assert [line['unfinished_bytes'] for line in failed[:2]] == [5, 0]


async def test_suspicion_received_from_peers_is_logged_once(
    autojump_clock, lines
):
    # One router of hundreds stopped sending to an engine that others used,
    # because a peer had reported the engine as unreachable, and its own log did
    # not show why.
    upstream_health = health.Health()
    upstream_health.note_suspected('e1', 2.0)
    upstream_health.note_suspected('e1', 2.0)
    (line,) = named(lines, 'upstream_avoided')
    assert line['upstream'] == 'e1'
    assert line['cause'] == health.REPORTED_BY_PEERS
    assert line['seconds'] == 2.0


async def test_reads_of_an_older_store_are_told(autojump_clock, lines):
    """Guards against a store that goes back without a trace in the log."""
    router = make_router([fakes.reply()], fakes.rule())
    router.snapshots.accept(
        fakes.snapshot(9, fakes.table(9), fakes.upstream('e1')), 0.0
    )
    router.source.put(fakes.snapshot(7, fakes.table(9), fakes.upstream('e1')))
    await router.snapshots.read()
    await router.snapshots.read()
    (line,) = named(lines, 'store_outdated')
    assert (line['revision'], line['known_revision']) == (7, 9)


async def test_departures_name_upstream_and_revision(autojump_clock, lines):
    """Guards against a leaving upstream of which no line of a router tells."""
    router = make_router([fakes.reply()], fakes.rule())
    leaving = fakes.upstream('e1', leaving=True, revision=5)
    router.snapshots.accept(fakes.snapshot(6, fakes.table(1), leaving), 0.0)
    departed = [
        (line['upstream'], line['entry'], line['revision'])
        for line in named(lines, 'upstream_departed')
    ]
    assert departed == [('e1', 'leaving', 5), ('e2', 'removed', 6)]


class LeavingAnswer(fakes.Answer):
    """The caller closes its connection once it has the whole answer."""

    async def send_whole(self, status, headers, body):
        await super().send_whole(status, headers, body)
        self.sent_bytes = len(body)
        self.disconnected = True


async def test_line_shows_how_much_of_an_answer_left(autojump_clock, lines):
    """Guards against lines that do not tell an answer of which no byte left."""
    never = fakes.Answer()
    never.write = trio.sleep_forever
    router = make_router([fakes.reply()], fakes.rule(timeout=0.5))
    with pytest.raises(errors.OutcomeUnknown):
        await router.forwarder.forward(fakes.request(), never)
    await router.forwarder.forward(fakes.request(), LeavingAnswer())
    shown = [
        (line['began'], line['finished'], line['answer_bytes'])
        for line in named(lines, 'request_ended')
    ]
    assert shown == [(True, False, 0), (True, True, 4)]


async def test_caller_that_leaves_with_its_answer_was_answered(
    autojump_clock, lines
):
    """Guards against answers that count as lost, since callers close then."""
    router = make_router([fakes.reply()], fakes.rule())
    await router.forwarder.forward(fakes.request(), LeavingAnswer())
    (line,) = named(lines, 'request_ended')
    assert line['outcome'] == 'answered'
