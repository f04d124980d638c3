"""Routers that stand still while the platform changes, real processes."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests import platform_standins as standins
from tests.integration import forwarding_fleet
from tests.integration import proxy
from tests.integration import test_integration_stream_versions as versions

# the store and the other routers stay out of reach for this long afterwards
CUT_OFF_SECONDS = 0.5
REVOKED_KEY = 'llave-2'
REVOCATION_SECONDS = 5.0


class Engine(versions.VersionWorker):
    """An engine that can end, and whose address another one can take."""

    async def serve_until_ended(self, task_status=trio.TASK_STATUS_IGNORED):
        with trio.CancelScope() as self.scope:
            await self.serve(task_status=task_status)


class Fleet(forwarding_fleet.ForwardingFleet):
    """Routers that each reach the store through a proxy."""

    async def start(self, nursery):
        await nursery.start(self.store.serve)
        for worker in self.workers.values():
            await self.start_worker(nursery, worker)
        self.configure(1, [standins.KEY, REVOKED_KEY])
        self.proxies = {}
        for router in self.routers:
            path = proxy.FaultProxy(standins.HOST, self.store.port)
            await nursery.start(path.run)
            self.proxies[router.host] = path
            self.write_settings(router, store_port=path.port, repeat_share=1.0)
            await router.process.start()
        for router in self.routers:
            await self.until(router.ready)

    async def start_worker(self, nursery, worker):
        serve = getattr(worker, 'serve_until_ended', worker.serve)
        await nursery.start(serve)
        self.store.put(f'servers/{worker.instance}', worker.entry())

    def configure(self, version, keys):
        tenants = [{'name': 'corte', 'apiKeys': keys, 'priority': 1}]
        self.store.put(
            'op/config', standins.configuration(version, tenants=tenants)
        )

    async def stand_still(self, router):
        """Stops a router, and cuts it off from the store and the others."""
        for one in self.routers:
            one.process.pause()
        path = self.proxies[router.host]
        path.faults.refuse = True
        await path.reset()

    async def run_again(self, router):
        """Has a router run, which reaches others only later."""
        router.process.resume()
        await trio.sleep(CUT_OFF_SECONDS)
        self.proxies[router.host].heal()
        for one in self.routers:
            one.process.resume()


@pytest.fixture
async def fleet(tmp_path, nursery):
    subject = Fleet(tmp_path)
    for name in ('i-e1', 'i-e2'):
        worker = Engine(name, 'engines')
        worker.events = 60
        worker.gap = versions.GAP_SECONDS
        subject.workers[name] = worker
    try:
        await subject.start(nursery)
        yield subject
    finally:
        await subject.end()


@pytest.mark.parametrize('seconds', [1.0, 2.4])
async def test_answer_goes_on_at_no_later_start_at_an_engines_address(
    fleet, nursery, seconds
):
    """Guards against events of another version in one answer."""
    router = fleet.routers[0]
    streams = [versions.Stream(f'first-{number}') for number in range(8)]

    async def all_began():
        return all(stream.events for stream in streams)

    async with trio.open_nursery() as readers:
        for stream in streams:
            readers.start_soon(versions.read, router, stream, stream.id)
        await fleet.until(all_began)
        await fleet.stand_still(router)
        later = []
        for name in ('i-e1', 'i-e2'):
            former = fleet.workers[name]
            former.scope.cancel()
            fleet.store.remove(f'servers/{name}')
            engine = Engine(f'{name}-later', 'engines')
            engine.version, engine.port = 'v2', former.port
            engine.events, engine.gap = former.events, former.gap
            await fleet.start_worker(nursery, engine)
            later.append(engine)
        await trio.sleep(seconds)
        await fleet.run_again(router)
    assert any(engine.arrived for engine in later)
    assert [engine.ran for engine in later] == [[], []]
    for stream in streams:
        numbers = [event[0] for event in stream.events]
        assert numbers == list(range(1, len(numbers) + 1))
        assert {event[1] for event in stream.events if event[1:]} == {'v1'}


@pytest.mark.parametrize('seconds', [1.0, 5.0])
async def test_router_that_stood_still_accepts_no_revoked_credential(
    fleet, seconds
):
    """Guards against requests by a credential revoked during a standstill."""
    router = fleet.routers[0]
    first = await forwarding_fleet.ask(router, '/desk/look/a', key=REVOKED_KEY)
    assert first.status_code == 200
    await fleet.stand_still(router)
    fleet.configure(2, [standins.KEY])
    revoked_at = trio.current_time()
    await trio.sleep(seconds)
    accepted = []

    async def ask(number):
        sent_at = trio.current_time()
        answer = await forwarding_fleet.ask(
            router, '/desk/look/a', number, key=REVOKED_KEY
        )
        assert answer.status_code in {200, 401, 503}
        if answer.status_code == httpx.codes.OK:
            accepted.append(sent_at - revoked_at)

    async with trio.open_nursery() as callers:
        for number in range(10):
            callers.start_soon(ask, number)
        await fleet.run_again(router)
        for number in range(10, 40):
            callers.start_soon(ask, number)
            await trio.sleep(0.05)
    assert max(accepted, default=0.0) < REVOCATION_SECONDS

    async def refused():
        answer = await forwarding_fleet.ask(
            router, '/desk/look/a', key=REVOKED_KEY
        )
        return answer.status_code == httpx.codes.UNAUTHORIZED

    await fleet.until(refused)
