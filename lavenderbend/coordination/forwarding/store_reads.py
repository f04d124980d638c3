"""Reads of the store: the whole content, or only its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces

# A store smaller than this is read whole: a second call costs more than the
# 80 ms for which the content occupies a link of 10 Mbit/s.
FULL_READ_BYTES = 64 * 1024


async def read_changes(
    source: interfaces.SnapshotSource, known: forwarding.RawSnapshot
) -> forwarding.RawSnapshot:
    """Returns the store's content, read incrementally if it is large.

    Thousands of entries, or a configuration of some hundred routes, occupy a
    link of 10 Mbit/s for a tenth of a second and more, and streams wait behind
    them. An unchanged position proves that nothing has changed. The changes
    that the store returns may be incomplete; they are used if there is one for
    each revision up to the newest one. Otherwise the store is read whole, as it
    is if it has come back from a copy: what changed may then lie beneath the
    known revision.

    Args:
        source: The store.
        known: An earlier content with its revision.

    Raises:
        KeyValueError: The store did not answer.
    """
    size = sum(len(item.value) for item in known.items.values())
    if size < FULL_READ_BYTES:
        return await source.read()
    newest = await source.newest_position()
    if newest.revision < known.revision or is_other_era(newest.era, known):
        return await source.read()
    if newest.revision == known.revision:
        return known
    changes = await source.changes_since(known.revision)
    if changes is None or is_other_era(changes.era, known):
        return await source.read()
    if not changes.complete_to(newest.revision):
        return await source.read()
    return changes.applied_to(known, newest.revision)


def is_other_era(era: int, known: forwarding.RawSnapshot) -> bool:
    """Returns whether the store names another era than that of a content."""
    return era not in (known.era, forwarding.UNNAMED_ERA)


def contradicts(
    raw: forwarding.RawSnapshot, known: forwarding.RawSnapshot
) -> bool:
    """Returns whether a later read shows that the store has lost changes.

    What was changed last at or before the known revision must be as known.
    """
    if raw.revision < known.revision:
        return True
    return any(
        item.revision <= known.revision
        and is_changed(known.items.get(key), item)
        for key, item in raw.items.items()
    )


def is_changed(
    known: forwarding.RawItem | None, item: forwarding.RawItem
) -> bool:
    """Returns whether an item differs from what is known of the store."""
    if known is None:
        return True
    return known.revision != forwarding.KEPT_REVISION and known != item
