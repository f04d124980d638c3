from __future__ import annotations

import base64
import json
from urllib import parse

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import orjson
import pytest
import trio

from lavenderbend.coordination import placement
from lavenderbend.protocol import documents_yaml
from lavenderbend.transport import operator_decisions
from tests import operator_fakes

BEARER = {'authorization': f'Bearer {operator_fakes.SECRET}'}


@pytest.fixture
def fakes():
    return operator_fakes.make()


async def call(fakes, method, path, body=b'', headers=BEARER):
    client = fakes.operators.app.test_client()
    return await client.open(
        path, method=method, data=body, headers=dict(headers)
    )


async def call_json(fakes, method, path, body=b''):
    response = await call(fakes, method, path, body)
    return response.status_code, orjson.loads(await response.get_data())


def basic(password):
    text = base64.b64encode(f'ana:{password}'.encode()).decode()
    return {'authorization': f'Basic {text}'}


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'authorization': 'Bearer wrong'},
        {'authorization': 'Bearer '},
        {'authorization': 'garbage'},
        basic('wrong'),
    ],
)
@pytest.mark.parametrize(
    'path', ['/', '/v1/status', '/metrics', '/v1/rules', '/nothing']
)
async def test_wrong_credential_is_refused_on_every_path(fakes, headers, path):
    response = await call(fakes, 'GET', path, headers=headers)

    assert response.status_code == 401
    assert response.content_type == 'application/problem+json'


async def test_every_call_is_refused_without_credential_in_settings(fakes):
    # `operators.credential` is missing in the settings. The empty salted hash
    # must match no secret, not even an empty one; otherwise anybody could use
    # the interface.
    fakes.operators.settings = type(fakes.operators.settings)(
        id='r',
        availability_zone='z',
        key_value=fakes.operators.settings.key_value,
    )

    response = await call(fakes, 'GET', '/v1/status')

    assert response.status_code == 401


async def test_basic_credential_can_read_but_not_change(fakes):
    # Cross-site request forgery: while an operator has the status page open,
    # a page of another site posts a form to /v1/rules/apply. The browser adds
    # the Basic credential, and the fleet would apply an attacker's rules.
    headers = basic(operator_fakes.SECRET)

    page = await call(fakes, 'GET', '/', headers=headers)
    change = await call(
        fakes,
        'POST',
        '/v1/rules/apply?seen=1',
        operator_fakes.RULES.encode(),
        headers=headers,
    )

    assert page.status_code == 200
    assert change.status_code == 401
    assert len(fakes.configurations.revisions) == 1


async def test_status_contains_routers_upstreams_and_hits(fakes):
    fakes.rules.hits['chats'] = 7

    status, answer = await call_json(fakes, 'GET', '/v1/status')

    assert status == 200
    assert [r['id'] for r in answer['routers']] == ['router-1', 'router-2']
    assert answer['pools'][0]['mean_load'] == 5
    assert answer['pools'][0]['skew'] == pytest.approx(1.8)
    assert answer['rules'][1]['hits'] == 7
    leaving = [
        u for u in answer['pools'][0]['upstreams'] if u['id'] == 'engine-3'
    ]
    assert leaving[0]['takes_new_work'] is False
    assert leaving[0]['standing'] == 'leaving in the VM list'


async def test_status_before_any_configuration():
    fakes = operator_fakes.make(accept_rules=False)

    status, answer = await call_json(fakes, 'GET', '/v1/status')
    page = await call(fakes, 'GET', '/')

    assert status == 200
    assert answer['revision'] is None
    assert b'every request is refused' in await page.get_data()


async def test_status_reports_that_router_is_cut_off(fakes, autojump_clock):
    fakes.configurations.stale_seconds = 90.0

    _, answer = await call_json(fakes, 'GET', '/v1/status')
    page = await (await call(fakes, 'GET', '/')).get_data(as_text=True)

    assert answer['cut_off_seconds'] == 90
    assert answer['revision']['number'] == 1
    assert 'cut off for 90 s' in page


async def test_decisions_are_filtered_newest_first(fakes):
    for number in range(5):
        rule = 'chats' if number % 2 else 'alerts'
        fakes.decisions.add(operator_fakes.decision(number, rule=rule))

    _, answer = await call_json(
        fakes, 'GET', '/v1/decisions?rule=alerts&limit=2'
    )

    assert [d['id'] for d in answer] == ['decision-4', 'decision-2']


async def test_decision_contains_passed_over_candidates(fakes):
    fakes.decisions.add(operator_fakes.decision(1))

    _, answer = await call_json(fakes, 'GET', '/v1/decisions/decision-1')

    passed = answer['attempts'][0]['passed_over']
    assert passed == [{'upstream': 'engine-2', 'reason': 'over bound'}]


async def test_unknown_decision_is_404(fakes):
    status, answer = await call_json(fakes, 'GET', '/v1/decisions/none')

    assert status == 404
    assert answer['type'].endswith('decision-unknown')


@pytest.mark.parametrize('query', ['limit=x', 'limit=-1', 'limit=1e3'])
async def test_wrong_query_is_a_typed_400(fakes, query):
    status, answer = await call_json(fakes, 'GET', f'/v1/decisions?{query}')

    assert status == 400
    assert answer['type'].endswith('request-invalid')


async def test_explain_names_rule_candidates_and_sends_nothing(fakes):
    body = {'model': 'assistant', 'messages': [{'role': 'user'}]}
    question = {'customer': 'clinica', 'body': body, 'chat_key': 'c1'}

    _, answer = await call_json(
        fakes, 'POST', '/v1/explain', orjson.dumps(question)
    )

    assert answer['steps'][0] == {'rule': 'alerts', 'failed': 'method'}
    assert answer['rule'] == 'chats'
    pool = fakes.configurations.current().document.pools[0]
    assert answer['allowed_load'] == placement.allowed_load(pool, 10, 2)
    verdicts = {c['upstream']: c['verdict'] for c in answer['candidates']}
    assert verdicts['engine-2'] == 'over bound'
    assert verdicts['engine-1'].startswith('would be taken')
    assert verdicts['engine-3'] == 'leaving in the VM list'
    assert not fakes.rules.hits


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"customer": 1}', b'{"x": 1}', b'{"customer": "c"']
)
async def test_wrong_question_is_a_typed_422(fakes, body):
    status, answer = await call_json(fakes, 'POST', '/v1/explain', body)

    assert status == 422
    assert answer['faults']


async def test_apply_accepts_on_the_revision_seen(fakes):
    text = operator_fakes.RULES.replace('timeout: 2s', 'timeout: 3s')
    path = '/v1/rules/apply?seen=1&author=eva&reason=slow'

    status, answer = await call_json(fakes, 'POST', path, text.encode())

    assert status == 200
    assert (answer['number'], answer['author']) == (2, 'eva')
    assert answer['in_force'] is True


async def test_apply_lists_routers_without_the_revision(fakes):
    fakes.configurations.missing = ('router-2',)

    _, answer = await call_json(
        fakes,
        'POST',
        '/v1/rules/apply?seen=1',
        operator_fakes.RULES.encode(),
    )

    assert answer['in_force'] is False
    assert answer['missing'] == ['router-2']


async def test_concurrent_edit_gets_conflict_with_difference(fakes):
    # Two operators edit revision 1. The change accepted second must not
    # silently undo the first; the response must list what the first changed.
    text = operator_fakes.RULES.encode()
    await call_json(fakes, 'POST', '/v1/rules/apply?seen=1', text)

    status, answer = await call_json(
        fakes, 'POST', '/v1/rules/apply?seen=1', text
    )

    assert status == 409
    assert answer['newest'] == 2
    assert answer['difference'] == ['rules: alerts changed']


async def test_apply_of_a_wrong_document_accepts_nothing(fakes):
    text = operator_fakes.RULES.replace('pool: mailbox', 'pool: mailbx')

    status, answer = await call_json(
        fakes, 'POST', '/v1/rules/apply?seen=1', text.encode()
    )

    assert status == 422
    assert answer['faults'][0]['key'] == 'rules[0].then.pool'
    assert len(fakes.configurations.revisions) == 1


async def test_apply_needs_the_revision_seen(fakes):
    status, _ = await call_json(
        fakes, 'POST', '/v1/rules/apply', operator_fakes.RULES.encode()
    )

    assert status == 400


async def test_shown_rules_can_be_applied_again(fakes):
    _, answer = await call_json(fakes, 'GET', '/v1/rules')

    again = documents_yaml.parse_configuration(answer['document'], 'again')

    assert again == fakes.configurations.current().document


async def test_history_is_newest_first(fakes):
    fakes.configurations.add(fakes.configurations.current().document, 'eva')

    _, answer = await call_json(fakes, 'GET', '/v1/rules/history')

    assert [line['author'] for line in answer] == ['eva', 'ana']


async def test_diff_lists_decisions_that_would_change(fakes):
    fakes.decisions.add(operator_fakes.decision(1))
    fakes.decisions.add(operator_fakes.decision(2, model='other', rule=''))
    text = operator_fakes.RULES.replace('model: [assistant]', 'model: [other]')

    _, answer = await call_json(fakes, 'POST', '/v1/rules/diff', text.encode())

    assert answer['compared'] == 2
    rule_changes = [
        (d['old_rule'], d['new_rule']) for d in answer['differences']
    ]
    assert rule_changes == [('', 'chats'), ('chats', '')]


async def test_metrics_are_exposed(fakes):
    await call(fakes, 'GET', '/v1/status')

    response = await call(fakes, 'GET', '/metrics')

    assert b'lavenderbend_operator_calls_total' in await response.get_data()


async def test_live_stream_sends_filtered_decisions_when_finished(fakes):
    decision_filter = operator_decisions.Filter(customer='clinica')
    fakes.decisions.add(operator_fakes.decision(1))
    running = operator_fakes.decision(2, outcome='')
    fakes.decisions.add(running)
    stream = operator_decisions.stream(fakes.decisions, decision_filter)
    with trio.fail_after(10):
        assert await anext(stream) == b': open\n\n'
        fakes.decisions.add(operator_fakes.decision(3, customer='corte'))
        running.outcome = 'complete'
        event = await anext(stream)
    await stream.aclose()

    assert orjson.loads(event.partition(b'data: ')[2])['id'] == 'decision-2'


async def test_status_page_links_to_each_decision(fakes):
    fakes.decisions.add(operator_fakes.decision(1, customer='<b>x</b>'))

    page = await (await call(fakes, 'GET', '/')).get_data(as_text=True)
    decision_page = await (
        await call(fakes, 'GET', '/decisions/decision-1')
    ).get_data(as_text=True)

    assert '/decisions/decision-1' in page
    assert '<b>x</b>' not in page
    assert 'passed over' in decision_page
    assert 'over bound' in decision_page


async def test_internal_error_shows_no_traceback(fakes):
    def broken():
        raise RuntimeError('secret detail')

    fakes.configurations.in_force = broken

    status, answer = await call_json(fakes, 'GET', '/v1/status')

    assert status == 500
    assert 'secret' not in str(answer)


PATHS = st.sampled_from(
    [
        '/v1/status',
        '/v1/decisions',
        '/v1/decisions/x',
        '/v1/explain',
        '/v1/rules',
        '/v1/rules/history',
        '/v1/rules/apply',
        '/v1/rules/diff',
        '/decisions/x',
        '/',
    ]
)
QUERIES = st.dictionaries(
    st.sampled_from(['limit', 'seen', 'wait', 'customer', 'path', 'live']),
    st.text(max_size=8),
    max_size=3,
)
BODIES = st.one_of(
    st.binary(max_size=60),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: st.dictionaries(
            st.sampled_from(
                ['customer', 'body', 'path', 'headers', 'messages', 'model']
            ),
            inner | st.lists(inner, max_size=2),
            max_size=4,
        ),
        max_leaves=8,
    ).map(json.dumps),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    method=st.sampled_from(['GET', 'POST', 'PUT', 'HEAD', 'OPTIONS']),
    path=PATHS | st.text(max_size=6).map(lambda text: '/' + text),
    query=QUERIES,
    body=BODIES,
)
def test_any_call_gets_no_internal_error(method, path, query, body):
    async def run():
        fakes = operator_fakes.make()
        url = parse.quote(path) + '?' + parse.urlencode(query)
        response = await call(fakes, method, url, body)
        again = await call(fakes, 'GET', '/v1/status')
        return response.status_code, again.status_code

    status, again = trio.run(run)

    assert status < 500, (method, path, query, body)
    assert again == 200
