"""The soak of forwarding routers: short runs, and its checkers."""

from __future__ import annotations

import pytest
import trio

from tests import platform_standins as standins
from tests.integration import forwarding_soak

KEY = 'llave-1'


# each seed that ever failed stands here with a line on its cause
# 2119: a router that an earlier soak had left behind held the ports of one of
#   this soak's, told the others of another store's newer revision, and with it
#   of a version in which keys that were taken away still stood
@pytest.mark.parametrize('seed', [1, 2, 2119])
async def test_short_soak_breaks_no_promise(tmp_path, seed):
    world = await forwarding_soak.soak(tmp_path, seed, 10.0)
    assert world.violations == []
    assert any(told.status == 200 for told in world.told)


@pytest.fixture
def world(tmp_path):
    return forwarding_soak.World(tmp_path, 1)


def ran(world, request, at=10.0, worker='i-d1'):
    headers = {'lavenderbend-request-id': request}
    asked = standins.Asked('POST', '/desk/send', headers, b'')
    world.workers[worker].ran.append(asked)
    world.workers[worker].ran_at.append(at)


def told(status, body=b'did /desk/send/1', kind='desk', sent=10.0, signed=True):
    return forwarding_soak.Told('r1', kind, KEY, sent, status, body, signed)


def test_checkers_find_nothing_in_what_is_right(world):
    ran(world, 'r1')
    world.told = [told(200)]
    world.check()
    assert world.violations == []


def test_second_run_is_found(world):
    ran(world, 'r1')
    ran(world, 'r1', worker='i-e1')
    world.told = [told(200)]
    world.check()
    assert world.violations


@pytest.mark.parametrize('status', forwarding_soak.NOT_RUN)
def test_false_promise_is_found(world, status):
    ran(world, 'r1')
    world.told = [told(status)]
    world.check()
    assert world.violations


@pytest.mark.parametrize(
    'answer',
    [
        told(200, b'did /desk/send/2'),
        told(200, b''),
        told(200, signed=False),
        told(200, b'id: 1\ndata: x1\n\n', 'chat'),
    ],
)
def test_answer_of_another_request_or_part_of_one_is_found(world, answer):
    ran(world, 'r1')
    world.told = [answer]
    world.check()
    assert world.violations


def test_run_after_a_revocation_is_found(world):
    ran(world, 'r1', 16.0)
    world.revoked = {KEY: 10.0}
    world.told = [told(200, sent=15.5)]
    world.check()
    assert world.violations


def test_run_at_a_worker_that_left_is_found(world):
    world.left = [('i-d1', 10.0)]
    world.returned = [('i-d1', 14.0)]
    ran(world, 'r1', 12.5)
    world.told = [told(200)]
    world.check()
    assert world.violations
    world.violations.clear()
    world.disturbed = [9.0]
    world.check()
    assert world.violations == []


async def test_router_of_another_soak_does_not_pass_for_ones_own(world):
    # A soak's router could not bind its ports, since a router of an earlier
    # soak still had them. That one answered that it was ready, and was taken
    # for the router that had ended.
    router = world.routers[0]
    assert not router.process.running
    async with trio.open_nursery() as nursery:
        stranger = standins.HttpStandin()
        stranger.host, stranger.port = router.host, router.readiness
        stranger.answer = always_ready
        await nursery.start(stranger.serve)
        assert not await router.ready()
        nursery.cancel_scope.cancel()


async def always_ready(asked, stream, protocol):
    await stream.send_all(standins.encode(protocol, 200, [], b''))
