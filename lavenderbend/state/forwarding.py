"""Configuration and store contents used by forwarding routers.

A forwarding router accepts any HTTP request and forwards it to an upstream
of one of its services.
"""

from __future__ import annotations

from collections.abc import Mapping  # noqa: TC003 - attrs evaluates it
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import configuration  # noqa: TC001 - attrs evaluates it
from lavenderbend.state import hashing
from lavenderbend.state import upstreams  # noqa: TC001 - attrs evaluates it

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class PoolShare:
    """Share of a rule's requests that is sent to one pool.

    Attributes:
        pool: Name of the pool.
        weight: Weight of the pool, relative to the rule's other pools.
    """

    pool: str
    weight: float


@attrs.frozen
class Forward:
    """How a request is forwarded when its rule is the first that matches.

    Attributes:
        pools: Pools that the requests are sent to, by weight.
        timeout: Maximum time from arrival to the final answer, in seconds.
        attempts: Maximum number of upstreams that a request is sent to.
        idempotent: Whether a request may be run more than once.
        streaming: Whether the answer is a stream of numbered events.
        resumable: Whether a stream may be continued by another upstream.
        public: Whether callers need no credential.
        target: Target time to the answer, or to its first event, in
            seconds.
        max_gap: Target for the longest pause between events, in seconds.
        rank: Urgency sent to upstreams; 0 is the most urgent.
        regions: The regions that the requests may be sent to, None for all.
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
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried although it may have run."""
        return self.resumable if self.streaming else self.idempotent


@attrs.frozen
class ForwardRule:
    """A rule of a forwarding router: conditions and an action.

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
        rank: Urgency of its requests, which overrides that of the rule;
            None to use the rule's.
        regions: The regions that its requests may be sent to, None for all.
    """

    name: str
    credentials: tuple[str, ...] = ()
    rank: int | None = None
    regions: frozenset[str] | None = None


@attrs.frozen
class ForwardPool:
    """The upstreams of one service.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that one upstream
            accepts from the whole fleet.
        warm_up_seconds: Time for which an upstream is cold after it started.
        warm_up_rate: Requests a second that a cold upstream tolerates from
            the whole fleet, 0 for any number.
    """

    name: str
    max_connections: int = 100
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Maximum size of the request line and headers together.
        body_bytes: Maximum size of a request body.
        header_seconds: Maximum time for the headers of a request to arrive.
        idle_seconds: Maximum time a connection may stay open without a
            request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class ForwardingTable:
    """One accepted version of the operators' configuration.

    Attributes:
        version: Increases with each accepted change.
        rules: Rules in order; the first one that matches applies.
        pools: Pools, in any order.
        customers: Customers, in any order.
        limits: Limits on callers' requests.
    """

    version: int
    rules: tuple[ForwardRule, ...] = ()
    pools: tuple[ForwardPool, ...] = ()
    customers: tuple[ForwardCustomer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen
class Upstream:
    """A process of a service, as listed in the platform's store.

    Attributes:
        instance: Id of this start of the process, never used again. State
            recorded for an earlier start with the same VM id does not apply
            to a later one.
        vm: Its id, address, availability zone, service and whether it is
            leaving.
        slots: Number of requests that it runs concurrently.
        revision: Store revision at which its entry was last changed.
        cold_seconds: Time for which it stays cold, as of that revision.
        software: Version of its software. Versions have no order, and a stream
            that one of them began is continued by no other.
        software_id: Number that the upstreams of the service at that version
            have in common, and no others.
    """

    instance: str
    vm: upstreams.Vm
    slots: int
    revision: int = 0
    cold_seconds: float = 0.0
    software: str = ''
    software_id: int = attrs.field(init=False, eq=False, repr=False)

    @software_id.default
    def hash_of_software(self) -> int:
        """Returns a number for the software of the service at its version."""
        return hashing.hash64(self.vm.service, self.software)


# Era of an answer of a store that does not name its era.
UNNAMED_ERA = -1
# Revision of an item that is in force although the store shows an older one.
KEPT_REVISION = 0


@attrs.frozen(order=True)
class StorePosition:
    """A point in the history of the store.

    A store that comes back from a copy of its content gives the revisions since
    that copy out again. A revision alone names no content: only within one era
    is the higher one later.

    Attributes:
        era: How often the store has come back from a copy.
        revision: The store's revision.
    """

    era: int
    revision: int


@attrs.frozen
class RawItem:
    """An undecoded item of the store.

    Attributes:
        revision: Store revision at which it was last changed, `KEPT_REVISION`
            if the store shows an older one.
        value: The value as written; only the store adapter decodes it.
    """

    revision: int
    value: bytes


def item_digest(key: str, item: RawItem) -> int:
    """Returns the contribution of one item to the digest of a snapshot."""
    return hashing.hash64(f'{key} {item.revision}')


@attrs.frozen
class RawSnapshot:
    """Undecoded contents of the store at one revision.

    Attributes:
        revision: The store's revision.
        items: Items by key.
        digest: Exclusive or of the items' digests, equal for equal contents
            of one era regardless of the revision. The cost of updating it
            depends only on the number of changed items: of thousands of
            entries, a few change each second.
        era: How often the store has come back from a copy, `UNNAMED_ERA` if it
            does not say.
    """

    revision: int
    items: Mapping[str, RawItem]
    digest: int = attrs.field()
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Where in the history of the store it was read."""
        return StorePosition(self.era, self.revision)

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
        """Returns the contents of the store at a later revision.

        Args:
            revision: The later revision.
            changed: New and changed items by key.
            removed: Removed keys; they may be absent from this snapshot.
        """
        items = dict(self.items)
        digest = self.digest
        for key in (*removed, *changed):
            if key in items:
                digest ^= item_digest(key, items.pop(key))
        for key, item in changed.items():
            items[key] = item
            digest ^= item_digest(key, item)
        return RawSnapshot(revision, items, digest, self.era)


@attrs.frozen
class Change:
    """A change of one key of the store.

    Attributes:
        revision: Store revision that the change created.
        key: The key.
        item: The new item, None if the key was removed.
    """

    revision: int
    key: str
    item: RawItem | None


@attrs.frozen
class Changes:
    """Changes of the store after a revision, as far as they were received.

    Attributes:
        since: The revision after which the changes were made.
        entries: Changes by ascending revision.
        era: The store's era, `UNNAMED_ERA` if it does not say.
    """

    since: int
    entries: tuple[Change, ...]
    era: int = 0

    def complete_to(self, revision: int) -> bool:
        """Returns whether all revisions up to the given one are present."""
        revisions = {change.revision for change in self.entries}
        return revisions.issuperset(range(self.since + 1, revision + 1))

    def applied_to(self, base: RawSnapshot, revision: int) -> RawSnapshot:
        """Returns the contents of the store at a revision.

        Changes after that revision are ignored because others may be missing
        between them.

        Args:
            base: Contents of the store at revision `since`.
            revision: The revision; changes must be complete up to it.
        """
        last = {
            change.key: change.item
            for change in self.entries
            if change.revision <= revision
        }
        changed = {key: item for key, item in last.items() if item is not None}
        removed = [key for key, item in last.items() if item is None]
        return base.with_changes(revision, changed, removed)


@attrs.frozen
class ZoneRecord:
    """A record in the store that an availability zone has routers.

    Attributes:
        revision: Store revision at which it was last changed.
        confirmed: Whether no router acts any more as if there were no record.
    """

    revision: int
    confirmed: bool


@attrs.frozen
class VersionRecord:
    """A record in the store of what tells the versions of a service's streams.

    Attributes:
        revision: Store revision at which it was last changed.
        content: What it says; it holds while it agrees with the upstreams.
    """

    revision: int
    content: str


@attrs.frozen
class PartRecord:
    """A record in the store of a prompt part that crashes upstreams.

    Attributes:
        revision: Store revision at which it was last changed.
        strike: How often the part was found to do so without an answer in
            between.
    """

    revision: int
    strike: int


@attrs.frozen
class Snapshot:
    """Configuration and upstreams at one revision of the store.

    Attributes:
        revision: The store's revision.
        digest: Equal for equal contents of one era.
        table: The configuration in force, None until the first one is
            accepted.
        upstreams: Upstreams by instance.
        raw: The undecoded contents, sent to peers that do not have them.
        drained_zones: Availability zones whose upstreams get no requests, and
            the revision since which each has been drained.
        zone_records: Records of zones that have routers, by zone.
        version_records: Records of the versions of streams, by service.
        part_records: Records of prompt parts that crash upstreams, by the keys
            of the parts.
    """

    revision: int
    digest: int
    table: ForwardingTable | None
    upstreams: dict[str, Upstream]
    raw: RawSnapshot
    drained_zones: Mapping[str, int] = attrs.field(factory=dict)
    zone_records: Mapping[str, ZoneRecord] = attrs.field(factory=dict)
    version_records: Mapping[str, VersionRecord] = attrs.field(factory=dict)
    part_records: Mapping[int, PartRecord] = attrs.field(factory=dict)

    @property
    def era(self) -> int:
        """How often the store had come back from a copy."""
        return self.raw.era

    @property
    def position(self) -> StorePosition:
        """Where in the history of the store it was read."""
        return StorePosition(self.era, self.revision)

    @property
    def version(self) -> int:
        """Version of the configuration, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    @property
    def identity(self) -> tuple[int, int, int]:
        """Equal for equal contents regardless of the revision."""
        return self.era, self.digest, self.version
