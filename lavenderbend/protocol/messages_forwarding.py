"""Messages between forwarding routers."""

from __future__ import annotations

import enum

import attrs
from attrs import validators

from lavenderbend.protocol import message_fields as fields
from lavenderbend.protocol import peer


@peer.message(104)
@attrs.frozen
class RouterState(peer.Message):
    """Gossip of a router about itself and what it received from others.

    Each message can be used without the others, and fits into one datagram at
    any fleet size: state that grows with the fleet is sent in parts.

    Attributes:
        name: Name of the sender.
        incarnation: Differs for each start of the sender's process.
        host: IPv4 address at which peers reach the sender.
        zone: The sender's availability zone.
        leaving: Whether the sender is stopping.
        reply_requested: Whether the receiver should reply with the state that
            a new router needs.
        sent_at: The sender's suspension clock at the time of sending, in
            seconds.
        echo_incarnation: Incarnation of the receiver in the last message that
            the sender received from it.
        echo_at: `sent_at` of that message, None if there was none.
        echo_delay: Seconds since the sender received that message.
        proof_age: Seconds since the sender's snapshot was known to be the
            newest, None if it has no snapshot.
        revision: Revision of the sender's snapshot.
        digest: Digest of the sender's snapshot.
        peak_routers: Largest recent router count of the sender.
        zones: Lists of an availability zone, the number of routers alive
            there, and the age of that count in milliseconds.
        facts: Lists of a kind, a subject, a source, an age and a duration,
            both in milliseconds.
        same_zone_hosts: Routers of the sender's zone and the time since each
            was last seen, packed.
        reports: Upstreams and the loads that they reported, packed.
        requests: Upstreams and the number of the sender's own requests there,
            packed.
        other_zone_hosts: Lists of another zone and its routers, the latter
            packed.
        prompts: Prompt parts and the upstreams that have them cached, packed.
        upstreams_lost: Whether the sender seems to be cut off from all
            upstreams.
        draws_versions: Whether the sender's build begins streams at versions
            that are drawn, and has a record taken back where it does not.
        era: The store's era in the sender's snapshot.
        version: Version of the configuration in force at the sender.
        capacity: Processor of the sender's machine, in hundredths of a core.
        same_zone_capacities: Capacities of the routers of `same_zone_hosts`, in
            the same order, as they told the sender, packed; 0 for a router from
            which it has received nothing, empty if none is unusual.
    """

    name: str = attrs.field(validator=fields.TEXT)
    incarnation: int = attrs.field(validator=fields.INTEGER)
    host: str = attrs.field(validator=fields.TEXT)
    zone: str = attrs.field(validator=fields.TEXT)
    leaving: bool = attrs.field(validator=fields.FLAG)
    reply_requested: bool = attrs.field(validator=fields.FLAG)
    sent_at: float = attrs.field(validator=fields.NUMBER)
    echo_incarnation: int = attrs.field(validator=fields.INTEGER)
    echo_at: float | None = attrs.field(validator=fields.OPTIONAL_NUMBER)
    echo_delay: float = attrs.field(validator=fields.NUMBER)
    proof_age: float | None = attrs.field(validator=fields.OPTIONAL_NUMBER)
    revision: int = attrs.field(validator=fields.INTEGER)
    digest: int = attrs.field(validator=fields.INTEGER)
    peak_routers: int = attrs.field(validator=fields.INTEGER, default=0)
    zones: list[list[str | int]] = attrs.field(
        factory=list, validator=fields.rows_of(str, int, int)
    )
    facts: list[list[str | int]] = attrs.field(
        factory=list, validator=fields.rows_of(str, str, str, int, int)
    )
    same_zone_hosts: bytes = attrs.field(validator=fields.PACKED, default=b'')
    reports: bytes = attrs.field(validator=fields.PACKED, default=b'')
    requests: bytes = attrs.field(validator=fields.PACKED, default=b'')
    other_zone_hosts: list[list[str | bytes]] = attrs.field(
        factory=list, validator=fields.rows_of(str, bytes)
    )
    prompts: bytes = attrs.field(validator=fields.PACKED, default=b'')
    upstreams_lost: bool = attrs.field(
        validator=fields.FLAG, default=False, metadata=peer.ADDED_LATER
    )
    draws_versions: bool = attrs.field(
        validator=fields.FLAG, default=False, metadata=peer.ADDED_LATER
    )
    era: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    version: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    capacity: int = attrs.field(
        validator=fields.INTEGER, default=100, metadata=peer.ADDED_LATER
    )
    same_zone_capacities: bytes = attrs.field(
        validator=fields.PACKED, default=b'', metadata=peer.ADDED_LATER
    )


@peer.message(101)
@attrs.frozen
class SnapshotContent(peer.Message):
    """A snapshot, as changes to the one that the receiver has.

    Attributes:
        revision: Revision of the store.
        changed: Key, revision and value of each item that changed since the
            revision in the request.
        keys: All keys in the store; None if `removed` is complete.
        removed: Keys removed since the revision in the request.
        digest: Digest of the whole snapshot, by which the receiver verifies
            that the changes fit the snapshot it has.
        era: Era of the store; in another one than the request's the snapshot
            is whole.
    """

    revision: int = attrs.field(validator=fields.INTEGER)
    changed: list[list[str | int | bytes]] = attrs.field(
        validator=fields.rows_of(str, int, bytes)
    )
    keys: list[str] | None = attrs.field(
        validator=validators.optional(fields.check_texts)
    )
    removed: list[str] = attrs.field(validator=fields.check_texts)
    digest: int = attrs.field(validator=fields.INTEGER)
    era: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )


@peer.message(103)
@attrs.frozen
class SnapshotRequest(peer.Message):
    """Requests a router's snapshot.

    Attributes:
        known_revision: Revision of the sender's snapshot, 0 for none.
        known_era: Era of the sender's snapshot.
    """

    known_revision: int = attrs.field(validator=fields.INTEGER)
    known_era: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )


class OwnerRequest(peer.Message):
    """Base of the questions to the owner of an upstream.

    Attributes:
        number: Number of the question, unique at the sender.
        host: IPv4 address of the sender.
        upstream: Short id of the upstream.
        zone: The upstream's availability zone.
        forwarded: Whether another router has relayed the message.
    """

    number: int
    host: str
    upstream: int
    zone: str
    forwarded: bool


class OwnerReply(peer.Message):
    """Base of the replies of owners.

    Attributes:
        number: Number of the question.
        owner: IPv4 address of the sender.
        upstream: Short id of the upstream.
    """

    number: int
    owner: str
    upstream: int


@peer.message(110)
@attrs.frozen
class ReservationRequest(OwnerRequest):
    """Requests a reservation and the load of an upstream from its owner.

    Attributes:
        number: Number of the reservation, unique at the sender.
        host: IPv4 address of the sender.
        upstream: Short id of the upstream.
        zone: The upstream's availability zone.
        chat: Short id of the chat.
        tokens: Length of the prompt in tokens.
        own_tokens: Length of the part that no other request has, in tokens.
        lifetime_milliseconds: Time after which the request has certainly
            ended.
        forwarded: Whether another router has relayed the message.
        max_load: Requests at the upstream from which on the request is not
            counted, 0 for no such number.
        rank: Priority of the request, 0 is the most urgent.
        customer: Short id of the customer, 0 for none.
        output_tokens: Expected length of the output in tokens.
        target_milliseconds: Time left until the latency target, 0 if it has
            passed.
        checks_room: Whether the owner may decline the request.
        wait_milliseconds: How long the request may wait for room, 0 if it is
            to be declined at once.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    host: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.INTEGER)
    zone: str = attrs.field(validator=fields.TEXT)
    chat: int = attrs.field(validator=fields.INTEGER)
    tokens: int = attrs.field(validator=fields.INTEGER)
    own_tokens: int = attrs.field(validator=fields.INTEGER)
    lifetime_milliseconds: int = attrs.field(validator=fields.INTEGER)
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)
    max_load: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    rank: int = attrs.field(
        validator=fields.INTEGER, default=5, metadata=peer.ADDED_LATER
    )
    customer: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    output_tokens: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    target_milliseconds: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    checks_room: bool = attrs.field(
        validator=fields.FLAG, default=False, metadata=peer.ADDED_LATER
    )
    wait_milliseconds: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )


class ReservationOutcome(enum.IntEnum):
    """What the owner of an upstream did with a request.

    Attributes:
        GRANTED: It may be sent, and is counted.
        WAITING: It waits at the owner, and is not counted.
        DECLINED: Neither.
    """

    GRANTED = 1
    WAITING = 2
    DECLINED = 3


class Shortage(enum.IntEnum):
    """What an upstream has too little of for a request.

    Attributes:
        NONE: Nothing; the request fits.
        REQUESTS: It holds as many requests as are allowed.
        READING: It has to process other prompts first.
        CHAT: It is processing a prompt of the same chat.
        MEMORY: Prompts and outputs would exceed its memory.
        QUEUE: Too many requests wait for it.
        TIME: The request could not begin before its deadline.
    """

    NONE = 0
    REQUESTS = 1
    READING = 2
    CHAT = 3
    MEMORY = 4
    QUEUE = 5
    TIME = 6


@peer.message(111)
@attrs.frozen
class ReservationReply(OwnerReply):
    """State of an upstream at its owner, without the new reservation.

    Attributes:
        number: Number in the request.
        owner: IPv4 address of the sender.
        upstream: Short id of the upstream.
        load: Number of requests that it holds.
        unread_tokens: Tokens of their prompts that it has yet to process.
        holders: Short ids of upstreams that have the chat cached, the latest
            first.
        outcome: A `ReservationOutcome`.
        shortage: A `Shortage`: why the request was not granted.
        expected_milliseconds: Expected time until the upstream begins with
            the request.
        queued: Requests that wait for the upstream.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    owner: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.INTEGER)
    load: int = attrs.field(validator=fields.INTEGER)
    unread_tokens: int = attrs.field(validator=fields.INTEGER)
    holders: list[int] = attrs.field(
        validator=attrs.validators.deep_iterable(fields.INTEGER)
    )
    outcome: int = attrs.field(
        validator=fields.INTEGER,
        default=int(ReservationOutcome.GRANTED),
        metadata=peer.ADDED_LATER,
    )
    shortage: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    expected_milliseconds: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )
    queued: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )


@peer.message(112)
@attrs.frozen
class ReservationNotes(peer.Message):
    """Notice of the progress of reservations.

    Attributes:
        host: IPv4 address of the sender.
        rows: Lists of a kind, the number of a reservation, and the short ids
            of its upstream, of the chat and of the upstream that now has the
            chat cached.
    """

    host: str = attrs.field(validator=fields.TEXT)
    rows: list[list[int]] = attrs.field(
        validator=fields.rows_of(int, int, int, int, int)
    )


@peer.message(113)
@attrs.frozen
class ColdStartRequest(OwnerRequest):
    """Asks the owner of a cold upstream whether a request may be sent there.

    Attributes:
        number: Number of the question, unique at the sender.
        host: IPv4 address of the sender.
        upstream: Short id of the upstream.
        zone: The upstream's availability zone.
        forwarded: Whether another router has relayed the message.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    host: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.INTEGER)
    zone: str = attrs.field(validator=fields.TEXT)
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)


@peer.message(114)
@attrs.frozen
class ColdStartReply(OwnerReply):
    """Whether a request may be sent to a cold upstream.

    Attributes:
        number: Number of the question.
        owner: IPv4 address of the sender.
        upstream: Short id of the upstream.
        permitted: Whether it may, if it is sent at once.
        wait_milliseconds: Time after which it may be worth asking again.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    owner: str = attrs.field(validator=fields.TEXT)
    upstream: int = attrs.field(validator=fields.INTEGER)
    permitted: bool = attrs.field(validator=fields.FLAG)
    wait_milliseconds: int = attrs.field(validator=fields.INTEGER)


@peer.message(115)
@attrs.frozen
class RateShareRequest(peer.Message):
    """Asks a router of the zone to lend its shares of cold upstreams' rates.

    Attributes:
        host: IPv4 address of the sender, the owner of the upstreams.
        incarnation: Of the sender's process.
        asked_at: The sender's suspension clock, from which the loans count.
        routers: Routers of the zone, as the sender counts them.
        upstreams: Short ids of the upstreams.
    """

    host: str = attrs.field(validator=fields.TEXT)
    incarnation: int = attrs.field(validator=fields.INTEGER)
    asked_at: float = attrs.field(validator=fields.NUMBER)
    routers: int = attrs.field(validator=fields.INTEGER)
    upstreams: list[int] = attrs.field(
        validator=attrs.validators.deep_iterable(fields.INTEGER)
    )


@peer.message(116)
@attrs.frozen
class RateShareReply(peer.Message):
    """Lends shares of cold upstreams' rates to their owner.

    Attributes:
        host: IPv4 address of the sender.
        incarnation: Of the process that asked.
        asked_at: `asked_at` of the request.
        routers: Routers of the zone, among which the rate is shared.
        upstreams: Short ids of the upstreams whose shares are lent.
    """

    host: str = attrs.field(validator=fields.TEXT)
    incarnation: int = attrs.field(validator=fields.INTEGER)
    asked_at: float = attrs.field(validator=fields.NUMBER)
    routers: int = attrs.field(validator=fields.INTEGER)
    upstreams: list[int] = attrs.field(
        validator=attrs.validators.deep_iterable(fields.INTEGER)
    )


@peer.message(117)
@attrs.frozen
class RelayRequest(peer.Message):
    """Asks a router to connect to an upstream and to relay the connection.

    Attributes:
        instance: The upstream.
    """

    instance: str = attrs.field(validator=fields.TEXT)


class RelayOutcome(enum.IntEnum):
    """The reply to a `RelayRequest`.

    With `CONNECTED`, the bytes of the connection follow. The other outcomes
    mean that the upstream has received nothing.
    """

    CONNECTED = 1
    UNREACHABLE = 2
    WITHDRAWN = 3
    UNABLE = 4


@peer.message(118)
@attrs.frozen
class RelayReply(peer.Message):
    """Whether the sender relays a connection to an upstream.

    Attributes:
        outcome: A `RelayOutcome`.
    """

    outcome: int = attrs.field(validator=fields.INTEGER)


@peer.message(119)
@attrs.frozen
class StreamsBegun(peer.Message):
    """Tells which software began streams.

    Attributes:
        rows: Lists of the key of a stream, the id of the software, and the
            age of the stream in milliseconds.
        forwarded: Whether another router has relayed the message.
    """

    rows: list[list[int]] = attrs.field(validator=fields.rows_of(int, int, int))
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)


@peer.message(120)
@attrs.frozen
class StreamQuestion(peer.Message):
    """Asks which software began a stream.

    Attributes:
        number: Number of the question, unique at the sender.
        host: IPv4 address of the router that asks.
        stream: Key of the stream.
        forwarded: Whether another router has relayed the message.
        only: The software that began all streams of the service by the
            sender's view; a router that knows of no other replies too. 0 if
            only a router that knows the stream should reply.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    host: str = attrs.field(validator=fields.TEXT)
    stream: int = attrs.field(validator=fields.INTEGER)
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)
    only: int = attrs.field(
        validator=fields.INTEGER, default=0, metadata=peer.ADDED_LATER
    )


@peer.message(121)
@attrs.frozen
class StreamReply(peer.Message):
    """Tells which software began a stream.

    Attributes:
        number: Number of the question.
        software_id: The software.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    software_id: int = attrs.field(validator=fields.INTEGER)


@peer.message(123)
@attrs.frozen
class StreamNotTold(peer.Message):
    """Tells that a router knows of no other software than the one asked about.

    Attributes:
        number: Number of the question.
        host: IPv4 address of that router.
        zone: Its availability zone.
    """

    number: int = attrs.field(validator=fields.INTEGER)
    host: str = attrs.field(validator=fields.TEXT)
    zone: str = attrs.field(validator=fields.TEXT)


@peer.message(122)
@attrs.frozen
class CrashReports(peer.Message):
    """Reports prompt parts that were at crashes of upstreams.

    Attributes:
        rows: Lists of the key of a part, the short id of the upstream, the
            age of the crash in milliseconds, and the keys of the other parts
            of the request.
        forwarded: Whether another router has relayed the message.
    """

    rows: list[list[int]] = attrs.field(
        validator=fields.rows_of(int, int, int, more=int)
    )
    forwarded: bool = attrs.field(validator=fields.FLAG, default=False)
