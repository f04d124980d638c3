"""Messages of peer links and of membership."""

from __future__ import annotations

import enum

import attrs

from lavenderbend.protocol import peer

# what comes from another process is checked before it is taken: a wrong
# type would otherwise show much later, in the midst of a decision
TEXT = attrs.validators.instance_of(str)
WHOLE = attrs.validators.and_(
    attrs.validators.instance_of(int), attrs.validators.ge(0)
)
SECONDS = attrs.validators.and_(
    attrs.validators.instance_of((int, float)),
    attrs.validators.ge(0),
    attrs.validators.le(300),
)
LIST = attrs.validators.instance_of(list)

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1


class RouterState(enum.IntEnum):
    """What one router believes of another; the larger goes first.

    Between two updates of the same incarnation the larger state holds.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class FactKind(enum.IntEnum):
    """What is said of an upstream.

    `UNREACHABLE` is said once routers that the observer asked do not reach
    it either; `REFUSED` by one router alone. `RETURNED` says that it answers,
    and ends those and the draining of earlier instances; `DRAIN_ENDED` that
    this very instance has taken its draining back.
    """

    DRAINING = 0
    UNREACHABLE = 1
    REFUSED = 2
    RETURNED = 3
    DRAIN_ENDED = 4


class ListState(enum.IntEnum):
    """How far a VM has come in the VM list; it only moves forward."""

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
        instance: Differs for each process that runs under the id.
    """

    router: str = attrs.field(validator=TEXT)
    version: int = attrs.field(validator=WHOLE)
    instance: int = attrs.field(default=0, validator=WHOLE)


@peer.message(81)
@attrs.frozen
class Goodbye(peer.Message):
    """The last message of one side of a connection.

    Attributes:
        final: Whether the sender stops and answers nothing any more.
    """

    final: bool = False


@peer.message(82)
@attrs.frozen
class Ping(peer.Message):
    """A probe; the answer is `Ack`.

    Attributes:
        updates: Messages by `peer.to_wire`.
    """

    updates: list = attrs.field(factory=list, validator=LIST)


@peer.message(83)
@attrs.frozen
class Ack(peer.Message):
    """The answer to a probe.

    Attributes:
        updates: Messages by `peer.to_wire`.
    """

    updates: list = attrs.field(factory=list, validator=LIST)


@peer.message(84)
@attrs.frozen
class PingThrough(peer.Message):
    """Asks a peer to probe another; the answer is `Ack` or a failure.

    Attributes:
        target: Router to probe.
        updates: Messages by `peer.to_wire`.
    """

    target: str = attrs.field(validator=TEXT)
    updates: list = attrs.field(factory=list, validator=LIST)


@peer.message(85)
@attrs.frozen
class RouterUpdate(peer.Message):
    """What somebody believes of a router.

    Attributes:
        router: Its id.
        state: A `RouterState`.
        incarnation: Counted up by the router itself only.
        host: Its peer address, empty if the sender leaves it out.
        port: Its peer port.
        availability_zone: Its zone.
        region: Its region.
    """

    router: str = attrs.field(validator=TEXT)
    state: int = attrs.field(validator=WHOLE)
    incarnation: int = attrs.field(validator=WHOLE)
    host: str = attrs.field(default='', validator=TEXT)
    port: int = attrs.field(default=0, validator=WHOLE)
    availability_zone: str = attrs.field(default='', validator=TEXT)
    region: str = attrs.field(default='', validator=TEXT)


@peer.message(86)
@attrs.frozen
class UpstreamFact(peer.Message):
    """Something that was seen of an upstream and ends with time.

    Attributes:
        upstream: VM id.
        kind: A `FactKind`.
        observer: Router that saw it first.
        sequence: Counted up by the observer for each fact.
        seconds: How long it holds from now.
        instance: Instance id that it was seen of, empty if unknown.
    """

    upstream: str = attrs.field(validator=TEXT)
    kind: int = attrs.field(validator=WHOLE)
    observer: str = attrs.field(validator=TEXT)
    sequence: int = attrs.field(validator=WHOLE)
    seconds: float = attrs.field(validator=SECONDS)
    instance: str = attrs.field(default='', validator=TEXT)


@peer.message(87)
@attrs.frozen
class VmChange(peer.Message):
    """A VM that the VM list has begun to show otherwise.

    Attributes:
        vm: VM id.
        state: A `ListState`.
        host: IP number.
        port: Port of its process.
        availability_zone: Its zone.
        region: Its region.
        service: Its service.
        kind: Value of its `UpstreamKind`.
    """

    vm: str = attrs.field(validator=TEXT)
    state: int = attrs.field(validator=WHOLE)
    host: str = attrs.field(validator=TEXT)
    port: int = attrs.field(validator=WHOLE)
    availability_zone: str = attrs.field(validator=TEXT)
    region: str = attrs.field(validator=TEXT)
    service: str = attrs.field(validator=TEXT)
    kind: str = attrs.field(validator=TEXT)


@peer.message(88)
@attrs.frozen
class Updates(peer.Message):
    """A notice that carries urgent updates.

    Attributes:
        updates: Messages by `peer.to_wire`.
    """

    updates: list = attrs.field(validator=LIST)


@peer.message(89)
@attrs.frozen
class SyncAsk(peer.Message):
    """Asks for all that a router believes; the answer is `SyncAnswer`.

    Attributes:
        updates: Messages by `peer.to_wire`.
        want_list: Whether the asker needs the VM list too.
    """

    updates: list = attrs.field(factory=list, validator=LIST)
    want_list: bool = False


@peer.message(90)
@attrs.frozen
class SyncAnswer(peer.Message):
    """All that a router believes of other routers and of upstreams.

    Attributes:
        updates: Messages by `peer.to_wire`.
    """

    updates: list = attrs.field(validator=LIST)


@peer.message(91)
@attrs.frozen
class UpstreamProbe(peer.Message):
    """Asks a peer whether it reaches an upstream; `Done` or a failure.

    Attributes:
        upstream: VM id.
    """

    upstream: str = attrs.field(validator=TEXT)
