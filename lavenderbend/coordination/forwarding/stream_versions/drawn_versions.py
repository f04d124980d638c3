"""The software that a new stream begins at, drawn from its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination.forwarding import directory as directory_module
from lavenderbend.state import hashing
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# Sets of regions for which draws are kept.
MAX_KEPT = 1000


class DrawnVersions:
    """Draws the software that the streams of a service begin at.

    It is that of the first upstream in the rendezvous order of the stream's
    chat, so that a chat stays where its prompt is cached, and each version
    gets a share by the number of its upstreams. Only what the store shows
    counts: routers with the same snapshot draw the same.

    Attributes:
        directory: Knows the regions of availability zones.
        staying: Upstreams that are not leaving and in no drained zone, by
            service.
        candidates: These with their order, by service and regions.
    """

    def __init__(self, directory: directory_module.Directory) -> None:
        self.directory = directory
        self.staying: dict[str, list[forwarding.Upstream]] = {}
        self.candidates: dict[
            tuple[str, frozenset[str] | None], directory_module.Candidates
        ] = {}

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the upstreams of a snapshot."""
        self.candidates.clear()
        self.staying.clear()
        for upstream in snapshot.upstreams.values():
            leaving = upstream.vm.state is not upstreams.VmState.LIVE
            zone = upstream.vm.availability_zone
            if not leaving and zone not in snapshot.drained_zones:
                self.staying.setdefault(upstream.vm.service, []).append(
                    upstream
                )

    def digest(self, service: str) -> str:
        """Returns a text that is equal where all draws of a service are."""
        names = sorted(
            f'{upstream.instance} {upstream.software_id}'
            for upstream in self.staying.get(service, ())
        )
        return f'{hashing.hash64(*names):016x}'

    def software_id(
        self, service: str, regions: frozenset[str] | None, key: str
    ) -> int | None:
        """Returns the software drawn for a stream, None if there is none.

        Args:
            service: The service.
            regions: The regions that it may run in, None for all.
            key: Its chat, or the id of the request that began it.
        """
        candidates = self.candidates.get((service, regions))
        if candidates is None:
            candidates = self.make_candidates(service, regions)
        first = candidates.rendezvous.first(key)
        return None if first is None else candidates.by_name[first].software_id

    def make_candidates(
        self, service: str, regions: frozenset[str] | None
    ) -> directory_module.Candidates:
        """Returns and keeps the upstreams of a service in some regions."""
        if len(self.candidates) >= MAX_KEPT:
            self.candidates.clear()
        candidates = directory_module.make_candidates(
            upstream
            for upstream in self.staying.get(service, ())
            if self.directory.is_in(upstream, regions)
        )
        self.candidates[service, regions] = candidates
        return candidates
