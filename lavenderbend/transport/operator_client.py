"""Client of the operators' interface, for the command line."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import httpx
import orjson

from lavenderbend import errors
from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

TIMEOUT_SECONDS = 10.0
# `apply` waits until every live router reports the revision; see
# `operator_rules.apply`
APPLY_TIMEOUT_SECONDS = 90.0
STREAM_READ_TIMEOUT_SECONDS = 60.0
# bounds the memory for an event that never ends
MAX_EVENT_BYTES = 1024 * 1024
PROBLEM_PREFIX = 'urn:lavenderbend:problem:'


class OperatorClient:
    """Calls the operators' interface of one router.

    Attributes:
        url: Base URL.
        client: The HTTP client.
    """

    def __init__(
        self,
        url: str,
        credential: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self.url = url
        self.client = httpx.AsyncClient(
            base_url=url,
            headers={'authorization': f'Bearer {credential}'},
            timeout=TIMEOUT_SECONDS,
            transport=transport,
            trust_env=False,
            # without TLS, skip reading the certificate authorities, which takes
            # 50 ms
            verify=url.startswith('https:'),
        )

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.client.aclose()

    async def get(self, path: str, **query: str | int) -> Any:
        """Returns the decoded JSON at a path.

        Raises:
            OperatorUnreachable: The router did not answer.
            OperatorRefused: The answer is an error.
        """
        return await self.call('GET', path, query, b'', TIMEOUT_SECONDS)

    async def post(
        self,
        path: str,
        body: bytes,
        timeout: float = TIMEOUT_SECONDS,
        **query: str | int,
    ) -> Any:
        """Returns the decoded JSON answer of a POST; raises as `get` does."""
        return await self.call('POST', path, query, body, timeout)

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str | int],
        body: bytes,
        timeout: float,
    ) -> Any:
        """Makes one call; raises as `get` does."""
        with self.connection_errors():
            response = await self.client.request(
                method, path, params=query, content=body, timeout=timeout
            )
        if response.is_error:
            raise error_from_response(response)
        try:
            return orjson.loads(response.content)
        except orjson.JSONDecodeError as exc:
            raise errors.OperatorRefused(
                response.status_code,
                'no-json',
                f'{self.url} does not answer as a router does',
            ) from exc

    async def follow(
        self, path: str, query: Mapping[str, str]
    ) -> AsyncIterator[Any]:
        """Yields the data of each event of a live stream."""
        timeout = httpx.Timeout(
            TIMEOUT_SECONDS, read=STREAM_READ_TIMEOUT_SECONDS
        )
        headers = {'accept': 'text/event-stream'}
        with self.connection_errors():
            async with self.client.stream(
                'GET', path, params=query, headers=headers, timeout=timeout
            ) as response:
                if response.is_error:
                    await response.aread()
                    raise error_from_response(response)
                parser = sse.Parser(MAX_EVENT_BYTES)
                async for data in response.aiter_bytes():
                    for event in parser.feed(data):
                        if event.data:
                            yield orjson.loads(event.data)

    @contextlib.contextmanager
    def connection_errors(self) -> Any:
        """Raises connection errors as `OperatorUnreachable`."""
        try:
            yield
        except (
            httpx.TransportError,
            httpx.InvalidURL,
            errors.UpstreamBroke,
        ) as exc:
            detail = str(exc) or type(exc).__name__
            raise errors.OperatorUnreachable(f'{self.url}: {detail}') from exc


def error_from_response(response: httpx.Response) -> errors.OperatorError:
    """Returns the error that an unsuccessful answer stands for."""
    try:
        document = orjson.loads(response.content)
        kind = document['type'].removeprefix(PROBLEM_PREFIX)
        detail = document['detail']
        faults = document.get('faults', ())
        changes = document.get('difference', ())
    except (ValueError, LookupError, TypeError, AttributeError):
        return errors.OperatorRefused(
            response.status_code, 'no-problem', response.reason_phrase
        )
    lines = [detail]
    if changes:
        lines = [detail.partition(':')[0] + ':']
    lines += [f'  {change}' for change in changes]
    for fault in faults:
        lines.append(
            f'  line {fault["line"]}: {fault["key"]}: {fault["fault"]}; '
            f'allowed: {fault["allowed"]}'
        )
    return errors.OperatorRefused(response.status_code, kind, '\n'.join(lines))
