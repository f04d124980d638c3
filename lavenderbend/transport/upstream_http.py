"""The client that sends requests to upstreams, by httpx."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import orjson
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.observe import metrics
from lavenderbend.protocol import http_limits
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from lavenderbend.state import requests

REQUEST_ID = 'x-request-id'
INSTANCE = 'x-instance'
NOT_STARTED = 'x-not-started'
REPORT_PATH = '/v1/load'
CONNECT_SECONDS = 1.0
REPORT_SECONDS = 1.0
KEPT_CONNECTIONS = 64
KEPT_SECONDS = 15.0

# parts of an answer's head that belong to the connection, or that the
# router's own server sets
HOP_HEADERS = frozenset(
    (
        'connection',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

CONNECTION_ERRORS = (
    httpx.TransportError,
    httpx.StreamError,
    httpx.InvalidURL,
    OSError,
)

mismatches = metrics.counter(
    'lavenderbend_answer_mismatches_total',
    'Answers that carried the id of another request.',
)


def read_headers(response: httpx.Response) -> dict[str, str]:
    """Returns the headers that go on to the caller, names in lower case."""
    headers = {}
    for name, value in response.headers.raw:
        key = name.decode('latin-1').lower()
        if key not in HOP_HEADERS:
            headers[key] = value.decode('latin-1')
    return headers


def build_request(
    vm: upstreams.Vm, request: requests.Request, headers: Mapping[str, str]
) -> httpx.Request:
    """Returns the request as it is sent.

    Raises:
        RequestInvalid: The caller's path is none of HTTP/1.1.
    """
    merged = {**request.headers, **headers, REQUEST_ID: request.id}
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


class HttpUpstreamAnswer(interfaces.UpstreamAnswer):
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


class HttpUpstreamClient(interfaces.UpstreamClient):
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
        headers = read_headers(response)
        start = interfaces.AnswerStart(
            response.status_code, headers, headers.get(INSTANCE, '')
        )
        answer = HttpUpstreamAnswer(response, start, self.limits)
        echo = headers.get(REQUEST_ID)
        if echo != request_id:
            # a late answer to the connection's earlier request would go to
            # the wrong caller; closing it unread keeps the rest away too
            mismatches.inc({})
            await answer.close()
            raise errors.AnswerMismatch(
                'the answer does not carry the id of the request'
            )
        if response.status_code == 503 and headers.get(NOT_STARTED) == '1':
            await answer.close()
            raise errors.UpstreamRefused('the upstream did not start it')
        return answer

    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Fetches an engine's load report."""
        outgoing = httpx.Request(
            'GET',
            f'http://{vm.host}:{vm.port}{REPORT_PATH}',
            extensions={'timeout': {'connect': CONNECT_SECONDS}},
        )
        response = await self.send(
            self.pools_of(vm).kept, outgoing, REPORT_SECONDS
        )
        answer = HttpUpstreamAnswer(
            response,
            interfaces.AnswerStart(response.status_code, {}),
            self.limits,
        )
        try:
            with trio.fail_after(REPORT_SECONDS):
                data = b''.join([item async for item in answer.chunks()])
        except trio.TooSlowError as exc:
            raise errors.UpstreamBroke('no load report in time') from exc
        finally:
            await answer.close()
        if response.status_code != 200:
            raise errors.UpstreamBroke('the upstream gives no load report')
        return read_report(vm.id, data)

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


def read_count(document: dict[str, Any], key: str) -> int:
    """Returns a count of a load report."""
    value = document.get(key, 0)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.UpstreamBroke(f'`{key}` of the load report is no count')
    return value


def read_names(document: dict[str, Any], key: str) -> tuple[str, ...]:
    """Returns a list of names of a load report."""
    value = document.get(key, [])
    if not isinstance(value, list):
        raise errors.UpstreamBroke(f'`{key}` of the load report is no list')
    return tuple(str(item) for item in value)


def read_report(upstream: str, data: bytes) -> upstreams.LoadReport:
    """Returns the load report in a body.

    Raises:
        UpstreamBroke: It is none.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise errors.UpstreamBroke('the load report is not JSON') from exc
    if not isinstance(document, dict):
        raise errors.UpstreamBroke('the load report is no object')
    age = document.get('age', 0.0)
    if not isinstance(age, int | float) or not 0 <= age < 3600:
        raise errors.UpstreamBroke('`age` of the load report is no time')
    return upstreams.LoadReport(
        upstream=upstream,
        instance=str(document.get('instance', '')),
        running=read_count(document, 'running'),
        waiting=read_count(document, 'waiting'),
        age=float(age),
        models=read_names(document, 'models'),
        adapters=read_names(document, 'adapters'),
        draining=document.get('draining') is True,
        max_running=read_count(document, 'max_running'),
    )
