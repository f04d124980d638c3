"""Items of the platform's store that record which zones have routers."""

from __future__ import annotations

import base64
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Mapping

# A key with this prefix and the name of a zone.
PREFIX = 'router-zones/'
ANNOUNCED = b'announced'
CONFIRMED = b'confirmed'
# A record outlives its writers: it has no lease.
NO_LEASE = 0


def zone_records(
    items: Mapping[str, forwarding.RawItem],
) -> dict[str, forwarding.ZoneRecord]:
    """Returns the records among the items of the store, by zone.

    A value of another program counts as not confirmed.
    """
    return {
        key[len(PREFIX) :]: forwarding.ZoneRecord(
            item.revision, item.value == CONFIRMED
        )
        for key, item in items.items()
        if key.startswith(PREFIX)
    }


def transaction(zone: str, revision: int, confirmed: bool) -> dict[str, Any]:
    """Returns the body of the call that writes a record.

    Args:
        zone: The availability zone.
        revision: Revision of the record to replace, 0 if there is none.
        confirmed: Whether the record is confirmed.
    """
    key = PREFIX + zone
    value = CONFIRMED if confirmed else ANNOUNCED
    item = {
        'key': key,
        'value': base64.b64encode(value).decode(),
        'lease': NO_LEASE,
    }
    return {
        'ifRev': [{'key': key, 'rev': revision}],
        'writes': [item],
        'remove': [],
    }
