"""The client that sends requests to upstreams, by h11 on trio streams."""

from __future__ import annotations

import collections
import math
import socket
from typing import Any
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import http_limits
from lavenderbend.transport import stall_watch
from lavenderbend.transport import upstream_answers
from lavenderbend.transport import upstream_clients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

    from lavenderbend.state import requests
    from lavenderbend.state import upstreams

RECEIVE_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
KEPT_CONNECTIONS = 64
KEPT_SECONDS = 15.0
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class UpstreamConnection:
    """One connection to an upstream, used by one request at a time.

    Attributes:
        stream: The TCP stream.
        protocol: The HTTP/1.1 state of the connection.
        waiter: Noted while the upstream is waited for.
        idle_since: Router clock at which the last answer ended.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.waiter = stall_watch.Waiter(self.abort)
        self.idle_since = 0.0

    def abort(self) -> None:
        """Closes the socket; a task that reads from it gets an error."""
        self.stream.socket.close()

    async def send(self, request: h11.Request, body: bytes) -> None:
        """Sends a whole request in one write."""
        protocol = self.protocol
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage())
        await self.stream.send_all(data)

    async def receive(
        self, wait_to_read: Callable[[], float] | None = None
    ) -> None:
        """Reads what has come into the protocol, waiting if need be."""
        waiter = self.waiter
        waiter.since = trio.current_time()
        if wait_to_read is not None:
            await trio.lowlevel.wait_readable(self.stream.socket)
            wait = wait_to_read()
            if wait > 0.0:
                await trio.sleep(wait)
        data = await self.stream.receive_some(RECEIVE_BYTES)
        waiter.since = None
        self.protocol.receive_data(data)

    async def read_head(self) -> h11.Response:
        """Returns the head of the answer."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                await self.receive()
            elif isinstance(event, h11.Response):
                return event
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError('closed before its answer')

    def read_ready(self, parts: list[bytes]) -> bool:
        """Adds the data that is already here; returns whether it ended."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return True

    def reusable(self) -> bool:
        """Returns whether an idle connection may be used again.

        Bytes on an idle connection are its end, or a late answer to a
        request that was given up: neither may meet the next request.
        """
        fresh = trio.current_time() - self.idle_since < KEPT_SECONDS
        return fresh and not self.stream.socket.is_readable()


CONNECTION_ERRORS = (
    h11.RemoteProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


class HttpUpstreamAnswer(interfaces.UpstreamAnswer):
    """An answer that arrives over HTTP/1.1.

    Attributes:
        client: Takes the connection back.
        address: Of the upstream.
        connection: The connection.
        whole: Whether the body was read to its end.
        closed: Whether the connection was given back or closed.
    """

    watches_stalls = True

    def __init__(
        self,
        client: HttpUpstreamClient,
        address: tuple[str, int],
        connection: UpstreamConnection,
        start: interfaces.AnswerStart,
    ) -> None:
        self.client = client
        self.address = address
        self.connection = connection
        self.start = start
        self.whole = False
        self.closed = False

    def chunks(self) -> AsyncIterator[bytes]:
        """Returns the body as it arrives."""
        return self

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self.whole:
            raise StopAsyncIteration
        parts: list[bytes] = []
        try:
            while not parts and not self.whole:
                # all that has come goes on in one piece: one write to the
                # caller in place of many when the router is busy
                self.whole = self.connection.read_ready(parts)
                if not parts and not self.whole:
                    await self.connection.receive(self.wait_to_read)
        except CONNECTION_ERRORS as exc:
            # h11 tells an early end from a whole body by content-length and
            # the last chunk; without this a cut answer would look whole
            raise lost(self.connection, exc) from exc
        if not parts:
            raise StopAsyncIteration
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def close(self) -> None:
        """Gives the connection back if the whole body was read."""
        if self.closed:
            return
        self.closed = True
        self.client.give_back(self.address, self.connection, self.whole)


def lost(
    connection: UpstreamConnection, cause: Exception
) -> errors.UpstreamBroke:
    """Returns the error for an exchange that broke off."""
    if connection.waiter.expired:
        return errors.UpstreamStalled('the answer stopped arriving')
    return errors.UpstreamLost(f'broken off: {type(cause).__name__}')


def build_request(
    vm: upstreams.Vm, request: requests.Request, headers: Mapping[str, str]
) -> h11.Request:
    """Returns the head of the request as it is sent.

    Raises:
        RequestInvalid: It is none of HTTP/1.1.
    """
    merged = {**request.headers, **headers}
    merged[upstream_answers.REQUEST_ID] = request.id
    merged['host'] = f'{vm.host}:{vm.port}'
    if request.body or request.method in BODY_METHODS:
        merged['content-length'] = str(len(request.body))
    sent = [
        (name.encode('latin-1'), value.encode('latin-1', 'replace'))
        for name, value in merged.items()
    ]
    try:
        return h11.Request(
            method=request.method, target=request.path, headers=sent
        )
    except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
        raise errors.RequestInvalid('the request cannot be sent on') from exc


@upstream_clients.CLIENTS.register('h11')
class HttpUpstreamClient(interfaces.UpstreamClient):
    """Sends requests to upstreams over HTTP/1.1.

    Attributes:
        limits: Limits on answers.
        idle: Connections to each upstream that wait for a request.
        watch: Ends answers that stop arriving.
    """

    def __init__(self, limits: http_limits.AnswerLimits | None = None) -> None:
        self.limits = limits or http_limits.AnswerLimits()
        self.idle: dict[
            tuple[str, int], collections.deque[UpstreamConnection]
        ] = collections.defaultdict(collections.deque)
        self.watch = stall_watch.StallWatch(self.limits.stall_seconds)

    async def open(
        self,
        vm: upstreams.Vm,
        request: requests.Request,
        headers: Mapping[str, str],
        timeout: float,
    ) -> interfaces.UpstreamAnswer:
        """Sends a request and returns when the answer's head has come."""
        head = build_request(vm, request, headers)
        # an idle connection may be closed by the upstream while the request
        # is on its way, and then nobody can tell whether it ran; a request
        # that may run once only goes on a fresh one
        once = request.idempotency_key is not None
        connection = None if once else self.take_idle((vm.host, vm.port))
        if timeout == math.inf:
            return await self.exchange(vm, connection, head, request)
        with trio.move_on_after(max(timeout, 0.0)):
            return await self.exchange(vm, connection, head, request)
        raise errors.UpstreamStalled('no answer before the deadline')

    async def exchange(
        self,
        vm: upstreams.Vm,
        connection: UpstreamConnection | None,
        head: h11.Request,
        request: requests.Request,
    ) -> interfaces.UpstreamAnswer:
        """Sends a request on a connection and reads the head of its answer."""
        address = (vm.host, vm.port)
        if connection is None:
            connection = await connect(vm)
        self.watch.add(connection.waiter)
        kept = False
        try:
            await connection.send(head, request.body)
            response = await connection.read_head()
            start = upstream_answers.read_start(
                response.status_code, response.headers
            )
            upstream_answers.check_start(start, request.id)
            kept = True
            return HttpUpstreamAnswer(self, address, connection, start)
        except CONNECTION_ERRORS as exc:
            raise lost(connection, exc) from exc
        finally:
            if not kept:
                self.give_back(address, connection, whole=False)

    def take_idle(self, address: tuple[str, int]) -> UpstreamConnection | None:
        """Returns an idle connection to an upstream, None if there is none."""
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.reusable():
                return connection
            connection.abort()
        return None

    def give_back(
        self,
        address: tuple[str, int],
        connection: UpstreamConnection,
        whole: bool,
    ) -> None:
        """Keeps a connection for the next request, or closes it."""
        self.watch.remove(connection.waiter)
        idle = self.idle[address]
        if whole and len(idle) < KEPT_CONNECTIONS:
            try:
                connection.protocol.start_next_cycle()
            except h11.LocalProtocolError:
                # the upstream asked for the connection to be closed
                connection.abort()
                return
            connection.idle_since = trio.current_time()
            idle.append(connection)
            return
        connection.abort()

    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Fetches an engine's load report."""
        head = h11.Request(
            method='GET',
            target=upstream_answers.REPORT_PATH,
            headers=[('host', f'{vm.host}:{vm.port}')],
        )
        seconds = upstream_answers.REPORT_SECONDS
        with trio.move_on_after(seconds):
            connection = self.take_idle((vm.host, vm.port))
            if connection is None:
                connection = await connect(vm)
            return await self.read_report(vm, connection, head)
        raise errors.UpstreamStalled('no load report in time')

    async def read_report(
        self, vm: upstreams.Vm, connection: UpstreamConnection, head: Any
    ) -> upstreams.LoadReport:
        """Reads a load report from a connection."""
        address = (vm.host, vm.port)
        answer = None
        try:
            await connection.send(head, b'')
            response = await connection.read_head()
            start = upstream_answers.read_start(
                response.status_code, response.headers
            )
            answer = HttpUpstreamAnswer(self, address, connection, start)
            data = b''.join([part async for part in answer])
        except CONNECTION_ERRORS as exc:
            raise lost(connection, exc) from exc
        finally:
            whole = answer is not None and answer.whole
            self.give_back(address, connection, whole)
        return upstream_answers.read_report(vm.id, start.status, data)

    async def forget(self, vm: upstreams.Vm) -> None:
        """Closes the idle connections of an upstream that has left."""
        for connection in self.idle.pop((vm.host, vm.port), ()):
            connection.abort()

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
        self.idle.clear()


async def connect(vm: upstreams.Vm) -> UpstreamConnection:
    """Opens a connection.

    Raises:
        UpstreamUnreachable: There is none to be had.
    """
    family = socket.AF_INET6 if ':' in vm.host else socket.AF_INET
    connecting = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        with trio.fail_after(CONNECT_SECONDS):
            await connecting.connect((vm.host, vm.port))
    except (OSError, trio.TooSlowError) as exc:
        connecting.close()
        raise errors.UpstreamUnreachable(
            f'no connection: {type(exc).__name__}'
        ) from exc
    except BaseException:
        connecting.close()
        raise
    return UpstreamConnection(trio.SocketStream(connecting))
