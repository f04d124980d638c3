"""Calls to one server on a persistent connection."""

from __future__ import annotations

import functools

import pytest
import trio

from lavenderbend.transport import http_calls

TIMEOUT_SECONDS = 5.0


class DuplicatingServer:
    """A server that sends its first answer twice.

    Attributes:
        requests: Number of requests received.
        port: Its port.
    """

    def __init__(self):
        self.requests = 0
        self.port = 0

    async def serve(self, stream):
        async with stream:
            while await stream.receive_some(65536):
                self.requests += 1
                body = b'answer %d' % self.requests
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                data = head % len(body) + body
                await stream.send_all(data * 2 if self.requests == 1 else data)


@pytest.fixture
async def server(nursery):
    server = DuplicatingServer()
    listen = functools.partial(trio.serve_tcp, server.serve, 0)
    listeners = await nursery.start(functools.partial(listen, host='127.0.0.1'))
    server.port = listeners[0].socket.getsockname()[1]
    return server


async def test_duplicate_answer_is_not_used_for_the_next_call(server):
    # The store, or a proxy before it, sends an answer twice, and the copy is
    # read into the buffer of the connection. If the next call took it for its
    # own answer, outdated state of the store would pass for current.
    caller = http_calls.HttpCaller('127.0.0.1', server.port, TIMEOUT_SECONDS)
    first = await caller.get('/one')
    second = await caller.get('/two')
    caller.close()
    assert (first.body, second.body) == (b'answer 1', b'answer 2')
    assert server.requests == 2
