"""Bounds of the links between routers."""

from __future__ import annotations

import attrs


@attrs.frozen
class LinkLimits:
    """Bounds of a peer link.

    Attributes:
        dial_timeout: Seconds to connect and to exchange hellos.
        outbox_bytes: What may wait for one peer.
        batch_bytes: What goes into one batch.
        handlers: Requests of one peer that may be in progress.
        misses: Timed-out requests in a row, without a sign of the peer,
            after which its connection is closed.
        silence: Seconds without a sign that it takes besides, so that a
            short pause of the peer loses no request.
        retry_delay: Seconds between a failed dial and the next.
        handshakes: Connections of peers that may be opening at once.
        idle: Seconds without a message after which a connection closes.
        age: Seconds after which a connection is replaced by a new one,
            made with the certificates of that time.
    """

    dial_timeout: float = 2.0
    outbox_bytes: int = 8 * 1024 * 1024
    batch_bytes: int = 256 * 1024
    handlers: int = 4096
    misses: int = 3
    silence: float = 3.0
    retry_delay: float = 0.1
    handshakes: int = 512
    idle: float = 300.0
    age: float = 3600.0
