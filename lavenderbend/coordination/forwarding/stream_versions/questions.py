"""Questions to other routers about the software that began a stream."""

from __future__ import annotations

import attrs
import trio


@attrs.define
class Question:
    """A question to the keepers of a stream, or to routers of all zones.

    Attributes:
        expected: Number of the other routers that vouch for a single version,
            by availability zone.
        software_id: The software that a reply names, None so far.
        not_told: Hosts of those that know of no other software than the one
            asked about, by availability zone.
        answered: Set when a reply names the software, or when no further one
            is expected.
    """

    expected: dict[str, int]
    software_id: int | None = None
    not_told: dict[str, set[str]] = attrs.field(factory=dict)
    answered: trio.Event = attrs.field(factory=trio.Event)

    def note_software(self, software_id: int) -> None:
        """Takes a reply that names the software."""
        self.software_id = software_id
        self.answered.set()

    def note_not_told(self, zone: str, host: str) -> None:
        """Takes the reply of a router that was told of no other software."""
        self.not_told.setdefault(zone, set()).add(host)
        if all(
            self.count(zone) >= count for zone, count in self.expected.items()
        ):
            self.answered.set()

    def count(self, zone: str) -> int:
        """Returns how many routers of a zone were not told."""
        return len(self.not_told.get(zone, ()))

    @property
    def unanimous(self) -> bool:
        """Whether no zone knows of another software.

        One router of each zone suffices; another one may be dead. In a zone
        that does not answer, the stream may have begun.
        """
        if self.software_id is not None or not self.not_told:
            return False
        return all(
            self.count(zone) >= min(count, 1)
            for zone, count in self.expected.items()
        )
