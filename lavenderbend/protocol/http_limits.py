"""Limits on what callers and upstreams may make a router hold."""

from __future__ import annotations

import attrs

KIB = 1024
MIB = 1024 * KIB


@attrs.frozen
class HttpLimits:
    """Limits of the callers' and the operators' server.

    Attributes:
        header_bytes: Request line and headers together.
        body_bytes: Body of a request.
        body_seconds: Time within which the body must have come.
        idle_seconds: Time a connection may stay open without a request.
        send_seconds: Time a caller may take to accept one write.
        connections: Open connections; more are closed at once.
        send_buffer_bytes: Kernel send buffer of a connection, 0 for the
            system's own choice.
    """

    header_bytes: int = 32 * KIB
    body_bytes: int = 8 * MIB
    body_seconds: float = 30.0
    idle_seconds: float = 60.0
    send_seconds: float = 60.0
    connections: int = 4000
    send_buffer_bytes: int = 128 * KIB


@attrs.frozen
class AnswerLimits:
    """Limits on the answers of upstreams.

    Attributes:
        event_bytes: One server-sent event.
        whole_bytes: A whole model answer, which is held until it is
            complete.
        stall_seconds: Time without a byte after which an answer counts as
            broken.
        close_seconds: Time that ending an exchange may take.
    """

    event_bytes: int = 256 * KIB
    whole_bytes: int = 8 * MIB
    stall_seconds: float = 30.0
    close_seconds: float = 1.0
