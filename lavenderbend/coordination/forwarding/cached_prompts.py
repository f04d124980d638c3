"""Upstreams from which a cached prompt can be copied to another one."""

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

# Chats whose last upstream this router remembers.
MAX_TRACKED_CHATS = 20_000

# Reasons why an upstream may have a prompt cached.
HOLDS_CHAT = 'holds the chat'
SENT_BEFORE = 'sent there before'
SERVED_BY_OTHER_ROUTER = 'served there by another router'
PREFERRED_BEFORE_CHANGE = 'its place before a change'
PREFERRED = 'its first place'
HOLDS_SHARED_PREFIX = 'holds the first part'

COPIES = metrics.counter(
    'lavenderbend_forward_prompt_copies_total',
    'Copies of cached prompts that were asked for, by why there.',
)


@attrs.frozen
class CopySource:
    """An upstream from which a prompt may be copied.

    Attributes:
        upstream: The upstream.
        reason: Why it may have the prompt cached.
    """

    upstream: forwarding.Upstream
    reason: str


class CachedPrompts:
    """Finds upstreams from which cached prompt parts can be copied.

    A chat moves when upstreams come, go or are full. Processing its prompt
    again takes a quarter of a second for 9,000 tokens; copying what its former
    upstream has cached takes a fifth of that. The former upstream follows from
    the rendezvous order over the earlier set of upstreams, so a router need
    not have seen the chat before.

    Attributes:
        holders: Holders of prompts that the rendezvous order does not give.
        instances: Instances of upstreams by short id.
        first_request_at: Router clock of the first request of each service.
        last_upstreams: The upstream that last accepted a request of each chat
            from this router, the most recent chat last.
    """

    def __init__(
        self,
        upstreams: directory.Directory,
        health: health_module.Health,
        holders: prompt_holders.PromptHolders,
        instances: Mapping[int, str],
    ) -> None:
        self.directory = upstreams
        self.health = health
        self.holders = holders
        self.instances = instances
        self.first_request_at: dict[str, float] = {}
        self.last_upstreams: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def note_sent(
        self,
        key: str,
        parts: Sequence[choice.PromptPart],
        instance: str,
        displaced: bool = False,
    ) -> None:
        """Records that an upstream accepted a request of a chat.

        Args:
            key: Affinity key of the chat.
            parts: Parts of its prompt.
            instance: The upstream.
            displaced: Whether it is another than the chat's preferred one.
        """
        self.holders.note_shared_prefix(parts, instance)
        if displaced:
            self.holders.note_chat(key, instance)
        self.last_upstreams[key] = instance
        self.last_upstreams.move_to_end(key)
        if len(self.last_upstreams) > MAX_TRACKED_CHATS:
            self.last_upstreams.popitem(last=False)

    def source(
        self,
        service: str,
        key: str,
        parts: Sequence[choice.PromptPart],
        chosen: forwarding.Upstream,
        holders: Collection[str] = (),
        regions: frozenset[str] | None = None,
    ) -> CopySource | None:
        """Returns an upstream that may have more of a prompt than the chosen.

        Args:
            service: The service.
            key: Affinity key of the chat.
            parts: Parts of its prompt.
            chosen: The upstream that the request is sent to.
            holders: Upstreams that hold the chat, by the answer of the owner
                of its preferred upstream.
            regions: The regions that they may be in, None for all.

        Returns:
            The copy source, None if the chosen upstream has the whole prompt
            or no other one has any of it.
        """
        self.first_request_at.setdefault(service, trio.current_time())
        last = self.last_upstreams.get(key)
        if last == chosen.instance or chosen.instance in holders:
            return None
        for name in holders:
            upstream = self.usable(name, chosen, regions)
            if upstream is not None:
                COPIES.inc({'why': HOLDS_CHAT})
                return CopySource(upstream, HOLDS_CHAT)
        for name, reason in self.likely_holders(service, key, chosen):
            upstream = self.usable(name, chosen, regions)
            if upstream is not None:
                COPIES.inc({'why': reason})
                return CopySource(upstream, reason)
        return self.shared_prefix_source(parts, chosen, regions)

    def shared_prefix_source(
        self,
        parts: Sequence[choice.PromptPart],
        chosen: forwarding.Upstream,
        regions: frozenset[str] | None,
    ) -> CopySource | None:
        """Returns an upstream that holds the prefix shared by many chats."""

        def usable(short: int) -> bool:
            name = self.instances.get(short)
            return self.usable(name, chosen, regions) is not None

        short = self.holders.shared_prefix_holder(parts, usable)
        if short is None:
            return None
        COPIES.inc({'why': HOLDS_SHARED_PREFIX})
        upstream = self.directory.find(self.instances[short])
        return CopySource(upstream, HOLDS_SHARED_PREFIX)

    def likely_holders(
        self, service: str, key: str, chosen: forwarding.Upstream
    ) -> Iterator[tuple[str | None, str]]:
        """Yields upstreams that may have a prompt, with why, likeliest first.

        Args:
            service: The service.
            key: Affinity key of the chat.
            chosen: The upstream that the request is sent to.
        """
        yield self.last_upstreams.get(key), SENT_BEFORE
        for short in self.holders.chat_holders(key):
            yield self.instances.get(short), SERVED_BY_OTHER_ROUTER
        preferred = self.directory.candidates(service).rendezvous.first(key)
        if preferred != chosen.instance:
            # The preferred upstream is full or failing, and the chat has
            # hardly been anywhere else. Earlier sets of upstreams, such as
            # those seen while the whole fleet started, would name one that
            # never had the chat.
            yield preferred, PREFERRED
        since = self.first_request_at[service]
        for rendezvous in self.directory.former_upstreams(service, since):
            yield rendezvous.first(key), PREFERRED_BEFORE_CHANGE

    def usable(
        self,
        name: str | None,
        chosen: forwarding.Upstream,
        regions: frozenset[str] | None,
    ) -> forwarding.Upstream | None:
        """Returns the upstream of a name if it can be copied from."""
        if name is None or name == chosen.instance:
            return None
        # An upstream that fails requests or is full still serves copies of
        # what it has cached. A copy from a dead one would only add a wait.
        if self.health.is_suspected(name):
            return None
        upstream = self.directory.find(name)
        if upstream is None:
            return None
        allowed = self.directory.may_copy_from(upstream, regions)
        return upstream if allowed else None
