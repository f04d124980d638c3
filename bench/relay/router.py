"""The request path as it is, over an admission that always grants."""

from __future__ import annotations

import hashlib
import itertools
import random

import trio

from bench.relay import stub
from lavenderbend.coordination import dispatch
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import http_limits
from lavenderbend.state import configuration
from lavenderbend.state import decisions
from lavenderbend.state import requests
from lavenderbend.state import upstreams
from lavenderbend.transport import callers
from lavenderbend.transport import serving
from lavenderbend.transport import upstream_clients
from lavenderbend.transport import upstream_http  # noqa: F401
from lavenderbend.transport import upstream_httpx  # noqa: F401

CREDENTIAL = 'bench'
SALT = 'salt'
LONG_SECONDS = 600.0


def document() -> configuration.Configuration:
    """Returns a configuration of the size of a small deployment."""
    others = [
        configuration.Rule(
            f'other-{index}',
            configuration.Then(reject='closed'),
            configuration.When(path=(f'/closed-{index}*',)),
        )
        for index in range(8)
    ]
    chats = configuration.Rule(
        'chats',
        configuration.Then(pool='engines', timeout=LONG_SECONDS),
        configuration.When(path=('/v1/chat/completions',)),
    )
    instant = configuration.Rule(
        'instant',
        configuration.Then(pool='services', priority=requests.Priority.INSTANT),
        configuration.When(path=('/alerts/*',)),
    )
    digest = hashlib.sha256((SALT + CREDENTIAL).encode()).hexdigest()
    return configuration.Configuration(
        rules=(*others, instant, chats),
        customers=(configuration.Customer('one', (f'{SALT}${digest}',)),),
    )


class FixedConfigurations(interfaces.Configurations):
    """One revision for ever."""

    def __init__(self) -> None:
        self.revision = configuration.Revision(1, 'digest', document())

    def current(self) -> configuration.Revision:
        """Returns it."""
        return self.revision

    async def wait_beyond(self, number: int) -> configuration.Revision:
        """Waits for ever."""
        await trio.sleep_forever()
        raise AssertionError


class GrantingAdmission(interfaces.Admission):
    """Always grants; what permits cost is measured by bench.decisions."""

    def __init__(self, engine: upstreams.Vm, service: upstreams.Vm) -> None:
        self.vms = {'engines': engine, 'services': service}
        self.numbers = itertools.count()

    async def acquire(
        self, permit_request: interfaces.PermitRequest
    ) -> interfaces.Permit:
        """Returns a permit."""
        return interfaces.Permit(
            f'r/{next(self.numbers)}',
            self.vms[permit_request.pool],
            'router',
            'first choice',
        )

    def release(self, permit: interfaces.Permit, result: str) -> None:
        """Does nothing."""


class QuietMembership:
    """Takes notes and forgets them."""

    def report(self, upstream: str) -> None:
        """Returns no report."""

    def note_result(self, upstream: str, error: Exception | None) -> None:
        """Does nothing."""

    def note_draining(self, upstream: str) -> None:
        """Does nothing."""


def vm_at(port: int, kind: upstreams.UpstreamKind) -> upstreams.Vm:
    """Returns an upstream on this machine."""
    return upstreams.Vm(kind.value, stub.HOST, port, 'zone', 'all', kind)


async def serve(
    upstream_port: int,
    service_port: int,
    client: str,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled."""
    engine = vm_at(upstream_port, upstreams.UpstreamKind.ENGINE)
    service = vm_at(service_port, upstreams.UpstreamKind.SERVICE)
    answers = http_limits.AnswerLimits(stall_seconds=LONG_SECONDS)
    configurations = FixedConfigurations()
    dispatcher = dispatch.Dispatcher(
        'router',
        configurations,
        rules.RuleSet(),
        GrantingAdmission(engine, service),
        upstream_clients.CLIENTS.get(client)(answers),
        QuietMembership(),
        None,
        None,
        None,
        decisions.DecisionStore(),
        {},
        random.Random(1),
        dispatch.DispatchSettings(answers=answers),
    )
    limits = http_limits.HttpLimits(idle_seconds=LONG_SECONDS)
    app = callers.CallerApp(dispatcher, configurations, limits)
    await serving.serve(
        app,
        stub.HOST,
        0,
        shutdown=trio.Event(),
        limits=limits,
        task_status=task_status,
    )
