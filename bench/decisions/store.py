"""A key-value service in memory, without faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination import interfaces
from lavenderbend.state import key_values

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class MemoryStore(interfaces.KeyValueStore):
    """Keys in memory; leases do not run out.

    Attributes:
        items: By key.
        calls: Number of calls.
    """

    def __init__(self) -> None:
        self.items: dict[str, key_values.KeyValue] = {}
        self.revision = 0
        self.leases = 0
        self.calls = 0
        self.changed = trio.Event()

    async def read(
        self, key: str, end: str | None = None, limit: int = 0
    ) -> interfaces.ReadResult:
        """Reads a key or a range."""
        self.calls += 1
        last = end if end is not None else key + '\0'
        found = [
            item for name, item in self.items.items() if key <= name < last
        ]
        found.sort(key=lambda item: item.key)
        return interfaces.ReadResult(self.revision, tuple(found))

    async def create(self, key: str, value: bytes, lease: int = 0) -> bool:
        """Writes a key only if it is absent."""
        self.calls += 1
        if key in self.items:
            return False
        self.revision += 1
        self.items[key] = key_values.KeyValue(
            key, value, self.revision, self.revision, lease
        )
        self.changed.set()
        self.changed = trio.Event()
        return True

    async def replace(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Is not needed here."""
        raise NotImplementedError

    async def delete(
        self, key: str, end: str | None = None, mod_revision: int | None = None
    ) -> int:
        """Is not needed here."""
        raise NotImplementedError

    async def grant_lease(self, seconds: float) -> int:
        """Returns a new lease."""
        self.calls += 1
        self.leases += 1
        return self.leases

    async def renew_lease(self, lease: int) -> float:
        """Is not needed here."""
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        """Is not needed here."""
        raise NotImplementedError

    async def watch(
        self, key: str, end: str | None, start_revision: int
    ) -> AsyncIterator[tuple[interfaces.Change, ...]]:
        """Yields new keys as they come."""
        self.calls += 1
        last = end if end is not None else key + '\0'
        seen = start_revision - 1
        while True:
            found = [
                item
                for name, item in self.items.items()
                if key <= name < last and item.mod_revision > seen
            ]
            if found:
                seen = max(item.mod_revision for item in found)
                yield tuple(interfaces.Change(item) for item in found)
                continue
            await self.changed.wait()
