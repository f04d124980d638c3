"""The forwarding path as it is, before one upstream that is always known."""

from __future__ import annotations

import os
import random

import trio

from bench.relay import router
from bench.relay import stub
from lavenderbend.coordination.forwarding import attempts
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import forwarder
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import outgoing
from lavenderbend.coordination.forwarding import prompt_holders
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding import silence
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.observe import logs
from lavenderbend.state import configuration
from lavenderbend.state import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import upstreams
from lavenderbend.transport import caller_server
from lavenderbend.transport import upstream_exchanges

SERVICE = 'engines'
ZONE = 'zone'
MAX_CONNECTIONS = 4096
# the stub marks its answers with the request's id alone
HEADERS = forwarding_settings.ForwardHeaders(signature='x-request-id')


class FixedSource(interfaces.SnapshotSource):
    """A store that nobody asks: the bench hands out its snapshot."""

    async def read(self) -> forwarding.RawSnapshot:
        """Waits for ever."""
        await trio.sleep_forever()
        raise AssertionError

    async def newest_position(self) -> forwarding.StorePosition:
        """Is not called."""
        raise AssertionError

    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Is not called."""
        raise AssertionError

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Is not called."""
        raise AssertionError

    def keep_table(
        self, raw: forwarding.RawSnapshot, kept: forwarding.RawSnapshot
    ) -> forwarding.RawSnapshot:
        """Is not called."""
        raise AssertionError


def rule(name: str, path: str) -> forwarding.ForwardRule:
    """Returns a rule for streams that may be resumed."""
    return forwarding.ForwardRule(
        name,
        configuration.When(path=(path,), header={'host': 'bench'}),
        forwarding.Forward(
            (forwarding.PoolShare(SERVICE, 1.0),),
            timeout=router.LONG_SECONDS,
            attempts=2,
            streaming=True,
            resumable=True,
            target=router.LONG_SECONDS,
            max_gap=router.LONG_SECONDS,
        ),
    )


def snapshot(upstream_port: int) -> forwarding.Snapshot:
    """Returns a configuration of the size of a small deployment."""
    others = [
        rule(f'other-{index}', f'/closed-{index}/*') for index in range(8)
    ]
    table = forwarding.ForwardingTable(
        1,
        (*others, rule('chats', '/v1/*')),
        (forwarding.ForwardPool(SERVICE),),
        (forwarding.ForwardCustomer('one', (router.CREDENTIAL,)),),
        forwarding.CallerLimits(idle_seconds=router.LONG_SECONDS),
    )
    vm = upstreams.Vm(
        'i-1',
        stub.HOST,
        upstream_port,
        ZONE,
        SERVICE,
        upstreams.UpstreamKind.SERVICE,
    )
    found = {'i-1': forwarding.Upstream('i-1', vm, 64)}
    raw = forwarding.RawSnapshot(1, {})
    return forwarding.Snapshot(1, raw.digest, table, found, raw)


def make_forwarder(followed: snapshots.Snapshots) -> forwarder.Forwarder:
    """Returns the path with all its parts."""
    known = directory.Directory(followed)
    exchanges = upstream_exchanges.UpstreamExchanges()
    well = health.Health()
    load = loads.Loads()
    found = facts.Facts('bench', lambda fact: None)
    return forwarder.Forwarder(
        request_resolver.RequestResolver(
            followed, HEADERS, router.LONG_SECONDS
        ),
        reserving_chooser.ReservingChooser(
            choice.Chooser(ZONE, known, well, load, 2.0),
            None,
            {},
            lambda: 1,
        ),
        attempts.Attempts(
            exchanges,
            known,
            well,
            load,
            outgoing.OutgoingRequests(
                cached_prompts.CachedPrompts(
                    known, well, prompt_holders.PromptHolders(), {}
                ),
                HEADERS,
            ),
            crashes.CrashDetector(exchanges.accepts, found),
            silence.SilenceDetector(well),
            departures.Departures(followed, known, found),
            HEADERS,
        ),
        budget.RetryBudget(budget.RetryBudgetSettings(), lambda: 7),
    )


def silence_logs() -> None:
    """Has no request write a line: what lines cost is the difference."""
    logs.sample_request = lambda: False
    logs.SUCCESS_BUDGET.rate = logs.SUCCESS_BUDGET.tokens = 0.0


def write_logs() -> None:
    """Sends the lines where a router on a VM sends them: to a descriptor."""
    logs.write_nonblocking(os.open(os.devnull, os.O_WRONLY))


async def serve(
    upstream_port: int,
    with_logs: bool,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled."""
    write_logs() if with_logs else silence_logs()
    followed = snapshots.Snapshots(
        FixedSource(), snapshots.FollowSettings(), random.Random(1)
    )
    path = make_forwarder(followed)
    content = snapshot(upstream_port)
    followed.accept(content, followed.clock())
    server = caller_server.CallerServer(
        path.forward, lambda: content.table.limits, MAX_CONNECTIONS
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(path.attempts.silence.run)
        await server.serve(stub.HOST, 0, task_status=task_status)
