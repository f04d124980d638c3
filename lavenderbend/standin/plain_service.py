"""A stand-in for mailbox and convoy operations: plain calls."""

from __future__ import annotations

import collections
from typing import Any

import attrs
import orjson
import trio

from lavenderbend.protocol import http_limits
from lavenderbend.standin import asgi
from lavenderbend.standin import engine_core
from lavenderbend.standin import runs
from lavenderbend.state import hashing
from lavenderbend.transport import serving

REQUEST_ID = 'x-request-id'
IDEMPOTENCY_KEY = 'idempotency-key'
INSTANT_PREFIXES = ('/alerts/', '/deliveries/')
ONCE_PATHS = ('/replies', '/briefings')
# a call whose connection is reset after it ran: its answer is lost
LOSE_ANSWER = 'lose_answer'
REFUSE = 'refuse'
STALL = 'stall'
SHORT_BODY = 'short_body'
WRONG_ECHO = 'wrong_echo'
FAULTS = (LOSE_ANSWER, REFUSE, STALL, SHORT_BODY, WRONG_ECHO)


@attrs.frozen
class PlainSettings:
    """How a stand-in plain service behaves.

    Attributes:
        name: VM id.
        instant_seconds: Time that an instant call takes.
        once_seconds: Time that a non-idempotent call takes.
        seed: Seed of the instance id.
    """

    name: str = 'service'
    instant_seconds: float = 0.0
    once_seconds: float = 0.003
    seed: int = 1


class PlainService:
    """The ASGI application of one plain service.

    Attributes:
        settings: How it behaves.
        log: Its non-idempotent runs.
        faults: Faults that the next calls meet.
        draining: Whether it refuses new calls as not started.
        instance: Id of the process.
    """

    def __init__(self, settings: PlainSettings) -> None:
        self.settings = settings
        self.log = runs.RunLog()
        self.faults: collections.deque[str] = collections.deque()
        self.draining = False
        self.instance = f'{settings.name}-{settings.seed:012x}'

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one call."""
        if scope['type'] != 'http':
            return
        exchange = asgi.HttpExchange(scope, receive, send)
        try:
            await self.route(exchange, await exchange.read())
        except asgi.CallerLeft:
            return
        except ValueError as exc:
            await exchange.respond_json(400, {'error': str(exc)})

    async def route(self, exchange: asgi.HttpExchange, body: bytes) -> None:
        """Finds what a call asks for."""
        path = exchange.path
        if path == '/standin/runs':
            await exchange.respond_json(200, self.log.to_document())
        elif path == '/standin/faults':
            await self.set_fault(exchange, body)
        elif path in ('/healthz', '/v1/load'):
            await exchange.respond_json(200, self.report())
        elif path.startswith(INSTANT_PREFIXES) and exchange.method == 'GET':
            await trio.sleep(self.settings.instant_seconds)
            await self.answer(exchange, {'path': path, 'state': 'ok'})
        elif path in ONCE_PATHS and exchange.method == 'POST':
            await self.run_once(exchange, body)
        else:
            await self.answer(exchange, {'error': 'no such path'}, 404)

    async def set_fault(self, exchange: asgi.HttpExchange, body: bytes) -> None:
        """Sets faults: `{"kind": ..., "count": ...}`."""
        document = asgi.read_object(body)
        kind = document.get('kind')
        if kind == 'drain':
            self.draining = bool(document.get('on', True))
        elif kind in FAULTS:
            self.faults.extend([kind] * int(document.get('count', 1)))
        else:
            raise ValueError(f'no fault {kind!r}')
        await exchange.respond_json(200, {'faults': len(self.faults)})

    def report(self) -> dict[str, Any]:
        """Returns a load report; a plain service states no load."""
        return {
            'instance': self.instance,
            'running': 0,
            'waiting': 0,
            'draining': self.draining,
        }

    async def answer(
        self,
        exchange: asgi.HttpExchange,
        document: dict[str, Any],
        status: int = 200,
    ) -> None:
        """Sends an answer as the next fault changes it."""
        request_id = exchange.headers.get(REQUEST_ID, '')
        head = {REQUEST_ID: request_id, 'x-instance': self.instance}
        fault = self.faults.popleft() if self.faults else ''
        if self.draining or fault == REFUSE:
            head['x-not-started'] = '1'
            await exchange.respond_json(503, {'error': 'not started'}, head)
            return
        if fault == STALL:
            await trio.sleep_forever()
        if fault == LOSE_ANSWER:
            await exchange.abort()
            return
        if fault == WRONG_ECHO:
            head[REQUEST_ID] = 'of-another-request'
        body = orjson.dumps(document)
        if fault == SHORT_BODY:
            head['content-length'] = str(len(body))
            await exchange.start(status, head)
            await exchange.write(body[: len(body) // 2])
            await exchange.abort()
            return
        await exchange.respond(status, body, head)

    async def run_once(self, exchange: asgi.HttpExchange, body: bytes) -> None:
        """Runs a call that must not be repeated, and records it."""
        if self.draining or (self.faults and self.faults[0] == REFUSE):
            await self.answer(exchange, {})
            return
        record = self.log.begin(
            runs.RunRecord(
                request_id=exchange.headers.get(REQUEST_ID, ''),
                idempotency_key=exchange.headers.get(IDEMPOTENCY_KEY, ''),
                digest=engine_core.digest_of(body),
                instance=self.instance,
                started=trio.current_time(),
            )
        )
        await trio.sleep(self.settings.once_seconds)
        # once begun, the work is done whether or not anybody listens
        self.log.end(record, trio.current_time(), runs.COMPLETE)
        number = hashing.hash64(record.idempotency_key, body)
        document = {'id': f'{number:016x}', 'path': exchange.path}
        await self.answer(exchange, document, 201)


async def serve(
    host: str,
    port: int,
    service: PlainService,
    *,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a plain service until cancelled, or `shutdown` is set."""
    await serving.serve(
        service,
        host,
        port,
        shutdown=shutdown or trio.Event(),
        limits=http_limits.HttpLimits(idle_seconds=3600.0),
        task_status=task_status,
    )
