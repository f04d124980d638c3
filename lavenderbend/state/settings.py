"""Settings of a router process, read once at startup."""

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
DAY_SECONDS = setting_fields.DAY_SECONDS
bounded = setting_fields.bounded
port = setting_fields.port


class LinkKind(enum.Enum):
    """Protocol between routers."""

    FRAMES = 'frames'
    GRPC = 'grpc'


class CutOffPolicy(enum.Enum):
    """Handling of requests while the revision may be outdated."""

    SERVE = 'serve'
    REFUSE = 'refuse'


# Memory for what callers send and are sent.
DEFAULT_HELD_BYTES = 64 * 1024 * 1024


class VmListKind(enum.Enum):
    """Source of the VM list."""

    HTTP = 'http'
    STATIC = 'static'


@attrs.frozen
class CallerSettings:
    """Listener for callers and the limits that bound its memory use.

    Attributes:
        host: IP address to bind.
        port: Port to bind, 0 for any.
        max_header_bytes: Largest request headers; larger ones are refused.
        max_body_bytes: Largest request body; larger ones are refused.
        max_connections: For a connection above this number, one that waits
            for a request is closed, or itself if there is none.
        max_held_bytes: Memory that the requests and answers of all callers
            may take up; requests beyond it are refused.
        idle_seconds: Time without progress after which a connection is
            closed.
    """

    host: str = '127.0.0.1'
    port: int = port(8080)
    max_header_bytes: ByteCount = bounded(32 * 1024, 1024, 1024 * 1024)
    max_body_bytes: ByteCount = bounded(1024 * 1024, 1024, 64 * 1024 * 1024)
    max_connections: int = bounded(2000, 1, 100_000)
    max_held_bytes: ByteCount = bounded(
        DEFAULT_HELD_BYTES, 1024 * 1024, 64 * 1024 * 1024 * 1024
    )
    idle_seconds: Seconds = bounded(60.0, 0.1, DAY_SECONDS)


@attrs.frozen
class OperatorSettings:
    """Listener for operators.

    Attributes:
        credential: `salt$sha256(salt + credential)` in hex; if empty,
            the interface refuses every call.
        host: IP address to bind.
        port: Port to bind, 0 for any.
    """

    credential: str = ''
    host: str = '127.0.0.1'
    port: int = port(8081)


@attrs.frozen
class TlsSettings:
    """Files for mutual TLS between peers; reloaded when they change.

    Attributes:
        certificate: PEM file with this router's certificate chain.
        key: PEM file with its private key.
        ca: PEM file with the certificate authority that signs the
            certificates of all routers.
    """

    certificate: str
    key: str
    ca: str


@attrs.frozen
class PeerSettings:
    """Listener for other routers.

    Attributes:
        host: IP address to bind.
        port: Port to bind, 0 for any.
        link: Protocol between routers.
        advertised_port: Port at which other routers reach this one, 0 for
            the bound port.
        tls: Mutual TLS, None for plain connections.
        allow_plain_beyond_loopback: Must be true for plain connections on an
            address that other machines can reach.
    """

    host: str = '127.0.0.1'
    port: int = port(8082)
    link: LinkKind = LinkKind.FRAMES
    advertised_port: int = bounded(0, 0, MAX_PORT)
    tls: TlsSettings | None = None
    allow_plain_beyond_loopback: bool = False


@attrs.frozen
class KeyValueSettings:
    """Access to the platform's key-value service.

    Attributes:
        adapter: Name of the adapter.
        endpoints: Base URLs, tried in order.
        timeout_seconds: Timeout of a call, after which its outcome is
            unknown.
        prefix: Prefix of all keys of this fleet.
    """

    endpoints: tuple[str, ...]
    adapter: str = 'etcd'
    timeout_seconds: Seconds = bounded(2.0, 0.01, 60.0)
    prefix: str = '/lavenderbend/'


@attrs.frozen
class VmListSettings:
    """Access to the platform's VM list.

    Attributes:
        adapter: Source of the list: an HTTP address or these settings.
        url: URL of the list, for `http`.
        vms: The list itself, for `static`.
        interval_seconds: Time between reads of the list.
        timeout_seconds: Timeout of a read, after which it has failed.
    """

    adapter: VmListKind = VmListKind.STATIC
    url: str = ''
    vms: tuple[upstreams.Vm, ...] = ()
    interval_seconds: Seconds = bounded(2.0, 0.05, 600.0)
    timeout_seconds: Seconds = bounded(2.0, 0.01, 60.0)


@attrs.frozen
class StopSettings:
    """Graceful shutdown of the router.

    Attributes:
        balancer_grace_seconds: Time between failing readiness and closing
            the listeners, in which the load balancer removes the router.
        stream_seconds: Time allowed for requests in progress to finish.
    """

    balancer_grace_seconds: Seconds = bounded(5.0, 0.0, 600.0)
    stream_seconds: Seconds = bounded(900.0, 0.0, DAY_SECONDS)


@attrs.frozen
class DecisionSettings:
    """Retention of decisions in memory.

    Attributes:
        capacity: Number of latest decisions that are retained.
    """

    capacity: int = bounded(5000, 1, 1_000_000)


@attrs.frozen
class TracingSettings:
    """Export of trace spans.

    Attributes:
        otlp_endpoint: OTLP/HTTP URL; without one, no span is recorded.
    """

    otlp_endpoint: str | None = None


@attrs.frozen
class ConfigurationSettings:
    """Behaviour while the configuration cannot be confirmed.

    Attributes:
        when_cut_off: Whether requests are served by the revision in force or
            refused, once neither the key-value service nor a peer has
            confirmed the revision for `cut_off_seconds`.
        cut_off_seconds: Time without confirmation after which the router
            counts as cut off.
    """

    when_cut_off: CutOffPolicy = CutOffPolicy.SERVE
    cut_off_seconds: Seconds = bounded(30.0, 1.0, DAY_SECONDS)


@attrs.frozen
class AdmissionSettings:
    """Memory of the owners of chats; must be the same on all routers.

    Attributes:
        chats: Maximum number of chats, for each group of upstreams, whose
            engine the owner remembers.
    """

    chats: int = bounded(50_000, 100, 10_000_000)


@attrs.frozen
class ClaimSettings:
    """Claims, which prevent non-idempotent requests from running twice.

    Attributes:
        shards: Number of logs that the claims are spread over; must be the
            same on all routers, and may change only after the whole fleet
            was stopped for longer than the retention.
        retention_seconds: Time within which a repeated request is not run
            again.
        write_gap_seconds: Minimum time between two writes of a shard.
    """

    shards: int = bounded(1, 1, 256)
    retention_seconds: Seconds = bounded(3600.0, 60.0, 7 * DAY_SECONDS)
    write_gap_seconds: Seconds = bounded(0.0105, 0.0, 1.0)


@attrs.frozen
class OrderSettings:
    """Rollout of orders: which models engines have to serve.

    Attributes:
        interval_seconds: Time between a controller's reads of its engines.
        loads_at_once: Maximum number of orders of a pool in progress.
        load_gap_seconds: Minimum time between two orders of a pool; limits
            the load on the weight store.
        unavailable: Percentage of a model's engines that may be down at the
            same time.
        settle_seconds: Time within which an engine must serve the model of
            its order.
        bake_seconds: Time for which the first engine must serve a new
            target before other engines follow.
        engine_read_seconds: Time after which an engine drops a request
            whose body has not arrived; a new controller waits this long
            where engines ignore fencing tokens.
    """

    interval_seconds: Seconds = bounded(2.0, 0.1, 60.0)
    loads_at_once: int = bounded(4, 1, 1000)
    load_gap_seconds: Seconds = bounded(1.0, 0.0, 3600.0)
    unavailable: float = bounded(25.0, 0, 100)
    settle_seconds: Seconds = bounded(600.0, 1.0, DAY_SECONDS)
    bake_seconds: Seconds = bounded(30.0, 0.0, DAY_SECONDS)
    engine_read_seconds: Seconds = bounded(60.0, 1.0, 3600.0)


@attrs.frozen
class AnswerSettings:
    """Limits on the answers of upstreams.

    Attributes:
        max_event_bytes: Largest server-sent event; a larger one aborts its
            stream.
        max_whole_bytes: Largest complete model answer; a larger one is
            refused.
        held_bytes: Answers that state at most this length are buffered
            until complete, so that a retry is invisible to the caller.
        stall_seconds: Time without a byte after which an answer is aborted.
        named_by_request: Whether engines copy the request's id into the
            `id` of a chat answer; an answer without it is then treated as
            the answer to another request.
    """

    max_event_bytes: ByteCount = bounded(256 * 1024, 1024, 64 * 1024 * 1024)
    max_whole_bytes: ByteCount = bounded(
        8 * 1024 * 1024, 1024 * 1024, 1024 * 1024 * 1024
    )
    held_bytes: ByteCount = bounded(64 * 1024, 0, 1024 * 1024)
    stall_seconds: Seconds = bounded(30.0, 0.1, DAY_SECONDS)
    named_by_request: bool = True


@attrs.frozen
class AttemptSettings:
    """Conditions for running and retrying requests.

    Attributes:
        retry_share: Retries of a pool, as a percentage of its first
            attempts.
        retry_after_seconds: Sent to callers whose request was not run.
        require_idempotency_key: Whether a non-idempotent request without an
            Idempotency-Key is refused.
    """

    retry_share: float = bounded(10.0, 0, 100)
    retry_after_seconds: Seconds = bounded(1.0, 0.1, 3600.0)
    require_idempotency_key: bool = True


@attrs.frozen
class RouterSettings:
    """All settings of a router process.

    Attributes:
        id: Name of the router, unique in the fleet and never reused.
        availability_zone: Availability zone of this VM.
        key_value: Access to the platform's key-value service.
        region: Region of this VM.
        callers: Listener for callers.
        operators: Listener for operators.
        peers: Listener for other routers.
        vm_list: Access to the platform's VM list.
        stop: Graceful shutdown of the router.
        decisions: Retention of decisions.
        tracing: Export of trace spans.
        configuration: Behaviour while the configuration cannot be
            confirmed.
        admission: Memory of the owners of chats.
        claims: Prevents non-idempotent requests from running twice.
        orders: Rollout of orders to engines.
        answers: Limits on the answers of upstreams.
        attempts: Conditions for running and retrying requests.
        seed: Seed of the random numbers, None for one from the system.
        forwarding: Forwards any HTTP request by the platform's rules,
            instead of chat completions by the operators' rules.
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
