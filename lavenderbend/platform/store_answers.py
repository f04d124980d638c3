"""Decoding of the platform store's responses into items and changes."""

from __future__ import annotations

import base64
from typing import Any
from typing import TYPE_CHECKING

import attrs

from lavenderbend.platform import field_types
from lavenderbend.protocol import counts
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Mapping

# Rises each time the store comes back from a copy of its content.
ERA_HEADER = b'store-era'


@attrs.frozen
class Page:
    """One page of the store's items.

    Attributes:
        revision: The store's revision at the time of the call.
        items: Items by key; not empty if `has_more`.
        has_more: Whether there are keys after the last of these.
        era: The store's era, `UNNAMED_ERA` if it does not say.
    """

    revision: int
    items: dict[str, forwarding.RawItem]
    has_more: bool
    era: int


def decode_era(headers: Mapping[bytes, bytes]) -> int:
    """Returns the era that the headers of a response name.

    Raises:
        ValueError: It is no number.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return forwarding.UNNAMED_ERA
    era = counts.parse_count(text.strip())
    if era is None:
        raise ValueError('the era is not a number')
    return era


def decode_page(era: int, value: dict[str, Any]) -> Page:
    """Returns the page in a response of the store.

    Args:
        era: The store's era.
        value: The response.

    Raises:
        ValueError: A revision is not a number, or the page has no items but
            claims that more follow.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    items = {read_key(item): decode_item(item) for item in value['items']}
    if value['hasMore'] and not items:
        raise ValueError('empty page that has more keys after it')
    revision = read_revision(value, 'storeRevision')
    return Page(revision, items, value['hasMore'], era)


def decode_lease(_era: int, value: dict[str, Any]) -> int:
    """Returns the lease in a response of the store.

    Raises:
        KeyError: It is missing.
        TypeError: It is no whole number.
    """
    field_types.check_type('lease', value['lease'], int)
    return value['lease']


def decode_changes(
    since: int, era: int, value: dict[str, Any]
) -> forwarding.Changes:
    """Returns the changes in a response of the store.

    Args:
        since: Revision after which the changes were requested.
        era: The store's era.
        value: The response.

    Raises:
        ValueError: A revision is not a number.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    events = value['events']
    field_types.check_type('events', events, list)
    entries = tuple(decode_change(event) for event in events)
    return forwarding.Changes(since, entries, era)


def decode_change(value: dict[str, Any]) -> forwarding.Change:
    """Returns one change; raises the errors of `decode_changes`."""
    field_types.check_type('event', value, dict)
    item = None if value.get('deleted') else decode_item(value)
    return forwarding.Change(read_revision(value, 'rev'), read_key(value), item)


def decode_item(value: dict[str, Any]) -> forwarding.RawItem:
    """Returns one item; raises the errors of `decode_changes`.

    A value that is not base64 is replaced by an empty one, which every decoder
    of values rejects, so that it does not invalidate the other items of its
    page.
    """
    try:
        content = base64.b64decode(value['value'])
    except (ValueError, TypeError):
        content = b''
    return forwarding.RawItem(read_revision(value, 'rev'), content)


def read_key(value: dict[str, Any]) -> str:
    """Returns the key of an item; raises the errors of `decode_changes`."""
    field_types.check_type('key', value['key'], str)
    return value['key']


def read_revision(value: dict[str, Any], field: str) -> int:
    """Returns a revision; raises the errors of `decode_changes`.

    Messages to other routers carry revisions, and hold no other number.
    """
    revision = value[field]
    field_types.check_type(field, revision, int)
    if revision < 0:
        raise ValueError(f'{field}: less than 0')
    return revision
