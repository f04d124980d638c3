"""The upstream client that uses httpx."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import http_limits
from lavenderbend.transport import upstream_answers
from lavenderbend.transport import upstream_clients
from lavenderbend.transport import upstream_streams

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from lavenderbend.state import requests
    from lavenderbend.state import upstreams

CONNECT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_SECONDS = 15.0

FRAMING = ('content-length', 'transfer-encoding')

CONNECTION_ERRORS = (
    httpx.TransportError,
    httpx.StreamError,
    httpx.InvalidURL,
    OSError,
)


class SendWatch:
    """Notes whether a request found its connection reset.

    httpx reads an answer even if the request could not be sent. The kernel
    reports a reset once: the answer then seems to end with a regular close.

    Attributes:
        reset: Whether the connection was reset.
    """

    def __init__(self) -> None:
        self.reset = False

    async def __call__(self, name: str, info: dict[str, Any]) -> None:
        """Takes the steps of an exchange from the `trace` of httpx."""
        if not name.startswith('http11.send_request'):
            return
        cause = getattr(info.get('exception'), '__cause__', None)
        if isinstance(cause, trio.BrokenResourceError):
            self.reset = not upstream_streams.follows_close(cause)


def build_request(
    vm: upstreams.Vm, request: requests.Request, headers: Mapping[str, str]
) -> httpx.Request:
    """Returns the request as it is sent.

    Raises:
        RequestInvalid: The caller's path is not valid in HTTP/1.1.
    """
    merged = {
        **request.headers,
        **headers,
        upstream_answers.REQUEST_ID: request.id,
    }
    # as bytes, since httpx encodes text as ASCII only
    sent = [
        (name.encode('latin-1'), value.encode('latin-1', 'replace'))
        for name, value in merged.items()
    ]
    try:
        url = httpx.URL(
            scheme='http',
            host=vm.host,
            port=vm.port,
            raw_path=request.path.encode('ascii'),
        )
    except (httpx.InvalidURL, UnicodeEncodeError) as exc:
        raise errors.RequestInvalid('the path cannot be forwarded') from exc
    return httpx.Request(
        request.method,
        url,
        headers=sent,
        content=request.body,
        extensions={
            'timeout': {'connect': CONNECT_SECONDS},
            'trace': SendWatch(),
        },
    )


class HttpxUpstreamAnswer(interfaces.UpstreamAnswer):
    """An answer that arrives over HTTP/1.1.

    Attributes:
        response: The httpx response, with an unread body.
        limits: Limits on the time for closing the exchange.
        watch: What happened when the request was sent.
    """

    def __init__(
        self,
        response: httpx.Response,
        start: interfaces.AnswerStart,
        limits: http_limits.AnswerLimits,
        watch: SendWatch,
    ) -> None:
        self.response = response
        self.start = start
        self.limits = limits
        self.watch = watch

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for data in self.response.stream:
                if data:
                    yield data
        except CONNECTION_ERRORS as exc:
            # h11 detects a truncated body by content-length or the missing
            # last chunk; without this error it would look complete
            raise errors.UpstreamLost(
                f'the answer was interrupted: {type(exc).__name__}'
            ) from exc
        framed = any(name in self.response.headers for name in FRAMING)
        if self.watch.reset and not framed:
            raise errors.UpstreamLost('a send found the connection reset')

    async def close(self) -> None:
        """Closes the connection unless the complete body was read."""
        with trio.move_on_after(self.limits.close_seconds) as scope:
            scope.shield = True
            try:
                await self.response.aclose()
            except CONNECTION_ERRORS:
                # the connection is already closed
                return


@attrs.define
class UpstreamConnections:
    """Connections to one upstream.

    Attributes:
        reused: For requests that may be sent on a connection used before.
        fresh: Opens a new connection for each request.
    """

    reused: httpx.AsyncHTTPTransport
    fresh: httpx.AsyncHTTPTransport

    async def aclose(self) -> None:
        """Closes all connections to the upstream."""
        await self.reused.aclose()
        await self.fresh.aclose()


def open_connections() -> UpstreamConnections:
    """Returns connection pools without open connections."""
    reused = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
        keepalive_expiry=MAX_IDLE_SECONDS,
    )
    fresh = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    return UpstreamConnections(
        httpx.AsyncHTTPTransport(verify=False, limits=reused),
        httpx.AsyncHTTPTransport(verify=False, limits=fresh),
    )


@upstream_clients.CLIENTS.register('httpx')
class HttpxUpstreamClient(interfaces.UpstreamClient):
    """Sends requests to upstreams over HTTP/1.1.

    Attributes:
        limits: Limits on answers.
        connections: Connection pools by address of the upstream; separate
            pools keep the search for an idle connection short.
    """

    def __init__(self, limits: http_limits.AnswerLimits | None = None) -> None:
        self.limits = limits or http_limits.AnswerLimits()
        self.connections: dict[tuple[str, int], UpstreamConnections] = {}

    async def open(
        self,
        vm: upstreams.Vm,
        request: requests.Request,
        headers: Mapping[str, str],
        timeout: float,
    ) -> interfaces.UpstreamAnswer:
        """Sends a request; returns once the head of the answer has arrived."""
        pools = self.pools_of(vm)
        # the upstream may close an idle connection while the request is in
        # transit, and then it is unknown whether the request was executed; a
        # request that must be executed at most once gets a new connection
        at_most_once = request.idempotency_key is not None
        transport = pools.fresh if at_most_once else pools.reused
        outgoing = build_request(vm, request, headers)
        response = await self.send(transport, outgoing, timeout)
        watch = outgoing.extensions['trace']
        return await self.check(response, request.id, watch)

    def pools_of(self, vm: upstreams.Vm) -> UpstreamConnections:
        """Returns the connections to an upstream."""
        address = (vm.host, vm.port)
        pools = self.connections.get(address)
        if pools is None:
            pools = open_connections()
            self.connections[address] = pools
        return pools

    async def send(
        self,
        transport: httpx.AsyncHTTPTransport,
        outgoing: httpx.Request,
        timeout: float,
    ) -> httpx.Response:
        """Sends a request and returns the head of the answer.

        Raises:
            UpstreamError: There is no answer; the class tells whether the
                request was sent.
        """
        try:
            with trio.fail_after(max(timeout, 0.0)):
                return await transport.handle_async_request(outgoing)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.UpstreamUnreachable(
                f'no connection: {type(exc).__name__}'
            ) from exc
        except (httpx.UnsupportedProtocol, httpx.LocalProtocolError) as exc:
            raise errors.UpstreamUnreachable(
                'the request cannot be sent as HTTP/1.1'
            ) from exc
        except trio.TooSlowError as exc:
            raise errors.UpstreamStalled(
                'no answer before the deadline'
            ) from exc
        except CONNECTION_ERRORS as exc:
            raise errors.UpstreamLost(
                f'no answer: {type(exc).__name__}'
            ) from exc

    async def check(
        self, response: httpx.Response, request_id: str, watch: SendWatch
    ) -> interfaces.UpstreamAnswer:
        """Returns the answer if it belongs to this request."""
        start = upstream_answers.read_start(
            response.status_code, response.headers.raw
        )
        answer = HttpxUpstreamAnswer(response, start, self.limits, watch)
        try:
            upstream_answers.check_start(start, request_id)
        except errors.UpstreamError:
            await answer.close()
            raise
        return answer

    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Fetches an engine's load report."""
        outgoing = httpx.Request(
            'GET',
            f'http://{vm.host}:{vm.port}{upstream_answers.REPORT_PATH}',
            extensions={'timeout': {'connect': CONNECT_SECONDS}},
        )
        response = await self.send(
            self.pools_of(vm).reused, outgoing, upstream_answers.REPORT_SECONDS
        )
        answer = HttpxUpstreamAnswer(
            response,
            interfaces.AnswerStart(response.status_code, {}),
            self.limits,
            SendWatch(),
        )
        try:
            with trio.fail_after(upstream_answers.REPORT_SECONDS):
                data = b''.join([part async for part in answer.chunks()])
        except trio.TooSlowError as exc:
            raise errors.UpstreamBroke('no load report in time') from exc
        finally:
            await answer.close()
        return upstream_answers.read_report(vm.id, response.status_code, data)

    async def forget(self, vm: upstreams.Vm) -> None:
        """Closes the idle connections of an upstream that has left."""
        pools = self.connections.pop((vm.host, vm.port), None)
        if pools is not None:
            await pools.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        for pools in self.connections.values():
            await pools.aclose()
        self.connections.clear()
