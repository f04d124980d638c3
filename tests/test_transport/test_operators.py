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
def parts():
    return operator_fakes.make()


async def call(parts, method, path, body=b'', headers=BEARER):
    client = parts.operators.app.test_client()
    return await client.open(
        path, method=method, data=body, headers=dict(headers)
    )


async def json_of(parts, method, path, body=b''):
    response = await call(parts, method, path, body)
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
async def test_wrong_credential_reaches_nothing(parts, headers, path):
    response = await call(parts, 'GET', path, headers=headers)

    assert response.status_code == 401
    assert response.content_type == 'application/problem+json'


async def test_without_a_credential_in_the_settings_nothing_is_let_in(parts):
    # story: an operator leaves `operators.credential` out. An empty salted
    # hash must not match an empty or any other secret, else the interface
    # would stand open.
    parts.operators.settings = type(parts.operators.settings)(
        id='r',
        availability_zone='z',
        key_value=parts.operators.settings.key_value,
    )

    response = await call(parts, 'GET', '/v1/status')

    assert response.status_code == 401


async def test_credential_of_a_browser_reads_but_does_not_change(parts):
    # story: an operator has the status page open. A page of somebody else
    # posts a form to /v1/rules/apply; the browser adds the Basic credential
    # by itself, and the fleet would run a stranger's rules.
    headers = basic(operator_fakes.SECRET)

    page = await call(parts, 'GET', '/', headers=headers)
    change = await call(
        parts,
        'POST',
        '/v1/rules/apply?seen=1',
        operator_fakes.RULES.encode(),
        headers=headers,
    )

    assert page.status_code == 200
    assert change.status_code == 401
    assert len(parts.configurations.revisions) == 1


async def test_status_gives_routers_upstreams_and_hits(parts):
    parts.rules.hits['chats'] = 7

    status, found = await json_of(parts, 'GET', '/v1/status')

    assert status == 200
    assert [r['id'] for r in found['routers']] == ['router-1', 'router-2']
    assert found['pools'][0]['mean_load'] == 5
    assert found['pools'][0]['skew'] == pytest.approx(1.8)
    assert found['rules'][1]['hits'] == 7
    out = [u for u in found['pools'][0]['upstreams'] if u['id'] == 'engine-3']
    assert out[0]['takes_new_work'] is False
    assert out[0]['standing'] == 'leaving in the VM list'


async def test_status_before_any_configuration():
    parts = operator_fakes.make(accept_rules=False)

    status, found = await json_of(parts, 'GET', '/v1/status')
    page = await call(parts, 'GET', '/')

    assert status == 200
    assert found['revision'] is None
    assert b'every request is refused' in await page.get_data()


async def test_a_router_that_is_cut_off_says_so(parts, autojump_clock):
    parts.configurations.stale_since = trio.current_time()
    await trio.sleep(90)

    _, found = await json_of(parts, 'GET', '/v1/status')
    page = await (await call(parts, 'GET', '/')).get_data(as_text=True)

    assert found['cut_off_seconds'] == 90
    assert found['revision']['number'] == 1
    assert 'cut off for 90 s' in page


async def test_decisions_are_filtered_newest_first(parts):
    for number in range(5):
        rule = 'chats' if number % 2 else 'alerts'
        parts.decisions.add(operator_fakes.decision(number, rule=rule))

    _, found = await json_of(parts, 'GET', '/v1/decisions?rule=alerts&limit=2')

    assert [d['id'] for d in found] == ['decision-4', 'decision-2']


async def test_decision_is_read_back_down_to_the_candidates(parts):
    parts.decisions.add(operator_fakes.decision(1))

    _, found = await json_of(parts, 'GET', '/v1/decisions/decision-1')

    passed = found['attempts'][0]['passed_over']
    assert passed == [{'upstream': 'engine-2', 'reason': 'over bound'}]


async def test_unknown_decision_is_404(parts):
    status, found = await json_of(parts, 'GET', '/v1/decisions/none')

    assert status == 404
    assert found['type'].endswith('decision-unknown')


@pytest.mark.parametrize('query', ['limit=x', 'limit=-1', 'limit=1e3'])
async def test_wrong_query_is_a_typed_400(parts, query):
    status, found = await json_of(parts, 'GET', f'/v1/decisions?{query}')

    assert status == 400
    assert found['type'].endswith('request-invalid')


async def test_explain_names_rule_candidates_and_sends_nothing(parts):
    body = {'model': 'assistant', 'messages': [{'role': 'user'}]}
    question = {'customer': 'clinica', 'body': body, 'chat_key': 'c1'}

    _, found = await json_of(
        parts, 'POST', '/v1/explain', orjson.dumps(question)
    )

    assert found['steps'][0] == {'rule': 'alerts', 'failed': 'method'}
    assert found['rule'] == 'chats'
    pool = parts.configurations.current().document.pools[0]
    assert found['allowed_load'] == placement.allowed_load(pool, 10, 2)
    verdicts = {c['upstream']: c['verdict'] for c in found['candidates']}
    assert verdicts['engine-2'] == 'over bound'
    assert verdicts['engine-1'].startswith('would be taken')
    assert verdicts['engine-3'] == 'leaving in the VM list'
    assert not parts.rules.hits


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"customer": 1}', b'{"x": 1}', b'{"customer": "c"']
)
async def test_wrong_question_is_a_typed_422(parts, body):
    status, found = await json_of(parts, 'POST', '/v1/explain', body)

    assert status == 422
    assert found['faults']


async def test_apply_accepts_on_the_revision_seen(parts):
    text = operator_fakes.RULES.replace('timeout: 2s', 'timeout: 3s')
    path = '/v1/rules/apply?seen=1&author=eva&reason=slow'

    status, found = await json_of(parts, 'POST', path, text.encode())

    assert status == 200
    assert (found['number'], found['author']) == (2, 'eva')
    assert found['in_force'] is True


async def test_apply_names_the_routers_that_lag(parts):
    parts.configurations.missing = ('router-2',)

    _, found = await json_of(
        parts,
        'POST',
        '/v1/rules/apply?seen=1',
        operator_fakes.RULES.encode(),
    )

    assert found['in_force'] is False
    assert found['missing'] == ['router-2']


async def test_loser_of_a_race_gets_a_conflict_with_the_difference(parts):
    # story: Ana and Eva both edit revision 1. Ana's change is accepted
    # first; Eva's must not undo it unseen, and she needs to know what Ana
    # changed.
    text = operator_fakes.RULES.encode()
    await json_of(parts, 'POST', '/v1/rules/apply?seen=1', text)

    status, found = await json_of(parts, 'POST', '/v1/rules/apply?seen=1', text)

    assert status == 409
    assert found['newest'] == 2
    assert found['difference'] == ['rules: alerts changed']


async def test_apply_of_a_wrong_document_accepts_nothing(parts):
    text = operator_fakes.RULES.replace('pool: mailbox', 'pool: mailbx')

    status, found = await json_of(
        parts, 'POST', '/v1/rules/apply?seen=1', text.encode()
    )

    assert status == 422
    assert found['faults'][0]['key'] == 'rules[0].then.pool'
    assert len(parts.configurations.revisions) == 1


async def test_apply_needs_the_revision_seen(parts):
    status, _ = await json_of(
        parts, 'POST', '/v1/rules/apply', operator_fakes.RULES.encode()
    )

    assert status == 400


async def test_shown_rules_can_be_applied_again(parts):
    _, found = await json_of(parts, 'GET', '/v1/rules')

    again = documents_yaml.parse_configuration(found['document'], 'again')

    assert again == parts.configurations.current().document


async def test_history_is_newest_first(parts):
    parts.configurations.add(parts.configurations.current().document, 'eva')

    _, found = await json_of(parts, 'GET', '/v1/rules/history')

    assert [line['author'] for line in found] == ['eva', 'ana']


async def test_diff_names_what_would_go_another_way(parts):
    parts.decisions.add(operator_fakes.decision(1))
    parts.decisions.add(operator_fakes.decision(2, model='other', rule=''))
    text = operator_fakes.RULES.replace('model: [assistant]', 'model: [other]')

    _, found = await json_of(parts, 'POST', '/v1/rules/diff', text.encode())

    assert found['compared'] == 2
    ways = [(d['old_rule'], d['new_rule']) for d in found['differences']]
    assert ways == [('', 'chats'), ('chats', '')]


async def test_metrics_are_exposed(parts):
    await call(parts, 'GET', '/v1/status')

    response = await call(parts, 'GET', '/metrics')

    assert b'lavenderbend_operator_calls_total' in await response.get_data()


async def test_live_stream_gives_filtered_decisions_as_they_end(parts):
    wanted = operator_decisions.Filter(customer='clinica')
    parts.decisions.add(operator_fakes.decision(1))
    running = operator_fakes.decision(2, outcome='')
    parts.decisions.add(running)
    stream = operator_decisions.stream(parts.decisions, wanted)
    with trio.fail_after(10):
        assert await anext(stream) == b': open\n\n'
        parts.decisions.add(operator_fakes.decision(3, customer='corte'))
        running.outcome = 'complete'
        event = await anext(stream)
    await stream.aclose()

    assert orjson.loads(event.partition(b'data: ')[2])['id'] == 'decision-2'


async def test_status_page_links_to_each_decision(parts):
    parts.decisions.add(operator_fakes.decision(1, customer='<b>x</b>'))

    page = await (await call(parts, 'GET', '/')).get_data(as_text=True)
    one = await (await call(parts, 'GET', '/decisions/decision-1')).get_data(
        as_text=True
    )

    assert '/decisions/decision-1' in page
    assert '<b>x</b>' not in page
    assert 'passed over' in one
    assert 'over bound' in one


async def test_internal_error_shows_no_traceback(parts):
    def broken():
        raise RuntimeError('secret detail')

    parts.configurations.in_force = broken

    status, found = await json_of(parts, 'GET', '/v1/status')

    assert status == 500
    assert 'secret' not in str(found)


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
def test_any_call_is_answered_without_an_internal_error(
    method, path, query, body
):
    async def run():
        parts = operator_fakes.make()
        url = parse.quote(path) + '?' + parse.urlencode(query)
        response = await call(parts, method, url, body)
        again = await call(parts, 'GET', '/v1/status')
        return response.status_code, again.status_code

    status, again = trio.run(run)

    assert status < 500, (method, path, query, body)
    assert again == 200
