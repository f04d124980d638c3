"""The request path on loopback, with fakes in place of the fleet."""

from __future__ import annotations

import contextlib
import functools
import hashlib
import itertools
import random
from typing import Any

import attrs
import httpx
import trio

from lavenderbend import errors
from lavenderbend.coordination import dispatch
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import retries
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import http_limits
from lavenderbend.standin import engine as engine_app
from lavenderbend.standin import plain_service
from lavenderbend.state import claims
from lavenderbend.state import configuration
from lavenderbend.state import decisions
from lavenderbend.state import upstreams
from lavenderbend.transport import callers
from lavenderbend.transport import serving
from lavenderbend.transport import upstream_clients
from lavenderbend.transport import upstream_http  # noqa: F401
from lavenderbend.transport import upstream_httpx  # noqa: F401

HOST = '127.0.0.1'
CREDENTIAL = 'open-sesame'
AUTHORIZATION = {'authorization': f'Bearer {CREDENTIAL}'}
CHAT_PATH = '/v1/chat/completions'


def hashed_credential(credential: str, salt: str = 'salt') -> str:
    digest = hashlib.sha256((salt + credential).encode()).hexdigest()
    return f'{salt}${digest}'


def make_configuration(**then: Any) -> configuration.Configuration:
    chat = configuration.Rule(
        'chats',
        configuration.Then(pool='engines', **then),
        configuration.When(path=(CHAT_PATH,)),
    )
    once = configuration.Rule(
        'once',
        configuration.Then(pool='services', idempotent=False, timeout=5.0),
        configuration.When(path=('/replies', '/briefings')),
    )
    closed = configuration.Rule(
        'closed',
        configuration.Then(reject='not offered'),
        configuration.When(path=('/closed*',)),
    )
    plain = configuration.Rule(
        'plain',
        configuration.Then(pool='services'),
        configuration.When(path=('/alerts/*', '/deliveries/*')),
    )
    customer = configuration.Customer('corte', (hashed_credential(CREDENTIAL),))
    return configuration.Configuration(
        rules=(chat, once, closed, plain), customers=(customer,)
    )


class FakeConfigurations(interfaces.Configurations):
    def __init__(self, document: configuration.Configuration | None) -> None:
        self.document = document

    def current(self) -> configuration.Revision:
        if self.document is None:
            raise errors.NoConfiguration('none yet', 1.0)
        return configuration.Revision(1, 'digest', self.document)

    async def wait_beyond(self, number: int) -> configuration.Revision:
        await trio.sleep_forever()
        raise AssertionError


class FakeMembership:
    def __init__(self) -> None:
        self.results: list[tuple[str, Exception | None]] = []
        self.draining: list[str] = []
        self.engines: dict[str, engine_app.Engine] = {}

    def report(self, upstream: str) -> upstreams.LoadReport | None:
        engine = self.engines.get(upstream)
        if engine is None:
            return None
        return upstreams.LoadReport(upstream, engine.instance, 0, 0)

    def routers(self) -> tuple[str, ...]:
        return ('router-1', 'router-2')

    def note_result(self, upstream: str, error: Exception | None) -> None:
        self.results.append((upstream, error))

    def note_draining(self, upstream: str) -> None:
        self.draining.append(upstream)


class FakeAdmission(interfaces.Admission):
    """Grants permits in order, and prefers upstreams not yet tried."""

    def __init__(self, vms: list[upstreams.Vm]) -> None:
        self.vms = vms
        self.numbers = itertools.count()
        self.open: dict[str, interfaces.Permit] = {}
        self.permit_requests: list[interfaces.PermitRequest] = []
        self.results: list[str] = []
        self.empty = trio.Event()
        self.only_untried = False

    async def acquire(
        self, permit_request: interfaces.PermitRequest
    ) -> interfaces.Permit:
        await trio.lowlevel.checkpoint()
        self.permit_requests.append(permit_request)
        kind = upstreams.UpstreamKind.ENGINE
        if permit_request.pool == 'services':
            kind = upstreams.UpstreamKind.SERVICE
        matching = [vm for vm in self.vms if vm.kind is kind]
        untried = [vm for vm in matching if vm.id not in permit_request.avoid]
        if not untried and not self.only_untried:
            untried = matching
        if not untried:
            raise errors.NoUpstream('no upstream', 1.0)
        permit = interfaces.Permit(
            f'p/{next(self.numbers)}', untried[0], 'router', 'first choice'
        )
        self.open[permit.id] = permit
        return permit

    def release(self, permit: interfaces.Permit, result: str) -> None:
        del self.open[permit.id]
        self.results.append(result)
        if not self.open:
            self.empty.set()
            self.empty = trio.Event()

    async def wait_all_released(self) -> None:
        if self.open:
            await self.empty.wait()


class FakeClaims:
    """An in-memory claims log of one router."""

    def __init__(self) -> None:
        self.outcomes: dict[tuple[str, str], tuple[Any, int]] = {}
        self.digests: dict[tuple[str, str], Any] = {}
        self.recorded: dict[tuple[str, str], trio.Event] = {}
        self.unavailable = False
        self.commit_seconds = 0.0

    async def claim(
        self, customer: str, key: str, digest: Any, deadline: float
    ) -> claims.Claimed | claims.Recorded:
        await trio.lowlevel.checkpoint()
        if self.unavailable:
            raise errors.ClaimUnavailable('no claims now', 1.0)
        token = (customer, key)
        if token not in self.digests:
            self.digests[token] = digest
            self.recorded[token] = trio.Event()
            await trio.sleep(self.commit_seconds)
            return claims.Claimed(token)
        if self.digests[token] != digest:
            raise errors.IdempotencyKeyReused('another body')
        await self.recorded[token].wait()
        return claims.Recorded(*self.outcomes[token])

    async def record(self, token: Any, outcome: Any, status: int) -> None:
        if outcome is errors.Outcome.NOT_RUN:
            del self.digests[token]
            return
        self.outcomes[token] = (outcome, status)
        self.recorded[token].set()


class FakeQuarantine:
    def __init__(self) -> None:
        self.crashes: list[str] = []
        self.refused: set[int] = set()

    def check(self, fingerprint: int) -> None:
        if fingerprint in self.refused:
            raise errors.RequestQuarantined('it crashed upstreams', 60.0)

    def suspect(self, fingerprint: int) -> bool:
        return bool(self.crashes)

    def may_retry(self, fingerprint: int) -> bool:
        return len(self.crashes) < 2

    def survived(self, fingerprint: int) -> None:
        self.crashes.clear()

    async def wait_notices(self, fingerprint: int) -> None:
        pass

    async def crashed(
        self,
        fingerprint: int,
        upstream: str,
        instance: str,
        in_progress: int,
        ran: float,
    ) -> None:
        await trio.lowlevel.checkpoint()
        self.crashes.append(upstream)
        if len(self.crashes) == 2:
            self.refused.add(fingerprint)


@attrs.define
class Path:
    """The request path and its components."""

    engines: list[engine_app.Engine]
    services: list[plain_service.PlainService]
    admission: FakeAdmission
    membership: FakeMembership
    claims: FakeClaims
    quarantine: FakeQuarantine
    decisions: decisions.DecisionStore
    dispatcher: dispatch.Dispatcher
    app: callers.CallerApp
    client: httpx.AsyncClient
    shutdown: trio.Event
    port: int
    budgets: dict[str, retries.RetryBudget]

    def last_decision(self) -> decisions.Decision:
        return next(iter(self.decisions))


def vm(name: str, port: int, kind: upstreams.UpstreamKind) -> upstreams.Vm:
    return upstreams.Vm(name, HOST, port, 'sala-a', 'service', kind)


def engine_settings(index: int, **kwargs: Any) -> engine_app.EngineSettings:
    defaults = {'step_seconds': 0.001, 'load_lag_seconds': 0.0}
    return engine_app.EngineSettings(
        name=f'e{index}', seed=index, **{**defaults, **kwargs}
    )


@contextlib.asynccontextmanager
async def running(
    engines: int = 2,
    services: int = 1,
    answers: http_limits.AnswerLimits | None = None,
    limits: http_limits.HttpLimits | None = None,
    engine_kwargs: dict[str, Any] | None = None,
    held_bytes: int = 64 * 1024,
    client: str = upstream_clients.DEFAULT,
    **then: Any,
):
    answers = answers or http_limits.AnswerLimits(stall_seconds=20.0)
    made_engines = [
        engine_app.Engine(engine_settings(index, **(engine_kwargs or {})))
        for index in range(engines)
    ]
    made_services = [
        plain_service.PlainService(plain_service.PlainSettings(f's{index}'))
        for index in range(services)
    ]
    async with trio.open_nursery() as nursery:
        vms = []
        for index, engine in enumerate(made_engines):
            port = await nursery.start(engine_app.serve, HOST, 0, engine)
            vms.append(vm(f'e{index}', port, upstreams.UpstreamKind.ENGINE))
        for index, service in enumerate(made_services):
            port = await nursery.start(plain_service.serve, HOST, 0, service)
            vms.append(vm(f's{index}', port, upstreams.UpstreamKind.SERVICE))
        configurations = FakeConfigurations(make_configuration(**then))
        admission = FakeAdmission(vms)
        membership = FakeMembership()
        membership.engines = {
            f'e{index}': engine for index, engine in enumerate(made_engines)
        }
        fake_claims = FakeClaims()
        quarantine = FakeQuarantine()
        store = decisions.DecisionStore()
        budgets: dict[str, retries.RetryBudget] = {}
        upstream_client = upstream_clients.CLIENTS.get(client)(answers)
        dispatcher = dispatch.Dispatcher(
            'router-1',
            configurations,
            rules.RuleSet(),
            admission,
            upstream_client,
            membership,
            fake_claims,
            quarantine,
            None,
            store,
            budgets,
            random.Random(1),
            dispatch.DispatchSettings(answers=answers, held_bytes=held_bytes),
        )
        app = callers.CallerApp(dispatcher, configurations, limits, 'sala-a')
        shutdown = trio.Event()
        port = await nursery.start(
            functools.partial(
                serving.serve, app, HOST, 0, shutdown=shutdown, limits=limits
            )
        )
        async with httpx.AsyncClient(
            base_url=f'http://{HOST}:{port}', headers=AUTHORIZATION, timeout=60
        ) as client:
            yield Path(
                made_engines,
                made_services,
                admission,
                membership,
                fake_claims,
                quarantine,
                store,
                dispatcher,
                app,
                client,
                shutdown,
                port,
                budgets,
            )
        await upstream_client.aclose()
        nursery.cancel_scope.cancel()


async def until(predicate: Any) -> None:
    with trio.fail_after(30):
        # the stand-ins have no event for the awaited conditions
        while not predicate():  # noqa: ASYNC110
            await trio.sleep(0.005)


def chat_body(text: str = 'hola', **fields: Any) -> dict[str, Any]:
    return {
        'model': 'model',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': 8,
        **fields,
    }
