"""The stand-in engine."""

from __future__ import annotations

import httpx
import orjson
import trio

from lavenderbend.standin import engine as engine_app
from lavenderbend.standin import engine_cache
from lavenderbend.standin import engine_core
from lavenderbend.standin import engine_texts
from tests import path_fakes


def document(text='hola', tokens=8, **fields):
    return path_fakes.chat_body(text, max_tokens=tokens, **fields)


async def test_batch_makes_one_token_a_step_for_each_run(autojump_clock):
    engine = engine_core.Engine(
        engine_core.EngineSettings(step_seconds=0.004, max_running=2)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        runs = [
            engine.submit(f'r{index}', document(), {}, 'digest')
            for index in range(3)
        ]
        started = trio.current_time()
        while not runs[0].done:
            await runs[0].changed.park()
        # one step takes the prompt in, eight make the tokens
        steps = (trio.current_time() - started) / 0.004
        assert round(steps) == 9
        assert runs[1].done
        assert runs[2].produced == 0
        nursery.cancel_scope.cancel()


async def test_urgent_run_goes_before_earlier_ones(autojump_clock):
    engine = engine_core.Engine(engine_core.EngineSettings(max_running=1))
    async with trio.open_nursery() as nursery:
        late = engine.submit('late', document(), {'x-priority': '3'}, 'd')
        first = engine.submit('first', document(), {'x-priority': '0'}, 'd')
        nursery.start_soon(engine.run)
        while not first.done:
            await first.changed.park()
        assert late.produced == 0
        nursery.cancel_scope.cancel()


async def test_load_is_reported_late(autojump_clock):
    engine = engine_core.Engine(
        engine_core.EngineSettings(load_lag_seconds=1.0)
    )
    engine.submit('r', document(), {}, 'd')
    assert engine.report()['waiting'] == 0
    await trio.sleep(1.5)
    assert engine.report()['waiting'] == 1
    assert engine.report()['age'] == 1.0


def test_cache_holds_the_beginning_of_a_returning_chat():
    cache = engine_cache.PrefixCache(1000)
    question = {'role': 'user', 'content': 'x' * 400}
    answer = {'role': 'assistant', 'content': 'y' * 80}
    blocks = engine_cache.blocks_of([question, answer])
    cache.store('chat', blocks, 0.0)
    more = {'role': 'user', 'content': 'again'}
    longer = engine_cache.blocks_of([question, answer, more])
    assert cache.cached_tokens(longer) == sum(b.tokens for b in blocks)
    other = engine_cache.blocks_of([more, question])
    assert cache.cached_tokens(other) == 0
    assert cache.export('chat') == blocks


def test_cache_drops_what_was_used_longest_ago():
    cache = engine_cache.PrefixCache(250)
    for index in range(5):
        message = {'role': 'user', 'content': str(index) * 400}
        cache.store(f'chat{index}', engine_cache.blocks_of([message]), 0.0)
    assert cache.tokens <= 250
    assert cache.export('chat0') is None
    assert cache.export('chat4') is not None
    assert [event.kind for event in cache.events].count('evicted') == 3


def test_answer_depends_on_request_and_prompt_only():
    body = document()
    text = engine_texts.answer_text('r1', body)
    assert engine_texts.answer_text('r1', {**body, 'model': 'x'}) == text
    assert engine_texts.answer_text('r2', body) != text
    assert engine_texts.answer_text('r1', document('other')) != text
    assert len(engine_texts.answer_tokens('r1', body)) == 8


class Client:
    """Talks to one engine on loopback."""

    def __init__(self, engine, client):
        self.engine = engine
        self.client = client

    async def order(self, fencing, **fields):
        values = {'model': 'm2', 'version': '2', 'adapters': [], **fields}
        return await self.client.post(
            '/v1/orders', json={'fencing': fencing, **values}
        )


async def with_engine(step, **fields):
    engine = engine_app.Engine(
        engine_app.EngineSettings(step_seconds=0.001, **fields)
    )
    async with trio.open_nursery() as nursery:
        port = await nursery.start(engine_app.serve, path_fakes.HOST, 0, engine)
        base = f'http://{path_fakes.HOST}:{port}'
        async with httpx.AsyncClient(base_url=base) as client:
            await step(Client(engine, client))
        nursery.cancel_scope.cancel()


async def test_old_fencing_number_is_refused_where_it_is_checked():
    async def step(client):
        assert (await client.order(5)).json()['state']['model'] == 'm2'
        late = await client.order(4, model='m1')
        assert late.status_code == 409
        assert late.json() == {'fencing': 5}
        state = (await client.client.get('/v1/orders')).json()['state']
        assert state['model'] == 'm2'
        assert state['healthy']

    await with_engine(step)


async def test_old_fencing_number_is_followed_where_it_is_ignored():
    async def step(client):
        await client.order(5)
        late = await client.order(4, model='m1')
        assert late.json()['state']['model'] == 'm1'

    await with_engine(step, checks_fencing=False)


async def test_cache_moves_from_engine_to_engine():
    async def step(client):
        body = document('x' * 400)
        headers = {'x-request-id': 'r1', 'x-chat': 'abc'}
        await client.client.post(
            '/v1/chat/completions', json=body, headers=headers
        )
        exported = await client.client.get('/v1/kv-cache/abc')
        assert exported.status_code == 200
        client.engine.cache.clear()
        assert (await client.client.get('/v1/kv-cache/abc')).status_code == 404
        await client.client.put('/v1/kv-cache/abc', json=exported.json())
        again = await client.client.post(
            '/v1/chat/completions', json=body, headers=headers
        )
        usage = again.json()['usage']
        cached = usage['prompt_tokens_details']['cached_tokens']
        assert cached == usage['prompt_tokens']

    await with_engine(step)


async def test_cache_events_are_late_and_have_gaps():
    async def step(client):
        for index in range(40):
            client.engine.cache.store('c', [], float(index))
        shown = (await client.client.get('/v1/cache-events')).json()['events']
        numbers = [item['number'] for item in shown]
        assert 0 < len(numbers) < 40
        after = numbers[-2]
        rest = await client.client.get(f'/v1/cache-events?after={after}')
        assert [i['number'] for i in rest.json()['events']] == numbers[-1:]
        client.engine.cache.store('c', [], trio.current_time())
        late = (await client.client.get('/v1/cache-events')).json()['events']
        assert [item['number'] for item in late] == numbers

    await with_engine(step, event_lag_seconds=60.0, event_loss=0.3)


async def test_bad_requests_are_refused():
    async def step(client):
        for path in ('/v1/chat/completions', '/v1/orders', '/standin/faults'):
            for body in (b'', b'[]', b'{}', b'{"kind": "none"}'):
                answer = await client.client.post(path, content=body)
                assert answer.status_code == 400, (path, body)
        assert (await client.client.get('/none')).status_code == 404

    await with_engine(step)


async def test_crash_loses_all_but_the_record_of_runs():
    async def step(client):
        before = client.engine.instance
        fault = orjson.dumps({'kind': 'crash'})
        client.engine.submit('r1', document(), {}, 'd')
        await client.client.post('/standin/faults', content=fault)
        runs = (await client.client.get('/standin/runs')).json()['runs']
        assert client.engine.instance != before
        assert [item['result'] for item in runs] == ['crashed']
        assert runs[0]['instance'] == before

    await with_engine(step)
