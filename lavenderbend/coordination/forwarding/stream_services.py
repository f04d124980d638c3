"""Tells whether a rule still names the service that began a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# Streams begin by the former rule for as long as routers may lack the new one.
MARGIN_SECONDS = 3.0
NEVER = float('-inf')


class StreamServices:
    """Knows of which rules the services have changed lately.

    A stream that its caller takes up goes on at the service that began it,
    which its rule names unless the configuration has moved the rule, or shared
    it out otherwise, since the stream began. What two services write does not
    fit together.

    Attributes:
        table: The latest configuration.
        pools: Services of each rule whose streams may be taken up, by name.
        changed_at: Router clock of their last change, by name of the rule.
    """

    def __init__(self, snapshots: snapshots_module.Snapshots) -> None:
        self.table: forwarding.ForwardingTable | None = None
        self.pools: dict[str, tuple[forwarding.PoolShare, ...]] = {}
        self.changed_at: dict[str, float] = {}
        snapshots.on_change.append(self.apply_snapshot)

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the configuration of a snapshot."""
        table = snapshot.table
        if table is None or table is self.table:
            return
        pools = {
            rule.name: rule.then.pools
            for rule in table.rules
            if rule.then.resumable
        }
        before = self.pools
        # the requests of a rule that is gone may come to any other one
        gone = bool(before.keys() - pools.keys())
        now = trio.current_time()
        changed = {
            name: now
            for name in pools
            if self.table is not None
            and (gone or before.get(name) != pools[name])
        }
        self.changed_at = {
            name: changed.get(name, self.changed_at.get(name, NEVER))
            for name in pools
        }
        self.table, self.pools = table, pools

    def tells_origin(self, ticket: tickets.Ticket) -> bool:
        """Returns whether a request's rule names the service of its stream.

        A router that has just started takes its first configuration for one
        that has lasted.
        """
        changed_at = self.changed_at.get(ticket.rule.name, NEVER)
        lasts = ticket.rule.then.timeout + MARGIN_SECONDS
        return trio.current_time() - changed_at >= lasts
