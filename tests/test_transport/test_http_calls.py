"""Calls to one server on a kept connection."""

from __future__ import annotations

import functools

import pytest
import trio

from lavenderbend.transport import http_calls

TIMEOUT_SECONDS = 5.0


class TwiceAnswering:
    """A server that sends its first answer twice.

    Attributes:
        asked: Requests that came.
        port: Its port.
    """

    def __init__(self):
        self.asked = 0
        self.port = 0

    async def serve(self, stream):
        async with stream:
            while await stream.receive_some(65536):
                self.asked += 1
                body = b'answer %d' % self.asked
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                data = head % len(body) + body
                await stream.send_all(data * 2 if self.asked == 1 else data)


@pytest.fixture
async def server(nursery):
    server = TwiceAnswering()
    listen = functools.partial(trio.serve_tcp, server.serve, 0)
    listeners = await nursery.start(functools.partial(listen, host='127.0.0.1'))
    server.port = listeners[0].socket.getsockname()[1]
    return server


async def test_second_answer_meets_no_later_call(server):
    # The store, or a proxy before it, sends an answer twice. The second copy
    # came with the first and lay read in the kept connection. The next call
    # took it for its own: an old state of the store would be proved as new.
    caller = http_calls.HttpCaller('127.0.0.1', server.port, TIMEOUT_SECONDS)
    first = await caller.get('/one')
    second = await caller.get('/two')
    caller.close()
    assert (first.body, second.body) == (b'answer 1', b'answer 2')
    assert server.asked == 2
