"""Claims, configuration and orders over loopback sockets."""

from __future__ import annotations

import random

import httpx
import pytest
import trio

from bench.agreed import order_rolls
from lavenderbend import errors
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.standin import engine as engine_server
from lavenderbend.standin import engine_core
from lavenderbend.standin import key_value
from lavenderbend.standin import weight_store
from lavenderbend.state import claims
from lavenderbend.state import configuration
from lavenderbend.state import orders
from lavenderbend.state import upstreams
from lavenderbend.transport import key_value_etcd
from lavenderbend.transport import orders_http
from tests.test_coordination import agreed_fakes as fakes

HOST = '127.0.0.1'


@pytest.fixture
def memory():
    return key_value.MemoryStore(random.Random(1))


@pytest.fixture
async def store(memory, nursery):
    url = await nursery.start(key_value.serve, HOST, 0, memory)
    client = key_value_etcd.EtcdStore((url,), 2.0, random.Random(2))
    yield client
    await client.close()


@pytest.fixture
async def orderer():
    client = orders_http.HttpOrderer()
    yield client
    await client.close()


async def start_engine(nursery, checks):
    engine = engine_core.Engine(
        engine_core.EngineSettings(
            name='e', models=('m',), checks_fencing=checks
        )
    )
    port = await nursery.start(engine_server.serve, HOST, 0, engine)
    vm = upstreams.Vm('e', HOST, port, 'z', 's', upstreams.UpstreamKind.ENGINE)
    return engine, vm


async def test_claims_over_the_gateway(store, memory, nursery):
    """Claims stay correct when replies of the HTTP gateway are lost."""
    network = fakes.Network(latency=0.0)
    router = claims_module.Claims(
        'a',
        store,
        fakes.Link('a', network),
        fakes.Membership(['a']),
        random.Random(1),
    )
    nursery.start_soon(router.run)
    memory.fault(lost_answers=0.3, give_up=0.01)
    deadline = trio.current_time() + 60
    for number in range(30):
        state = await router.claim('c', f'k{number}', b'b', deadline)
        assert isinstance(state, claims.Claimed)
        await router.record(state.token, errors.Outcome.COMPLETE, 200)
    await router.drain()
    memory.fault(lost_answers=0.0)
    for number in range(30):
        state = await router.claim('c', f'k{number}', b'b', deadline)
        assert state == claims.Recorded(errors.Outcome.COMPLETE, 200)


async def test_large_configuration_over_the_gateway(store):
    """A configuration with many rules passes the gateway unchanged."""
    log = configuration_log.ConfigurationLog(store)
    document = fakes.document(*[f'rule {n}' for n in range(3000)])
    await log.accept(document, 0, 'ana', 'start')
    reader = configuration_log.ConfigurationLog(store)
    assert (await reader.read(1)).document == document


@pytest.mark.parametrize('checks', [True, False])
async def test_controller_brings_an_engine_to_its_version(
    store, orderer, nursery, checks
):
    engine, vm = await start_engine(nursery, checks)
    configurations = order_rolls.Configurations()
    configurations.revision = configuration.Revision(
        1,
        '',
        configuration.Configuration(
            pools=(configuration.Pool('p', 's', checks_fencing=checks),),
            orders=(configuration.Order('p', 'm', '2', 1, ('a',)),),
        ),
    )
    policy = orders_module.OrderPolicy(
        engine_read_seconds=0.0,
        order_timeout=0.5,
        margin=0.1,
        interval=0.05,
    )
    controller = orders_module.OrderController(
        'r',
        store,
        fakes.Membership(['r'], [vm]),
        configurations,
        orderer,
        random.Random(1),
        policy=policy,
    )
    nursery.start_soon(controller.run)
    target = orders.Target('m', '2', ('a',))
    for _ in range(600):
        state = await orderer.read(vm, 1.0)
        if state.target == target:
            break
        await trio.sleep(0.05)
    assert state.target == target
    assert engine.orders.fencing > 0


async def test_engine_refuses_an_old_fencing_number(orderer, nursery):
    _, vm = await start_engine(nursery, True)
    target = orders.Target('m', '1')
    await orderer.send(vm, orders.EngineOrder(7, target), 5.0, lambda: None)
    with pytest.raises(errors.OrderRefused) as raised:
        await orderer.send(vm, orders.EngineOrder(6, target), 5.0, lambda: None)
    assert raised.value.highest == 7


async def test_order_is_not_sent_after_its_lease_expired(orderer, nursery):
    """The lease is checked after the headers and before the body is sent."""
    engine, vm = await start_engine(nursery, False)

    def lost():
        raise errors.LeaseLost('too late')

    order = orders.EngineOrder(7, orders.Target('m', '2'))
    with pytest.raises(errors.LeaseLost):
        await orderer.send(vm, order, 5.0, lost)
    assert engine.orders.fencing == 0
    assert (await orderer.read(vm, 5.0)).target.version != '2'


async def test_stopped_engine_is_unreachable(orderer):
    sock = trio.socket.socket()
    await sock.bind((HOST, 0))
    port = sock.getsockname()[1]
    vm = upstreams.Vm('e', HOST, port, 'z', 's', upstreams.UpstreamKind.ENGINE)
    with pytest.raises(errors.UpstreamUnreachable):
        await orderer.read(vm, 1.0)
    sock.close()


async def test_weight_store_refuses_over_its_rate(nursery):
    weights = weight_store.WeightStore(rate=0.001, burst=2.0)
    url = await nursery.start(weight_store.serve, HOST, 0, weights)
    async with httpx.AsyncClient(trust_env=False) as client:
        answers = [await client.get(f'{url}/v1/weights/m/1') for _ in range(3)]
    assert [a.status_code for a in answers] == [200, 200, 429]
    assert answers[0].content == b'm 1'
