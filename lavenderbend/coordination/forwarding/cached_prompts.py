"""Which other upstream has the prompt cached that one is about to read."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import choice
    from lavenderbend.coordination.forwarding import directory
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import prompt_holders
    from lavenderbend.state import forwarding

# chats whose last upstream this router remembers
MAX_SENT = 20_000

# why an upstream may have a prompt
HOLDS_CHAT = 'holds the chat'
SENT_THERE = 'sent there before'
SERVED_THERE = 'served there by another router'
FORMER_PLACE = 'its place before a change'
FIRST_PLACE = 'its first place'
FIRST_PART = 'holds the first part'

COPIES = metrics.counter(
    'lavenderbend_forward_prompt_copies_total',
    'Copies of cached prompts that were asked for, by why there.',
)


@attrs.frozen
class Source:
    """An upstream from which a prompt may be copied.

    Attributes:
        upstream: The upstream.
        why: Why it may have the prompt.
    """

    upstream: forwarding.Upstream
    why: str


class CachedPrompts:
    """Names an upstream from which cached prompt parts can be copied.

    A chat moves when upstreams come, leave or are full. Reading its prompt
    anew takes a quarter of a second for 9,000 tokens; copying what its former
    upstream has cached takes a fifth of that. Which upstream that was follows
    from the order of rendezvous over the upstreams there were, so that a
    router need not have seen the chat before.

    Attributes:
        holders: Knows who holds prompts that places do not tell of.
        instances: Upstreams by short id.
        first_at: Router clock of the first request of each service.
        sent: Which upstream took each chat from this router last, the latest
            last.
    """

    def __init__(
        self,
        found: directory.Directory,
        health: health_module.Health,
        holders: prompt_holders.PromptHolders,
        instances: Mapping[int, str],
    ) -> None:
        self.directory = found
        self.health = health
        self.holders = holders
        self.instances = instances
        self.first_at: dict[str, float] = {}
        self.sent: collections.OrderedDict[str, str] = collections.OrderedDict()

    def note_sent(
        self,
        key: str,
        parts: Sequence[choice.PromptPart],
        instance: str,
        elsewhere: bool = False,
    ) -> None:
        """Notes that a chat is now at an upstream, which took it.

        Args:
            key: What places the chat.
            parts: Parts of its prompt.
            instance: The upstream.
            elsewhere: Whether that is not its place.
        """
        self.holders.note_first_part(parts, instance)
        if elsewhere:
            self.holders.note_chat(key, instance)
        self.sent[key] = instance
        self.sent.move_to_end(key)
        if len(self.sent) > MAX_SENT:
            self.sent.popitem(last=False)

    def source(
        self,
        service: str,
        key: str,
        parts: Sequence[choice.PromptPart],
        chosen: forwarding.Upstream,
        known: Collection[str] = (),
    ) -> Source | None:
        """Returns an upstream that may have more of a prompt than the chosen.

        Args:
            service: The service.
            key: What places the chat.
            parts: Parts of its prompt.
            chosen: Where it goes.
            known: Upstreams that hold the chat, as the owner of its place
                knows.

        Returns:
            The upstream, None if the chosen one has it all, or nobody has.
        """
        self.first_at.setdefault(service, trio.current_time())
        before = self.sent.get(key)
        if before == chosen.instance or chosen.instance in known:
            return None
        for name in known:
            upstream = self.usable(name, chosen)
            if upstream is not None:
                COPIES.inc({'why': HOLDS_CHAT})
                return Source(upstream, HOLDS_CHAT)
        for name, why in self.likely(service, key, chosen):
            upstream = self.usable(name, chosen)
            if upstream is not None:
                COPIES.inc({'why': why})
                return Source(upstream, why)
        return self.first_part_source(parts, chosen)

    def first_part_source(
        self,
        parts: Sequence[choice.PromptPart],
        chosen: forwarding.Upstream,
    ) -> Source | None:
        """Returns an upstream that holds what many chats begin with."""

        def usable(short: int) -> bool:
            return self.usable(self.instances.get(short), chosen) is not None

        short = self.holders.of_first_part(parts, usable)
        if short is None:
            return None
        COPIES.inc({'why': FIRST_PART})
        upstream = self.directory.known(self.instances[short])
        return Source(upstream, FIRST_PART)

    def likely(
        self, service: str, key: str, chosen: forwarding.Upstream
    ) -> Iterator[tuple[str | None, str]]:
        """Yields upstreams that may have a prompt and why, likely ones first.

        Args:
            service: The service.
            key: What places the chat.
            chosen: Where it goes.
        """
        yield self.sent.get(key), SENT_THERE
        for short in self.holders.of_chat(key):
            yield self.instances.get(short), SERVED_THERE
        first_place = self.directory.candidates(service).places.first(key)
        if first_place != chosen.instance:
            # its place is full or fails: the chat has hardly been anywhere
            # else. Sets of upstreams that there were before, such as those
            # of the start of all, would name one that never had it.
            yield first_place, FIRST_PLACE
        since = self.first_at[service]
        for places in self.directory.former(service, since):
            yield places.first(key), FORMER_PLACE

    def usable(
        self, name: str | None, chosen: forwarding.Upstream
    ) -> forwarding.Upstream | None:
        """Returns the upstream of a name if it can be copied from."""
        if name is None or name == chosen.instance:
            return None
        # one that fails requests, or is full, still hands out what it has
        # cached; of one that is dead the copy would only be waited for
        if self.health.is_suspected(name):
            return None
        return self.directory.known(name)
