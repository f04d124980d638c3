"""Messages of peer links and of membership."""

from __future__ import annotations

import enum

import attrs

from lavenderbend.protocol import peer

# Fields from another process are validated on decoding: otherwise a wrong type
# would cause an error only much later, while a decision is made.
TEXT = attrs.validators.instance_of(str)
NON_NEGATIVE_INTEGER = attrs.validators.and_(
    attrs.validators.instance_of(int), attrs.validators.ge(0)
)
SECONDS = attrs.validators.and_(
    attrs.validators.instance_of((int, float)),
    attrs.validators.ge(0),
    attrs.validators.le(300),
)
UPDATE_LIST = attrs.validators.instance_of(list)

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1


class RouterState(enum.IntEnum):
    """State of a router as another router sees it.

    Of two updates for the same incarnation, the one with the larger state
    takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class FactKind(enum.IntEnum):
    """Kind of a fact about an upstream.

    `UNREACHABLE` is reported after routers that the observer queried cannot
    reach the upstream either, `REFUSED` by one router alone. `RETURNED`
    reports that it answers; it ends both, and the draining of earlier
    instances. `DRAIN_ENDED` reports that the same instance has cancelled its
    draining.
    """

    DRAINING = 0
    UNREACHABLE = 1
    REFUSED = 2
    RETURNED = 3
    DRAIN_ENDED = 4


class ListState(enum.IntEnum):
    """Stage of a VM in the VM list; it only advances."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@peer.message(80)
@attrs.frozen
class Hello(peer.Message):
    """The first message of each side of a connection.

    Attributes:
        router: Id of the sender.
        version: Protocol version of the sender.
        instance: Number that differs for each process with this id.
    """

    router: str = attrs.field(validator=TEXT)
    version: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    instance: int = attrs.field(default=0, validator=NON_NEGATIVE_INTEGER)


@peer.message(81)
@attrs.frozen
class Goodbye(peer.Message):
    """The last message of one side of a connection.

    Attributes:
        final: Whether the sender is stopping and will answer no requests.
    """

    final: bool = False


@peer.message(82)
@attrs.frozen
class Ping(peer.Message):
    """A probe; the answer is `Ack`.

    Attributes:
        updates: Updates, each encoded by `peer.to_wire`.
    """

    updates: list = attrs.field(factory=list, validator=UPDATE_LIST)


@peer.message(83)
@attrs.frozen
class Ack(peer.Message):
    """The answer to a probe.

    Attributes:
        updates: Updates, each encoded by `peer.to_wire`.
    """

    updates: list = attrs.field(factory=list, validator=UPDATE_LIST)


@peer.message(84)
@attrs.frozen
class IndirectPing(peer.Message):
    """Requests a peer to probe another; answered by `Ack` or `Failure`.

    Attributes:
        target: Router to probe.
        updates: Updates, each encoded by `peer.to_wire`.
    """

    target: str = attrs.field(validator=TEXT)
    updates: list = attrs.field(factory=list, validator=UPDATE_LIST)


@peer.message(85)
@attrs.frozen
class RouterUpdate(peer.Message):
    """State of a router as some router sees it.

    Attributes:
        router: Id of the router.
        state: A `RouterState`.
        incarnation: Incremented only by the router itself.
        host: Its peer address, empty if the sender omits it.
        port: Its peer port.
        availability_zone: Its availability zone.
        region: Its region.
    """

    router: str = attrs.field(validator=TEXT)
    state: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    incarnation: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    host: str = attrs.field(default='', validator=TEXT)
    port: int = attrs.field(default=0, validator=NON_NEGATIVE_INTEGER)
    availability_zone: str = attrs.field(default='', validator=TEXT)
    region: str = attrs.field(default='', validator=TEXT)


@peer.message(86)
@attrs.frozen
class UpstreamFact(peer.Message):
    """An observation about an upstream that expires.

    Attributes:
        upstream: VM id.
        kind: A `FactKind`.
        observer: Router that made the observation.
        sequence: Incremented by the observer for each fact.
        seconds: Time until the fact expires.
        instance: Instance id of the upstream, empty if unknown.
    """

    upstream: str = attrs.field(validator=TEXT)
    kind: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    observer: str = attrs.field(validator=TEXT)
    sequence: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    seconds: float = attrs.field(validator=SECONDS)
    instance: str = attrs.field(default='', validator=TEXT)


@peer.message(87)
@attrs.frozen
class VmChange(peer.Message):
    """A change of a VM in the VM list.

    Attributes:
        vm: VM id.
        state: A `ListState`.
        host: IP address.
        port: Port of its process.
        availability_zone: Its availability zone.
        region: Its region.
        service: Its service.
        kind: Value of its `UpstreamKind`.
    """

    vm: str = attrs.field(validator=TEXT)
    state: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    host: str = attrs.field(validator=TEXT)
    port: int = attrs.field(validator=NON_NEGATIVE_INTEGER)
    availability_zone: str = attrs.field(validator=TEXT)
    region: str = attrs.field(validator=TEXT)
    service: str = attrs.field(validator=TEXT)
    kind: str = attrs.field(validator=TEXT)


@peer.message(88)
@attrs.frozen
class Updates(peer.Message):
    """A notice that carries urgent updates.

    Attributes:
        updates: Updates, each encoded by `peer.to_wire`.
    """

    updates: list = attrs.field(validator=UPDATE_LIST)


@peer.message(89)
@attrs.frozen
class SyncRequest(peer.Message):
    """Requests a router's whole membership state; answered by `SyncReply`.

    Attributes:
        updates: Updates, each encoded by `peer.to_wire`.
        include_vm_list: Whether the reply should include the VM list.
    """

    updates: list = attrs.field(factory=list, validator=UPDATE_LIST)
    include_vm_list: bool = False


@peer.message(90)
@attrs.frozen
class SyncReply(peer.Message):
    """A router's whole state of other routers and of upstreams.

    Attributes:
        updates: Updates, each encoded by `peer.to_wire`.
    """

    updates: list = attrs.field(validator=UPDATE_LIST)


@peer.message(91)
@attrs.frozen
class UpstreamProbe(peer.Message):
    """Requests a peer to probe an upstream; answered by `Done` or `Failure`.

    Attributes:
        upstream: VM id.
    """

    upstream: str = attrs.field(validator=TEXT)
