"""Items of the platform's store on the versions of a service's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Mapping

# A key with this prefix and the name of a service.
PREFIX = 'stream-versions/'


def version_records(
    items: Mapping[str, forwarding.RawItem],
) -> dict[str, forwarding.VersionRecord]:
    """Returns the records among the items of the store, by service.

    A value that is no text agrees with no upstreams.
    """
    return {
        key[len(PREFIX) :]: forwarding.VersionRecord(
            item.revision, item.value.decode(errors='replace')
        )
        for key, item in items.items()
        if key.startswith(PREFIX)
    }


def key(service: str) -> str:
    """Returns the key of a service's record."""
    return PREFIX + service
