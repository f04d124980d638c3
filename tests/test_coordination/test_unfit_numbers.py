"""Requests and answers whose headers hold numbers that are none."""

from __future__ import annotations

import attrs
import pytest

from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import loads
from tests import forwarding_fakes as fakes

# Digits of another script, more digits than Python converts, and more than a
# float holds.
UNFIT = ['\u00b2', '9' * 5000, '9' * 400]


def router(*steps):
    exchanges = fakes.Exchanges(e1=list(steps), e2=list(steps))
    members = [fakes.upstream('e1'), fakes.upstream('e2')]
    table = fakes.table(1, (fakes.rule(timeout=1.5),))
    return fakes.Router(fakes.snapshot(1, table, *members), exchanges)


@pytest.mark.parametrize('text', UNFIT)
@pytest.mark.parametrize(
    ('header', 'form'),
    [
        (b'x-deadline-ms', '{}'),
        (b'x-prompt-parts', 'a:{}'),
        (b'x-prompt-parts', 'a:10,b:{},c:7'),
        (b'last-event-id', '{}'),
    ],
)
async def test_caller_with_a_number_that_is_none_is_answered(
    autojump_clock, header, form, text
):
    """Guards against connections that close without an answer."""
    subject = router(fakes.reply())
    value = form.format(text).encode('latin-1')
    request = fakes.request(x_deadline_ms='')
    headers = (*request.headers, (header, value))
    answer = fakes.Answer()
    await subject.forwarder.forward(
        attrs.evolve(request, headers=headers), answer
    )
    assert answer.body == b'done'
    (_, sent), *_ = subject.exchanges.sent
    left = int(dict(sent.headers)[b'x-deadline-ms'])
    assert 1400 < left <= 1500


@pytest.mark.parametrize('form', ['{},0,8', '0,{},8', '1,0,8,{}'])
@pytest.mark.parametrize('text', UNFIT[1:])
async def test_load_that_is_no_number_leaves_the_last_report(
    autojump_clock, form, text
):
    """Guards against an upstream whose load report ends requests."""
    load = form.format(text)
    subject = router(fakes.reply(**{'x-load': load}))
    for _ in range(3):
        answer, error = await subject.send_request()
        assert (error, answer.body) == (None, b'done')
    assert all(subject.loads.load(name) <= 1 for name in ('e1', 'e2'))


async def test_report_beyond_any_load_is_not_noted(autojump_clock):
    """Guards against a load that raises the bound of all other upstreams."""
    upstream_loads = loads.Loads()
    upstream_loads.note_report('e1', b'3,1,8')
    upstream_loads.note_report('e1', b'9999999,0,8')
    assert upstream_loads.load('e1') == 4


def test_parts_of_a_size_that_is_none_are_no_parts():
    """Guards against a prompt whose size no message between routers holds."""
    for text in (*UNFIT, '9' * 10):
        assert choice.parse_parts(f'a:1,b:{text}') == ()
