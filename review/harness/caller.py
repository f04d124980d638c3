"""A client that keeps its connection, on a blocking socket in a thread."""

from __future__ import annotations

import dataclasses
import itertools
import socket
import time

from harness import fleet as fleets

CONNECT_SECONDS = 2.0
RECEIVE_BYTES = 64 * 1024
NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """What a client got for one request.

    Attributes:
        id: The request's id.
        sent_at: When it was sent.
        status: Status, 0 if there was no answer.
        headers: Headers by name in lower case.
        body: What came of the body.
        whole: Whether the answer was complete.
        cause: Why it was not.
        ended_at: When the last byte came, or the connection ended.
    """

    id: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    cause: str = ''
    ended_at: float = 0.0


def keeps(answer: Answer) -> bool:
    """Returns whether the connection may be used after an answer."""
    return answer.whole and answer.headers.get('connection') != 'close'


class Caller:
    """One client connection.

    Attributes:
        socket: Its socket.
        buffer: Bytes that were read and belong to no answer yet.
        pace: Called after each read of the socket with the bytes so far.
    """

    def __init__(
        self, router: fleets.Router, receive_buffer: int | None = None
    ) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer is not None:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.socket.settimeout(30.0)
        self.socket.connect((router.host, router.front))
        self.buffer = b''
        self.read_bytes = RECEIVE_BYTES
        self.pause_seconds = 0.0

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    def receive(self) -> bool:
        """Reads once; returns False at the end of the connection."""
        data = self.socket.recv(self.read_bytes)
        self.buffer += data
        if self.pause_seconds:
            time.sleep(self.pause_seconds)
        return bool(data)

    def send(
        self,
        target: str,
        method: str = 'POST',
        body: bytes = b'{}',
        deadline_ms: int = 15000,
        **headers: str,
    ) -> Answer:
        """Sends a request."""
        request_id = f'{next(NUMBERS):016x}'
        rows = [
            f'{method} {target} HTTP/1.1',
            f'Host: {fleets.HOST}',
            f'Lavenderbend-Request-Id: {request_id}',
            f'Lavenderbend-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {fleets.KEY}',
            f'Content-Length: {len(body)}',
            *(
                f'{name.replace("_", "-")}: {value}'
                for name, value in headers.items()
            ),
        ]
        head = '\r\n'.join([*rows, '', '']).encode()
        answer = Answer(request_id, time.monotonic())
        try:
            self.socket.sendall(head + body)
        except OSError as exc:
            answer.cause = f'not sent: {type(exc).__name__}'
        return answer

    def take(self, answer: Answer) -> Answer:
        """Reads the answer to the request that was sent last."""
        try:
            self.read_answer(answer)
        except OSError as exc:
            answer.cause = type(exc).__name__
        answer.ended_at = time.monotonic()
        return answer

    def read_answer(self, answer: Answer) -> None:
        """Reads an answer; its cause tells how it broke off."""
        while b'\r\n\r\n' not in self.buffer:
            if not self.receive():
                answer.cause = 'closed before the answer'
                return
        head, _, self.buffer = self.buffer.partition(b'\r\n\r\n')
        start, *rows = head.decode('latin-1').split('\r\n')
        answer.status = int(start.split(' ')[1])
        for row in rows:
            name, _, value = row.partition(':')
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get('transfer-encoding') == 'chunked':
            self.read_chunks(answer)
            return
        length = int(answer.headers['content-length'])
        while len(self.buffer) < length:
            if not self.receive():
                answer.cause = f'closed after {len(self.buffer)} of {length}'
                return
        answer.body = self.buffer[:length]
        self.buffer = self.buffer[length:]
        answer.whole = True

    def read_chunks(self, answer: Answer) -> None:
        """Reads a chunked body."""
        while True:
            while b'\r\n' not in self.buffer:
                if not self.receive():
                    answer.cause = 'closed within the chunks'
                    return
            size = int(self.buffer.partition(b'\r\n')[0], 16)
            skip = self.buffer.index(b'\r\n') + 2
            while len(self.buffer) < skip + size + 2:
                if not self.receive():
                    answer.cause = 'closed within the chunks'
                    return
            answer.body += self.buffer[skip : skip + size]
            self.buffer = self.buffer[skip + size + 2 :]
            if size == 0:
                answer.whole = True
                return

    def call(self, target: str, **options: object) -> Answer:
        """Sends a request and returns its answer."""
        return self.take(self.send(target, **options))
