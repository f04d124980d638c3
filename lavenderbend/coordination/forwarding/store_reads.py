"""How much of the store is read to know what it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding

# a store under this is read whole: a second call costs more than the 80 ms for
# which it holds a link of 10 Mbit/s
SMALL_STORE_BYTES = 64 * 1024


async def read_again(
    source: interfaces.SnapshotSource, known: forwarding.RawSnapshot
) -> forwarding.RawSnapshot:
    """Returns what the store holds, read by its changes if it is large.

    Thousands of entries, or a configuration of some hundred routes, hold a
    link of 10 Mbit/s for a tenth of a second and more; streams wait behind
    them. The revision alone proves that nothing has changed. What the store
    tells of changes may lack some; it counts if there is one for each
    revision up to the one that was read, and else the store is read whole.

    Args:
        source: The store.
        known: What it held at its revision.

    Raises:
        KeyValueError: It did not answer.
    """
    size = sum(len(item.value) for item in known.items.values())
    if size < SMALL_STORE_BYTES:
        return await source.read()
    newest = await source.newest_revision()
    if newest == known.revision:
        return known
    changes = await source.changes_since(known.revision)
    if changes is None or not changes.complete_to(newest):
        return await source.read()
    return changes.applied_to(known, newest)
