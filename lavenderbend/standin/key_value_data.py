"""What the stand-in of the key-value service holds."""

from __future__ import annotations

import bisect
import collections

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.state import key_values

EVENTS_KEPT = 100_000


@attrs.define
class HeldLease:
    """A lease with its keys.

    Attributes:
        seconds: Granted time.
        expires: Clock at which it lapses.
        keys: Keys that end with it.
    """

    seconds: float
    expires: float
    keys: set[str] = attrs.field(factory=set)


class Data:
    """Keys, leases and past changes, each step taken at once.

    Attributes:
        revision: Store revision.
        items: All keys.
        order: Their names, sorted.
        events: Changes in order, for watches.
        compacted: First revision whose changes are all kept.
        leases: All leases, by id.
        next_lease: The latest id given to a lease.
        watchers: Woken by each change.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, key_values.KeyValue] = {}
        self.order: list[str] = []
        self.events: collections.deque[interfaces.Change] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.compacted = 1
        self.leases: dict[int, HeldLease] = {}
        self.next_lease = 1000
        self.watchers = trio.lowlevel.ParkingLot()

    def names(self, key: str, end: str | None) -> list[str]:
        """Returns the keys that are there, in order."""
        if end is None:
            return [key] if key in self.items else []
        first = bisect.bisect_left(self.order, key)
        last = bisect.bisect_left(self.order, end)
        return self.order[first:last]

    def put(self, key: str, value: bytes, lease: int) -> bool:
        """Writes a key; refused if its lease is gone."""
        if lease and lease not in self.leases:
            raise errors.KeyValueUnavailable('lease not found')
        self.revision += 1
        old = self.items.get(key)
        created = old.create_revision if old else self.revision
        item = key_values.KeyValue(key, value, created, self.revision, lease)
        if old is None:
            bisect.insort(self.order, key)
        elif old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self.items[key] = item
        self.publish(interfaces.Change(item))
        return True

    def remove(self, names: list[str]) -> int:
        """Deletes the keys in one store revision."""
        if not names:
            return 0
        self.revision += 1
        first = bisect.bisect_left(self.order, names[0])
        contiguous = self.order[first : first + len(names)] == names
        if contiguous:
            del self.order[first : first + len(names)]
        for name in names:
            item = self.items.pop(name)
            if not contiguous:
                self.order.remove(name)
            if item.lease in self.leases:
                self.leases[item.lease].keys.discard(name)
            gone = key_values.KeyValue(name, b'', 0, self.revision)
            self.publish(interfaces.Change(gone, deleted=True))
        return len(names)

    def end_lease(self, lease: int) -> None:
        """Forgets a lease and deletes its keys."""
        held = self.leases.pop(lease, None)
        if held is not None:
            self.remove(sorted(held.keys))

    def publish(self, change: interfaces.Change) -> None:
        """Shows a change to the watches."""
        if len(self.events) == EVENTS_KEPT:
            self.compacted = self.events[0].item.mod_revision + 1
        self.events.append(change)
        self.watchers.unpark_all()

    def compact_events(self) -> None:
        """Forgets past changes, as the service does now and then."""
        self.events.clear()
        self.compacted = self.revision + 1
        self.watchers.unpark_all()

    def changes(
        self, key: str, end: str | None, start_revision: int
    ) -> tuple[interfaces.Change, ...]:
        """Returns changes of the keys from a store revision on."""
        found = []
        for change in reversed(self.events):
            if change.item.mod_revision < start_revision:
                break
            name = change.item.key
            if name == key or (end is not None and key <= name < end):
                found.append(change)
        return tuple(reversed(found))
