"""Answers of the platform's store, decoded into items and changes."""

from __future__ import annotations

import base64
from typing import Any

import attrs

from lavenderbend.platform import field_types
from lavenderbend.state import forwarding


@attrs.frozen
class Page:
    """A part of the store.

    Attributes:
        revision: The store's revision at the call.
        items: By key; at least one if there are more.
        has_more: Whether keys follow behind the last of these.
    """

    revision: int
    items: dict[str, forwarding.RawItem]
    has_more: bool


def decode_page(value: dict[str, Any]) -> Page:
    """Returns an answer of the store, decoded.

    Raises:
        ValueError: A revision is no number, or more keys follow behind none.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    items = {item['key']: decode_item(item) for item in value['items']}
    if value['hasMore'] and not items:
        raise ValueError('more keys behind an empty page')
    return Page(int(value['storeRevision']), items, value['hasMore'])


def decode_changes(since: int, value: dict[str, Any]) -> forwarding.Changes:
    """Returns the changes in an answer of the store.

    Raises:
        ValueError: A revision is no number.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    events = value['events']
    field_types.check_type('events', events, list)
    entries = tuple(decode_change(one) for one in events)
    return forwarding.Changes(since, entries)


def decode_change(value: dict[str, Any]) -> forwarding.Change:
    """Returns one change; raises as `decode_changes` does."""
    field_types.check_type('event', value, dict)
    item = None if value.get('deleted') else decode_item(value)
    return forwarding.Change(int(value['rev']), value['key'], item)


def decode_item(value: dict[str, Any]) -> forwarding.RawItem:
    """Returns one item; raises as `decode_changes` does.

    A value that is no base64 counts as empty, which no reader of values
    takes for sound: it must not cost the other items of its page.
    """
    try:
        content = base64.b64decode(value['value'])
    except (ValueError, TypeError):
        content = b''
    return forwarding.RawItem(int(value['rev']), content)
