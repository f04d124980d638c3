"""Calls to the platform's metadata store."""

from __future__ import annotations

import base64
from typing import Any
from urllib import parse

import attrs
import orjson

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.platform import documents
from lavenderbend.state import forwarding
from lavenderbend.transport import http_calls

RANGE = '/lavenderbend/kv-range'
# the operator's configuration and the entries of upstreams are the only keys;
# one call reads both
ALL_KEYS = ''
MAX_PAGES = 20
# a configuration under this is read along: a second call costs more than the
# 70 ms for which it holds a link of 5 Mbit/s
SMALL_REST_BYTES = 32 * 1024
OK = 200


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
        ValueError: A value is no base64, or more keys follow behind none.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    items = {
        item['key']: forwarding.RawItem(
            int(item['rev']), base64.b64decode(item['value'])
        )
        for item in value['items']
    }
    if value['hasMore'] and not items:
        raise ValueError('more keys behind an empty page')
    return Page(int(value['storeRevision']), items, value['hasMore'])


class PlatformStore(interfaces.SnapshotSource):
    """Reads the platform's store.

    Attributes:
        calls: The connection to it.
        decoded: The items that were decoded last, by key.
    """

    def __init__(self, address: str, timeout_seconds: float) -> None:
        """Makes a client that connects at its first call.

        Args:
            address: URL of the store.
            timeout_seconds: A call without an answer after this has failed.
        """
        url = parse.urlsplit(address)
        self.calls = http_calls.HttpCaller(
            url.hostname or '', url.port or 80, timeout_seconds
        )
        self.decoded: dict[str, documents.Decoded] = {}

    async def read(self) -> forwarding.RawSnapshot:
        """Reads all keys.

        Raises:
            KeyValueError: The store did not answer.
        """
        return await self.read_range(ALL_KEYS)

    async def read_again(
        self, known: forwarding.RawSnapshot
    ) -> forwarding.RawSnapshot:
        """Reads the entries of upstreams, and all keys if others may differ.

        A configuration of some hundred routes, read by one router after the
        other, holds a link of 10 Mbit/s for a tenth of a second each time;
        streams wait behind it, and their events come too late.

        Args:
            known: What the store held at its revision.

        Raises:
            KeyValueError: The store did not answer.
        """
        rest = {
            key: item
            for key, item in known.items.items()
            if not key.startswith(documents.UPSTREAM_PREFIX)
        }
        size = sum(len(item.value) for item in rest.values())
        if size < SMALL_REST_BYTES:
            return await self.read()
        part = await self.read_range(documents.UPSTREAM_PREFIX)
        if not part.shows_all_since(known.revision):
            return await self.read()
        return attrs.evolve(part, items={**rest, **part.items})

    async def read_range(self, prefix: str) -> forwarding.RawSnapshot:
        """Reads the keys that begin so, page by page.

        Raises:
            KeyValueError: The store did not answer.
        """
        items: dict[str, forwarding.RawItem] = {}
        revision = None
        after = ''
        for _ in range(MAX_PAGES):
            page = await self.page(prefix, after)
            # pages are no snapshot: what the first one holds is known to be
            # the newest only as of the first call
            revision = page.revision if revision is None else revision
            items.update(page.items)
            if not page.has_more:
                return forwarding.RawSnapshot(revision, items)
            after = next(reversed(page.items))
        # a part of the store would pass for all of it: upstreams on the
        # pages that were not read would be taken for gone
        raise errors.KeyValueUnavailable(f'more than {MAX_PAGES} pages')

    async def page(self, prefix: str, after: str) -> Page:
        """Reads the keys that begin so, after one.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {'pathPrefix': prefix}
        if after:
            query['after'] = after
        answer = await self.calls.get(f'{RANGE}?{parse.urlencode(query)}')
        if answer.status != OK:
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        try:
            return decode_page(orjson.loads(answer.body))
        except (ValueError, KeyError, TypeError) as exc:
            kind = type(exc).__name__
            raise errors.KeyValueUnavailable(f'no page: {kind} {exc}') from exc

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded.

        Raises:
            CodecError: It cannot be read; the field is named.
        """
        self.decoded = documents.decode_items(raw, self.decoded)
        return documents.snapshot(raw, self.decoded)
