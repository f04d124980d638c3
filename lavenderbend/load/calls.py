"""Sends one call to a router and reads its complete reply."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import orjson
import trio

from lavenderbend import errors
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_EVENT_BYTES = 1024 * 1024
NOT_RUN = errors.Outcome.NOT_RUN.value


class NotServed(Exception):  # noqa: N818
    """The call was certainly not run; another address may serve it.

    Attributes:
        kind: Problem kind, or the name of the connection error.
        retry: Whether the call may be retried at another address.
    """

    def __init__(self, kind: str, retry: bool) -> None:
        super().__init__(kind)
        self.kind = kind
        self.retry = retry


class CutOff(Exception):  # noqa: N818
    """The reply is incomplete, or it is unknown whether the call was run."""


@attrs.define
class Reply:
    """A complete reply.

    Attributes:
        status: HTTP status.
        request_id: Request id assigned by the router.
        body: The body; empty if the reply was streamed.
        text: Text of a chat answer.
        usage: Token counts of a chat answer.
        first_byte: Seconds until the first byte of the body.
        seconds: Seconds until the end of the reply.
    """

    status: int
    request_id: str
    body: bytes = b''
    text: str = ''
    usage: dict[str, Any] = attrs.field(factory=dict)
    first_byte: float = 0.0
    seconds: float = 0.0


class Caller:
    """Sends calls to one address.

    Attributes:
        client: The HTTP client.
        address: Base URL.
    """

    def __init__(self, address: str, call_seconds: float) -> None:
        self.address = address
        self.client = httpx.AsyncClient(
            base_url=address,
            timeout=httpx.Timeout(call_seconds, connect=2.0),
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=256,
                keepalive_expiry=5.0,
            ),
            trust_env=False,
        )

    async def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        content: bytes = b'',
    ) -> Reply:
        """Sends a call and returns its complete reply.

        Raises:
            NotServed: The call was not run.
            CutOff: The reply is incomplete.
        """
        started = trio.current_time()
        request = self.client.build_request(
            method, path, headers=dict(headers), content=content
        )
        try:
            response = await self.client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise NotServed(type(exc).__name__, True) from exc
        except httpx.HTTPError as exc:
            raise CutOff(f'no answer: {type(exc).__name__}') from exc
        try:
            return await self.read_reply(response, started)
        except (httpx.HTTPError, httpx.StreamError) as exc:
            raise CutOff(f'broken off: {type(exc).__name__}') from exc
        finally:
            with trio.move_on_after(1.0, shield=True):
                await response.aclose()

    async def read_reply(
        self, response: httpx.Response, started: float
    ) -> Reply:
        """Reads a reply to its end."""
        content_type = response.headers.get('content-type', '')
        reply = Reply(
            response.status_code, response.headers.get('x-request-id', '')
        )
        if content_type.startswith('application/problem+json'):
            raise_problem(await response.aread())
        if content_type.startswith(sse.CONTENT_TYPE):
            await read_stream(response, reply, started)
        else:
            reply.body = await response.aread()
            reply.first_byte = trio.current_time() - started
        reply.seconds = trio.current_time() - started
        return reply

    async def aclose(self) -> None:
        """Closes all connections."""
        await self.client.aclose()


def raise_problem(body: bytes) -> None:
    """Raises the error that a problem document describes.

    Raises:
        NotServed: The document says that the call was not run.
        CutOff: It says anything else.
    """
    document = orjson.loads(body)
    kind = str(document.get('type', '')).rpartition(':')[2]
    if document.get('outcome') == NOT_RUN:
        retry = document.get('status') in (429, 503)
        raise NotServed(kind, retry)
    raise CutOff(f'{kind}: {document.get("detail")}')


async def read_stream(
    response: httpx.Response, reply: Reply, started: float
) -> None:
    """Reads a streamed chat answer up to its terminator."""
    parser = sse.Parser(MAX_EVENT_BYTES)
    chunks: list[str] = []
    done = False
    async for data in response.aiter_raw():
        if not reply.first_byte:
            reply.first_byte = trio.current_time() - started
        for event in parser.feed(data):
            if event.done:
                done = True
            elif event.name == b'error':
                raise CutOff(event.data.decode(errors='replace'))
            else:
                read_event(event.data, chunks, reply)
    if not done:
        raise CutOff('the stream ended before its terminator')
    reply.text = ''.join(chunks)


def read_event(data: bytes, chunks: list[str], reply: Reply) -> None:
    """Reads the text and the token usage from one event."""
    try:
        chunks.append(openai.read_chunk(data).text)
    except errors.UpstreamBroke as exc:
        raise CutOff('garbage in the stream') from exc
    if b'"usage"' in data:
        reply.usage = orjson.loads(data).get('usage') or {}


def read_chat_answer(reply: Reply) -> None:
    """Reads text and token usage from a chat answer that was not streamed."""
    try:
        document = orjson.loads(reply.body)
        reply.text = document['choices'][0]['message']['content']
        reply.usage = document.get('usage') or {}
    except (ValueError, LookupError, TypeError) as exc:
        raise CutOff('the answer is no chat answer') from exc
