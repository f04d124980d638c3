"""A client that costs little and counts what it gets."""

from __future__ import annotations

import orjson
import trio

from bench.relay import router
from bench.relay import stub

DONE = b'data: [DONE]\n\n'
PROMPT_WORDS = 200


def request(chunks: int, pace: float, hold: bool = False) -> bytes:
    """Returns the bytes of one request; no chunks means a whole answer."""
    message = {'role': 'user', 'content': stub.WORD * PROMPT_WORDS}
    document = {'model': 'model', 'messages': [message]}
    if chunks:
        document.update(stream=True, chunks=chunks, pace=pace, hold=hold)
    body = orjson.dumps(document)
    head = (
        f'POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n'
        f'authorization: Bearer {router.CREDENTIAL}\r\n'
        f'x-request-id: bench\r\n'
        f'content-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def read_answer(stream: trio.SocketStream, streamed: bool) -> int:
    """Reads one answer to its end and returns its events."""
    data = bytearray()
    while not ended(data, streamed):
        part = await stream.receive_some(65536)
        if not part:
            raise AssertionError(f'cut: {bytes(data[-300:])!r}')
        data += part
    if not data.startswith(b'HTTP/1.1 200'):
        raise AssertionError(bytes(data[:300]))
    return data.count(b'\ndata: {')


def ended(data: bytearray, streamed: bool) -> bool:
    """Returns whether an answer has come to its end."""
    head = data.find(b'\r\n\r\n')
    if head < 0:
        return False
    if b'ransfer-' in data[:head]:
        if not data.endswith(b'\r\n0\r\n\r\n'):
            return False
        return not streamed or DONE in data
    start = data.lower().index(b'content-length: ') + 16
    length = int(data[start : data.index(b'\r', start)])
    return len(data) >= head + 4 + length


async def repeat(port: int, data: bytes, count: int, streamed: bool) -> int:
    """Sends a request several times on one connection."""
    events = 0
    stream = await trio.open_tcp_stream(stub.HOST, port)
    async with stream:
        for _ in range(count):
            await stream.send_all(data)
            events += await read_answer(stream, streamed)
    return events


async def load(
    port: int, connections: int, count: int, chunks: int, pace: float
) -> int:
    """Sends requests on several connections; returns the events read."""
    totals = []
    data = request(chunks, pace)

    async def one() -> None:
        totals.append(await repeat(port, data, count, chunks > 0))

    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            nursery.start_soon(one)
    return sum(totals)


async def hold(
    port: int,
    connections: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Holds streams open after their first event until cancelled."""
    data = request(1, 0.0, hold=True)
    limit = trio.CapacityLimiter(50)
    left = connections

    async def one() -> None:
        nonlocal left
        async with limit:
            stream = await trio.open_tcp_stream(stub.HOST, port)
            await stream.send_all(data)
            found = b''
            while b'\ndata: {' not in found:
                found += await stream.receive_some(65536)
        left -= 1
        if left == 0:
            task_status.started()
        async with stream:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            nursery.start_soon(one)
