"""Callers that keep what came of a stream, and read slowly."""

from __future__ import annotations

import re
import socket

import attrs
import h11
import trio

from tests import stream_standins

SLOW_SECONDS = (0.3, 1.5)
# a router's write waits once a caller that stops reading is sent some 20 kB
# (measured on loopback); with the usual buffers that takes megabytes
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 16384
LEAVE_SHARE = 0.3
MOST_STOPS = 2
SIGNATURE = b'lavenderbend-response-signature'
NUMBERED = re.compile(rb'id: (\d+)\n(?:[^\n]+\n)*\n')
COMPLETE = 'complete'
BROKEN = 'broken off'
LEFT = 'left by the caller'
MALFORMED = 'no HTTP'


@attrs.define
class Part:
    """What came of one answer, also of one that broke off.

    Attributes:
        status: The HTTP status, 0 if there was none.
        body: What came of the body.
        signed: Whether the answer has an upstream's signature.
        ended: How the answer ended.
        cause: What ended it, if it did not end as complete.
    """

    status: int = 0
    body: bytes = b''
    signed: bool = False
    ended: str = BROKEN
    cause: str = ''


def last_event(body: bytes, after: int) -> int:
    """Returns the number of the last whole event."""
    numbers = NUMBERED.findall(body)
    return int(numbers[-1]) if numbers else after


def fault_in(path: str, after: int, body: bytes, ended: str) -> str:
    """Returns what is wrong with the events of an answer, empty if nothing."""
    due = stream_standins.body_of(path, after)
    if not due.startswith(body):
        return f'{differing(path, after, body)}, {ended}'
    if ended == MALFORMED:
        last = last_event(body, after)
        return f'no HTTP behind event {last}'
    if ended == COMPLETE and body != due:
        last, most = last_event(body, after), stream_standins.event_count(path)
        rest = len(body.rpartition(b'\n\n')[2])
        return f'complete with event {last} of {most} and {rest} bytes more'
    return ''


def differing(path: str, after: int, body: bytes) -> str:
    """Returns where the events of an answer depart from those due."""
    number = after
    for number in range(after + 1, stream_standins.event_count(path) + 2):
        event = stream_standins.event(path, number)
        if not body.startswith(event):
            break
        body = body[len(event) :]
    found = [int(one) for one in NUMBERED.findall(body)]
    return f'where event {number} is due: {body[:60]!r}, events {found}'


class StreamCaller:
    """A caller with a small receive buffer, on kept connections.

    Attributes:
        rng: Draws where it stops reading, and where it leaves.
    """

    def __init__(self, rng) -> None:
        self.rng = rng
        self.kept: dict[str, tuple] = {}

    async def ask(self, router, path, headers, part, after) -> None:
        """Sends a request and fills in what comes of its answer."""
        stream = None
        try:
            stream, protocol = await self.connection(router)
            await stream.send_all(begin(protocol, path, headers))
            await self.read(stream, protocol, path, part, after)
        except (OSError, trio.BrokenResourceError) as exc:
            part.cause = repr(exc)
        finally:
            if part.ended == COMPLETE:
                self.kept[router.host] = stream, protocol
            elif stream is not None:
                stream.socket.close()

    async def connection(self, router):
        """Returns the connection that is kept to a router, or a new one."""
        if router.host in self.kept:
            stream, protocol = self.kept.pop(router.host)
            done = {protocol.our_state, protocol.their_state} == {h11.DONE}
            if done and not stream.socket.is_readable():
                protocol.start_next_cycle()
                return stream, protocol
            stream.socket.close()
        connection = trio.socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            await connection.connect((router.host, router.callers))
        except BaseException:
            connection.close()
            raise
        return trio.SocketStream(connection), h11.Connection(h11.CLIENT)

    async def read(self, stream, protocol, path, part, after) -> None:
        size = len(stream_standins.body_of(path, after))
        stops = [
            self.rng.uniform(0, size)
            for _ in range(self.rng.randint(0, MOST_STOPS))
        ]
        leave = size + 1
        if self.rng.random() < LEAVE_SHARE:
            leave = self.rng.uniform(0, size)
        while part.ended == BROKEN and not part.cause:
            if stops and len(part.body) >= min(stops):
                stops.remove(min(stops))
                await trio.sleep(self.rng.uniform(*SLOW_SECONDS))
            data = await stream.receive_some(READ_BYTES)
            protocol.receive_data(data)
            take(protocol, part, closed=not data)
            if part.ended == BROKEN and len(part.body) >= leave:
                part.ended = LEFT


def begin(protocol, path, headers) -> bytes:
    """Returns the bytes of a request."""
    headers = [*headers, ('host', 'a.example'), ('content-length', '2')]
    data = protocol.send(
        h11.Request(method='POST', target=path, headers=headers)
    )
    data += protocol.send(h11.Data(data=b'{}'))
    return data + protocol.send(h11.EndOfMessage())


def take(protocol, part, closed) -> None:
    """Takes over what the bytes so far hold of an answer."""
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as exc:
            part.ended = BROKEN if closed else MALFORMED
            part.cause = str(exc)
            return
        if event is h11.NEED_DATA:
            return
        if isinstance(event, h11.Response):
            part.status = event.status_code
            part.signed = any(name == SIGNATURE for name, _ in event.headers)
        elif isinstance(event, h11.Data):
            part.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            part.ended = COMPLETE
            return
        else:
            part.cause = 'closed before the answer'
            return
