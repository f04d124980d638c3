"""Callers' HTTP/1.1 connections, a task each, by h11 on trio sockets."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.transport import caller_answers
from lavenderbend.transport import caller_requests
from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.transport import caller_server

HTTP_1_0 = b'1.0'
# on, and no time to send what is left
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
# time for a caller to take the answer that says why its connection closes
FAREWELL_SECONDS = 1.0

BAD_REQUESTS = metrics.counter(
    'lavenderbend_caller_bad_requests_total',
    'Requests that could not be read, by status.',
)


class CallerConnection:
    """One connection of a caller.

    Attributes:
        server: The server.
        stream: The TCP stream.
        protocol: HTTP/1.1 state.
        idle_scope: Cancelled to end the wait for a next request.
        waiting_since: Router clock from which its first request may have
            waited unread, None if it has not.
    """

    def __init__(
        self, server: caller_server.CallerServer, stream: trio.SocketStream
    ) -> None:
        self.server = server
        self.stream = stream
        self.idle_scope = trio.CancelScope()
        self.waiting_since: float | None = None
        if trio.current_time() < server.early_until:
            self.waiting_since = server.waiting_since
        limits = server.limits()
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        socket_options.prepare(stream.socket)

    async def run(self) -> None:
        """Serves requests until either side closes."""
        while True:
            if not await self.wait_for_request():
                return
            try:
                request = await self.read_request()
            except h11.RemoteProtocolError as exc:
                await self.refuse(caller_requests.unreadable(exc))
                return
            except errors.RequestError as exc:
                await self.refuse(exc)
                return
            if request is None:
                return
            if not await self.answer(request):
                return
            if self.protocol.our_state is not h11.DONE:
                return
            if self.protocol.their_state is not h11.DONE:
                return
            self.protocol.start_next_cycle()

    async def wait_for_request(self) -> bool:
        """Waits for the first byte of a request; False if none came."""
        if self.protocol.trailing_data[0]:
            return True
        idle = self.server.limits().idle_seconds
        self.idle_scope = trio.CancelScope(deadline=trio.current_time() + idle)
        if self.server.closing_idle:
            self.idle_scope.cancel()
        with self.idle_scope:
            await trio.lowlevel.wait_readable(self.stream.socket)
            return True
        # a request that arrived just now is served: closing over its bytes
        # would reset the connection
        return self.stream.socket.is_readable()

    async def read_request(self) -> interfaces.CallerRequest | None:
        """Returns the next request, None if the caller closed.

        Raises:
            RequestError: It is over a limit, or took too long.
        """
        arrived = self.arrival()
        reader = caller_requests.RequestReader(
            self.stream, self.protocol, self.server.limits()
        )
        return await reader.read(arrived)

    def arrival(self) -> float:
        """Returns the router clock at which a request came, at the earliest.

        The time that a caller gives for its request runs while it waits for
        a router that starts; an upstream must not be told more.
        """
        if self.waiting_since is None:
            return trio.current_time()
        arrived = self.waiting_since
        self.waiting_since = None
        return arrived

    async def answer(self, request: interfaces.CallerRequest) -> bool:
        """Has the request answered, and stops when the caller leaves.

        Returns:
            Whether all of the answer was written. A deadline may cancel the
            last write half done, when the protocol already counts it as
            sent: what followed on this connection would be read as the rest
            of this answer.
        """
        answer = caller_answers.ConnectionAnswer(self, request.method)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_caller, answer, nursery.cancel_scope)
            await self.handle(request, answer)
            nursery.cancel_scope.cancel()
        if answer.started and not answer.finished:
            self.break_off()
        return answer.finished

    def break_off(self) -> None:
        """Has a caller of HTTP/1.0 see that its answer is not whole.

        Its answer ends with the connection: closed in the usual way, a part
        would pass for the whole. Others lack the last chunk, or bytes.
        """
        if self.protocol.their_http_version == HTTP_1_0:
            self.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )

    async def handle(
        self,
        request: interfaces.CallerRequest,
        answer: caller_answers.ConnectionAnswer,
    ) -> None:
        """Has the request answered, or says why it is not.

        An answer that has begun and cannot be completed ends with its
        connection; see `break_off`.
        """
        try:
            await self.server.handler(request, answer)
        except errors.CallerGone:
            return
        except errors.RequestError as exc:
            if not answer.started:
                await caller_answers.send_problem(answer, exc, '')

    async def watch_caller(
        self, answer: caller_answers.ConnectionAnswer, scope: trio.CancelScope
    ) -> None:
        """Cancels the request when its caller closes the connection.

        An upstream would go on working for a caller that has left, and the
        next one would wait for its slot.
        """
        try:
            data = await self.stream.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b''
        if data:
            return
        answer.disconnected = True
        scope.cancel()

    async def refuse(self, error: errors.RequestError) -> None:
        """Tells why the request was not taken, and closes."""
        BAD_REQUESTS.inc({'status': str(error.status)})
        logs.change(
            'request_unreadable', status=error.status, cause=error.detail
        )
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = caller_answers.ConnectionAnswer(self)
        with trio.move_on_after(FAREWELL_SECONDS):
            await caller_answers.send_problem(answer, error, '', close=True)
            await self.stream.send_eof()
            # closing over unread bytes would reset the connection before
            # the caller has read why
            while await self.stream.receive_some(caller_requests.RECEIVE_BYTES):
                pass
