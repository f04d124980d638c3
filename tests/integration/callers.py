"""Callers that keep their own record of what they asked and were told."""

from __future__ import annotations

import enum
import json
from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from tests.integration import documents

if TYPE_CHECKING:
    from collections.abc import Sequence

TERMINATOR = 'data: [DONE]'


class Told(enum.Enum):
    """What the caller concludes from the bytes it got."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'


@attrs.define
class Call:
    """One request as its caller saw it.

    Attributes:
        kind: `chat` or `once`.
        customer: Who asked.
        body: What was sent.
        key: Idempotency-Key of a `once` request.
        router: Where it was sent.
        sent: Caller's clock.
        ended: The same.
        told: What the caller concludes.
        request_id: Id in the answer.
        text: Text of a chat answer.
        status: HTTP status, 0 if none came.
        detail: The rest of what came, for the reader of a failed test.
    """

    kind: str
    customer: str
    body: dict[str, Any]
    key: str = ''
    router: str = ''
    sent: float = 0.0
    ended: float = 0.0
    told: Told = Told.UNREACHABLE
    request_id: str = ''
    text: str = ''
    status: int = 0
    detail: str = ''


def read_problem(call: Call, content: bytes) -> None:
    """Takes what a problem document tells."""
    call.detail = content[:300].decode(errors='replace')
    try:
        call.told = Told(json.loads(content)['outcome'])
    except (ValueError, KeyError, TypeError):
        call.told = Told.BROKEN


def read_stream(call: Call, lines: Sequence[str]) -> None:
    """Takes the text of a streamed answer, whole only at its terminator."""
    text = []
    for line in lines:
        if not line.startswith('data: ') or line == TERMINATOR:
            continue
        event = json.loads(line.removeprefix('data: '))
        if 'error' in event:
            call.told = Told(event['error']['outcome'])
            call.detail = line[:300]
            return
        call.request_id = event['id'].removeprefix('chatcmpl-')
        for choice in event['choices']:
            text.append(choice['delta'].get('content') or '')
    call.text = ''.join(text)
    if TERMINATOR in lines:
        call.told = Told.COMPLETE
    else:
        call.told = Told.BROKEN


class Caller:
    """Sends requests and records what it was told.

    Attributes:
        calls: Every request, in order of its end.
    """

    def __init__(self, timeout: float = 40.0) -> None:
        limits = httpx.Limits(max_connections=500)
        self.client = httpx.AsyncClient(timeout=timeout, limits=limits)
        self.calls: list[Call] = []

    def headers(self, call: Call) -> dict[str, str]:
        secret = documents.SECRETS[call.customer]
        headers = {'authorization': f'Bearer {secret}'}
        if call.key:
            headers['idempotency-key'] = call.key
        return headers

    async def chat(
        self,
        url: str,
        customer: str,
        messages: list[dict[str, str]],
        *,
        stream: bool = True,
        max_tokens: int = 24,
    ) -> Call:
        """Sends one turn of a chat."""
        body = {
            'model': 'assistant',
            'messages': messages,
            'stream': stream,
            'max_tokens': max_tokens,
        }
        call = Call('chat', customer, body, router=url)
        return await self.send(call, '/v1/chat/completions')

    async def once(
        self, url: str, customer: str, key: str, body: dict[str, Any]
    ) -> Call:
        """Sends a request that may run at most once."""
        call = Call('once', customer, body, key, url)
        return await self.send(call, '/replies')

    async def send(self, call: Call, path: str) -> Call:
        call.sent = trio.current_time()
        try:
            await self.exchange(call, path)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            call.told = Told.UNREACHABLE
        except httpx.HTTPError as exc:
            # a break after an error event has been told of
            if call.told in (Told.UNREACHABLE, Told.COMPLETE):
                call.told = Told.BROKEN
            call.detail = call.detail or repr(exc)
        call.ended = trio.current_time()
        self.calls.append(call)
        return call

    async def exchange(self, call: Call, path: str) -> None:
        async with self.client.stream(
            'POST',
            call.router + path,
            json=call.body,
            headers=self.headers(call),
        ) as answer:
            call.status = answer.status_code
            call.request_id = answer.headers.get('x-request-id', '')
            if answer.status_code >= 400:
                read_problem(call, await answer.aread())
            elif call.body.get('stream'):
                await self.read_lines(call, answer)
            else:
                self.read_whole(call, json.loads(await answer.aread()))

    async def read_lines(self, call: Call, answer: httpx.Response) -> None:
        """Takes a streamed answer, whole or told to be broken off.

        A router that cannot complete a stream sends an error event and then
        breaks the connection off, so that nothing looks whole.
        """
        lines = []
        try:
            async for line in answer.aiter_lines():
                lines.append(line)
        finally:
            read_stream(call, lines)

    def read_whole(self, call: Call, document: dict[str, Any]) -> None:
        call.told = Told.COMPLETE
        if call.kind == 'chat':
            call.request_id = document['id'].removeprefix('chatcmpl-')
            call.text = document['choices'][0]['message']['content']
        elif document.get('replayed'):
            call.told = Told(document['outcome'])
