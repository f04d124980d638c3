"""Settings of one router process, read once at its start."""

from __future__ import annotations

import enum

import attrs

from lavenderbend.state import forwarding_settings
from lavenderbend.state import setting_fields
from lavenderbend.state import upstreams  # noqa: TC001 - read by cattrs

Seconds = setting_fields.Seconds
ByteCount = setting_fields.ByteCount
Bounds = setting_fields.Bounds
MAX_PORT = setting_fields.MAX_PORT
DAY = setting_fields.DAY
bounded = setting_fields.bounded
port = setting_fields.port


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
class AdmissionSettings:
    """How much the owners of chats remember; the same on all routers.

    Attributes:
        chats: Chats whose places an owner remembers for one group of chats.
    """

    chats: int = bounded(50_000, 100, 10_000_000)


@attrs.frozen
class ClaimSettings:
    """How non-idempotent requests are kept from running twice.

    Attributes:
        shards: Logs that the claims are spread over; the same on every
            router, changed only with the whole fleet stopped for longer
            than the retention.
        retention_seconds: A request that comes again within this time is
            not run again.
        write_gap_seconds: Least time between two writes of one shard.
    """

    shards: int = bounded(1, 1, 256)
    retention_seconds: Seconds = bounded(3600.0, 60.0, 7 * DAY)
    write_gap_seconds: Seconds = bounded(0.0105, 0.0, 1.0)


@attrs.frozen
class OrderSettings:
    """How engines are brought to the models they are to serve.

    Attributes:
        interval_seconds: How often a controller reads its engines.
        loads_at_once: Orders of a pool in progress at once.
        load_gap_seconds: Least time between two orders of a pool: what the
            weight store bears.
        unavailable: Share of a model's engines that may be down at once.
        settle_seconds: Time in which an engine must serve what it was
            ordered to.
        bake_seconds: Time for which a first engine must serve a new target
            before others follow.
        engine_read_seconds: An engine drops a request whose body has not
            come for so long; a new controller waits for it where engines
            ignore fencing tokens.
    """

    interval_seconds: Seconds = bounded(2.0, 0.1, 60.0)
    loads_at_once: int = bounded(4, 1, 1000)
    load_gap_seconds: Seconds = bounded(1.0, 0.0, 3600.0)
    unavailable: float = bounded(25.0, 0, 100)
    settle_seconds: Seconds = bounded(600.0, 1.0, DAY)
    bake_seconds: Seconds = bounded(30.0, 0.0, DAY)
    engine_read_seconds: Seconds = bounded(60.0, 1.0, 3600.0)


@attrs.frozen
class AnswerSettings:
    """Limits on the answers of upstreams.

    Attributes:
        max_event_bytes: A larger server-sent event breaks its stream.
        max_whole_bytes: A larger whole model answer is refused.
        held_bytes: An answer that states at most this length is held until
            it is whole, so that it can be tried again unseen.
        stall_seconds: An answer without a byte for so long is broken off.
        named_by_request: Whether engines take the request's id over into
            the `id` of a chat answer; an answer without it is then taken
            for another request's.
    """

    max_event_bytes: ByteCount = bounded(256 * 1024, 1024, 64 * 1024 * 1024)
    max_whole_bytes: ByteCount = bounded(
        8 * 1024 * 1024, 1024 * 1024, 1024 * 1024 * 1024
    )
    held_bytes: ByteCount = bounded(64 * 1024, 0, 1024 * 1024)
    stall_seconds: Seconds = bounded(30.0, 0.1, DAY)
    named_by_request: bool = True


@attrs.frozen
class AttemptSettings:
    """When a request is run, again or not at all.

    Attributes:
        retry_share: Retries allowed for each first attempt of a pool.
        retry_after_seconds: Told to callers whose request was not run.
        require_idempotency_key: Whether a non-idempotent request without an
            Idempotency-Key is refused.
    """

    retry_share: float = bounded(10.0, 0, 100)
    retry_after_seconds: Seconds = bounded(1.0, 0.1, 3600.0)
    require_idempotency_key: bool = True


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
        admission: How much the owners of chats remember.
        claims: How non-idempotent requests are kept from running twice.
        orders: How engines are brought to their models.
        answers: Limits on the answers of upstreams.
        attempts: When a request is run, again or not at all.
        seed: Seed of the random numbers, None for one of the system.
        forwarding: Forwards any HTTP request by the platform's rules, in
            place of chat completions by the operators' own.
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
    admission: AdmissionSettings = attrs.field(factory=AdmissionSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    orders: OrderSettings = attrs.field(factory=OrderSettings)
    answers: AnswerSettings = attrs.field(factory=AnswerSettings)
    attempts: AttemptSettings = attrs.field(factory=AttemptSettings)
    seed: int | None = None
    forwarding: forwarding_settings.ForwardingSettings | None = None
