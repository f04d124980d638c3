"""Reads of the store: the whole content, or only its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding

# A store smaller than this is read whole: a second call costs more than the
# 80 ms for which the content occupies a link of 10 Mbit/s.
FULL_READ_BYTES = 64 * 1024


async def read_changes(
    source: interfaces.SnapshotSource, known: forwarding.RawSnapshot
) -> forwarding.RawSnapshot:
    """Returns the store's content, read incrementally if it is large.

    Thousands of entries, or a configuration of some hundred routes, occupy a
    link of 10 Mbit/s for a tenth of a second and more, and streams wait behind
    them. An unchanged revision proves that nothing has changed. The changes
    that the store returns may be incomplete; they are used if there is one for
    each revision up to the newest one. Otherwise the store is read whole.

    Args:
        source: The store.
        known: An earlier content with its revision.

    Raises:
        KeyValueError: The store did not answer.
    """
    size = sum(len(item.value) for item in known.items.values())
    if size < FULL_READ_BYTES:
        return await source.read()
    newest = await source.newest_revision()
    if newest == known.revision:
        return known
    changes = await source.changes_since(known.revision)
    if changes is None or not changes.complete_to(newest):
        return await source.read()
    return changes.applied_to(known, newest)
