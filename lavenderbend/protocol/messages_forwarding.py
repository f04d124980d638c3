"""Messages between forwarding routers."""

from __future__ import annotations

import attrs

from lavenderbend.protocol import message_fields as fields
from lavenderbend.protocol import peer


@peer.message(104)
@attrs.frozen
class RouterState(peer.Message):
    """What a router tells others of itself and of what it heard.

    Each message stands for itself, and fits one datagram at any size of the
    fleet: what grows with the fleet is told in parts.

    Attributes:
        name: The router.
        incarnation: Changes with each start of its process.
        host: IP number at which peers reach it.
        zone: Its availability zone.
        leaving: Whether it is stopping.
        asks: Whether an answer is wanted, with what a new router needs.
        sent_at: Its suspension clock when this was made, in seconds.
        echo_incarnation: Incarnation of the receiver whose message it
            heard last.
        echo_at: `sent_at` of that message, None if there was none.
        echo_held: Seconds since it heard that message.
        proof_age: Seconds since its snapshot was the newest, None if it
            has none.
        revision: Revision of its snapshot.
        digest: Digest of its snapshot.
        bound: Most routers that it counted lately.
        zones: Lists of a zone, the routers alive there, and the age of that
            count in milliseconds.
        facts: Lists of a kind, a subject, a source, an age and a duration,
            both in milliseconds.
        heard: Routers of its zone and when they were heard, packed.
        reports: Upstreams and the loads that they reported, packed.
        requests: Upstreams and this router's own requests there, packed.
        hosts: Lists of another zone and routers there, packed.
        prompts: Prompt parts and upstreams that hold them, packed.
    """

    name: str = attrs.field(validator=fields.TEXT)
    incarnation: int = attrs.field(validator=fields.WHOLE)
    host: str = attrs.field(validator=fields.TEXT)
    zone: str = attrs.field(validator=fields.TEXT)
    leaving: bool = attrs.field(validator=fields.FLAG)
    asks: bool = attrs.field(validator=fields.FLAG)
    sent_at: float = attrs.field(validator=fields.NUMBER)
    echo_incarnation: int = attrs.field(validator=fields.WHOLE)
    echo_at: float | None = attrs.field(validator=fields.MAYBE_NUMBER)
    echo_held: float = attrs.field(validator=fields.NUMBER)
    proof_age: float | None = attrs.field(validator=fields.MAYBE_NUMBER)
    revision: int = attrs.field(validator=fields.WHOLE)
    digest: int = attrs.field(validator=fields.WHOLE)
    bound: int = attrs.field(validator=fields.WHOLE, default=0)
    zones: list[list[str | int]] = attrs.field(
        factory=list, validator=fields.rows_of(str, int, int)
    )
    facts: list[list[str | int]] = attrs.field(
        factory=list, validator=fields.rows_of(str, str, str, int, int)
    )
    heard: bytes = attrs.field(validator=fields.PACKED, default=b'')
    reports: bytes = attrs.field(validator=fields.PACKED, default=b'')
    requests: bytes = attrs.field(validator=fields.PACKED, default=b'')
    hosts: list[list[str | bytes]] = attrs.field(
        factory=list, validator=fields.rows_of(str, bytes)
    )
    prompts: bytes = attrs.field(validator=fields.PACKED, default=b'')


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

    revision: int = attrs.field(validator=fields.WHOLE)
    changed: list[list[str | int | bytes]]
    keys: list[str] | None
    removed: list[str]
    digest: int = attrs.field(validator=fields.WHOLE)


@peer.message(103)
@attrs.frozen
class SnapshotWanted(peer.Message):
    """Asks a router for its snapshot.

    Attributes:
        known_revision: Revision of the snapshot that the asking router has,
            0 for none.
    """

    known_revision: int = attrs.field(validator=fields.WHOLE)


@peer.message(110)
@attrs.frozen
class ReservationRequest(peer.Message):
    """Asks the owner of an upstream what it holds, and counts a request there.

    Attributes:
        number: Names the reservation among those of the asking router.
        host: IP number of the asking router.
        upstream: Short id of the upstream.
        zone: The upstream's availability zone.
        chat: Short id of the chat.
        tokens: Length of its prompt.
        own_tokens: Length of the part that no other request has.
        milliseconds: After which the request has ended at the latest.
        forwarded: Whether another router has passed it on.
    """

    number: int = attrs.field(validator=fields.WHOLE)
    host: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.WHOLE)
    zone: str = attrs.field(validator=fields.TEXT)
    chat: int = attrs.field(validator=fields.WHOLE)
    tokens: int = attrs.field(validator=fields.WHOLE)
    own_tokens: int = attrs.field(validator=fields.WHOLE)
    milliseconds: int = attrs.field(validator=fields.WHOLE)
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)


@peer.message(111)
@attrs.frozen
class ReservationReply(peer.Message):
    """What an owner knows of an upstream, without the reservation.

    Attributes:
        number: That of the request.
        owner: IP number of the router that answers.
        upstream: Short id of the upstream.
        load: Requests that it holds.
        unread: Tokens of their prompts that it has yet to read.
        holders: Short ids of upstreams that hold the chat, the latest first.
    """

    number: int = attrs.field(validator=fields.WHOLE)
    owner: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.WHOLE)
    load: int = attrs.field(validator=fields.WHOLE)
    unread: int = attrs.field(validator=fields.WHOLE)
    holders: list[int] = attrs.field(
        validator=attrs.validators.deep_iterable(fields.WHOLE)
    )


@peer.message(112)
@attrs.frozen
class ReservationNotes(peer.Message):
    """What became of reservations.

    Attributes:
        host: IP number of the router that tells.
        rows: Lists of a kind, the number of a reservation, and short ids of
            its upstream, of the chat and of the upstream that holds it now.
    """

    host: str = attrs.field(validator=fields.TEXT)
    rows: list[list[int]] = attrs.field(
        validator=fields.rows_of(int, int, int, int, int)
    )
