from __future__ import annotations

import contextlib
import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.standin import key_value
from lavenderbend.transport import key_value_etcd
from lavenderbend.transport import key_values


@pytest.fixture
def memory():
    return key_value.MemoryStore(random.Random(1))


@pytest.fixture
async def store(memory, nursery):
    url = await nursery.start(key_value.serve, '127.0.0.1', 0, memory)
    cls = key_values.KEY_VALUE_STORES.get('etcd')
    client = cls((url,), 2.0, random.Random(2))
    yield client
    await client.close()


async def test_create_read_replace_delete(store):
    assert await store.create('a/1', b'\x00one')
    assert not await store.create('a/1', b'two')
    answer = await store.read('a/', 'a0')
    item = answer.items[0]
    assert (item.key, item.value) == ('a/1', b'\x00one')
    assert await store.replace('a/1', b'two', item.mod_revision)
    assert not await store.replace('a/1', b'three', item.mod_revision)
    assert await store.delete('a/1', mod_revision=item.mod_revision) == 0
    assert await store.delete('a/', 'a0') == 1


async def test_guards_of_create(store):
    assert not await store.create('2', b'', present='1')
    assert await store.create('1', b'', absent='0')
    assert await store.create('2', b'', present='1')
    assert not await store.create('3', b'', absent='1')


async def test_lease_ends_with_its_keys(store):
    lease = await store.grant_lease(5.0)
    assert await store.create('held', b'', lease)
    assert await store.renew_lease(lease) == 5.0
    await store.revoke_lease(lease)
    assert (await store.read('held')).items == ()
    assert await store.renew_lease(lease) == 0.0


async def test_watch_yields_each_change_once_from_its_revision(store):
    await store.create('w/1', b'1')
    start = (await store.read('w/1')).items[0].mod_revision
    await store.create('w/2', b'2')
    received = []
    with trio.fail_after(5):
        watch = store.watch('w/', 'w0', start)
        async with contextlib.aclosing(watch):
            async for changes in watch:
                received += [(c.item.key, c.deleted) for c in changes]
                if len(received) == 2:
                    await store.delete('w/1')
                if len(received) == 3:
                    break
    assert received == [('w/1', False), ('w/2', False), ('w/1', True)]


async def test_watch_ends_when_its_revision_is_compacted(store, memory):
    await store.create('w/1', b'1')
    memory.compact_events()
    with pytest.raises(errors.KeyValueUnavailable):
        async for _ in store.watch('w/', 'w0', 1):
            pass


async def test_lost_answer_is_uncertain(store, memory):
    """A write takes effect but its answer is lost.

    With a definite error the caller would write again elsewhere.
    """
    memory.fault(lost_answers=1.0, give_up=0.0)
    with pytest.raises(errors.KeyValueUncertain):
        await store.create('a', b'1')
    memory.fault(lost_answers=0.0)
    assert (await store.read('a')).items[0].value == b'1'


async def test_refused_call_is_unavailable_not_uncertain(store, memory):
    memory.fault(outage=True)
    with pytest.raises(errors.KeyValueUnavailable):
        await store.create('a', b'1')


async def test_refused_connection_is_unavailable():
    sock = trio.socket.socket()
    await sock.bind(('127.0.0.1', 0))
    port = sock.getsockname()[1]
    client = key_value_etcd.EtcdStore(
        (f'http://127.0.0.1:{port}',), 1.0, random.Random(1)
    )
    with pytest.raises(errors.KeyValueUnavailable):
        await client.create('a', b'1')
    await client.close()
    sock.close()
