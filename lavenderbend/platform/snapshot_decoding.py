"""Decoding of the platform store's items into a snapshot."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import orjson

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.platform import field_types
from lavenderbend.platform import part_record_items
from lavenderbend.platform import upstream_entries
from lavenderbend.platform import version_record_items
from lavenderbend.platform import zone_record_items
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from lavenderbend.platform import configuration_document

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
# A key with this prefix and the name of a zone exists while the zone is
# drained; its value says nothing.
DRAINED_PREFIX = 'op/evacuate/'
# Causes quote the values of other programs.
MAX_CAUSE_CHARACTERS = 300

UNREADABLE = metrics.counter(
    'lavenderbend_platform_unreadable_entries_total',
    'Changes of entries that name no upstream to use.',
)


@attrs.frozen
class DecodedItem:
    """A decoded item of the store.

    Attributes:
        item: The item.
        value: The table or the upstream, None if the entry is not usable.
    """

    item: forwarding.RawItem
    value: forwarding.ForwardingTable | forwarding.Upstream | None


def decode_items(
    raw: forwarding.RawSnapshot,
    before: Mapping[str, DecodedItem],
    table_decoder: configuration_document.TableDecoder,
) -> dict[str, DecodedItem]:
    """Returns the configuration and upstreams; decodes only changed items.

    A configuration with hundreds of routes takes milliseconds to decode, and
    entries of upstreams change far more often than the configuration.

    Args:
        raw: The items as read.
        before: Result for the previous snapshot.
        table_decoder: Decoder of the configuration.

    Raises:
        CodecError: The configuration cannot be decoded.
    """
    decoded: dict[str, DecodedItem] = {}
    for key, item in raw.items.items():
        previous = before.get(key)
        if previous is not None and previous.item == item:
            decoded[key] = previous
        elif key == CONFIGURATION_KEY:
            value = decode_json(key, item.value, table_decoder.decode)
            decoded[key] = DecodedItem(item, value)
        elif key.startswith(UPSTREAM_PREFIX):
            decoded[key] = DecodedItem(item, decode_upstream(key, item))
    return decoded


def decode_upstream(
    key: str, item: forwarding.RawItem
) -> forwarding.Upstream | None:
    """Returns the upstream of an entry, None if the entry is invalid.

    Any program can write entries. An invalid one must not prevent the use of
    the others: all routers would otherwise keep an outdated configuration.
    """
    name = key[len(UPSTREAM_PREFIX) :]
    try:
        upstream = decode_json(
            key,
            item.value,
            lambda value: upstream_entries.upstream(name, value),
        )
        return attrs.evolve(upstream, revision=item.revision)
    except errors.CodecError as exc:
        UNREADABLE.inc({})
        cause = str(exc)[:MAX_CAUSE_CHARACTERS]
        logs.change('entry_unreadable', revision=item.revision, cause=cause)
        return None


def snapshot(
    raw: forwarding.RawSnapshot, decoded: Mapping[str, DecodedItem]
) -> forwarding.Snapshot:
    """Returns the snapshot of decoded items."""
    table = decoded.get(CONFIGURATION_KEY)
    by_instance = {
        item.value.instance: item.value
        for key, item in decoded.items()
        if key.startswith(UPSTREAM_PREFIX) and item.value is not None
    }
    drained = {
        key[len(DRAINED_PREFIX) :]: item.revision
        for key, item in raw.items.items()
        if key.startswith(DRAINED_PREFIX)
    }
    return forwarding.Snapshot(
        raw.revision,
        raw.digest,
        table and table.value,
        by_instance,
        raw,
        drained,
        zone_record_items.zone_records(raw),
        version_record_items.version_records(raw.items),
        part_record_items.part_records(raw.items),
    )


def decode_json(key: str, data: bytes, decoder: Callable[[Any], Any]) -> Any:
    """Returns the decoded value of an item.

    Args:
        key: Key of the item, named in errors.
        data: Value of the item, JSON.
        decoder: Decodes the parsed JSON.

    Raises:
        CodecError: The value cannot be decoded.
    """
    try:
        return decoder(orjson.loads(data))
    except orjson.JSONDecodeError as exc:
        raise errors.CodecError(f'{key}: {exc}') from exc
    except (KeyError, ValueError) as exc:
        raise errors.CodecError(f'{key}: field {exc}') from exc
    except field_types.UNFIT as exc:
        raise errors.CodecError(f'{key}: {exc}') from exc
