"""Limits on the memory and time that callers and upstreams can take up."""

from __future__ import annotations

import attrs

from lavenderbend.state import settings

KIB = 1024
MIB = 1024 * KIB


@attrs.frozen
class HttpLimits:
    """Limits of the HTTP servers for callers and for operators.

    Attributes:
        header_bytes: Maximum size of request line and headers together.
        body_bytes: Maximum size of a request body.
        body_seconds: Time within which the whole body must be received.
        idle_seconds: Time a connection may stay open without a request.
        send_seconds: Time a caller may take to accept one write.
        connections: Maximum number of open connections. For another one the
            one that has waited the longest for a request is closed.
        held_bytes: Memory that the requests of all connections may take up;
            requests beyond it are refused.
        send_buffer_bytes: Size of a connection's kernel send buffer, 0 for
            the system's default.
    """

    header_bytes: int = 32 * KIB
    body_bytes: int = 8 * MIB
    body_seconds: float = 30.0
    idle_seconds: float = 60.0
    send_seconds: float = 60.0
    connections: int = 4000
    held_bytes: int = settings.DEFAULT_HELD_BYTES
    send_buffer_bytes: int = 128 * KIB


OPERATOR_LIMITS = HttpLimits(
    body_bytes=MIB, connections=100, held_bytes=16 * MIB
)


@attrs.frozen
class AnswerLimits:
    """Limits on the responses of upstreams.

    Attributes:
        event_bytes: Maximum size of one server-sent event.
        answer_bytes: Maximum size of an answer that is buffered until it is
            complete.
        stall_seconds: Time without a received byte after which a response
            is treated as broken.
        close_seconds: Time that closing an exchange may take.
    """

    event_bytes: int = 256 * KIB
    answer_bytes: int = 8 * MIB
    stall_seconds: float = 30.0
    close_seconds: float = 1.0
