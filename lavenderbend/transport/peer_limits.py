"""Limits of the links between routers."""

from __future__ import annotations

import attrs


@attrs.frozen
class LinkLimits:
    """Limits of a peer link.

    Attributes:
        dial_timeout: Seconds to connect and to exchange hellos.
        outbox_bytes: Maximum size of the messages queued for one peer.
        batch_bytes: Size at which a batch is full.
        max_handlers: Maximum number of requests of one peer in progress.
        max_timeouts: Number of successive requests that time out, with
            nothing received from the peer, before its connection is closed.
        silence_seconds: Seconds during which nothing must have been received as
            well, so that a short pause of the peer loses no request.
        retry_delay: Seconds between a failed dial and the next.
        max_handshakes: Maximum number of inbound connections in their
            handshake at the same time.
        idle_timeout: Seconds without a message after which a connection is
            closed.
        max_age: Seconds after which a connection is replaced by a new one,
            which uses the certificates then in place.
    """

    dial_timeout: float = 2.0
    outbox_bytes: int = 8 * 1024 * 1024
    batch_bytes: int = 256 * 1024
    max_handlers: int = 4096
    max_timeouts: int = 3
    silence_seconds: float = 3.0
    retry_delay: float = 0.1
    max_handshakes: int = 512
    idle_timeout: float = 300.0
    max_age: float = 3600.0
