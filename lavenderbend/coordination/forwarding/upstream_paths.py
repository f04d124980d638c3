"""The paths from this router to upstreams: its own, or through another router.

A router that cannot open a connection to an upstream does not know whether the
upstream is down or its own path is cut. It asks other routers to connect: one
that does relays the connection, and the upstream is known to be up.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import staggered
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from lavenderbend.coordination.forwarding import (
        reachability as reachability_module,
    )
    from lavenderbend.coordination.forwarding import relays as relays_module
    from lavenderbend.state import forwarding

# Connections open within a few milliseconds; after this time other routers are
# asked too.
HEDGE_SECONDS = 0.1
# Time after which the next router is asked.
NEXT_RELAY_SECONDS = 0.1
# Time for all other paths together.
CONNECT_SECONDS = 0.6
# Routers that are asked for one connection. Where a whole zone is cut off, the
# first of them may be so too.
MAX_RELAYS = 3
# An upstream that another router could not reach a moment ago is not asked
# about again.
UNREACHED_SECONDS = 0.5
# How often the own path to upstreams that are reached through others is tried.
PROBE_SECONDS = 0.5
MAX_PROBES = 16
# The cause logged where the own path was not tried.
ALL_LOST = 'no upstream is reached'

RELAY_REQUESTS = metrics.counter(
    'lavenderbend_forward_relay_requests_total',
    'Routers asked to connect to an upstream, by outcome.',
)
CUT = metrics.gauge(
    'lavenderbend_forward_upstreams_cut',
    'Upstreams that other routers reach and this one does not.',
)


@attrs.define
class PathRecord:
    """What is known of the paths to one upstream.

    Attributes:
        upstream: The upstream.
        cut_since: Router clock since which only other routers reach it, None
            if this router does or it is not known.
        unreached_until: Router clock until which another router's finding
            that it does not reach the upstream holds.
    """

    upstream: forwarding.Upstream
    cut_since: float | None = None
    unreached_until: float = 0.0


class UpstreamPaths(interfaces.Exchanges):
    """Opens connections to upstreams by the path that works.

    Attributes:
        connections: Opens and keeps connections.
        reachability: Whether this router reaches upstreams itself.
        relays: Other routers that may relay connections.
        records: What is known of the paths, by instance.
    """

    def __init__(
        self,
        connections: interfaces.DirectExchanges,
        reachability: reachability_module.Reachability,
        relays: relays_module.Relays,
    ) -> None:
        self.connections = connections
        self.reachability = reachability
        self.relays = relays
        self.records: dict[str, PathRecord] = {}

    def record(self, upstream: forwarding.Upstream) -> PathRecord:
        """Returns the record of an upstream, created if there is none."""
        return self.records.setdefault(upstream.instance, PathRecord(upstream))

    def is_cut(self, instance: str) -> bool:
        """Returns whether only other routers reach an upstream."""
        record = self.records.get(instance)
        return record is not None and record.cut_since is not None

    def any_cut(self) -> bool:
        """Returns whether any upstream is reached only by other routers."""
        return any(map(self.is_cut, self.records))

    def found_unreached(self, instance: str) -> bool:
        """Returns whether another router has just failed to reach it."""
        record = self.records.get(instance)
        if record is None:
            return False
        return record.unreached_until > trio.current_time()

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream accepts a connection now."""
        cut = self.is_cut(upstream.instance)
        if not cut and await self.connections.accepts(upstream):
            return True
        return await self.reached_by_others(upstream)

    async def reached_by_others(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether another router reaches an upstream now."""
        try:
            exchange = await self.connect_by_relays(upstream)
        except errors.UpstreamWithdrawn:
            return False
        if exchange is None:
            return False
        exchange.close()
        return True

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> interfaces.Exchange:
        """Returns a connection that no other request uses.

        Raises:
            UpstreamUnreachable: No path leads to it; nothing was sent.
        """
        idle = self.connections.reuse(upstream, repeatable)
        if idle is not None:
            return idle
        if self.is_cut(upstream.instance) or self.reachability.lost:
            exchange = await self.connect_by_relays(upstream)
            if exchange is not None:
                self.note_cut(upstream, exchange.relay, ALL_LOST)
                return exchange
        return await self.connect(upstream)

    async def connect(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a new connection, by the own path if it works.

        Raises:
            UpstreamUnreachable: No path leads to the upstream.
        """
        began = trio.current_time()
        try:
            with trio.move_on_after(HEDGE_SECONDS):
                return await self.connect_directly(upstream)
        except errors.UpstreamUnreachable as exc:
            exchange = await self.connect_by_relays(upstream)
            cause: errors.UpstreamUnreachable = exc
        else:
            exchange = await self.connect_by_any(upstream)
            cause = errors.UpstreamUnreachable(
                'no path to the upstream in time', errors.ConnectFailure.TIMEOUT
            )
        if exchange is not None and not exchange.relay:
            return exchange
        if not self.found_unreached(upstream.instance):
            self.reachability.note_failed(
                upstream.instance, cause.failure.value
            )
        if exchange is None:
            raise cause
        if cause.failure is errors.ConnectFailure.TIMEOUT:
            self.connections.close_silent(began)
        self.note_cut(upstream, exchange.relay, cause.failure.value)
        return exchange

    async def connect_directly(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a new connection by this router's own path.

        Raises:
            UpstreamUnreachable: It does not lead to the upstream.
        """
        exchange = await self.connections.connect(upstream)
        self.note_direct(upstream.instance)
        return exchange

    async def connect_by_any(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange | None:
        """Returns the first connection by any path, None if none works."""
        ways = [
            functools.partial(self.connect_directly, upstream),
            functools.partial(self.require_relay, upstream),
        ]
        race = staggered.StaggeredConnect[interfaces.Exchange]()
        with trio.move_on_after(CONNECT_SECONDS):
            return await race.run(ways, 0.0)
        return None

    async def require_relay(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a connection through another router.

        Raises:
            RelayUnavailable: None relays one.
        """
        exchange = await self.connect_by_relays(upstream)
        if exchange is None:
            raise errors.RelayUnavailable('no router relays a connection')
        return exchange

    async def connect_by_relays(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange | None:
        """Returns a connection through another router, None if none relays.

        Raises:
            UpstreamWithdrawn: Another router knows that the upstream takes no
                requests now.
        """
        if self.found_unreached(upstream.instance):
            return None
        refusals: list[errors.UpstreamUnreachable] = []
        ways = [
            functools.partial(self.connect_through, upstream, host, refusals)
            for host in self.relays.choose(MAX_RELAYS)
        ]
        race = staggered.StaggeredConnect[interfaces.Exchange]()
        with trio.move_on_after(CONNECT_SECONDS):
            exchange = await race.run(ways, NEXT_RELAY_SECONDS)
            if exchange is not None:
                return exchange
        self.note_refusals(upstream, refusals)
        return None

    async def connect_through(
        self,
        upstream: forwarding.Upstream,
        host: str,
        refusals: list[errors.UpstreamUnreachable],
    ) -> interfaces.Exchange:
        """Returns a connection through one router.

        Args:
            upstream: The upstream.
            host: The router.
            refusals: Gets the error if there is one.

        Raises:
            UpstreamUnreachable: The router relays none.
        """
        outcome = 'cancelled'
        try:
            exchange = await self.connections.connect_through(upstream, host)
            outcome = 'connected'
        except errors.UpstreamUnreachable as exc:
            outcome = type(exc).__name__
            refusals.append(exc)
            if isinstance(exc, errors.RelayUnavailable):
                self.relays.note_failed(host)
            raise
        finally:
            RELAY_REQUESTS.inc({'outcome': outcome})
        self.relays.note_connected(host)
        return exchange

    def note_refusals(
        self,
        upstream: forwarding.Upstream,
        refusals: Iterable[errors.UpstreamUnreachable],
    ) -> None:
        """Records why no router relays a connection to an upstream.

        Raises:
            UpstreamWithdrawn: The upstream takes no requests now.
        """
        for refusal in refusals:
            if isinstance(refusal, errors.UpstreamWithdrawn):
                raise refusal
            if not isinstance(refusal, errors.RelayUnavailable):
                until = trio.current_time() + UNREACHED_SECONDS
                self.record(upstream).unreached_until = until

    def note_cut(
        self,
        upstream: forwarding.Upstream,
        relay: str,
        cause: str,
    ) -> None:
        """Records that only another router reaches an upstream."""
        record = self.record(upstream)
        if record.cut_since is not None:
            return
        record.cut_since = trio.current_time()
        self.report_cut()
        logs.change(
            'upstream_path_cut',
            upstream=upstream.instance,
            cause=cause,
            relay=relay,
        )

    def note_direct(self, instance: str) -> None:
        """Records that this router's own path leads to an upstream."""
        self.reachability.note_connected()
        record = self.records.pop(instance, None)
        if record is None or record.cut_since is None:
            return
        self.report_cut()
        logs.change(
            'upstream_path_regained',
            upstream=instance,
            seconds=round(trio.current_time() - record.cut_since, 3),
        )

    def report_cut(self) -> None:
        """Sets the metric of the upstreams that only others reach."""
        CUT.set({}, sum(map(self.is_cut, self.records)))

    def note_relay_failed(self, relay: str) -> None:
        """Records that an exchange through another router failed there."""
        self.relays.note_failed(relay)

    def retain(self, instances: Collection[str]) -> None:
        """Drops the records of all upstreams but the given ones."""
        for name in [name for name in self.records if name not in instances]:
            del self.records[name]
        self.report_cut()

    async def run(self) -> None:
        """Tries the own path to upstreams that only others reach."""
        while True:
            await trio.sleep(PROBE_SECONDS)
            cut = [
                record
                for record in self.records.values()
                if record.cut_since is not None
            ]
            async with trio.open_nursery() as nursery:
                # tried records move to the end, so that each has its turn
                for record in cut[:MAX_PROBES]:
                    nursery.start_soon(self.probe, record)

    async def probe(self, record: PathRecord) -> None:
        """Tries the own path to an upstream and keeps its connection."""
        instance = record.upstream.instance
        if self.records.pop(instance, None) is not None:
            self.records[instance] = record
        if await self.connections.accepts(record.upstream):
            self.note_direct(instance)
