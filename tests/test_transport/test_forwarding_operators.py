"""What operators see of a forwarding router, over fakes."""

from __future__ import annotations

import random

import orjson
import pytest

from lavenderbend.coordination.forwarding import peers
from lavenderbend.state import decisions
from lavenderbend.state import forwarding
from lavenderbend.state import settings
from lavenderbend.transport import forwarding_operators
from tests import forwarding_fakes as fakes
from tests import operator_fakes

BEARER = {'authorization': f'Bearer {operator_fakes.SECRET}'}
IDEMPOTENT = fakes.rule(idempotent=True, attempts=2)
PARTS = 'a1:100,b2:6000,c3:500'


class Subject:
    """A router with its operators' interface."""

    def __init__(self, steps, rules=(IDEMPOTENT,)):
        exchanges = fakes.Exchanges(e1=(), e2=())
        exchanges.steps = {'e1': steps, 'e2': steps}
        table = forwarding.ForwardingTable(
            7,
            rules,
            (forwarding.ForwardPool('chat'),),
            (forwarding.ForwardCustomer('corte', (fakes.KEY,), 1),),
        )
        found = [
            fakes.upstream('e1'),
            fakes.upstream('e2', zone='sala-b'),
            fakes.upstream('e3', leaving=True),
        ]
        self.router = fakes.Router(fakes.snapshot(1, table, *found), exchanges)
        self.kept = decisions.DecisionStore(10)
        self.router.forwarder.decisions = self.kept
        self.peers = peers.Peers(
            'router-1',
            '127.0.0.1',
            fakes.ZONE,
            ['127.0.0.2'],
            self.router.snapshots,
            self.router.loads,
            fakes.Network('127.0.0.1', {}, set()),
            random.Random(1),
        )
        self.operators = forwarding_operators.ForwardingOperators(
            settings.RouterSettings(
                'router-1',
                fakes.ZONE,
                settings.KeyValueSettings(['http://127.0.0.1:1']),
                operators=settings.OperatorSettings(operator_fakes.SALTED),
            ),
            self.router.resolver,
            self.router.chooser,
            self.peers,
            self.kept,
        )

    async def call(self, method, path, body=None, headers=BEARER):
        client = self.operators.app.test_client()
        data = b'' if body is None else orjson.dumps(body)
        response = await client.open(
            path, method=method, data=data, headers=dict(headers)
        )
        return response.status_code, orjson.loads(await response.get_data())


@pytest.fixture
async def subject(autojump_clock):
    return Subject([fakes.reply()])


async def explained(subject, **question):
    document = {
        'customer': 'corte',
        'path': '/chat/1',
        'headers': {'Host': 'a.example'},
        **question,
    }
    status, found = await subject.call('POST', '/v1/explain', document)
    assert status == 200
    return found


async def test_decision_says_what_became_of_each_attempt(autojump_clock):
    # An operator follows up a slow answer: the first upstream broke off, the
    # second one answered. Both must be in the record, with why each was taken
    # and what was passed over for it.
    subject = Subject([fakes.LOST_ANSWER, fakes.reply(delay=0.2)])
    await subject.router.send_request(x_request_id='slow-1')
    status, found = await subject.call('GET', '/v1/decisions/slow-1')
    assert status == 200
    first, second = found['attempts']
    assert {first['upstream'], second['upstream']} == {'e1', 'e2'}
    assert first['result'] == 'UpstreamLost'
    assert first['first_byte'] is None
    assert second['result'] == 'complete'
    assert second['first_byte'] == pytest.approx(0.2)
    assert second['passed_over'] == [
        {'upstream': first['upstream'], 'reason': 'had the request'}
    ]
    assert (found['rule'], found['pool'], found['revision']) == (
        'chat',
        'chat',
        7,
    )
    assert found['outcome'] == 'complete'


async def test_decision_never_shows_a_credential(subject, autojump_clock):
    await subject.router.send_request(x_request_id='r-1', x_more='kept')
    _, found = await subject.call('GET', '/v1/decisions/r-1')
    assert fakes.KEY not in orjson.dumps(found).decode()
    assert found['headers']['x-more'] == 'kept'


@pytest.mark.parametrize(
    ('fields', 'outcome', 'error'),
    [
        ({}, 'complete', ''),
        ({'path': '/none/'}, 'not-run', 'no-rule-matched'),
        ({'key': 'wrong'}, 'not-run', 'not-authenticated'),
    ],
)
async def test_decisions_can_be_told_apart_by_outcome(
    subject, autojump_clock, fields, outcome, error
):
    await subject.router.send_request(x_request_id='r-1', **fields)
    _, found = await subject.call('GET', f'/v1/decisions?outcome={outcome}')
    assert [one['id'] for one in found] == ['r-1']
    assert found[0]['error'] == error


async def test_lost_answer_of_a_request_that_may_run_once_is_unknown(
    autojump_clock,
):
    once = fakes.rule(attempts=2)
    subject = Subject([fakes.LOST_ANSWER], (once,))
    await subject.router.send_request(x_request_id='r-1')
    _, found = await subject.call('GET', '/v1/decisions/r-1')
    assert found['outcome'] == 'unknown'
    assert len(found['attempts']) == 1


async def test_explanation_names_the_upstream_that_is_then_taken(
    subject, autojump_clock
):
    headers = {'host': 'a.example', 'x-prompt-parts': PARTS}
    found = await explained(subject, headers=headers)
    assert found['rule'] == 'chat'
    assert found['revision'] == 7
    await subject.router.send_request(x_prompt_parts=PARTS)
    (taken, _), *_ = subject.router.exchanges.sent
    assert found['verdict'].startswith(f'{taken} would be taken')
    verdicts = {one['upstream']: one['verdict'] for one in found['candidates']}
    assert verdicts['e3'] == 'leaving'
    assert verdicts[taken] == 'would be taken: prompt cached'


async def test_explanation_says_why_an_upstream_is_passed_over(
    subject, autojump_clock
):
    subject.router.health.note_unreachable('e1')
    found = await explained(subject)
    verdicts = {one['upstream']: one['verdict'] for one in found['candidates']}
    assert verdicts['e1'] == 'failed lately'
    assert verdicts['e2'] == 'would be taken: least loaded'


@pytest.mark.parametrize(
    ('question', 'verdict'),
    [
        ({'path': '/none/'}, 'the caller gets 404'),
        ({'headers': {'host': 'b.example'}}, 'the caller gets 404'),
        ({'customer': 'nobody'}, 'the caller gets 401'),
    ],
)
async def test_explanation_of_a_refusal_says_what_the_caller_gets(
    subject, autojump_clock, question, verdict
):
    found = await explained(subject, **question)
    assert verdict in found['verdict']
    assert found['candidates'] == []


async def test_explanation_of_a_stale_router_says_so(subject, autojump_clock):
    follow = subject.router.snapshots.settings
    subject.router.snapshots.settings = type(follow)(
        revocation_seconds=5.0, apply_seconds=2.0
    )
    subject.router.clock.suspended = 60.0
    found = await explained(subject)
    assert 'not confirmed lately' in found['verdict']


async def test_status_lists_upstreams_and_rules(subject, autojump_clock):
    await subject.router.send_request()
    members = subject.peers.members
    members.same_zone.note('127.0.0.3')
    members.note_host('sala-b', '127.0.0.4', 30.0)
    subject.peers.gossip()
    subject.router.health.note_unreachable('e2')
    status, found = await subject.call('GET', '/v1/status')
    assert status == 200
    assert found['revision'] == {'number': 7}
    assert found['cut_off_seconds'] is None
    assert [(one['id'], one['state']) for one in found['routers']] == [
        ('127.0.0.2', 'silent'),
        ('127.0.0.3', 'alive'),
        ('127.0.0.4', 'silent'),
    ]
    assert found['fleet'] == {
        'routers': 2,
        'zones': {fakes.ZONE: 2},
        'budget_parts': 0,
    }
    (pool,) = found['pools']
    standing = {one['id']: one['standing'] for one in pool['upstreams']}
    assert standing['e1'] == 'candidate'
    assert standing['e2'].startswith('avoided')
    assert standing['e3'] == 'leaving'
    assert found['rules'][0]['hits'] == 1


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/rules'),
        ('POST', '/v1/rules/apply'),
        ('POST', '/v1/rules/diff'),
    ],
)
async def test_rules_are_changed_elsewhere(
    subject, autojump_clock, method, path
):
    # an operator who tries to change the rules here must hear where they are
    # kept, rather than that there is no such page
    status, found = await subject.call(method, path)
    assert status == 409
    assert "platform's store" in found['detail']


async def test_nothing_is_shown_without_the_credential(subject, autojump_clock):
    status, _ = await subject.call('GET', '/v1/status', headers={})
    assert status == 401
