"""The upstream client that uses h11 on trio streams."""

from __future__ import annotations

import collections
import math
from typing import Any
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import http_limits
from lavenderbend.transport import stall_detector
from lavenderbend.transport import upstream_answers
from lavenderbend.transport import upstream_clients
from lavenderbend.transport import upstream_connections

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from lavenderbend.state import requests
    from lavenderbend.state import upstreams

MAX_IDLE_CONNECTIONS = 64
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class HttpUpstreamAnswer(interfaces.UpstreamAnswer):
    """An answer that arrives over HTTP/1.1.

    Attributes:
        client: Client to which the connection is returned.
        address: Address of the upstream.
        connection: The connection.
        complete: Whether the body was read to its end.
        closed: Whether the connection was returned or closed.
    """

    detects_stalls = True

    def __init__(
        self,
        client: HttpUpstreamClient,
        address: tuple[str, int],
        connection: upstream_connections.UpstreamConnection,
        start: interfaces.AnswerStart,
    ) -> None:
        self.client = client
        self.address = address
        self.connection = connection
        self.start = start
        self.complete = False
        self.closed = False

    def chunks(self) -> AsyncIterator[bytes]:
        """Returns the body as it arrives."""
        return self

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self.complete:
            raise StopAsyncIteration
        parts: list[bytes] = []
        try:
            while not parts and not self.complete:
                # all data received so far is returned as one piece: one write
                # to the caller instead of many when the router is busy
                self.complete = self.connection.read_available(parts)
                if not parts and not self.complete:
                    await self.connection.receive(self.wait_to_read)
        except upstream_connections.CONNECTION_ERRORS as exc:
            # h11 detects a truncated body by content-length or the missing
            # last chunk; without this error it would look complete
            raise upstream_connections.connection_lost(
                self.connection, exc
            ) from exc
        if not parts:
            raise StopAsyncIteration
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def close(self) -> None:
        """Returns the connection to the client if the body is complete."""
        if self.closed:
            return
        self.closed = True
        self.client.release(self.address, self.connection, self.complete)


def build_request(
    vm: upstreams.Vm, request: requests.Request, headers: Mapping[str, str]
) -> h11.Request:
    """Returns the head of the request as it is sent.

    Raises:
        RequestInvalid: It is not valid HTTP/1.1.
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
        raise errors.RequestInvalid('the request cannot be forwarded') from exc


@upstream_clients.CLIENTS.register('h11')
class HttpUpstreamClient(interfaces.UpstreamClient):
    """Sends requests to upstreams over HTTP/1.1.

    Attributes:
        limits: Limits on answers.
        idle: Idle connections by address of the upstream.
        stalls: Ends answers that stop arriving.
    """

    def __init__(self, limits: http_limits.AnswerLimits | None = None) -> None:
        self.limits = limits or http_limits.AnswerLimits()
        self.idle: dict[
            tuple[str, int],
            collections.deque[upstream_connections.UpstreamConnection],
        ] = collections.defaultdict(collections.deque)
        self.stalls = stall_detector.StallDetector(self.limits.stall_seconds)

    async def open(
        self,
        vm: upstreams.Vm,
        request: requests.Request,
        headers: Mapping[str, str],
        timeout: float,
    ) -> interfaces.UpstreamAnswer:
        """Sends a request; returns once the head of the answer has arrived."""
        head = build_request(vm, request, headers)
        # the upstream may close an idle connection while the request is in
        # transit, and then it is unknown whether the request was executed; a
        # request that must be executed at most once gets a new connection
        at_most_once = request.idempotency_key is not None
        connection = (
            None if at_most_once else self.take_idle((vm.host, vm.port))
        )
        if timeout == math.inf:
            return await self.exchange(vm, connection, head, request)
        with trio.move_on_after(max(timeout, 0.0)):
            return await self.exchange(vm, connection, head, request)
        raise errors.UpstreamStalled('no answer before the deadline')

    async def exchange(
        self,
        vm: upstreams.Vm,
        connection: upstream_connections.UpstreamConnection | None,
        head: h11.Request,
        request: requests.Request,
    ) -> interfaces.UpstreamAnswer:
        """Sends a request on a connection and reads the head of its answer."""
        address = (vm.host, vm.port)
        if connection is None:
            connection = await upstream_connections.connect(vm)
        self.stalls.add(connection.waiter)
        succeeded = False
        try:
            await connection.send(head, request.body)
            response = await connection.read_head()
            start = upstream_answers.read_start(
                response.status_code, response.headers
            )
            upstream_answers.check_start(start, request.id)
            succeeded = True
            return HttpUpstreamAnswer(self, address, connection, start)
        except upstream_connections.CONNECTION_ERRORS as exc:
            raise upstream_connections.connection_lost(connection, exc) from exc
        finally:
            if not succeeded:
                self.release(address, connection, complete=False)

    def take_idle(
        self, address: tuple[str, int]
    ) -> upstream_connections.UpstreamConnection | None:
        """Returns an idle connection to an upstream, None if there is none."""
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.reusable():
                return connection
            connection.abort()
        return None

    def release(
        self,
        address: tuple[str, int],
        connection: upstream_connections.UpstreamConnection,
        complete: bool,
    ) -> None:
        """Makes a connection idle for the next request, or closes it."""
        self.stalls.remove(connection.waiter)
        idle = self.idle[address]
        # the stall detector may have closed it as the last bytes arrived: a
        # complete answer does not imply that its connection is still usable
        usable = complete and not connection.waiter.expired
        if usable and len(idle) < MAX_IDLE_CONNECTIONS:
            try:
                connection.protocol.start_next_cycle()
            except h11.LocalProtocolError:
                # the upstream asked to close the connection
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
                connection = await upstream_connections.connect(vm)
            return await self.read_report(vm, connection, head)
        raise errors.UpstreamStalled('no load report in time')

    async def read_report(
        self,
        vm: upstreams.Vm,
        connection: upstream_connections.UpstreamConnection,
        head: Any,
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
        except upstream_connections.CONNECTION_ERRORS as exc:
            raise upstream_connections.connection_lost(connection, exc) from exc
        finally:
            complete = answer is not None and answer.complete
            self.release(address, connection, complete)
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
