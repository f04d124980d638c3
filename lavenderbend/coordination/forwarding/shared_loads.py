"""Requests on upstreams, as routers tell each other of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.protocol import messages_forwarding
    from lavenderbend.state import forwarding


class SharedLoads:
    """Tells of this router's loads, and takes over those of others.

    A message names an upstream by its place among the instances of a
    snapshot in their order; it says which snapshot by its digest.

    Attributes:
        followed: The snapshot in force.
        loads: Requests on upstreams.
        order: Digest of a snapshot, and its instances in their order.
    """

    def __init__(
        self, followed: snapshots.Snapshots, loads: loads_module.Loads
    ) -> None:
        self.followed = followed
        self.loads = loads
        self.order: tuple[int, list[str]] = (0, [])

    def instances(self, snapshot: forwarding.Snapshot) -> list[str]:
        """Returns the instances of a snapshot in their order."""
        if self.order[0] != snapshot.digest:
            self.order = (snapshot.digest, sorted(snapshot.upstreams))
        return self.order[1]

    def told(self) -> list[int]:
        """Returns this router's loads: pairs of a place and a count."""
        current = self.followed.current
        if current is None:
            return []
        pairs: list[int] = []
        for place, instance in enumerate(self.instances(current)):
            count = self.loads.own.get(instance, 0)
            if count:
                pairs += (place, count)
        return pairs

    def note(self, state: messages_forwarding.RouterState) -> None:
        """Notes what another router has on the upstreams."""
        current = self.followed.current
        if current is None or state.digest != current.digest:
            return
        instances = self.instances(current)
        places = state.loads[::2]
        counts = {
            instances[place]: count
            for place, count in zip(places, state.loads[1::2], strict=False)
            if place < len(instances)
        }
        self.loads.note_peer(state.name, counts)
