from __future__ import annotations

import attrs
import pytest

from lavenderbend.coordination import explain
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration
from lavenderbend.state import requests
from tests import operator_fakes

TEXT = operator_fakes.RULES + '  - {name: corte}\n'


@pytest.fixture
def membership():
    return operator_fakes.FakeMembership()


def explain_request(membership, text=TEXT, **fields):
    values = {
        'id': 'r1',
        'customer': 'clinica',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': {},
        'body': b'',
        'arrived': 0.0,
        'model': 'assistant',
        **fields,
    }
    document = documents_yaml.parse_configuration(text, 'rules')
    return explain.explain(
        configuration.Revision(3, 'd', document),
        rules.RuleSet(),
        membership,
        requests.Request(**values),
    )


async def test_rules_are_named_up_to_the_first_match(membership):
    explanation = explain_request(membership)

    assert explanation.revision == 3
    steps = [(step.rule, step.failed) for step in explanation.steps]
    assert steps == [('alerts', 'method'), ('chats', '')]
    assert explanation.rule == 'chats'


async def test_no_rule(membership):
    explanation = explain_request(membership, path='/other')

    assert explanation.verdict == explain.NO_RULE
    assert explanation.then is None
    assert not explanation.candidates


async def test_rejected(membership):
    text = TEXT.replace('then: {pool: assistant}', 'then: {reject: closed}')

    explanation = explain_request(membership, text)

    assert explanation.verdict == explain.REJECTED
    assert explanation.then.reject == 'closed'


async def test_candidates_have_loads_and_reasons(membership, autojump_clock):
    explanation = explain_request(membership)

    by_id = {c.upstream: c for c in explanation.candidates}
    assert by_id['engine-1'].verdict.startswith(explain.TAKEN)
    assert by_id['engine-2'].verdict == 'over bound'
    assert by_id['engine-3'].verdict == 'leaving in the VM list'
    assert (by_id['engine-1'].load, by_id['engine-3'].load) == (1, None)


async def test_an_engine_without_the_model_is_no_candidate(membership):
    text = TEXT.replace(
        'then: {pool: assistant}', 'then: {pool: assistant, model: other}'
    )

    explanation = explain_request(membership, text)

    verdicts = {c.verdict for c in explanation.candidates if c.load is not None}
    assert verdicts == {explain.WRONG_MODEL}
    assert explanation.verdict == explain.NO_UPSTREAM


async def test_request_to_a_full_pool_would_wait(membership):
    membership.loads = {'engine-1': 10, 'engine-2': 10}

    explanation = explain_request(membership)

    assert explanation.verdict == explain.ALL_PASSED_OVER
    verdicts = [c.verdict for c in explanation.candidates if c.load is not None]
    assert verdicts == ['at max load', 'at max load']


async def test_a_pool_without_upstreams(membership):
    membership.loads = {}

    explanation = explain_request(membership)

    assert explanation.verdict == explain.NO_UPSTREAM


async def test_explaining_changes_nothing(membership):
    rule_set = rules.RuleSet()
    document = documents_yaml.parse_configuration(TEXT, 'rules')
    revision = configuration.Revision(1, 'd', document)
    request = requests.Request(
        'r', 'clinica', 'POST', '/v1/x', {}, b'', 0.0, model='assistant'
    )

    first = explain.explain(revision, rule_set, membership, request)
    second = explain.explain(revision, rule_set, membership, request)

    assert attrs.evolve(first, candidates=()) == attrs.evolve(
        second, candidates=()
    )
    assert rule_set.hits == {}
    assert rule_set.unmatched == 0
