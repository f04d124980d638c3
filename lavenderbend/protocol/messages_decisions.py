"""Messages of admission, quarantine and limits.

Names are sent as 32-bit hashes (`short_id`): with full names each message would
be several times as large, and a collision requires that two pools, customers or
upstreams of one site have the same hash.
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
    """Requests a permit from a group's owner; idempotent by `number`.

    Attributes:
        number: Number that the entry router gave the permit.
        pool: Short id of the pool.
        group: Index of the group within the pool.
        customer: Short id of the customer.
        chat: Upper 32 bits of the chat hash, 0 for none.
        model: Short id of the model, None for plain services.
        adapter: Short id of the adapter, if any.
        priority: Priority of the request.
        prompt_tokens: Estimated size of the prompt.
        milliseconds_left: Time until the deadline.
        hold_milliseconds: How long the owner may delay its reply while the
            request is queued.
        avoid: Short ids of upstreams not to use.
        hops: Number of groups of the pool that redirected the request.
        suspect: Whether it was running on an upstream that crashed.
        held_permits: Number of this owner's permits in the group that the
            entry router holds, None if it does not state it.
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
    milliseconds_left: int
    hold_milliseconds: int = 0
    avoid: list[int] = attrs.field(factory=list)
    hops: int = 0
    suspect: bool = False
    held_permits: int | None = None


@peer.message(51)
@attrs.frozen
class PermitGrant(peer.Message):
    """Grants a permit in reply to a `PermitRequest` or `PermitPoll`.

    Attributes:
        upstream: Short id of the upstream.
        reason: Index in `placement.REASONS`.
        passed_over: Pairs of the short id of an upstream not chosen and the
            index of the reason in `placement.REASONS`, in one flat list.
    """

    upstream: int
    reason: int
    passed_over: list[int] = attrs.field(factory=list)


@peer.message(52)
@attrs.frozen
class PermitQueued(peer.Message):
    """The request is queued at the owner; poll with the same number."""


@peer.message(53)
@attrs.frozen
class PermitRelease(peer.Message):
    """Notice that permits are no longer in use.

    Attributes:
        numbers: Numbers that the entry router gave the permits.
        unused: Whether no request was sent under them.
    """

    numbers: list[int]
    unused: bool = False


@peer.message(54)
@attrs.frozen
class PermitRegister(peer.Message):
    """Notice to a group's owner of all permits an entry router holds there.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
        numbers: Number of each permit.
        upstreams: Short id of the upstream of each.
        ages: Time since each was granted, in tenths of a second.
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
class PermitOwnerChanged(peer.Message):
    """Notice that the entry router now regards another router as the owner.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
    """

    pool: int
    group: int


@peer.message(56)
@attrs.frozen
class PermitDigest(peer.Message):
    """Heartbeat of an entry router to an owner with digests of its permits.

    Attributes:
        pools: Short id of the pool of each group.
        groups: Index of each group.
        counts: Number of permits held in each group.
        digests: Exclusive or of the permit numbers of each group.
    """

    pools: list[int]
    groups: list[int]
    counts: list[int]
    digests: list[int]


@peer.message(57)
@attrs.frozen
class PermitResync(peer.Message):
    """Notice by an owner that digests differ; requests `PermitRegister`.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
    """

    pool: int
    group: int


@peer.message(58)
@attrs.frozen
class PermitRedirect(peer.Message):
    """Redirects a permit request to another group of the pool.

    Attributes:
        group: Index of the group with more headroom. None if this group has
            no upstream that serves the model; the entry router then chooses
            another.
    """

    group: int | None


@peer.message(59)
@attrs.frozen
class ReplicatedPlaces(peer.Message):
    """Copy of the places of chats for the standby of a group's owner.

    Sent as a request, so that its receipt is acknowledged.

    Attributes:
        pool: Short id of the pool.
        group: Index of the group.
        upstreams: Short ids of upstreams.
        instances: Short id of the instance of each upstream.
        chats: Upper 32 bits of chat hashes.
        indices: Index into `upstreams` for each chat.
    """

    pool: int
    group: int
    upstreams: list[int]
    instances: list[int]
    chats: list[int]
    indices: list[int]


@peer.message(63)
@attrs.frozen
class GroupTotals(peer.Message):
    """Notice of the load of groups, to the owners of the pool's other groups.

    Attributes:
        pool: Short id of the pool.
        groups: Index of each group.
        loads: Total load of each group.
        engines: Number of upstreams in each group.
    """

    pool: int
    groups: list[int]
    loads: list[int]
    engines: list[int]


@peer.message(64)
@attrs.frozen
class PermitPoll(peer.Message):
    """Requests the state of a queued permit request.

    Attributes:
        number: Number that the entry router gave the permit.
        pool: Short id of the pool.
        group: Index of the group.
        hold_milliseconds: How long the owner may delay its reply while the
            request is queued.
    """

    number: int
    pool: int
    group: int
    hold_milliseconds: int


@peer.message(60)
@attrs.frozen
class CrashNotice(peer.Message):
    """Notice that an upstream crashed while it ran requests.

    Attributes:
        upstream: Short id of the upstream.
        instance: Short id of its instance.
        fingerprints: Fingerprints of the sender's requests there.
        fresh: Those of requests sent only shortly before the crash.
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
        fingerprint: Fingerprint of the request.
        seconds: Duration of the quarantine.
    """

    fingerprint: int
    seconds: int


@peer.message(62)
@attrs.frozen
class SuspectCleared(peer.Message):
    """Notice that an upstream ran suspect requests without a crash.

    Attributes:
        fingerprints: Fingerprints of the requests.
    """

    fingerprints: list[int]


@peer.message(65)
@attrs.frozen
class CustomerDemand(peer.Message):
    """Notice of a router's token deficits to the customers' home router.

    Attributes:
        customers: Short ids of customers with a limit.
        rates: Empty, so that routers of the previous version do not read
            demands from the message.
        deficits: Tokens requested for each customer; a negative number is
            the count of tokens returned.
        held_tokens: Tokens that the router holds for each customer, after
            the return.
    """

    customers: list[int]
    rates: list[int]
    deficits: list[int] = attrs.field(factory=list)
    held_tokens: list[int] = attrs.field(factory=list)


@peer.message(66)
@attrs.frozen
class CustomerShare(peer.Message):
    """Notice of tokens that a home router grants to another router.

    Attributes:
        customers: Short ids of customers.
        rates: Empty, so that routers of the previous version do not read
            shares from the message.
        tokens: Tokens granted for each customer; one admits one request.
    """

    customers: list[int]
    rates: list[int]
    tokens: list[int] = attrs.field(factory=list)
