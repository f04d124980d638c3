"""What a router that forwards any HTTP request knows and decides by."""

from __future__ import annotations

from collections.abc import Mapping  # noqa: TC003 - attrs reads it
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import configuration  # noqa: TC001 - attrs reads it
from lavenderbend.state import hashing
from lavenderbend.state import upstreams  # noqa: TC001 - attrs reads it

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class PoolShare:
    """A part of a rule's requests that goes to one pool.

    Attributes:
        pool: Name of the pool.
        weight: Its part, against the weights of the rule's other pools.
    """

    pool: str
    weight: float


@attrs.frozen
class Forward:
    """How a request is forwarded when its rule is the first that matches.

    Attributes:
        pools: Where the requests go, by weight.
        timeout: Seconds from arrival to the final answer.
        attempts: Upstreams that one request may be sent to.
        idempotent: Whether a run may be repeated.
        streaming: Whether the answer is a stream of numbered events.
        resumable: Whether a stream may be continued by another upstream.
        public: Whether callers need no credential.
        target: Seconds within which an answer, or its first event, is
            wanted.
        max_gap: Longest wanted pause between events, in seconds.
        rank: Urgency told to upstreams, 0 is the most urgent.
    """

    pools: tuple[PoolShare, ...]
    timeout: float
    attempts: int = 1
    idempotent: bool = False
    streaming: bool = False
    resumable: bool = False
    public: bool = False
    target: float = 1.0
    max_gap: float = 0.25
    rank: int = 5

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.resumable if self.streaming else self.idempotent


@attrs.frozen
class ForwardRule:
    """One when-then rule of a forwarding router.

    Attributes:
        name: Unique within the table.
        when: The conditions.
        then: How a request is forwarded if this rule matches first.
    """

    name: str
    when: configuration.When
    then: Forward


@attrs.frozen
class ForwardCustomer:
    """A customer and its credentials.

    Attributes:
        name: Unique within the table.
        credentials: The bearer tokens, as callers send them.
        rank: Urgency of its requests, in place of the rule's; None to
            leave the rule's.
    """

    name: str
    credentials: tuple[str, ...] = ()
    rank: int | None = None


@attrs.frozen
class ForwardPool:
    """The upstreams of one service.

    Attributes:
        name: The service.
        max_connections: Connections that one upstream accepts from the
            whole fleet.
    """

    name: str
    max_connections: int = 100


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Request line and headers together.
        body_bytes: Body of a request.
        header_seconds: Time for a request's headers to arrive.
        idle_seconds: Time a connection may stay open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class ForwardingTable:
    """One accepted version of the operators' configuration.

    Attributes:
        version: Grows with each accepted change.
        rules: In order; the first match counts.
        pools: In any order.
        customers: In any order.
        limits: Limits of callers.
    """

    version: int
    rules: tuple[ForwardRule, ...] = ()
    pools: tuple[ForwardPool, ...] = ()
    customers: tuple[ForwardCustomer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen
class Upstream:
    """One process of a service, as the platform's store lists it.

    Attributes:
        instance: Names this start of the process, unique for ever: what is
            believed of an earlier start under the same id does not hold for
            a later one.
        vm: Its id, address, zone, service and whether it is leaving.
        slots: Requests that it runs at once.
        revision: Revision of its entry's last change.
    """

    instance: str
    vm: upstreams.Vm
    slots: int
    revision: int = 0


@attrs.frozen
class RawItem:
    """One key of the store.

    Attributes:
        revision: Revision of its last change.
        value: As it was written; only the adapter reads it.
    """

    revision: int
    value: bytes


def item_digest(key: str, item: RawItem) -> int:
    """Returns the part of one item in the digest of a snapshot."""
    return hashing.hash64(f'{key} {item.revision}')


@attrs.frozen
class RawSnapshot:
    """What the store held at one revision.

    Attributes:
        revision: The store's revision.
        items: By key.
        digest: Equal for equal contents, whatever the revision. Parts of
            items are joined so that a change costs as much as what changed:
            of thousands of entries a few change each second.
    """

    revision: int
    items: Mapping[str, RawItem]
    digest: int = attrs.field()

    @digest.default
    def digest_of_all(self) -> int:
        """Returns the digest of all items."""
        digest = 0
        for key, item in self.items.items():
            digest ^= item_digest(key, item)
        return digest

    def with_changes(
        self,
        revision: int,
        changed: Mapping[str, RawItem],
        removed: Iterable[str],
    ) -> RawSnapshot:
        """Returns what the store held at a later revision.

        Args:
            revision: That revision.
            changed: The items that are new or changed.
            removed: Keys that are no more, if they ever were.
        """
        items = dict(self.items)
        digest = self.digest
        for key in (*removed, *changed):
            if key in items:
                digest ^= item_digest(key, items.pop(key))
        for key, item in changed.items():
            items[key] = item
            digest ^= item_digest(key, item)
        return RawSnapshot(revision, items, digest)


@attrs.frozen
class Change:
    """A change of one key of the store.

    Attributes:
        revision: The store's revision that it made.
        key: The key.
        item: What was written, None if the key was removed.
    """

    revision: int
    key: str
    item: RawItem | None


@attrs.frozen
class Changes:
    """Changes of the store after a revision, as far as they were heard.

    Attributes:
        since: That revision.
        entries: In the order of their revisions.
    """

    since: int
    entries: tuple[Change, ...]

    def complete_to(self, revision: int) -> bool:
        """Returns whether there is a change for each revision up to one."""
        heard = {change.revision for change in self.entries}
        return heard.issuperset(range(self.since + 1, revision + 1))

    def applied_to(self, known: RawSnapshot, revision: int) -> RawSnapshot:
        """Returns what the store held at a revision that they lead to.

        Later changes are left out: there may be others between them.
        """
        last = {
            change.key: change.item
            for change in self.entries
            if change.revision <= revision
        }
        changed = {key: item for key, item in last.items() if item is not None}
        removed = [key for key, item in last.items() if item is None]
        return known.with_changes(revision, changed, removed)


@attrs.frozen
class Snapshot:
    """Configuration and upstreams as of one revision of the store.

    Attributes:
        revision: The store's revision.
        digest: Equal for equal contents, whatever the revision.
        table: The configuration, None before the first is accepted.
        upstreams: By instance.
        raw: What it was decoded from, for peers that lack it.
    """

    revision: int
    digest: int
    table: ForwardingTable | None
    upstreams: dict[str, Upstream]
    raw: RawSnapshot
