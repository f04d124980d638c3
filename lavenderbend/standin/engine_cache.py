"""The prefix cache of a stand-in engine."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import attrs
import orjson

from lavenderbend.standin import engine_texts
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_EVENTS = 1000


@attrs.frozen
class Block:
    """A prefix of a conversation, one message longer than the last.

    Attributes:
        key: Hash of the prefix.
        tokens: Tokens of its last message.
    """

    key: int
    tokens: int


def blocks_of(messages: Iterable[dict[str, Any]]) -> list[Block]:
    """Returns the prefixes of a conversation, shortest first."""
    blocks = []
    key = 0
    for message in messages:
        data = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
        key = hashing.hash64(key.to_bytes(8, 'big'), data)
        blocks.append(Block(key, engine_texts.count_tokens(message)))
    return blocks


@attrs.frozen
class CacheEvent:
    """A change of the cache, as the engine publishes it.

    Attributes:
        number: 1, 2, 3, ...; a gap shows that events were lost.
        at: Clock of the engine.
        kind: `stored` or `evicted`.
        chat: Chat of the blocks, empty if unknown.
        tokens: Size of the change.
    """

    number: int
    at: float
    kind: str
    chat: str
    tokens: int


class PrefixCache:
    """Least recently used prefixes up to a number of tokens.

    Attributes:
        capacity: Tokens.
        tokens: Tokens held now.
        blocks: By key, least recently used first.
        chats: Blocks of each chat, for export.
        events: The latest changes.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.tokens = 0
        self.blocks: collections.OrderedDict[int, tuple[int, str]] = (
            collections.OrderedDict()
        )
        self.chats: dict[str, list[Block]] = {}
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.event_count = 0

    def cached_tokens(self, blocks: list[Block]) -> int:
        """Returns the size of the longest prefix that is held."""
        found = 0
        for block in blocks:
            if block.key not in self.blocks:
                break
            self.blocks.move_to_end(block.key)
            found += block.tokens
        return found

    def store(self, chat: str, blocks: list[Block], now: float) -> None:
        """Holds the prefixes, dropping the least recently used ones."""
        added = 0
        for block in blocks:
            if block.key not in self.blocks:
                added += block.tokens
                self.tokens += block.tokens
            self.blocks[block.key] = (block.tokens, chat)
            self.blocks.move_to_end(block.key)
        if chat:
            self.chats[chat] = blocks
        self.note('stored', chat, added, now)
        while self.tokens > self.capacity and self.blocks:
            self.evict(now)

    def evict(self, now: float) -> None:
        """Drops the least recently used prefix."""
        _, (tokens, chat) = self.blocks.popitem(last=False)
        self.tokens -= tokens
        self.chats.pop(chat, None)
        self.note('evicted', chat, tokens, now)

    def note(self, kind: str, chat: str, tokens: int, now: float) -> None:
        """Adds an event."""
        self.event_count += 1
        self.events.append(
            CacheEvent(self.event_count, now, kind, chat, tokens)
        )

    def export(self, chat: str) -> list[Block] | None:
        """Returns the prefixes of a chat, None if they are not held."""
        blocks = self.chats.get(chat)
        if blocks is None or any(b.key not in self.blocks for b in blocks):
            return None
        return blocks

    def clear(self) -> None:
        """Drops all."""
        self.blocks.clear()
        self.chats.clear()
        self.tokens = 0
