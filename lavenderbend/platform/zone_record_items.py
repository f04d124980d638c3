"""Items of the platform's store that record which zones have routers."""

from __future__ import annotations

from lavenderbend.state import forwarding

# A key with this prefix and the name of a zone.
PREFIX = 'router-zones/'
ANNOUNCED = b'announced'
CONFIRMED = b'confirmed'


def zone_records(
    raw: forwarding.RawSnapshot,
) -> dict[str, forwarding.ZoneRecord]:
    """Returns the records among the items of the store, by zone.

    A value of another program, or of an earlier era, counts as not confirmed.
    """
    confirmed = value(True, raw.era)
    return {
        key[len(PREFIX) :]: forwarding.ZoneRecord(
            item.revision, item.value == confirmed
        )
        for key, item in raw.items.items()
        if key.startswith(PREFIX)
    }


def key(zone: str) -> str:
    """Returns the key of a zone's record."""
    return PREFIX + zone


def value(confirmed: bool, era: int) -> bytes:
    """Returns the value of a record that is written in an era of the store."""
    if not confirmed:
        return ANNOUNCED
    return CONFIRMED + f' {era}'.encode() if era > 0 else CONFIRMED
