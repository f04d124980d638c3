"""The operators' interface of a forwarding router, over fakes."""

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
PROMPT_PARTS = 'a1:100,b2:6000,c3:500'


class Subject:
    """A forwarding router with its operators' interface."""

    def __init__(self, steps, rules=(IDEMPOTENT,)):
        exchanges = fakes.Exchanges(e1=(), e2=())
        exchanges.steps = {'e1': steps, 'e2': steps}
        table = forwarding.ForwardingTable(
            7,
            rules,
            (forwarding.ForwardPool('chat'),),
            (forwarding.ForwardCustomer('corte', (fakes.KEY,), 1),),
        )
        upstreams = [
            fakes.upstream('e1'),
            fakes.upstream('e2', zone='sala-b'),
            fakes.upstream('e3', leaving=True),
        ]
        self.router = fakes.Router(
            fakes.snapshot(1, table, *upstreams), exchanges
        )
        self.decisions = decisions.DecisionStore(10)
        self.router.forwarder.decisions = self.decisions
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
            self.decisions,
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
    status, body = await subject.call('POST', '/v1/explain', document)
    assert status == 200
    return body


async def test_decision_records_result_of_each_attempt(autojump_clock):
    # A slow answer: the first upstream closed the connection and the second
    # one answered. The decision must contain both attempts, with the reason of
    # each choice and the upstreams that were passed over.
    subject = Subject([fakes.LOST_ANSWER, fakes.reply(delay=0.2)])
    await subject.router.send_request(x_request_id='slow-1')
    status, body = await subject.call('GET', '/v1/decisions/slow-1')
    assert status == 200
    first, second = body['attempts']
    assert {first['upstream'], second['upstream']} == {'e1', 'e2'}
    assert first['result'] == 'UpstreamLost'
    assert first['first_byte'] is None
    assert second['result'] == 'complete'
    assert second['first_byte'] == pytest.approx(0.2)
    assert second['passed_over'] == [
        {'upstream': first['upstream'], 'reason': 'had the request'}
    ]
    assert (body['rule'], body['pool'], body['revision']) == (
        'chat',
        'chat',
        7,
    )
    assert body['outcome'] == 'complete'


async def test_decision_never_shows_a_credential(subject, autojump_clock):
    await subject.router.send_request(x_request_id='r-1', x_more='kept')
    _, body = await subject.call('GET', '/v1/decisions/r-1')
    assert fakes.KEY not in orjson.dumps(body).decode()
    assert body['headers']['x-more'] == 'kept'


@pytest.mark.parametrize(
    ('fields', 'outcome', 'error'),
    [
        ({}, 'complete', ''),
        ({'path': '/none/'}, 'not-run', 'no-rule-matched'),
        ({'key': 'wrong'}, 'not-run', 'not-authenticated'),
    ],
)
async def test_decisions_are_filtered_by_outcome(
    subject, autojump_clock, fields, outcome, error
):
    await subject.router.send_request(x_request_id='r-1', **fields)
    _, body = await subject.call('GET', f'/v1/decisions?outcome={outcome}')
    assert [decision['id'] for decision in body] == ['r-1']
    assert body[0]['error'] == error


async def test_lost_answer_of_non_idempotent_request_is_unknown(
    autojump_clock,
):
    not_idempotent = fakes.rule(attempts=2)
    subject = Subject([fakes.LOST_ANSWER], (not_idempotent,))
    await subject.router.send_request(x_request_id='r-1')
    _, body = await subject.call('GET', '/v1/decisions/r-1')
    assert body['outcome'] == 'unknown'
    assert len(body['attempts']) == 1


async def test_explanation_names_the_upstream_chosen_next(
    subject, autojump_clock
):
    headers = {'host': 'a.example', 'x-prompt-parts': PROMPT_PARTS}
    body = await explained(subject, headers=headers)
    assert body['rule'] == 'chat'
    assert body['revision'] == 7
    await subject.router.send_request(x_prompt_parts=PROMPT_PARTS)
    (chosen, _), *_ = subject.router.exchanges.sent
    assert body['verdict'].startswith(f'{chosen} would be taken')
    verdicts = {
        candidate['upstream']: candidate['verdict']
        for candidate in body['candidates']
    }
    assert verdicts['e3'] == 'leaving'
    assert verdicts[chosen] == 'would be taken: prompt cached'


async def test_explanation_gives_reason_for_upstream_passed_over(
    subject, autojump_clock
):
    subject.router.health.note_unreachable('e1')
    body = await explained(subject)
    verdicts = {
        candidate['upstream']: candidate['verdict']
        for candidate in body['candidates']
    }
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
async def test_explanation_of_a_refusal_contains_the_status(
    subject, autojump_clock, question, verdict
):
    body = await explained(subject, **question)
    assert verdict in body['verdict']
    assert body['candidates'] == []


async def test_explanation_reports_stale_configuration(subject, autojump_clock):
    snapshot_settings = subject.router.snapshots.settings
    subject.router.snapshots.settings = type(snapshot_settings)(
        revocation_seconds=5.0, apply_seconds=2.0
    )
    subject.router.clock.suspended = 60.0
    body = await explained(subject)
    assert 'not confirmed lately' in body['verdict']


async def test_status_lists_upstreams_and_rules(subject, autojump_clock):
    await subject.router.send_request()
    members = subject.peers.members
    members.same_zone.note('127.0.0.3')
    members.note_host('sala-b', '127.0.0.4', 30.0)
    subject.peers.gossip()
    subject.router.health.note_unreachable('e2')
    status, body = await subject.call('GET', '/v1/status')
    assert status == 200
    assert body['revision'] == {'number': 7}
    assert body['cut_off_seconds'] is None
    assert [(router['id'], router['state']) for router in body['routers']] == [
        ('127.0.0.2', 'silent'),
        ('127.0.0.3', 'alive'),
        ('127.0.0.4', 'silent'),
    ]
    assert body['fleet'] == {
        'routers': 2,
        'zones': {fakes.ZONE: 2},
        'budget_parts': 0,
    }
    (pool,) = body['pools']
    standing = {
        upstream['id']: upstream['standing'] for upstream in pool['upstreams']
    }
    assert standing['e1'] == 'candidate'
    assert standing['e2'].startswith('avoided')
    assert standing['e3'] == 'leaving'
    assert body['rules'][0]['hits'] == 1


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/rules'),
        ('POST', '/v1/rules/apply'),
        ('POST', '/v1/rules/diff'),
    ],
)
async def test_calls_of_rules_are_refused_naming_the_store(
    subject, autojump_clock, method, path
):
    # The refusal must name the place where the rules are changed; a 404 would
    # not help an operator.
    status, body = await subject.call(method, path)
    assert status == 409
    assert "platform's store" in body['detail']


async def test_status_without_credential_is_refused(subject, autojump_clock):
    status, _ = await subject.call('GET', '/v1/status', headers={})
    assert status == 401
