"""Settings of one router process, read once at its start."""

from __future__ import annotations

import enum
from typing import Any
from typing import NewType

import attrs

from lavenderbend.state import upstreams  # noqa: TC001 - read by cattrs

Seconds = NewType('Seconds', float)
ByteCount = NewType('ByteCount', int)

MAX_PORT = 65535
DAY = 86400.0


@attrs.frozen
class Bounds:
    """The values that a number may take.

    Attributes:
        least: Smallest allowed.
        most: Largest allowed, None for no bound.
    """

    least: float
    most: float | None = None

    def __str__(self) -> str:
        if self.most is None:
            return f'at least {self.least:g}'
        return f'{self.least:g} to {self.most:g}'

    def holds(self, value: float) -> bool:
        """Returns whether the value may be taken; never for NaN."""
        if not value >= self.least:
            return False
        return self.most is None or value <= self.most


def bounded(default: Any, least: float, most: float | None = None) -> Any:
    """Returns an attrs field with a default and bounds."""
    return attrs.field(
        default=default, metadata={'bounds': Bounds(least, most)}
    )


def port(default: int) -> Any:
    """Returns an attrs field for a TCP port; 0 lets the system choose."""
    return bounded(default, 0, MAX_PORT)


class LinkKind(enum.Enum):
    """How peers talk to each other."""

    FRAMES = 'frames'
    GRPC = 'grpc'


class CutOffPolicy(enum.Enum):
    """What a router does with requests while its revision may be old."""

    SERVE = 'serve'
    REFUSE = 'refuse'


class VmListKind(enum.Enum):
    """Where the VM list comes from."""

    HTTP = 'http'
    STATIC = 'static'


@attrs.frozen
class CallerSettings:
    """The address for callers and the limits that guard its memory.

    Attributes:
        host: IP number to bind.
        port: Port to bind, 0 for any.
        max_header_bytes: Larger request headers are refused.
        max_body_bytes: Larger request bodies are refused.
        max_connections: Connections beyond this are closed at once.
        idle_seconds: A connection without progress is closed after this.
    """

    host: str = '127.0.0.1'
    port: int = port(8080)
    max_header_bytes: ByteCount = bounded(32 * 1024, 1024, 1024 * 1024)
    max_body_bytes: ByteCount = bounded(1024 * 1024, 1024, 64 * 1024 * 1024)
    max_connections: int = bounded(2000, 1, 100_000)
    idle_seconds: Seconds = bounded(60.0, 0.1, DAY)


@attrs.frozen
class OperatorSettings:
    """The address for operators.

    Attributes:
        credential: `salt$sha256(salt + credential)` in hex; without one the
            interface refuses every call.
        host: IP number to bind.
        port: Port to bind, 0 for any.
    """

    credential: str = ''
    host: str = '127.0.0.1'
    port: int = port(8081)


@attrs.frozen
class TlsSettings:
    """Files of the mutual TLS between peers; reloaded when they change.

    Attributes:
        certificate: PEM file with this router's certificate chain.
        key: PEM file with its private key.
        ca: PEM file with the authority that signs every router.
    """

    certificate: str
    key: str
    ca: str


@attrs.frozen
class PeerSettings:
    """The address for other routers.

    Attributes:
        host: IP number to bind.
        port: Port to bind, 0 for any.
        link: The protocol.
        advertised_port: Port at which other routers reach this one, 0 for
            the bound one.
        tls: Mutual TLS, None for plain connections.
        allow_plain_beyond_loopback: Must be true before plain connections
            are served on an address that other machines reach.
    """

    host: str = '127.0.0.1'
    port: int = port(8082)
    link: LinkKind = LinkKind.FRAMES
    advertised_port: int = bounded(0, 0, MAX_PORT)
    tls: TlsSettings | None = None
    allow_plain_beyond_loopback: bool = False


@attrs.frozen
class KeyValueSettings:
    """The platform's key-value service.

    Attributes:
        adapter: Name of the adapter.
        endpoints: Base URLs, tried in order.
        timeout_seconds: A call without an answer after this is uncertain.
        prefix: Every key of this fleet begins with it.
    """

    endpoints: tuple[str, ...]
    adapter: str = 'etcd'
    timeout_seconds: Seconds = bounded(2.0, 0.01, 60.0)
    prefix: str = '/lavenderbend/'


@attrs.frozen
class VmListSettings:
    """The platform's VM list.

    Attributes:
        adapter: An HTTP address, or a list in the settings.
        url: Address of the list, for `http`.
        vms: The list itself, for `static`.
        interval_seconds: How often the list is read.
        timeout_seconds: A read without an answer after this has failed.
    """

    adapter: VmListKind = VmListKind.STATIC
    url: str = ''
    vms: tuple[upstreams.Vm, ...] = ()
    interval_seconds: Seconds = bounded(2.0, 0.05, 600.0)
    timeout_seconds: Seconds = bounded(2.0, 0.01, 60.0)


@attrs.frozen
class StopSettings:
    """How the router stops.

    Attributes:
        balancer_grace_seconds: Time between failing readiness and closing
            the listeners, in which the balancer takes the router out.
        stream_seconds: Time that requests in progress get to finish.
    """

    balancer_grace_seconds: Seconds = bounded(5.0, 0.0, 600.0)
    stream_seconds: Seconds = bounded(900.0, 0.0, DAY)


@attrs.frozen
class DecisionSettings:
    """How many decisions are kept in memory.

    Attributes:
        capacity: The latest decisions that can be read back.
    """

    capacity: int = bounded(5000, 1, 1_000_000)


@attrs.frozen
class TracingSettings:
    """Where spans go.

    Attributes:
        otlp_endpoint: OTLP/HTTP address; without one no span is recorded.
    """

    otlp_endpoint: str | None = None


@attrs.frozen
class ConfigurationSettings:
    """What holds while no newer configuration can be seen.

    Attributes:
        when_cut_off: Serve by the revision in force, or refuse, once
            neither the key-value service nor a peer has confirmed it for
            `cut_off_seconds`.
        cut_off_seconds: The time after which the router counts as cut off.
    """

    when_cut_off: CutOffPolicy = CutOffPolicy.SERVE
    cut_off_seconds: Seconds = bounded(30.0, 1.0, DAY)


@attrs.frozen
class RouterSettings:
    """Everything that one router process is told at its start.

    Attributes:
        id: Unique for ever among the routers of the fleet.
        availability_zone: Where this VM stands.
        key_value: The platform's key-value service.
        region: Where this VM stands.
        callers: The address for callers.
        operators: The address for operators.
        peers: The address for other routers.
        vm_list: The platform's VM list.
        stop: How the router stops.
        decisions: How many decisions are kept.
        tracing: Where spans go.
        configuration: What holds while cut off.
        seed: Seed of the random numbers, None for one of the system.
    """

    id: str
    availability_zone: str
    key_value: KeyValueSettings
    region: str = 'default'
    callers: CallerSettings = attrs.field(factory=CallerSettings)
    operators: OperatorSettings = attrs.field(factory=OperatorSettings)
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    vm_list: VmListSettings = attrs.field(factory=VmListSettings)
    stop: StopSettings = attrs.field(factory=StopSettings)
    decisions: DecisionSettings = attrs.field(factory=DecisionSettings)
    tracing: TracingSettings = attrs.field(factory=TracingSettings)
    configuration: ConfigurationSettings = attrs.field(
        factory=ConfigurationSettings
    )
    seed: int | None = None
