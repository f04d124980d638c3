"""HTTP/1.1 messages on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import dataclasses

MAX_LINE_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """One HTTP/1.1 message.

    Attributes:
        start: The request line or status line.
        headers: Values by name in lower case.
        body: The complete body.
        whole: Whether the message arrived completely.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b''
    whole: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ', 2)[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(' ', 1)[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(' ', 2)[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns start line and headers, None if the peer closed before them."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (row := (await reader.readline()).strip()) != b'':
        name, _, value = row.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(line.decode('latin-1').strip(), headers)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a chunked body.

    Raises:
        IncompleteReadError: The body broke off.
    """
    body = b''
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_body(reader: asyncio.StreamReader, head: Message) -> None:
    """Reads the body into a message; notes whether it is whole."""
    try:
        if head.headers.get('transfer-encoding', '').lower() == 'chunked':
            head.body = await read_chunks(reader)
        elif 'content-length' in head.headers:
            length = int(head.headers['content-length'])
            head.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        head.body = getattr(exc, 'partial', b'')
        head.whole = False


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, None if the peer closed the connection."""
    try:
        head = await read_head(reader)
    except ConnectionError:
        return None
    if head is not None:
        await read_body(reader, head)
    return head


def encode(start: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    """Returns a message with its length."""
    rows = [start, *(f'{name}: {value}' for name, value in headers.items())]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*rows, '', '']).encode('latin-1') + body


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)
