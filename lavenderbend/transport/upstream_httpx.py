"""The client that sends requests to upstreams, by httpx."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import http_limits
from lavenderbend.transport import upstream_answers
from lavenderbend.transport import upstream_clients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from lavenderbend.state import requests
    from lavenderbend.state import upstreams

CONNECT_SECONDS = 1.0
KEPT_CONNECTIONS = 64
KEPT_SECONDS = 15.0

CONNECTION_ERRORS = (
    httpx.TransportError,
    httpx.StreamError,
    httpx.InvalidURL,
    OSError,
)


def build_request(
    vm: upstreams.Vm, request: requests.Request, headers: Mapping[str, str]
) -> httpx.Request:
    """Returns the request as it is sent.

    Raises:
        RequestInvalid: The caller's path is none of HTTP/1.1.
    """
    merged = {
        **request.headers,
        **headers,
        upstream_answers.REQUEST_ID: request.id,
    }
    # as bytes, since httpx takes text for ASCII only
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
        raise errors.RequestInvalid('the path cannot be sent on') from exc
    return httpx.Request(
        request.method,
        url,
        headers=sent,
        content=request.body,
        extensions={'timeout': {'connect': CONNECT_SECONDS}},
    )


class HttpxUpstreamAnswer(interfaces.UpstreamAnswer):
    """An answer that arrives over HTTP/1.1.

    Attributes:
        response: The response of httpx, not read yet.
        limits: How long ending the exchange may take.
    """

    def __init__(
        self,
        response: httpx.Response,
        start: interfaces.AnswerStart,
        limits: http_limits.AnswerLimits,
    ) -> None:
        self.response = response
        self.start = start
        self.limits = limits

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for data in self.response.stream:
                if data:
                    yield data
        except CONNECTION_ERRORS as exc:
            # h11 tells an early end from a whole body by content-length and
            # the last chunk; without this a cut answer would look whole
            raise errors.UpstreamLost(
                f'the answer broke off: {type(exc).__name__}'
            ) from exc

    async def close(self) -> None:
        """Closes the connection unless the whole body was read."""
        with trio.move_on_after(self.limits.close_seconds) as scope:
            scope.shield = True
            try:
                await self.response.aclose()
            except CONNECTION_ERRORS:
                # the connection is gone, which is what close asks for
                return


@attrs.define
class UpstreamConnections:
    """Connections to one upstream.

    Attributes:
        kept: For requests that may be sent on a connection used before.
        fresh: Opens a connection for each request.
    """

    kept: httpx.AsyncHTTPTransport
    fresh: httpx.AsyncHTTPTransport

    async def aclose(self) -> None:
        """Closes all of them."""
        await self.kept.aclose()
        await self.fresh.aclose()


def open_connections() -> UpstreamConnections:
    """Returns an empty set of connections."""
    kept = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=KEPT_CONNECTIONS,
        keepalive_expiry=KEPT_SECONDS,
    )
    fresh = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    return UpstreamConnections(
        httpx.AsyncHTTPTransport(verify=False, limits=kept),
        httpx.AsyncHTTPTransport(verify=False, limits=fresh),
    )


@upstream_clients.CLIENTS.register('httpx')
class HttpxUpstreamClient(interfaces.UpstreamClient):
    """Sends requests to upstreams over HTTP/1.1.

    Attributes:
        limits: Limits on answers.
        connections: By address of the upstream; one set for each keeps the
            look-up of a free connection short.
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
        """Sends a request and returns when the answer's head has come."""
        pools = self.pools_of(vm)
        # an idle connection may be closed by the upstream while the request
        # is on its way, and then nobody can tell whether it ran; a request
        # that may run once only goes on a fresh one
        once = request.idempotency_key is not None
        transport = pools.fresh if once else pools.kept
        outgoing = build_request(vm, request, headers)
        response = await self.send(transport, outgoing, timeout)
        return await self.check(response, request.id)

    def pools_of(self, vm: upstreams.Vm) -> UpstreamConnections:
        """Returns the connections to an upstream."""
        address = (vm.host, vm.port)
        found = self.connections.get(address)
        if found is None:
            found = open_connections()
            self.connections[address] = found
        return found

    async def send(
        self,
        transport: httpx.AsyncHTTPTransport,
        outgoing: httpx.Request,
        timeout: float,
    ) -> httpx.Response:
        """Returns the answer's head, or raises the fitting error."""
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
        self, response: httpx.Response, request_id: str
    ) -> interfaces.UpstreamAnswer:
        """Returns the answer if it is one to this request."""
        start = upstream_answers.read_start(
            response.status_code, response.headers.raw
        )
        answer = HttpxUpstreamAnswer(response, start, self.limits)
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
            self.pools_of(vm).kept, outgoing, upstream_answers.REPORT_SECONDS
        )
        answer = HttpxUpstreamAnswer(
            response,
            interfaces.AnswerStart(response.status_code, {}),
            self.limits,
        )
        try:
            with trio.fail_after(upstream_answers.REPORT_SECONDS):
                data = b''.join([item async for item in answer.chunks()])
        except trio.TooSlowError as exc:
            raise errors.UpstreamBroke('no load report in time') from exc
        finally:
            await answer.close()
        return upstream_answers.read_report(vm.id, response.status_code, data)

    async def forget(self, vm: upstreams.Vm) -> None:
        """Closes the idle connections of an upstream that has left."""
        found = self.connections.pop((vm.host, vm.port), None)
        if found is not None:
            await found.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        for pools in self.connections.values():
            await pools.aclose()
        self.connections.clear()
