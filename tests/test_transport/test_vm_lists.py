from __future__ import annotations

import attrs
import httpx
import pytest
import trio

from lavenderbend.standin import vm_list
from lavenderbend.state import upstreams
from lavenderbend.transport import vm_list_http
from lavenderbend.transport import vm_lists

ENGINE = upstreams.Vm(
    'engine-1',
    '127.0.0.1',
    8000,
    'sala-a',
    'assistant',
    upstreams.UpstreamKind.ENGINE,
    region='santiago',
)


@pytest.fixture
async def served(nursery):
    standin = vm_list.VmListStandIn([ENGINE])
    port = await nursery.start(vm_list.serve, '127.0.0.1', 0, standin)
    return standin, f'http://127.0.0.1:{port}/vms'


async def test_list_is_read_as_served(served):
    _, url = served

    assert await vm_list_http.HttpVmList(url).fetch() == (ENGINE,)


async def test_unchanged_list_is_not_sent_again(served):
    standin, url = served
    reader = vm_list_http.HttpVmList(url)
    first = await reader.fetch()
    size = reader.bytes_received
    assert await reader.fetch() is first
    assert reader.bytes_received == size

    standin.set_state('engine-1', upstreams.VmState.LEAVING)
    read = await reader.fetch()

    assert read[0].state is upstreams.VmState.LEAVING


async def test_changes_are_visible_after_the_lag(autojump_clock):
    standin = vm_list.VmListStandIn([ENGINE], lag=10.0)
    standin.remove('engine-1')

    await trio.sleep(9.9)
    assert standin.vms() == (ENGINE,)
    await trio.sleep(0.2)
    assert standin.vms() == ()


async def test_stand_in_list_is_changed_over_http(served):
    _, url = served
    entry = vm_list_http.vm_to_json(attrs.evolve(ENGINE, id='engine-2'))
    async with httpx.AsyncClient() as client:
        assert (
            await client.put(f'{url}/engine-2', json=entry)
        ).status_code == 204
        assert (
            await client.put(f'{url}/engine-3', json={'port': 1})
        ).status_code == 400
        assert (await client.delete(f'{url}/engine-1')).status_code == 204

    read = await vm_list_http.HttpVmList(url).fetch()

    assert [vm.id for vm in read] == ['engine-2']


async def test_unavailable_list_is_an_os_error(served):
    standin, url = served
    standin.down = True
    reader = vm_list_http.HttpVmList(url)
    with pytest.raises(OSError, match='503'):
        await reader.fetch()

    unreachable = vm_list_http.HttpVmList('http://127.0.0.1:1/vms')
    with pytest.raises(OSError, match='ConnectError'):
        await unreachable.fetch()


@pytest.mark.parametrize(
    'change',
    [
        {'id': ''},
        {'id': 7},
        {'port': 0},
        {'port': '80'},
        {'port': True},
        {'kind': 'balloon'},
        {'state': 'asleep'},
        {'host': None},
    ],
)
async def test_invalid_entries_are_refused(change):
    entry = {**vm_list_http.vm_to_json(ENGINE), **change}

    with pytest.raises((TypeError, ValueError)):
        vm_list_http.vm_from_json(entry)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"vms": 3}', b'{"vms": [3]}'])
async def test_invalid_body_is_an_os_error(body):
    transport = httpx.MockTransport(lambda _: httpx.Response(200, content=body))
    reader = vm_list_http.HttpVmList('http://list/vms')
    reader.client = httpx.AsyncClient(transport=transport)

    with pytest.raises(OSError, match='http://list/vms'):
        await reader.fetch()


async def test_static_list_is_registered():
    assert await vm_lists.VM_LISTS.get('static')([ENGINE]).fetch() == (ENGINE,)
    assert vm_lists.VM_LISTS.get('http') is vm_list_http.HttpVmList
