"""Messages between forwarding routers."""

from __future__ import annotations

import attrs

from lavenderbend.protocol import peer


@peer.message(100)
@attrs.frozen
class RouterState(peer.Message):
    """What a router tells others of itself, in one datagram.

    Attributes:
        name: The router.
        incarnation: Changes with each start of its process.
        host: IP number at which peers reach it.
        zone: Its availability zone.
        leaving: Whether it is stopping.
        sent_at: Its suspension clock when this was made, in seconds.
        echo_incarnation: Incarnation of the receiver whose message it
            heard last.
        echo_at: `sent_at` of that message, None if there was none.
        echo_held: Seconds since it heard that message.
        proof_age: Seconds since its snapshot was the newest, None if it
            has none.
        revision: Revision of its snapshot.
        digest: Digest of its snapshot.
        loads: Pairs of numbers: the place of an upstream among the
            instances of that snapshot in their order, and the requests that
            this router has there. Most upstreams of a large site have none.
        members: Hosts of routers that it knows.
        suspects: Upstreams that it found dead or out of reach.
    """

    name: str
    incarnation: int
    host: str
    zone: str
    leaving: bool
    sent_at: float
    echo_incarnation: int
    echo_at: float | None
    echo_held: float
    proof_age: float | None
    revision: int
    digest: int
    loads: list[int]
    members: list[str] = attrs.field(factory=list)
    suspects: list[str] = attrs.field(factory=list)


@peer.message(101)
@attrs.frozen
class SnapshotContent(peer.Message):
    """A snapshot for a router that knows an earlier one.

    Attributes:
        revision: Revision of the store.
        changed: Key, revision and value of each item that changed since the
            revision that was asked for.
        keys: All keys that the store held; None if `removed` says it all.
        removed: Keys that are gone since that revision.
        digest: Digest of the whole snapshot, by which the receiver knows
            that the changes fit what it has.
    """

    revision: int
    changed: list[list[str | int | bytes]]
    keys: list[str] | None
    removed: list[str]
    digest: int


@peer.message(103)
@attrs.frozen
class SnapshotWanted(peer.Message):
    """Asks a router for its snapshot.

    Attributes:
        known_revision: Revision of the snapshot that the asking router has,
            0 for none.
    """

    known_revision: int


@peer.message(102)
@attrs.frozen
class CrashNotice(peer.Message):
    """A request that was on upstreams when they died, or that is cleared.

    Attributes:
        fingerprint: The request.
        instances: Upstreams that died with it.
        cleared: Whether it has run to a good end since.
    """

    fingerprint: int
    instances: list[str]
    cleared: bool
