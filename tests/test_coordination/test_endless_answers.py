"""Upstreams whose bytes are no answer and do not end."""

from __future__ import annotations

import math

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import answer_bodies
from lavenderbend.coordination.forwarding import events
from lavenderbend.protocol import part_sizes
from tests import forwarding_fakes as fakes

PART = b'x' * 64 * 1024
# More than any router may keep of one answer.
ENDLESS = (PART,) * (4 * answer_bodies.MAX_BODY_BYTES // len(PART))
# A few bytes at a time, for longer than any caller waits.
DRIP = (b'x', 0.05) * 200
RETRIED_SECONDS = answer_bodies.ERROR_BODY_SECONDS + 0.2


def make_router(steps, **then):
    exchanges = fakes.Exchanges(e1=steps, e2=steps)
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    rule = fakes.rule(**{'idempotent': True, 'attempts': 2, **then})
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *upstreams)
    router = fakes.Router(content, exchanges)
    exchanges.steps = {'e1': steps, 'e2': steps}
    return router


async def test_answer_without_the_requests_id_counts_as_a_failure(
    autojump_clock,
):
    """Guards against an upstream without valid answers that is never judged."""
    router = make_router([fakes.reply()])
    router.exchanges.steps['e1'] = [errors.AnswerMismatch('no id')]
    for _ in range(12):
        answer, _ = await router.send_request()
        assert answer.status == 200
    assert router.health.deprioritized() == {'e1'}
    assert router.exchanges.names().count('e1') <= 3


async def test_body_without_end_is_given_up_and_tried_elsewhere(
    autojump_clock,
):
    """Guards against a router whose memory one answer fills."""
    router = make_router([fakes.reply(body=ENDLESS), fakes.reply()])
    answer, _ = await router.send_request()
    assert (answer.status, answer.body) == (200, b'done')
    assert len(router.exchanges.names()) == 2
    assert (router.exchanges.closed[0][1]) is False


async def test_body_without_end_of_a_request_that_may_run_once_ends_as_unknown(
    autojump_clock,
):
    """Guards against a truncated answer that looks whole."""
    router = make_router(
        [fakes.reply(body=ENDLESS)], idempotent=False, attempts=1
    )
    answer, error = await router.send_request()
    assert answer.heads == 0
    assert error.status == 504


@pytest.mark.parametrize('body', [ENDLESS, DRIP, (b'x', math.inf)])
async def test_refusal_without_end_is_tried_elsewhere_at_once(
    autojump_clock, body
):
    """Guards against requests that wait for the body of a refusal."""
    refusal = fakes.reply(503, body, **{'x-signature': '', 'x-not-run': '1'})
    router = make_router([refusal, fakes.reply()], idempotent=False, attempts=2)
    began = trio.current_time()
    answer, _ = await router.send_request()
    assert (answer.status, answer.body) == (200, b'done')
    assert trio.current_time() - began < RETRIED_SECONDS


@pytest.mark.parametrize('body', [ENDLESS, DRIP])
async def test_server_error_without_end_is_tried_elsewhere_in_time(
    autojump_clock, body
):
    """Guards against requests that wait for the body of an error."""
    router = make_router([fakes.reply(500, body), fakes.reply()])
    began = trio.current_time()
    answer, _ = await router.send_request()
    assert (answer.status, answer.body) == (200, b'done')
    assert trio.current_time() - began < RETRIED_SECONDS


async def test_event_without_end_is_given_up_and_tried_elsewhere(
    autojump_clock,
):
    """Guards against a router whose memory one event fills."""
    endless = (b'id: 1\ndata: ', *ENDLESS)
    good = (b'id: 1\ndata: x\n\n',)
    router = make_router(
        [fakes.reply(body=endless), fakes.reply(body=good)],
        streaming=True,
        resumable=True,
    )
    answer, _ = await router.send_request()
    assert answer.body == good[0]


async def test_body_of_tiny_parts_without_end_is_given_up_early(
    autojump_clock,
):
    """Guards against a router that is busy with the parts of one answer."""
    count = answer_bodies.MAX_BODY_BYTES // part_sizes.MIN_PART_BYTES
    tiny = (b'x',) * (2 * count)
    router = make_router([fakes.reply(body=tiny), fakes.reply()])
    answer, _ = await router.send_request()
    assert answer.body == b'done'


async def test_event_of_tiny_parts_without_end_is_given_up_early(
    autojump_clock,
):
    """Guards against a router that is busy with the parts of one event."""
    splitter = events.EventSplitter()
    with pytest.raises(errors.UpstreamBroke):
        for _ in range(4 * events.MAX_EVENT_BYTES // part_sizes.MIN_PART_BYTES):
            splitter.feed(b'x')
    assert splitter.partial_size <= 2 * events.MAX_EVENT_BYTES


async def test_events_of_tiny_parts_are_passed_on(autojump_clock):
    """Guards against streams of small events that count as one large one."""
    splitter = events.EventSplitter()
    for number in range(1, 5000):
        for byte in b'id: %d\ndata: x\n' % number:
            assert splitter.feed(bytes([byte])) == b''
        assert splitter.feed(b'\n')
    assert splitter.read_position.number == 4999
