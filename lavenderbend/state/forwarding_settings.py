"""Settings of a router that forwards any HTTP request."""

from __future__ import annotations

import attrs

from lavenderbend.state import setting_fields


@attrs.frozen
class ForwardHeaders:
    """Names of the headers that forwarding reads and sets.

    Attributes:
        request_id: Id of a request; upstreams echo it.
        deadline: Milliseconds that the caller waits.
        prompt_parts: Parts of the prompt as `ID:TOKENS`, by commas.
        customer: Told to upstreams: the customer of the credential.
        rank: Told to upstreams: urgency, 0 is the most urgent.
        instance: Told to upstreams: the instance that is meant; any other
            refuses.
        signature: Set by upstreams on answers that are theirs.
        not_run: Set by upstreams on answers to requests that did not run.
        load: Set by upstreams: running, waiting and slots, by commas.
        leaving: Set to 1 by upstreams that leave, on all their answers.
        copy_from: Told to upstreams: the address of another upstream, from
            which cached prompt parts are copied; empty if they cannot.
        reserved: Headers of callers that are never passed on.
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
    copy_from: str = ''
    reserved: tuple[str, ...] = ()


@attrs.frozen
class ForwardListen:
    """Where a forwarding router is reached, as `host:port`.

    Attributes:
        callers: The address for callers.
        readiness: The address at which the balancer asks for readiness.
        peers: The address for other routers, over TCP and UDP.
    """

    callers: str
    readiness: str
    peers: str


@attrs.frozen
class ForwardingSettings:
    """A router that forwards any HTTP request by the platform's rules.

    Attributes:
        listen: Where it is reached.
        readiness_path: Path at which the balancer asks for readiness.
        peers: Addresses of some routers, `host:port`; others are learned
            from them. Only the hosts count: all routers have the same peer
            port.
        headers: Names of the headers.
        revocation_seconds: A credential that was taken away is not served
            longer than this after it; 0 to serve by the version in force.
        apply_seconds: An accepted version is in force after this.
        leave_seconds: An upstream that leaves gets nothing after this.
        repeat_share: Repeats allowed of the requests of a service.
        repeat_extra: Repeats allowed beside them.
        repeat_window_seconds: The time over which both are counted.
        load_factor: No upstream is loaded above this multiple of the mean.
    """

    listen: ForwardListen
    readiness_path: str = '/ready'
    peers: tuple[str, ...] = ()
    headers: ForwardHeaders = attrs.field(factory=ForwardHeaders)
    revocation_seconds: setting_fields.Seconds = setting_fields.bounded(
        0.0, 0.0, setting_fields.DAY
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
