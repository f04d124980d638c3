"""Settings of a router that forwards any HTTP request."""

from __future__ import annotations

import attrs

from lavenderbend.state import setting_fields

# Of a machine's memory, for what callers send and are sent. The rest is for the
# process, its connections, and what the kernel keeps of them.
HELD_FRACTION = 0.2


@attrs.frozen
class ForwardHeaders:
    """Names of the headers that forwarding reads and sets.

    Attributes:
        request_id: Id of a request; upstreams echo it.
        deadline: Milliseconds that the caller waits for the answer.
        prompt_parts: Parts of the prompt as `ID:TOKENS`, separated by
            commas.
        customer: Sent to upstreams: the customer of the credential.
        rank: Sent to upstreams: priority, 0 is the most urgent.
        instance: Sent to upstreams: the instance that the request is for;
            any other instance refuses it.
        signature: Set by upstreams to mark an answer as their own.
        not_run: Set by upstreams on answers to requests that did not run.
        load: Set by upstreams: numbers of running requests, waiting
            requests and slots, separated by commas; a fourth number says how
            long work takes now, in percent of the usual time.
        tokens: Number of prompt tokens and the most output tokens, separated
            by a comma; an empty name if callers state none.
        length_hint: The caller's estimate of the number of output tokens; an
            empty name if callers state none.
        leaving: Set to 1 on every answer of an upstream that is draining.
        rejection_limit: Set on every answer of an upstream that crashes if it
            must reject more requests in a second than the number given.
        resumes: Sent by callers that take up a stream: the id of the request
            that brought its first event.
        copy_from: Sent to upstreams: address of the upstream from which to
            copy cached prompt parts; an empty name if upstreams cannot.
        reserved: Headers that are never relayed from callers.
    """

    request_id: str = 'x-request-id'
    deadline: str = 'x-deadline-ms'
    prompt_parts: str = 'x-prompt-parts'
    customer: str = 'x-customer'
    rank: str = 'x-rank'
    instance: str = 'x-expect-instance'
    signature: str = 'x-signature'
    not_run: str = 'x-not-run'
    load: str = 'x-load'
    leaving: str = 'x-leaving'
    rejection_limit: str = 'x-rejection-limit'
    resumes: str = 'x-resumes'
    tokens: str = ''
    length_hint: str = ''
    copy_from: str = ''
    reserved: tuple[str, ...] = ()


@attrs.frozen
class ForwardListen:
    """Addresses that a forwarding router listens on, as `host:port`.

    Attributes:
        callers: Address for callers.
        readiness: Address of the load balancer's readiness check.
        peers: Address for other routers, over TCP and UDP.
    """

    callers: str
    readiness: str
    peers: str


@attrs.frozen
class ForwardingSettings:
    """Settings for forwarding any HTTP request by the platform's rules.

    Attributes:
        listen: Addresses to listen on.
        readiness_path: Path of the load balancer's readiness check.
        peers: Addresses of some routers, `host:port`, from which the others
            are discovered. Only the hosts are used: all routers have the
            same peer port.
        headers: Names of the headers.
        revocation_seconds: Longest time for which a revoked credential is
            still served; 0 to serve by the version in force.
        apply_seconds: Time after which an accepted version is in force.
        leave_seconds: Time after which a draining upstream gets no more
            requests.
        repeat_share: Retries allowed, as a fraction of the requests of a
            service.
        repeat_extra: Retries allowed in addition to `repeat_share`.
        repeat_window_seconds: Time window over which both are counted.
        load_factor: No upstream is loaded above this multiple of the mean
            load.
        zone_drain_seconds: Time after which the upstreams of a drained zone
            may be gone; until then cached prompts are copied from them.
        zones: Region of each availability zone. Requests that are confined to
            regions reach no upstream in a zone that is missing.
        cold_rate_factor: Multiple of the rate that a cold upstream tolerates
            that it may be sent.
        cold_rate_extra: Requests in a second allowed in addition.
        queue_seconds: Longest time for which a request waits for room at the
            owner of an upstream, 0 if none waits.
        processor_share: Share of a core of the router's machine that it may
            use, over 1 if it has several cores.
        processor_speed: Speed of a core of that machine, as a multiple of the
            usual speed. Routers own upstreams in proportion to the product of
            both.
        memory_bytes: Memory of that machine for the router. What callers may
            take up (`callers.max_held_bytes`) is a fifth of it at the most.
    """

    listen: ForwardListen
    readiness_path: str = '/ready'
    peers: tuple[str, ...] = ()
    headers: ForwardHeaders = attrs.field(factory=ForwardHeaders)
    revocation_seconds: setting_fields.Seconds = setting_fields.bounded(
        0.0, 0.0, setting_fields.DAY_SECONDS
    )
    apply_seconds: setting_fields.Seconds = setting_fields.bounded(
        2.0, 0.1, 600.0
    )
    leave_seconds: setting_fields.Seconds = setting_fields.bounded(
        2.0, 0.1, 600.0
    )
    repeat_share: float = setting_fields.bounded(0.1, 0.0, 10.0)
    repeat_extra: float = setting_fields.bounded(10.0, 0.0, 1e6)
    repeat_window_seconds: setting_fields.Seconds = setting_fields.bounded(
        10.0, 0.1, 3600.0
    )
    load_factor: float = setting_fields.bounded(2.0, 1.0, 100.0)
    zone_drain_seconds: setting_fields.Seconds = setting_fields.bounded(
        5.0, 0.1, 600.0
    )
    zones: dict[str, str] = attrs.field(factory=dict)
    cold_rate_factor: float = setting_fields.bounded(1.0, 0.0, 100.0)
    cold_rate_extra: float = setting_fields.bounded(0.0, 0.0, 1e6)
    queue_seconds: setting_fields.Seconds = setting_fields.bounded(
        0.0, 0.0, 60.0
    )
    processor_share: float = setting_fields.bounded(1.0, 0.001, 1024.0)
    processor_speed: float = setting_fields.bounded(1.0, 0.001, 1024.0)
    memory_bytes: setting_fields.ByteCount = setting_fields.bounded(
        512 * 1024 * 1024, 32 * 1024 * 1024, 1024 * 1024 * 1024 * 1024
    )

    @property
    def processor_capacity(self) -> int:
        """Processor of the router's machine, in hundredths of a core."""
        return round(100 * self.processor_share * self.processor_speed)

    @property
    def held_bytes(self) -> int:
        """Memory that callers may take up at the most."""
        return int(self.memory_bytes * HELD_FRACTION)
