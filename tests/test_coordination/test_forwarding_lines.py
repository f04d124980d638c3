"""The lines that a forwarding router writes on each request."""

from __future__ import annotations

import contextlib

import eliot
import pytest

from lavenderbend import errors
from lavenderbend.coordination.forwarding import failed_attempts
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import silence
from lavenderbend.observe import log_writer
from lavenderbend.observe import logs
from tests import forwarding_fakes as fakes


def ignore(message):
    """Takes lines that no test looks at."""


@pytest.fixture
def lines(monkeypatch):
    budget = log_writer.LineBudget(1000.0, 1000.0)
    monkeypatch.setattr(logs, 'ORDINARY', budget)
    # what was logged while there was no destination yet, by other tests in
    # this process, goes to the first one: not to the test's own
    eliot.add_destinations(ignore)
    eliot.remove_destination(ignore)
    found = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def router(steps, rule):
    exchanges = fakes.Exchanges(e1=(), e2=())
    exchanges.steps = {'e1': steps, 'e2': steps}
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *found)
    return fakes.Router(content, exchanges)


def events(lines):
    return [
        line['message_type'].removeprefix('lavenderbend:')
        for line in lines
        if line.get('request') == 'r1'
    ]


def named(lines, event):
    return [
        line
        for line in lines
        if line['message_type'] == f'lavenderbend:{event}'
    ]


async def test_each_decision_on_a_request_is_a_line(autojump_clock, lines):
    rule = fakes.rule(idempotent=True, attempts=2)
    subject = router([fakes.LOST_ANSWER, fakes.reply()], rule)
    await subject.ask()
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


async def test_process_that_dies_has_said_where_a_request_went(
    autojump_clock, lines
):
    # A router is killed while an upstream works on a request: the line at
    # the end is never written. The caller's question, whether it may have
    # run, is answered by the line of its sending.
    rule = fakes.rule()
    subject = router([fakes.reply(delay=4.0)], rule)
    async with fakes.trio.open_nursery() as nursery:
        nursery.start_soon(subject.ask)
        await fakes.trio.sleep(1.0)
        assert events(lines) == ['request_admitted', 'request_sent']
        nursery.cancel_scope.cancel()


async def test_failed_request_has_its_lines_over_the_rate(
    autojump_clock, lines
):
    # A flood of ordinary requests uses up the lines of a second. One that
    # fails among them still has all that its cause is found by.
    logs.ORDINARY.rate = logs.ORDINARY.tokens = 0.0
    rule = fakes.rule(idempotent=True, attempts=2)
    subject = router([fakes.LOST_ANSWER], rule)
    await subject.ask()
    assert events(lines) == [
        'attempt_failed',
        'request_sent',
        'attempt_failed',
        'request_ended',
    ]
    (ended,) = named(lines, 'request_ended')
    assert len(ended['placed']) == 2
    assert ended['outcome'] == 'unknown'


async def test_ordinary_request_over_the_rate_is_only_counted(
    autojump_clock, lines
):
    logs.ORDINARY.rate = logs.ORDINARY.tokens = 0.0
    subject = router([fakes.reply()], fakes.rule())
    await subject.ask()
    assert events(lines) == []


async def test_refused_request_says_why(autojump_clock, lines):
    subject = router([fakes.reply()], fakes.rule())
    await subject.ask(key='wrong')
    assert events(lines) == ['request_ended']
    (ended,) = named(lines, 'request_ended')
    assert ended['outcome'] == 'not-authenticated'


async def test_line_says_from_where_a_prompt_was_to_be_copied(
    autojump_clock, lines
):
    # First events come late on a chat that came back. Whether its prompt was
    # read anew, or copied and from where, is in the line of the request.
    subject = router([fakes.reply()], fakes.rule())
    parts = {'x_prompt_parts': 'sys:100,chat:9000,own:10'}
    await subject.ask(**parts)
    (ended,) = named(lines, 'request_ended')
    assert ended['copied_from'] == []
    (first,) = ended['sent_to']
    for _ in range(40):
        subject.loads.begin(first)
    await subject.ask(**parts)
    _, ended = named(lines, 'request_ended')
    assert ended['sent_to'] != [first]
    assert ended['copied_from'] == [f'{first}: sent there before']


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class WritingAnswer(fakes.Answer):
    """The caller has a part of its answer only once its write has ended."""

    seconds = 0.0

    async def send(self, data):
        self.write_pending = True
        await fakes.trio.sleep(self.seconds)
        self.write_pending = False
        self.body += data


async def ended_attempt(lines, subject, answer=None, **fields):
    """Returns the line of a request's first attempt, which failed."""
    answer = answer or WritingAnswer()
    async with fakes.trio.open_nursery() as nursery:
        nursery.start_soon(subject.silence.run)
        with contextlib.suppress(errors.RequestError):
            await subject.forwarder.forward(fakes.request(**fields), answer)
        nursery.cancel_scope.cancel()
    return named(lines, 'attempt_failed')[0]


STREAM = fakes.rule(streaming=True, resumable=True, attempts=2)
WHO_ENDED = {
    'broken off': (
        fakes.reply(body=(event(1),), then=fakes.LOST_ANSWER),
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


@pytest.mark.parametrize('way', sorted(WHO_ENDED))
async def test_end_of_an_attempt_says_who_ended_it(way, autojump_clock, lines):
    # A caller complains of a gap in its stream. Whether the upstream broke
    # off, or the router gave it up and for what, tells causes apart that
    # look alike to the caller and to the upstream.
    step, (kind, by, waited_for, cause) = WHO_ENDED[way]
    rest = fakes.reply(body=(event(2),))
    line = await ended_attempt(lines, router([step, rest], STREAM))
    assert (line['kind'], line['ended_by']) == (kind, by)
    assert (line['waited_for'], line['cause']) == (waited_for, cause)
    assert (line['last_event'], line['written_event']) == (1, 1)


async def test_end_within_a_write_says_what_the_caller_lacks(
    autojump_clock, lines
):
    # The deadline comes while a slow caller takes the second event: it was
    # read, and the caller has only the first.
    answer = WritingAnswer()
    answer.seconds = 0.3
    subject = router([fakes.reply(body=(event(1), event(2)))], STREAM)
    line = await ended_attempt(lines, subject, answer, x_deadline_ms='500')
    assert (line['kind'], line['ended_by']) == ('Cancelled', 'router')
    assert line['cause'] == failed_attempts.DEADLINE
    assert (line['last_event'], line['written_event']) == (2, 1)
    assert line['waited_for'] == 'caller'
    assert line['waited'] == pytest.approx(0.2, abs=0.01)


async def test_unfinished_event_of_a_broken_stream_is_counted(
    autojump_clock, lines
):
    torn = fakes.reply(body=(event(1) + b'id: 2\nda',), then=fakes.LOST_ANSWER)
    rest = fakes.reply(body=(event(2),))
    line = await ended_attempt(lines, router([torn, rest], STREAM))
    assert line['unfinished_bytes'] == len(b'id: 2\nda')
    assert line['written_event'] == 1


async def test_upstream_that_broke_off_is_named_though_its_caller_left(
    autojump_clock, lines
):
    # connections of both are reset in the same moment
    answer = WritingAnswer()
    answer.disconnected = True
    torn = fakes.reply(body=(event(1),), then=fakes.LOST_ANSWER)
    line = await ended_attempt(lines, router([torn], STREAM), answer)
    assert line['ended_by'] == 'upstream'


async def test_failure_that_is_held_says_that_nobody_was_waited_for(
    autojump_clock, lines
):
    rule = fakes.rule(idempotent=True, attempts=2)
    line = await ended_attempt(
        lines, router([fakes.reply(500), fakes.reply()], rule)
    )
    assert (line['ended_by'], line['waited_for']) == ('upstream', '')


async def test_line_of_a_later_attempt_has_its_own_unfinished_bytes(
    autojump_clock, lines
):
    torn = fakes.reply(body=(event(1), b'id: 2'), then=fakes.LOST_ANSWER)
    rule = fakes.rule(streaming=True, resumable=True, attempts=3)
    await ended_attempt(lines, router([torn, fakes.LOST_ANSWER], rule))
    failed = named(lines, 'attempt_failed')
    assert [line['unfinished_bytes'] for line in failed[:2]] == [5, 0]


async def test_belief_taken_from_others_is_a_line_once(autojump_clock, lines):
    # One router of hundreds sends nothing to an engine that others use. It
    # took their word for the engine's death; its own lines said nothing of it.
    known = health.Health()
    known.note_suspected('e1', 2.0)
    known.note_suspected('e1', 2.0)
    (line,) = named(lines, 'upstream_avoided')
    assert line['upstream'] == 'e1'
    assert line['cause'] == health.FOUND_BY_OTHERS
    assert line['seconds'] == 2.0
