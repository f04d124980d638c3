"""Handlers of membership messages from other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.membership import listing
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib


class MessageHandlers:
    """Handles membership messages that arrive on the peer link.

    Attributes:
        fleet: Membership that owns these handlers.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        link = fleet.link
        link.handle(messages.Ping, self.on_ping)
        link.handle(messages.IndirectPing, self.on_ping_through)
        link.handle(messages.SyncRequest, self.on_sync)
        link.handle(messages.Updates, self.on_updates)
        link.handle(messages.UpstreamProbe, self.on_upstream_probe)

    async def on_ping(
        self, peer_id: str, message: messages.Ping
    ) -> messages.Ack:
        """Acknowledges a probe."""
        self.fleet.processor.merge_updates(message.updates)
        self.fleet.processor.note_responsive(peer_id)
        return messages.Ack(self.fleet.processor.updates_for(peer_id))

    async def on_ping_through(
        self, peer_id: str, message: messages.IndirectPing
    ) -> messages.Ack:
        """Probes a router on behalf of another router.

        Raises:
            PeerUnreachable: The target did not answer.
        """
        self.fleet.processor.merge_updates(message.updates)
        if not await self.fleet.prober.is_reachable(message.target):
            raise errors.PeerUnreachable(message.target)
        return messages.Ack(self.fleet.processor.updates_for(peer_id))

    async def on_updates(self, peer_id: str, message: messages.Updates) -> None:
        """Merges gossiped updates."""
        self.fleet.processor.merge_updates(message.updates)

    async def on_sync(
        self, peer_id: str, message: messages.SyncRequest
    ) -> messages.SyncReply:
        """Returns the whole membership state of this router."""
        self.fleet.processor.merge_updates(message.updates)
        self.fleet.processor.note_responsive(peer_id)
        updates = [self.fleet.table.own_update()]
        updates.extend(
            self.fleet.table.update_of(router)
            for router in self.fleet.table
            if router.state is not None
        )
        now = trio.current_time()
        for upstream, facts in self.fleet.facts.facts.items():
            updates.extend(
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
        if message.include_vm_list:
            updates.extend(
                listing.to_change(entry.vm, entry.state)
                for entry in self.fleet.listing.entries.values()
            )
        return messages.SyncReply([peer.to_wire(update) for update in updates])

    async def on_upstream_probe(
        self, peer_id: str, message: messages.UpstreamProbe
    ) -> None:
        """Fetches the load report of an upstream for another router.

        Raises:
            UpstreamUnreachable: This router does not reach it either.
            NoUpstream: The upstream is not in this router's VM list.
        """
        if self.fleet.listed_vm(message.upstream) is None:
            raise errors.NoUpstream(f'{message.upstream} is not in the VM list')
        if not await self.fleet.poller.poll(message.upstream):
            raise errors.UpstreamUnreachable(message.upstream)
