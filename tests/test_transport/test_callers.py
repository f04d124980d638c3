"""The callers' interface: credentials, errors, limits and bad input."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import orjson
import trio

from lavenderbend import errors
from lavenderbend.protocol import http_limits
from lavenderbend.transport import caller_credentials
from tests import path_fakes


async def test_wrong_credential_is_rejected():
    async with path_fakes.running() as path:
        for value in ('Bearer wrong', 'Basic x', 'Bearer', 'Bearer ,', ''):
            response = await path.client.post(
                path_fakes.CHAT_PATH,
                json=path_fakes.chat_body(),
                headers={'authorization': value},
            )
            assert response.status_code == 401
            assert response.json()['outcome'] == 'not-run'
            assert response.headers['www-authenticate'] == 'Bearer'
    assert path.admission.permit_requests == []


async def test_credential_never_reaches_an_upstream(monkeypatch):
    seen = []
    async with path_fakes.running() as path:
        service = path.services[0]
        route = service.route

        async def spy(exchange, body):
            seen.append(dict(exchange.headers))
            await route(exchange, body)

        monkeypatch.setattr(service, 'route', spy)
        forged = {'x-request-id': 'forged', 'x-resume-offset': '1'}
        await path.client.get('/alerts/a', headers=forged)
    assert 'authorization' not in seen[0]
    assert seen[0]['x-request-id'] != 'forged'
    assert 'x-resume-offset' not in seen[0]


async def test_changed_credentials_apply_with_the_next_revision():
    # After an operator removes a leaked credential, the cache of checked
    # credentials must not accept it any longer.
    credentials = caller_credentials.Credentials()
    configurations = path_fakes.FakeConfigurations(
        path_fakes.make_configuration()
    )
    header = f'Bearer {path_fakes.CREDENTIAL}'
    first = configurations.current()
    assert credentials.customer(first, header) == 'corte'
    empty = path_fakes.configuration.Configuration()
    second = path_fakes.configuration.Revision(2, 'other', empty)
    try:
        credentials.customer(second, header)
    except errors.NotAuthenticated:
        return
    raise AssertionError('the old credential was accepted')


async def test_problem_names_request_and_decision():
    async with path_fakes.running() as path:
        response = await path.client.get('/closed/door')
    problem = response.json()
    assert response.status_code == 403
    assert response.headers['content-type'] == 'application/problem+json'
    assert problem['type'] == 'urn:lavenderbend:problem:rejected-by-rule'
    assert problem['detail'] == 'not offered'
    assert problem['outcome'] == 'not-run'
    decision = path.decisions.get(problem['decision_id'])
    assert decision.rule == 'closed'
    assert response.headers['x-request-id'] == problem['request_id']


async def test_large_body_is_refused_before_it_is_read():
    limits = http_limits.HttpLimits(body_bytes=1000)
    async with path_fakes.running(limits=limits) as path:
        response = await path.client.post(
            path_fakes.CHAT_PATH, content=b'x' * 5000
        )
        chunked = await path.client.post(path_fakes.CHAT_PATH, content=chunks())
    assert response.status_code == chunked.status_code == 413
    assert response.json()['outcome'] == 'not-run'


async def chunks():
    for _ in range(5):
        yield b'x' * 1000


async def test_body_that_does_not_arrive_is_refused():
    # A caller states a length and sends nothing: without a timeout it would
    # occupy a connection and its task forever.
    limits = http_limits.HttpLimits(body_seconds=0.1)
    async with path_fakes.running(limits=limits) as path:
        stream = await trio.open_tcp_stream(path_fakes.HOST, path.port)
        head = (
            f'POST {path_fakes.CHAT_PATH} HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {path_fakes.CREDENTIAL}\r\n'
            'content-length: 10\r\n\r\n'
        )
        await stream.send_all(head.encode())
        with trio.fail_after(30):
            data = await stream.receive_some()
    assert data.startswith(b'HTTP/1.1 400')


async def test_readiness_fails_without_a_configuration_and_at_a_stop():
    async with path_fakes.running() as path:
        ready = await path.client.get('/readyz')
        document, path.app.configurations.document = (
            path.app.configurations.document,
            None,
        )
        unready = await path.client.get('/readyz')
        refused = await path.client.get('/alerts/a')
        path.app.configurations.document = document
        path.app.begin_stop()
        stopping = await path.client.get('/readyz')
        served = await path.client.get('/alerts/a')
        health = await path.client.get('/healthz')
    assert ready.status_code == health.status_code == 200
    assert unready.status_code == stopping.status_code == 503
    assert refused.status_code == 503
    assert refused.json()['outcome'] == 'not-run'
    assert served.status_code == 200
    assert served.headers['connection'] == 'close'


async def test_fault_of_the_router_shows_no_traceback(monkeypatch):
    async with path_fakes.running() as path:

        async def fail(request):
            raise KeyError('secret inside')

        monkeypatch.setattr(path.dispatcher, 'dispatch', fail)
        response = await path.client.get('/alerts/a')
        monkeypatch.undo()
        again = await path.client.get('/alerts/a')
    assert response.status_code == 500
    assert response.json()['outcome'] == 'unknown'
    assert 'secret' not in response.text
    assert 'Traceback' not in response.text
    assert again.status_code == 200


async def test_disconnect_of_the_caller_cancels_the_upstream():
    # A caller closes its connection in the middle of a long answer. The
    # engine must stop working on it, and the permit must be released.
    slow = {'step_seconds': 0.01}
    async with path_fakes.running(engine_kwargs=slow) as path:
        body = path_fakes.chat_body(stream=True, max_tokens=2000)
        async with path.client.stream(
            'POST', path_fakes.CHAT_PATH, json=body
        ) as response:
            async for _ in response.aiter_raw():
                break
        with trio.fail_after(30):
            await path.admission.wait_all_released()
        record = path.engines[0].log.records[0]
        await path_fakes.until(lambda: record.result)
    assert record.result == 'cancelled'
    assert path.last_decision().error == 'CallerGone'


async def test_disconnect_as_the_answer_begins_releases_the_permit(
    monkeypatch,
):
    # A caller closes its connection in the turn of the event loop in which its
    # answer begins: the request is cancelled after the dispatcher returned the
    # answer and before the body that closes it is entered. Without a further
    # close, the permit was never released and the engine never stopped.
    async with path_fakes.running() as path:
        answer_begun = trio.Event()
        dispatch = path.dispatcher.dispatch

        async def dispatch_during_disconnect(request):
            answer = await dispatch(request)
            answer_begun.set()
            # the rest of the turn: the cancellation is pending, not delivered
            with trio.CancelScope(shield=True) as scope:
                while not cancelled_outside(scope):  # noqa: ASYNC110
                    await trio.sleep(0.001)
            return answer

        monkeypatch.setattr(
            path.dispatcher, 'dispatch', dispatch_during_disconnect
        )
        stream = await trio.open_tcp_stream(path_fakes.HOST, path.port)
        await stream.send_all(chat_request(stream=True, max_tokens=2000))
        await answer_begun.wait()
        await stream.aclose()
        with trio.move_on_after(10):
            await path.admission.wait_all_released()
    assert path.admission.results == ['CallerGone']
    assert path.dispatcher.in_progress == 0


def cancelled_outside(scope):
    """Returns whether a cancellation is pending outside of a shield."""
    scope.shield = False
    cancelled = trio.current_effective_deadline() == float('-inf')
    scope.shield = True
    return cancelled


def chat_request(**fields):
    """Returns the bytes of a chat request."""
    body = orjson.dumps(path_fakes.chat_body(**fields))
    head = (
        f'POST {path_fakes.CHAT_PATH} HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {path_fakes.CREDENTIAL}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**60), 2**60)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['model', 'messages', 'role', 'content', 'stream', 'adapter']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
HEADER_VALUES = strategies.binary(max_size=40)
PATHS = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=126), max_size=30
)


@hypothesis.settings(
    max_examples=8,
    derandomize=True,
    deadline=None,
    database=None,
    # shrinking would run the servers hundreds of times
    phases=(hypothesis.Phase.generate,),
)
@hypothesis.given(
    bodies=strategies.lists(
        JSON.map(orjson.dumps) | strategies.binary(max_size=60),
        min_size=10,
        max_size=10,
    ),
    values=strategies.lists(HEADER_VALUES, min_size=10, max_size=10),
    paths=strategies.lists(PATHS, min_size=10, max_size=10),
)
def test_no_input_stops_the_router(bodies, values, paths):
    # Arbitrary bodies, header values and paths get an HTTP answer or a closed
    # connection and expose no internal details, and a valid request after
    # them is served.
    trio.run(send_bad_input, bodies, values, paths)


async def send_bad_input(bodies, values, paths):
    limits = http_limits.HttpLimits(body_seconds=1.0, idle_seconds=1.0)
    async with path_fakes.running(engines=1, limits=limits) as path:
        for body, value, target in zip(bodies, values, paths, strict=True):
            await send_raw(path, path_fakes.CHAT_PATH, b'', body)
            line = b'idempotency-key: ' + value + b'\r\n'
            await send_raw(path, '/replies', line, body)
            await send_raw(path, '/' + target, b'x-chat-id: ' + value, body)
        good = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert good.status_code == 200
    assert not path.admission.open


async def send_raw(path, target, line, body):
    stream = await trio.open_tcp_stream(path_fakes.HOST, path.port)
    head = (
        f'POST {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
        f'authorization: Bearer {path_fakes.CREDENTIAL}\r\n'
        f'content-length: {len(body)}\r\n'
    )
    ending = b'\r\n' if not line or line.endswith(b'\r\n') else b'\r\n\r\n'
    data = b''
    async with stream:
        with trio.fail_after(30):
            try:
                await stream.send_all(head.encode() + line + ending + body)
                async for part in stream:
                    data += part
            except trio.BrokenResourceError:
                return
    assert b'Traceback' not in data
    assert b'internal-error' not in data
    assert data == b'' or data.startswith(b'HTTP/1.1 ')
