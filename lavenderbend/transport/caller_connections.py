"""HTTP/1.1 connections of callers, one task each, by h11 on trio sockets."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.coordination.forwarding import stop_times
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.transport import caller_answers
from lavenderbend.transport import caller_requests
from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.transport import caller_server

HTTP_1_0 = b'1.0'
# SO_LINGER enabled with a timeout of 0: close() sends a reset
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
# time for a caller to read the error answer before its connection is closed
LINGERING_CLOSE_SECONDS = 1.0
# time in which a request arrives that a caller has sent while its connection
# is closed by a stop
STOP_LINGER_SECONDS = 0.3
# time for the next request of a caller whose last answer began before the stop
# and did not say that its connection closes
LAST_REQUEST_SECONDS = 0.5

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
        scope: Cancel scope of the connection.
        idle_scope: Cancel scope of the wait for the next request.
        read_scope: Cancel scope of the reading of a request.
        holding: Memory that the request takes up.
        reader: Reads the latest request, None before the first.
        answered: Whether the latest request has its complete answer.
        waiting_since: Router clock since which its first request may have
            been waiting in the socket while the router started, None if the
            connection was opened later or the request had not come.
    """

    def __init__(
        self, server: caller_server.CallerServer, stream: trio.SocketStream
    ) -> None:
        self.server = server
        self.stream = stream
        self.scope = trio.CancelScope()
        self.idle_scope = trio.CancelScope()
        self.read_scope = trio.CancelScope()
        self.holding = server.memory.open(self.read_scope.cancel)
        self.reader: caller_requests.RequestReader | None = None
        self.answered = False
        self.waiting_since: float | None = None
        early = trio.current_time() < server.early_until
        # of a connection that waited, only a request that waited too
        if early and stream.socket.is_readable():
            self.waiting_since = server.waiting_since
        limits = server.limits()
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        socket_options.prepare_caller(stream.socket)

    @property
    def request_arrived(self) -> bool:
        """Whether bytes of the next request have come and are not parsed."""
        if self.reader is not None and self.reader.parsing:
            return True
        return self.stream.socket.is_readable()

    def close(self) -> None:
        """Closes the connection at once."""
        self.scope.cancel()

    async def run(self) -> None:
        """Serves requests until either side closes."""
        while await self.wait_for_request():
            error = await self.serve_request()
            self.holding.release()
            if error is not None:
                await self.refuse(error)
                return
            if not self.answered:
                return
            if self.protocol.our_state is not h11.DONE:
                break
            if self.protocol.their_state is not h11.DONE:
                break
            self.protocol.start_next_cycle()
            self.server.waiting.add_kept(self)
        if self.server.stopping:
            await self.linger(STOP_LINGER_SECONDS)

    async def serve_request(self) -> errors.RequestError | None:
        """Reads and answers one request; returns why it could not be read.

        Nothing of the request is left when it returns: the traceback of an
        error would keep the body until the error was sent.
        """
        self.answered = False
        try:
            request = await self.read_request()
        except h11.RemoteProtocolError as exc:
            return caller_requests.malformed_request(exc)
        except errors.RequestError as exc:
            return exc.with_traceback(None)
        if request is not None:
            self.answered = await self.answer(request)
        return None

    async def wait_for_request(self) -> bool:
        """Waits for a request; returns False if none arrives in time."""
        if self.protocol.trailing_data[0]:
            # sent before the last answer: without turns, callers that do so
            # would leave none to the others
            await self.server.turns.take()
            return True
        idle = self.server.limits().idle_seconds
        if self.server.closing_idle:
            idle = min(idle, LAST_REQUEST_SECONDS)
        self.idle_scope = trio.CancelScope(deadline=trio.current_time() + idle)
        with self.idle_scope:
            await trio.lowlevel.wait_readable(self.stream.socket)
            return True
        # a request that arrived in the meantime is served: closing a socket
        # with unread bytes would reset the connection
        return self.stream.socket.is_readable()

    async def read_request(self) -> interfaces.CallerRequest | None:
        """Returns the next request, None if the caller closed the connection.

        Raises:
            RequestError: It exceeds a limit or did not arrive in time.
        """
        arrived = self.earliest_arrival()
        server = self.server
        self.read_scope = trio.CancelScope()
        self.holding = server.memory.open(self.read_scope.cancel)
        self.reader = reader = caller_requests.RequestReader(
            self.stream,
            self.protocol,
            server.limits(),
            self.holding,
            server.turns,
            server.check,
        )
        with self.read_scope:
            request = await reader.read_start(arrived)
            server.waiting.discard(self)
            if request is not None:
                request = await reader.read_rest(request)
            server.memory.keep(self.holding)
            if not self.holding.ended:
                return request
        if self.holding.ended:
            raise caller_memory.stalled()
        raise errors.RouterStopping(
            'the request did not arrive before the router stopped',
            stop_times.RETRY_AFTER_SECONDS,
        )

    def earliest_arrival(self) -> float:
        """Returns the earliest router clock at which the request can have come.

        The time limit that a caller sets for its request also covers the wait
        for a starting router. The deadline sent to an upstream must not allow
        more time than the caller does.
        """
        if self.waiting_since is None:
            return trio.current_time()
        arrived = self.waiting_since
        self.waiting_since = None
        return arrived

    async def answer(self, request: interfaces.CallerRequest) -> bool:
        """Answers the request; cancels it when the caller disconnects.

        Returns:
            Whether all of the answer was written. A deadline may cancel the
            last write part-way, after the protocol state already counts it as
            sent: the caller would take later bytes on this connection for the
            rest of this answer.
        """
        answer = caller_answers.ConnectionAnswer(self, request.method)
        try:
            async with trio.open_nursery() as nursery:
                answer.scope = nursery.cancel_scope
                nursery.start_soon(
                    self.watch_caller, answer, nursery.cancel_scope
                )
                await self.handle(request, answer)
                nursery.cancel_scope.cancel()
        finally:
            # a caller that leaves cancels the handler
            answer.holding.close()
        if answer.started and not answer.finished:
            self.reset_if_http_1_0()
        return answer.finished

    def reset_if_http_1_0(self) -> None:
        """Makes the close a reset so that HTTP/1.0 sees an incomplete answer.

        In HTTP/1.0 the end of the connection ends the answer: after a regular
        close, a partial answer would look complete. In HTTP/1.1 the missing
        last chunk or the content-length shows that it is incomplete.
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
        """Calls the handler; sends an error answer if it raises one.

        If an answer has begun and cannot be completed, its connection is
        closed; see `reset_if_http_1_0`.
        """
        try:
            await self.server.handler(request, answer)
        except errors.CallerGone:
            return
        except errors.RequestError as exc:
            if answer.started:
                return
            with answer.limit_writes():
                await caller_answers.send_problem(answer, exc, '')

    async def watch_caller(
        self, answer: caller_answers.ConnectionAnswer, scope: trio.CancelScope
    ) -> None:
        """Cancels the request when its caller closes the connection.

        Otherwise an upstream would continue to work for a caller that has
        disconnected, and other requests would wait for that capacity.
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
        """Sends the error of a rejected request, and closes the connection."""
        if self.reader is None or error is not self.reader.refusal:
            # one that is refused by its head has a line of its own
            BAD_REQUESTS.inc({'status': str(error.status)})
            logs.caller_fault(
                'request_unreadable', status=error.status, cause=error.detail
            )
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = caller_answers.ConnectionAnswer(self)
        with trio.move_on_after(LINGERING_CLOSE_SECONDS):
            await caller_answers.send_problem(answer, error, '', close=True)
            await self.linger(LINGERING_CLOSE_SECONDS)

    async def linger(self, seconds: float) -> None:
        """Ends the sending side, and reads on until the caller closes too.

        Closing a socket with unread bytes, or one to which the caller has just
        sent its next request, would reset the connection before the caller
        has read its last answer.

        Args:
            seconds: Time that the caller has for it.
        """
        with trio.move_on_after(seconds):
            await self.stream.send_eof()
            while await self.stream.receive_some(caller_requests.RECEIVE_BYTES):
                await self.server.turns.take()
