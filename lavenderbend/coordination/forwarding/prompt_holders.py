"""Upstreams that hold prompt parts and can't be derived by hashing."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import packed_rows
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import choice

# Chats without a new request for this long are rarely cached any more.
HOLDER_TTL_SECONDS = 30.0
# A known holder is announced again if it was seen this much later.
REANNOUNCE_SECONDS = 5.0
# Holders kept for each part. One of them may die, and a single one would serve
# copies of a shared prefix to all other upstreams, one after the other.
MAX_HOLDERS = 3
MAX_PARTS = 5000
# If there are more than this, none of them is the prefix of many chats.
MAX_SHARED_PREFIXES = 200
# How often one router sends a row. Four in a hundred routers miss it, and can't
# name a copy source for their next request.
TRANSMISSIONS = 4
MAX_PENDING_ROWS = 400
# Rows in one message to a router of the same or of another zone, 9 bytes each.
MAX_ROWS_SAME_ZONE = 16
MAX_ROWS_OTHER_ZONE = 20
# Parts of a prompt that begins with a shared prefix: the prefix, the chat and
# the request's own text.
MIN_PARTS_WITH_PREFIX = 3


@attrs.define
class HolderRow:
    """A part and an upstream that holds it, to be sent to other routers.

    Attributes:
        part: Short id of the part.
        holder: Short id of the upstream.
        transmissions_left: How often it is still to be sent.
    """

    part: int
    holder: int
    transmissions_left: int


class PromptHolders:
    """Holders of prompt parts, exchanged among routers.

    Where a chat is cached follows from its preferred upstream, with two
    exceptions: a chat whose preferred upstream was full, failing or dead was
    served by another one, and a prefix shared by many chats is processed by
    each upstream that serves one of them. A router in a fleet of hundreds sees
    few requests of either kind. Without rows from the other routers, the next
    request has a prompt processed again that another upstream holds.

    Attributes:
        holders: By short ids of a part and an upstream, the router clock at
            which the upstream was seen to process or hold the part.
        shared_prefixes: Short ids of prefixes that many chats share.
        pending: Rows to be sent, the newest first.
    """

    def __init__(self) -> None:
        self.holders: dict[int, dict[int, float]] = {}
        self.shared_prefixes: set[int] = set()
        self.pending: collections.deque[HolderRow] = collections.deque(
            maxlen=MAX_PENDING_ROWS
        )

    def note_shared_prefix(
        self, parts: Sequence[choice.PromptPart], instance: str
    ) -> None:
        """Records that an upstream has processed the prefix of a prompt."""
        if len(parts) < MIN_PARTS_WITH_PREFIX:
            return
        prefix = hashing.short_id(parts[0].id)
        if prefix not in self.shared_prefixes:
            if len(self.shared_prefixes) >= MAX_SHARED_PREFIXES:
                return
            self.shared_prefixes.add(prefix)
        self.add(prefix, hashing.short_id(instance), 0.0)

    def note_chat(self, key: str, instance: str) -> None:
        """Records a chat served by another than its preferred upstream."""
        self.add(hashing.short_id(key), hashing.short_id(instance), 0.0)

    def add(self, part: int, holder: int, age: float) -> None:
        """Adds a holder of a part.

        Args:
            part: Short id of the part.
            holder: Short id of the upstream.
            age: Seconds since the upstream was seen to hold the part.
        """
        seen_at = trio.current_time() - age
        holders = self.holders.get(part)
        if holders is None:
            if len(self.holders) >= MAX_PARTS:
                return
            holders = self.holders[part] = {}
        known_at = holders.get(holder)
        if known_at is not None and seen_at <= known_at + REANNOUNCE_SECONDS:
            return
        if known_at is None and len(holders) >= MAX_HOLDERS:
            oldest = min(holders, key=holders.__getitem__)
            if part in self.shared_prefixes or holders[oldest] >= seen_at:
                return
            del holders[oldest]
        holders[holder] = seen_at
        self.pending.appendleft(HolderRow(part, holder, TRANSMISSIONS))

    def merge(self, rows: bytes) -> None:
        """Adds the holders in a message of another router."""
        for part, holder, age in packed_rows.unpack_holders(rows):
            if age < HOLDER_TTL_SECONDS:
                self.add(part, holder, age)

    def rows_to_send(self, other_zone: bool) -> bytes:
        """Returns the packed rows of the next message.

        Args:
            other_zone: Whether it goes to another zone. Such messages are
                less frequent.
        """
        now = trio.current_time()
        limit = MAX_ROWS_OTHER_ZONE if other_zone else MAX_ROWS_SAME_ZONE
        rows = []
        for _ in range(min(limit, len(self.pending))):
            row = self.pending.popleft()
            seen_at = self.holders.get(row.part, {}).get(row.holder)
            if seen_at is None:
                continue
            rows.append((row.part, row.holder, now - seen_at))
            row.transmissions_left -= 1
            if row.transmissions_left:
                self.pending.append(row)
        return packed_rows.pack_holders(rows)

    def shared_prefix_holder(
        self,
        parts: Sequence[choice.PromptPart],
        usable: Callable[[int], bool],
    ) -> int | None:
        """Returns a holder of a prompt's shared prefix, None if none is known.

        Args:
            parts: The prompt.
            usable: Returns whether an upstream, by its short id, can be
                copied from.
        """
        if len(parts) < MIN_PARTS_WITH_PREFIX:
            return None
        prefix = hashing.short_id(parts[0].id)
        usable_holders = [
            holder for holder in self.holders.get(prefix, {}) if usable(holder)
        ]
        if not usable_holders:
            return None
        # Spreads the copies over the holders.
        return usable_holders[
            hashing.short_id(parts[-1].id) % len(usable_holders)
        ]

    def chat_holders(self, key: str) -> list[int]:
        """Returns holders of a chat beside its preferred upstream.

        The one seen last comes first.
        """
        holders = self.holders.get(hashing.short_id(key), {})
        return sorted(holders, key=holders.__getitem__, reverse=True)

    def remove_expired(self) -> None:
        """Removes holders that were not seen within their time to live."""
        oldest = trio.current_time() - HOLDER_TTL_SECONDS
        for part, holders in list(self.holders.items()):
            for holder in [
                holder
                for holder, seen_at in holders.items()
                if seen_at < oldest
            ]:
                del holders[holder]
            if not holders:
                del self.holders[part]
                self.shared_prefixes.discard(part)
