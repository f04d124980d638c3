"""Calls to the platform's metadata store."""

from __future__ import annotations

import base64
from typing import Any
from urllib import parse

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
OK = 200


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
        """Reads all keys, page by page.

        Raises:
            KeyValueError: The store did not answer.
        """
        items: dict[str, forwarding.RawItem] = {}
        revision = None
        after = ''
        for _ in range(MAX_PAGES):
            page = await self.page(after)
            # pages are no snapshot: what the first one holds is known to be
            # the newest only as of the first call
            revision = page['storeRevision'] if revision is None else revision
            for item in page['items']:
                value = base64.b64decode(item['value'])
                items[item['key']] = forwarding.RawItem(item['rev'], value)
            if not page['hasMore']:
                break
            after = page['items'][-1]['key']
        return forwarding.RawSnapshot(revision, items)

    async def page(self, after: str) -> dict[str, Any]:
        """Reads the keys after one.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {'pathPrefix': ALL_KEYS}
        if after:
            query['after'] = after
        answer = await self.calls.get(f'{RANGE}?{parse.urlencode(query)}')
        if answer.status != OK:
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        try:
            return orjson.loads(answer.body)
        except orjson.JSONDecodeError as exc:
            raise errors.KeyValueUnavailable(f'no JSON: {exc}') from exc

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded.

        Raises:
            CodecError: It cannot be read; the field is named.
        """
        self.decoded = documents.decode_items(raw, self.decoded)
        return documents.snapshot(raw, self.decoded)
