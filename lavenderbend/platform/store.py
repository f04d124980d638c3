"""Client of the platform's metadata store."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib import parse

import attrs
import orjson
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.platform import configuration_document
from lavenderbend.platform import field_types
from lavenderbend.platform import part_record_items
from lavenderbend.platform import record_items
from lavenderbend.platform import snapshot_decoding
from lavenderbend.platform import store_answers
from lavenderbend.platform import version_record_items
from lavenderbend.platform import zone_record_items
from lavenderbend.state import forwarding
from lavenderbend.transport import http_calls

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')

RANGE = '/lavenderbend/kv-range'
WATCH = '/lavenderbend/kv-watch'
TRANSACTION = '/lavenderbend/kv-txn'
LEASE = '/lavenderbend/kv-lease'
# The store has no keys but the operator's configuration, the entries of
# upstreams and the records of routers: one call can read all.
ALL_KEYS = ''
# No key has this prefix: the response contains only the revision.
NO_KEYS = 'none/'
MAX_PAGES = 20
# A watch answers at once if there are changes; without any, it is not worth
# waiting longer.
WATCH_MILLISECONDS = 20
MILLISECONDS = 1000
OK = 200
CHANGED_MEANWHILE = 412
GONE = 410


class PlatformStore(
    interfaces.SnapshotSource,
    interfaces.ZoneRecordStore,
    interfaces.VersionRecordStore,
    interfaces.PartRecordStore,
):
    """Reads snapshots and changes from the platform's store, writes records.

    Attributes:
        calls: HTTP client of the store that reads.
        write_calls: HTTP client that writes, since each makes one call at a
            time.
        writing: Held during a call that writes.
        decoded: Items of the last decoded snapshot, by key.
        table_decoder: Decoder of the configuration.
    """

    def __init__(self, address: str, timeout_seconds: float) -> None:
        """Creates a client that connects on its first call.

        Args:
            address: URL of the store.
            timeout_seconds: Time limit of each call.
        """
        url = parse.urlsplit(address)
        host, port = url.hostname or '', url.port or 80
        self.calls = http_calls.HttpCaller(host, port, timeout_seconds)
        self.write_calls = http_calls.HttpCaller(host, port, timeout_seconds)
        self.writing = trio.Lock()
        self.decoded: dict[str, snapshot_decoding.DecodedItem] = {}
        self.table_decoder = configuration_document.TableDecoder()

    async def read(self) -> forwarding.RawSnapshot:
        """Reads all keys.

        Raises:
            KeyValueError: The store did not answer.
        """
        return await self.read_range(ALL_KEYS)

    async def newest_position(self) -> forwarding.StorePosition:
        """Returns the store's position, by a call that returns no items.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        page = await self.read_page(NO_KEYS, '')
        return forwarding.StorePosition(page.era, page.revision)

    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Returns the changes that a watch reports, None if they are compacted.

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
        """Reads all keys with a prefix, page by page.

        Raises:
            KeyValueError: The store did not answer, or came back from a copy
                between two pages.
        """
        items: dict[str, forwarding.RawItem] = {}
        first = None
        after = ''
        for _ in range(MAX_PAGES):
            page = await self.read_page(prefix, after)
            # The pages are not read atomically: the items on the first one
            # are certain to be current only as of the first call.
            first = page if first is None else first
            if page.era != first.era:
                raise errors.KeyValueUnavailable(
                    f'era {page.era} follows {first.era} within a read'
                )
            items.update(page.items)
            if not page.has_more:
                return forwarding.RawSnapshot(
                    first.revision, items, era=first.era
                )
            after = next(reversed(page.items))
        # A part of the store must not be returned as the whole: upstreams on
        # pages that were not read would be treated as removed.
        raise errors.KeyValueUnavailable(
            f'store has more than {MAX_PAGES} pages'
        )

    async def read_page(self, prefix: str, after: str) -> store_answers.Page:
        """Reads one page of the keys with a prefix.

        Args:
            prefix: The prefix.
            after: Last key of the previous page, empty for the first page.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {'pathPrefix': prefix}
        if after:
            query['after'] = after
        answer = await self.calls.get(f'{RANGE}?{parse.urlencode(query)}')
        return self.decoded_answer(answer, store_answers.decode_page)

    async def write_zone_record(
        self, zone: str, position: forwarding.StorePosition, confirmed: bool
    ) -> bool:
        """Writes a zone's record unless it was changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        return await self.write_item(
            zone_record_items.key(zone),
            position.revision,
            zone_record_items.value(confirmed, position.era),
        )

    async def write_version_record(
        self, service: str, revision: int, content: str
    ) -> bool:
        """Writes a service's record unless it was changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        return await self.write_item(
            version_record_items.key(service), revision, content.encode()
        )

    async def write_part_record(
        self, part: int, revision: int, strike: int, seconds: float
    ) -> bool:
        """Writes a part's record unless it was changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        return await self.write_item(
            part_record_items.key(part),
            revision,
            part_record_items.value(strike),
            await self.make_lease(seconds),
        )

    async def remove_part_record(self, part: int, revision: int) -> bool:
        """Removes a part's record unless it was changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        return await self.transact(
            record_items.removal(part_record_items.key(part), revision)
        )

    async def make_lease(self, seconds: float) -> int:
        """Returns a lease at whose end the store removes its items.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        body = {'ttlMs': round(seconds * MILLISECONDS)}
        answer = await self.write_call(LEASE, body)
        return self.decoded_answer(answer, store_answers.decode_lease)

    async def write_item(
        self,
        key: str,
        revision: int,
        value: bytes,
        lease: int = record_items.NO_LEASE,
    ) -> bool:
        """Writes an item unless it was changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        return await self.transact(
            record_items.transaction(key, revision, value, lease)
        )

    async def transact(self, body: dict[str, Any]) -> bool:
        """Makes a change unless its items were changed meanwhile.

        Raises:
            KeyValueUnavailable: The store did not answer, or refused.
        """
        answer = await self.write_call(TRANSACTION, body)
        if answer.status not in (OK, CHANGED_MEANWHILE):
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        return answer.status == OK

    async def write_call(
        self, path: str, body: dict[str, Any]
    ) -> http_calls.CallAnswer:
        """Makes a call that writes, after those of other tasks.

        Raises:
            KeyValueUnavailable: The store did not answer.
        """
        async with self.writing:
            answer = await self.write_calls.post(path, orjson.dumps(body))
            # The next write may be months away.
            self.write_calls.close()
            return answer

    def decoded_answer(
        self, answer: http_calls.CallAnswer, decoder: Callable[[int, Any], T]
    ) -> T:
        """Returns the decoded body of a response.

        Args:
            answer: The response.
            decoder: Decodes the body, given the store's era.

        Raises:
            KeyValueUnavailable: The store refused, or its response cannot be
                decoded.
        """
        if answer.status != OK:
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        try:
            era = store_answers.decode_era(answer.headers)
            return decoder(era, orjson.loads(answer.body))
        except field_types.UNFIT as exc:
            cause = f'unreadable: {type(exc).__name__} {exc}'
            raise errors.KeyValueUnavailable(cause) from exc

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns the decoded snapshot of a read.

        Raises:
            CodecError: An item cannot be decoded; names the field.
        """
        self.decoded = snapshot_decoding.decode_items(
            raw, self.decoded, self.table_decoder
        )
        return snapshot_decoding.snapshot(raw, self.decoded)

    def keep_table(
        self, raw: forwarding.RawSnapshot, kept: forwarding.RawSnapshot
    ) -> forwarding.RawSnapshot:
        """Returns a read with the configuration of an earlier one."""
        key = snapshot_decoding.CONFIGURATION_KEY
        item = attrs.evolve(kept.items[key], revision=forwarding.KEPT_REVISION)
        return raw.with_changes(raw.revision, {key: item}, ())
