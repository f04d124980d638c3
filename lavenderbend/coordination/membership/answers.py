"""Answers to the messages of membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.membership import listing
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib


class Answers:
    """Handlers of the link.

    Attributes:
        fleet: The membership.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        link = fleet.link
        link.handle(messages.Ping, self.on_ping)
        link.handle(messages.PingThrough, self.on_ping_through)
        link.handle(messages.SyncAsk, self.on_sync)
        link.handle(messages.Updates, self.on_updates)
        link.handle(messages.UpstreamProbe, self.on_upstream_probe)

    async def on_ping(self, peer_id: str, item: messages.Ping) -> messages.Ack:
        """Answers a probe."""
        self.fleet.news.take_updates(item.updates)
        self.fleet.news.note_answer(peer_id)
        return messages.Ack(self.fleet.news.updates_for(peer_id))

    async def on_ping_through(
        self, peer_id: str, item: messages.PingThrough
    ) -> messages.Ack:
        """Probes a router for another.

        Raises:
            PeerUnreachable: It did not answer.
        """
        self.fleet.news.take_updates(item.updates)
        if not await self.fleet.prober.reaches(item.target):
            raise errors.PeerUnreachable(item.target)
        return messages.Ack(self.fleet.news.updates_for(peer_id))

    async def on_updates(self, peer_id: str, item: messages.Updates) -> None:
        """Takes urgent updates."""
        self.fleet.news.take_updates(item.updates)

    async def on_sync(
        self, peer_id: str, item: messages.SyncAsk
    ) -> messages.SyncAnswer:
        """Tells a router all that this one believes."""
        self.fleet.news.take_updates(item.updates)
        self.fleet.news.note_answer(peer_id)
        known = [self.fleet.table.own_update()]
        known.extend(
            self.fleet.table.update_of(other)
            for other in self.fleet.table
            if other.state is not None
        )
        now = trio.current_time()
        for upstream, facts in self.fleet.facts.facts.items():
            known.extend(
                messages.UpstreamFact(
                    upstream,
                    int(kind),
                    observer,
                    fact.sequence,
                    max(fact.until - now, 0.0),
                    fact.instance,
                )
                for (kind, observer), fact in facts.items()
                if fact.until > now
            )
        if item.want_list:
            known.extend(
                listing.to_change(line.vm, line.state)
                for line in self.fleet.listing.lines.values()
            )
        return messages.SyncAnswer([peer.to_wire(update) for update in known])

    async def on_upstream_probe(
        self, peer_id: str, item: messages.UpstreamProbe
    ) -> None:
        """Tries an upstream for another router.

        Raises:
            UpstreamUnreachable: This router does not reach it either.
            NoUpstream: This router does not know it.
        """
        if self.fleet.listed_vm(item.upstream) is None:
            raise errors.NoUpstream(f'{item.upstream} is not listed here')
        if not await self.fleet.poller.poll(item.upstream):
            raise errors.UpstreamUnreachable(item.upstream)
