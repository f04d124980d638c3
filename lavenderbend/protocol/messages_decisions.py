"""Messages of admission, quarantine and limits.

Names go over the wire as 32-bit hashes (`short_id`): a collision would need
two pools, customers or upstreams of one site to share one, and each message
would be several times as large with the names.
"""

from __future__ import annotations

import functools

import attrs

from lavenderbend.protocol import peer
from lavenderbend.state import hashing

SHORT_ID_BITS = 32


@functools.lru_cache(maxsize=16384)
def short_id(name: str) -> int:
    """Returns the 32-bit id of a name."""
    return hashing.hash64(name) >> (64 - SHORT_ID_BITS)


@peer.message(50)
@attrs.frozen
class PermitRequest(peer.Message):
    """Asks the owner of a group for a permit; idempotent by `number`.

    Attributes:
        number: The entry's number for this permit.
        pool: Short id of the pool.
        group: Index of the group within the pool.
        customer: Short id of the customer.
        chat: Upper 32 bits of the chat hash, 0 for none.
        model: Short id of the model, None for plain services.
        adapter: Short id of the adapter, if any.
        priority: Priority of the request.
        prompt_tokens: Estimated size of the prompt.
        left: Milliseconds until the deadline.
        hold: Milliseconds that the owner may hold its answer.
        avoid: Short ids of upstreams not to use.
        hops: Groups of the pool that sent the request on.
        suspect: Whether it was on an upstream that died.
        held: Permits of this owner in the group that the entry holds, None
            from an entry that does not say.
    """

    number: int
    pool: int
    group: int
    customer: int
    chat: int
    model: int | None
    adapter: int | None
    priority: int
    prompt_tokens: int
    left: int
    hold: int = 0
    avoid: list[int] = attrs.field(factory=list)
    hops: int = 0
    suspect: bool = False
    held: int | None = None


@peer.message(51)
@attrs.frozen
class PermitGrant(peer.Message):
    """The permit that was asked for.

    Attributes:
        upstream: Short id of the upstream.
        reason: Index in `placement.REASONS`.
        passed_over: Pairs of short id and index in `placement.REASONS`.
    """

    upstream: int
    reason: int
    passed_over: list[int] = attrs.field(factory=list)


@peer.message(52)
@attrs.frozen
class PermitWaiting(peer.Message):
    """The request waits at the owner; ask again with the same number."""


@peer.message(53)
@attrs.frozen
class PermitRelease(peer.Message):
    """Notice that permits are no longer used.

    Attributes:
        numbers: The entry's numbers of those permits.
        unused: Whether nothing was sent with them.
    """

    numbers: list[int]
    unused: bool = False


@peer.message(54)
@attrs.frozen
class PermitRegister(peer.Message):
    """Notice of all live permits of an entry in a group, to its owner.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
        numbers: Number of each permit.
        upstreams: Short id of the upstream of each.
        ages: Tenths of a second since each was granted.
        customers: Short id of the customer of each.
    """

    pool: int
    group: int
    numbers: list[int]
    upstreams: list[int]
    ages: list[int]
    customers: list[int]


@peer.message(55)
@attrs.frozen
class PermitMoved(peer.Message):
    """Notice that the entry now sees another router as the owner.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
    """

    pool: int
    group: int


@peer.message(56)
@attrs.frozen
class PermitDigest(peer.Message):
    """Heartbeat of an entry to an owner with the sums of its permits.

    Attributes:
        pools: Short id of the pool of each group.
        groups: Index of each group.
        counts: Live permits in each group.
        digests: Exclusive or of their numbers.
    """

    pools: list[int]
    groups: list[int]
    counts: list[int]
    digests: list[int]


@peer.message(57)
@attrs.frozen
class PermitResync(peer.Message):
    """Notice by an owner that the sums differ; asks for `PermitRegister`.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
    """

    pool: int
    group: int


@peer.message(58)
@attrs.frozen
class PermitElsewhere(peer.Message):
    """Another group of the pool has more room; ask its owner.

    Attributes:
        group: Index of that group, None if the entry is to choose because
            this one has no upstream that serves the model.
    """

    group: int | None


@peer.message(59)
@attrs.frozen
class PlacesCopy(peer.Message):
    """Where chats are, to the standby of a group's owner; asks for an answer.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
        upstreams: Short ids of upstreams.
        instances: Short id of the instance of each.
        chats: Upper 32 bits of chat hashes.
        indices: Position in `upstreams` for each chat.
    """

    pool: int
    group: int
    upstreams: list[int]
    instances: list[int]
    chats: list[int]
    indices: list[int]


@peer.message(63)
@attrs.frozen
class GroupSums(peer.Message):
    """Notice of the load of groups, to the owners of the pool's others.

    Attributes:
        pool: Short id of the pool.
        groups: Index of each group.
        loads: Load of each.
        engines: Upstreams in each.
    """

    pool: int
    groups: list[int]
    loads: list[int]
    engines: list[int]


@peer.message(64)
@attrs.frozen
class PermitPoll(peer.Message):
    """Asks how a waiting request stands.

    Attributes:
        number: The entry's number for the permit.
        pool: Short id of the pool.
        group: Index of the group.
        hold: Milliseconds that the owner may hold its answer.
    """

    number: int
    pool: int
    group: int
    hold: int


@peer.message(60)
@attrs.frozen
class CrashSeen(peer.Message):
    """Notice that an upstream died while it ran some requests.

    Attributes:
        upstream: Short id of the upstream.
        instance: Short id of its instance.
        fingerprints: Of the requests that the sender had there.
        fresh: Those that had only just been sent there.
    """

    upstream: int
    instance: int
    fingerprints: list[int]
    fresh: list[int] = attrs.field(factory=list)


@peer.message(61)
@attrs.frozen
class Quarantined(peer.Message):
    """Notice that a request crashes the upstreams that run it.

    Attributes:
        fingerprint: Of the request.
        seconds: How long it stays quarantined.
    """

    fingerprint: int
    seconds: int


@peer.message(62)
@attrs.frozen
class SuspectCleared(peer.Message):
    """Notice that an upstream ran suspect requests and is alive.

    Attributes:
        fingerprints: Of the requests.
    """

    fingerprints: list[int]


@peer.message(65)
@attrs.frozen
class CustomerDemand(peer.Message):
    """Notice of the tokens that a router wants, to the customers' home.

    Attributes:
        customers: Short ids of customers with a limit.
        rates: Empty, so that routers of the version before take nothing for
            a demand.
        wants: Tokens that it wants of each; below 0, what it gives back.
        held: Tokens that it has of each, after giving back.
    """

    customers: list[int]
    rates: list[int]
    wants: list[int] = attrs.field(factory=list)
    held: list[int] = attrs.field(factory=list)


@peer.message(66)
@attrs.frozen
class CustomerShare(peer.Message):
    """Notice of tokens that a home router lends.

    Attributes:
        customers: Short ids of customers.
        rates: Empty, as above.
        tokens: Whole requests that the router may pass, of each.
    """

    customers: list[int]
    rates: list[int]
    tokens: list[int] = attrs.field(factory=list)
