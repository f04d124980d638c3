"""Items of the platform's store, decoded into a snapshot."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import orjson

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.platform import upstream_entries
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from lavenderbend.platform import configuration_document

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'

UNREADABLE = metrics.counter(
    'lavenderbend_platform_unreadable_entries_total',
    'Changes of entries that name no upstream to use.',
)


@attrs.frozen
class Decoded:
    """An item of the store, decoded.

    Attributes:
        revision: Revision of its last change.
        value: The table or the upstream, None if it names none.
    """

    revision: int
    value: forwarding.ForwardingTable | forwarding.Upstream | None


def decode_items(
    raw: forwarding.RawSnapshot,
    before: Mapping[str, Decoded],
    tables: configuration_document.TableDecoder,
) -> dict[str, Decoded]:
    """Returns the items that matter, decoded if they have changed.

    A configuration of some hundred routes takes milliseconds to decode, and
    upstreams come and go far more often than it changes.

    Raises:
        CodecError: The configuration cannot be read.
    """
    found: dict[str, Decoded] = {}
    for key, item in raw.items.items():
        known = before.get(key)
        if known is not None and known.revision == item.revision:
            found[key] = known
        elif key == CONFIGURATION_KEY:
            value = parsed(key, item.value, tables.decode)
            found[key] = Decoded(item.revision, value)
        elif key.startswith(UPSTREAM_PREFIX):
            found[key] = Decoded(item.revision, usable_upstream(key, item))
    return found


def usable_upstream(
    key: str, item: forwarding.RawItem
) -> forwarding.Upstream | None:
    """Returns the upstream of an entry, None if it names none to use.

    Any program may write entries. One that cannot be read must not stop the
    others from being followed: all routers would keep an old configuration.
    """
    name = key[len(UPSTREAM_PREFIX) :]
    try:
        found = parsed(
            key,
            item.value,
            lambda value: upstream_entries.upstream(name, value),
        )
        return attrs.evolve(found, revision=item.revision)
    except errors.CodecError as exc:
        UNREADABLE.inc({})
        logs.change('entry_unreadable', revision=item.revision, cause=str(exc))
        return None


def snapshot(
    raw: forwarding.RawSnapshot, decoded: Mapping[str, Decoded]
) -> forwarding.Snapshot:
    """Returns the snapshot that decoded items make."""
    table = decoded.get(CONFIGURATION_KEY)
    found = {
        item.value.instance: item.value
        for key, item in decoded.items()
        if key.startswith(UPSTREAM_PREFIX) and item.value is not None
    }
    return forwarding.Snapshot(
        raw.revision, raw.digest, table and table.value, found, raw
    )


def parsed(key: str, data: bytes, decoder: Callable[[Any], Any]) -> Any:
    """Returns the decoded value of an item.

    Raises:
        CodecError: It cannot be read.
    """
    try:
        return decoder(orjson.loads(data))
    except (orjson.JSONDecodeError, TypeError, AttributeError) as exc:
        raise errors.CodecError(f'{key}: {exc}') from exc
    except (KeyError, ValueError) as exc:
        raise errors.CodecError(f'{key}: field {exc}') from exc
