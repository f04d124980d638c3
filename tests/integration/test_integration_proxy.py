from __future__ import annotations

import functools

import pytest
import trio

from tests.integration import proxy


async def echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


@pytest.fixture
async def echo_proxy(nursery):
    serve = functools.partial(trio.serve_tcp, echo, 0, host='127.0.0.1')
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    subject = proxy.FaultProxy('127.0.0.1', port)
    await nursery.start(subject.run)
    return subject


async def exchange(subject: proxy.FaultProxy) -> bytes:
    stream = await trio.open_tcp_stream('127.0.0.1', subject.port)
    async with stream:
        await stream.send_all(b'hello')
        with trio.move_on_after(0.3):
            return await stream.receive_some(100)
    return b'silence'


async def test_proxy_passes_bytes_on(echo_proxy):
    assert await exchange(echo_proxy) == b'hello'


async def test_lost_answer_closes_the_connection(echo_proxy):
    echo_proxy.faults.lose_answers = True

    try:
        answer = await exchange(echo_proxy)
    except trio.BrokenResourceError:
        answer = b''

    assert answer == b''


@pytest.mark.parametrize('cut', [proxy.Cut.TO_TARGET, proxy.Cut.FROM_TARGET])
async def test_one_way_cut_is_silent(echo_proxy, cut):
    echo_proxy.faults.cut = cut

    assert await exchange(echo_proxy) == b'silence'


async def test_heal_ends_faults(echo_proxy):
    echo_proxy.faults.refuse = True
    echo_proxy.heal()

    assert await exchange(echo_proxy) == b'hello'
