"""Upstreams that end their connection at any byte of an answer."""

from __future__ import annotations

import functools
import os
import socket
import struct

import attrs
import trio
import trio.testing

from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

HOST = '127.0.0.1'
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
BODY = b'all of it'
LENGTH = b'content-length: %d\r\n' % len(BODY)
CHUNKED = b'transfer-encoding: chunked\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
OK = b'200 OK'
# more than the buffers of two connections hold
LONG_BODY = bytes(16 * 1024 * 1024)
BLOCKED_SECONDS = 0.02


def head(more=b'', status=OK, request=b'r1', version=b'1.1'):
    """Returns the head of an answer with the headers that a success needs."""
    return b'HTTP/%s %s\r\nx-request-id: %s\r\nx-signature: s\r\n%s\r\n' % (
        version,
        status,
        request,
        more,
    )


def chunk(data, more=b''):
    return b'%x%s\r\n%s\r\n' % (len(data), more, data)


def lone_line_feeds(data):
    return data.replace(b'\r\n', b'\n')


@attrs.frozen
class Form:
    """How a complete answer is written.

    Attributes:
        head: Its head, with informational answers before it.
        rest: Its body with the framing.
        body: What its caller is to read.
        method: Method of the request.
        ended_by_close: Whether only the end of the connection ends the body.
    """

    head: bytes
    rest: bytes = b''
    body: bytes = b''
    method: bytes = b'GET'
    ended_by_close: bool = False

    @property
    def whole(self):
        return self.head + self.rest


CHUNKS = chunk(BODY[:4]) + chunk(BODY[4:]) + b'0\r\n\r\n'
FORMS = {
    'length': Form(head(LENGTH), BODY, BODY),
    'length with lone line feeds': Form(
        lone_line_feeds(head(LENGTH)), BODY, BODY
    ),
    'length after an informational head': Form(
        HINTS + head(LENGTH), BODY, BODY
    ),
    'length of two digits': Form(
        head(b'content-length: 12\r\n'), b'x' * 12, b'x' * 12
    ),
    'no body': Form(head(b'content-length: 0\r\n')),
    'chunks': Form(head(CHUNKED), CHUNKS, BODY),
    'chunks with a trailer': Form(
        head(CHUNKED), chunk(BODY) + b'0\r\nx-sum: 1\r\n\r\n', BODY
    ),
    'chunks with extensions': Form(
        head(CHUNKED), chunk(BODY, b';a=b') + b'0;c=d\r\n\r\n', BODY
    ),
    'chunks after an informational head': Form(
        HINTS + head(CHUNKED), CHUNKS, BODY
    ),
    'chunks and a length': Form(
        head(b'content-length: 4\r\n' + CHUNKED), CHUNKS, BODY
    ),
    'close': Form(head(), BODY, BODY, ended_by_close=True),
    'close with lone line feeds': Form(
        lone_line_feeds(head()), BODY, BODY, ended_by_close=True
    ),
    'close after an informational head': Form(
        HINTS + head(), BODY, BODY, ended_by_close=True
    ),
    'close of an older version': Form(
        head(version=b'1.0'), BODY, BODY, ended_by_close=True
    ),
    'HEAD': Form(head(LENGTH), method=b'HEAD'),
    'HEAD without a length': Form(head(), method=b'HEAD'),
    'no content': Form(head(status=b'204 No Content')),
}


@attrs.frozen
class Reply:
    """Bytes of an answer and what follows them.

    Attributes:
        data: The bytes.
        ends: Whether the connection ends after them.
        resets: Whether it ends with a reset.
        early: Whether it is sent while the sender of the request waits for
            the rest of it to be read.
    """

    data: bytes
    ends: bool = True
    resets: bool = False
    early: bool = False


class Upstream:
    """Sends prepared replies, one for each request.

    Attributes:
        instance: Its instance.
        port: Its port.
        replies: Replies that are still to be sent, in order.
        requests: The heads of the requests, in lower case.
        connections: Number of connections accepted.
    """

    def __init__(self, instance='e1'):
        self.instance = instance
        self.port = 0
        self.replies = []
        self.requests = []
        self.connections = 0

    @property
    def listed(self):
        """The upstream as routers know it."""
        kind = upstreams.UpstreamKind.SERVICE
        vm = upstreams.Vm(self.instance, HOST, self.port, 'z', 'chat', kind)
        return forwarding.Upstream(self.instance, vm, 8)

    async def start(self, nursery):
        serve = functools.partial(trio.serve_tcp, self.serve, 0, host=HOST)
        (listener,) = await nursery.start(serve)
        self.port = listener.socket.getsockname()[1]

    async def serve(self, stream):
        self.connections += 1
        data = b''
        try:
            while part := await stream.receive_some(65536):
                data += part
                if b'\r\n\r\n' not in data:
                    continue
                self.requests.append(data.lower())
                data = b''
                reply = self.replies.pop(0)
                if reply.early:
                    await trio.testing.wait_all_tasks_blocked(BLOCKED_SECONDS)
                send_at_once(stream, reply)
                if reply.ends:
                    return
        except trio.BrokenResourceError:
            return
        finally:
            stream.socket.close()


def send_at_once(stream, reply):
    """Sends a reply and ends its connection in one step of the event loop.

    The router finds the bytes and the end of the connection together.
    """
    raw = socket.socket(fileno=os.dup(stream.socket.fileno()))
    raw.send(reply.data)
    if reply.resets:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    elif reply.ends:
        # the kernel resets a connection that is closed with unread bytes
        raw.shutdown(socket.SHUT_WR)
    raw.close()
    if reply.ends:
        stream.socket.close()
