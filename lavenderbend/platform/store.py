"""Calls to the platform's metadata store."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib import parse

import orjson

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.platform import configuration_document
from lavenderbend.platform import snapshot_decoding
from lavenderbend.platform import store_answers
from lavenderbend.state import forwarding
from lavenderbend.transport import http_calls

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')

RANGE = '/lavenderbend/kv-range'
WATCH = '/lavenderbend/kv-watch'
# the operator's configuration and the entries of upstreams are the only keys;
# one call reads both
ALL_KEYS = ''
# no key begins so: an answer with the revision alone
NO_KEYS = 'none/'
MAX_PAGES = 20
# a watch answers at once if there are changes; one that hears nothing is not
# waited for
WATCH_MILLISECONDS = 20
OK = 200
GONE = 410


class PlatformStore(interfaces.SnapshotSource):
    """Reads the platform's store.

    Attributes:
        calls: The connection to it.
        decoded: The items that were decoded last, by key.
        tables: Decodes the configuration.
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
        self.decoded: dict[str, snapshot_decoding.Decoded] = {}
        self.tables = configuration_document.TableDecoder()

    async def read(self) -> forwarding.RawSnapshot:
        """Reads all keys.

        Raises:
            KeyValueError: The store did not answer.
        """
        return await self.read_range(ALL_KEYS)

    async def newest_revision(self) -> int:
        """Returns the store's revision, by a call that returns no item.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        page = await self.page(NO_KEYS, '')
        return page.revision

    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Returns what a watch tells at once, None if it is too long ago.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {
            'pathPrefix': ALL_KEYS,
            'after': str(revision),
            'waitMs': str(WATCH_MILLISECONDS),
        }
        answer = await self.calls.get(f'{WATCH}?{parse.urlencode(query)}')
        if answer.status == GONE:
            return None
        return self.decoded_answer(
            answer, functools.partial(store_answers.decode_changes, revision)
        )

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

    async def page(self, prefix: str, after: str) -> store_answers.Page:
        """Reads the keys that begin so, after one.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {'pathPrefix': prefix}
        if after:
            query['after'] = after
        answer = await self.calls.get(f'{RANGE}?{parse.urlencode(query)}')
        return self.decoded_answer(answer, store_answers.decode_page)

    def decoded_answer(
        self, answer: http_calls.CallAnswer, decoder: Callable[[Any], T]
    ) -> T:
        """Returns what an answer holds.

        Raises:
            KeyValueUnavailable: The store refused, or answered nothing that
                can be read.
        """
        if answer.status != OK:
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        try:
            return decoder(orjson.loads(answer.body))
        except (ValueError, KeyError, TypeError) as exc:
            cause = f'unreadable: {type(exc).__name__} {exc}'
            raise errors.KeyValueUnavailable(cause) from exc

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded.

        Raises:
            CodecError: It cannot be read; the field is named.
        """
        self.decoded = snapshot_decoding.decode_items(
            raw, self.decoded, self.tables
        )
        return snapshot_decoding.snapshot(raw, self.decoded)
