"""What forwarding needs from callers, upstreams and the platform."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.protocol import peer
    from lavenderbend.state import forwarding

Headers = tuple[tuple[bytes, bytes], ...]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first header of a lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


@attrs.frozen
class CallerRequest:
    """One request, read whole.

    Attributes:
        method: HTTP method.
        target: Path and query, as they came.
        headers: Names in lower case, in their order.
        body: The whole body.
        arrived: Router clock at its first byte.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float

    def header(self, name: str) -> str | None:
        """Returns the first header of a lower-case name, as text."""
        value = header(self.headers, name.encode())
        return None if value is None else value.decode('latin-1')


class CallerAnswer(abc.ABC):
    """The answer to one caller.

    Attributes:
        started: Whether the caller has been sent a part of it.
        finished: Whether the caller has all of it.
        write_pending: Whether a write has begun and not ended. If it was cut, how
            much of it the caller has is not known, and nothing may follow.
        disconnected: Whether the caller closed its connection before that.
    """

    started = False
    finished = False
    write_pending = False
    disconnected = False

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends an answer of known length."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed answer."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Sends a part of a streamed answer."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends a streamed answer as complete."""


@attrs.frozen
class UpstreamRequest:
    """What is sent to an upstream.

    Attributes:
        id: The id that the answer must carry.
        id_header: The header that carries it, in lower case.
        method: HTTP method.
        target: Path and query.
        headers: All headers.
        body: The whole body.
    """

    id: bytes
    id_header: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Without those that concern only one connection.
        framed: Whether the body's own framing says where it ends. Else it
            ends with the connection, and one that broke off looks the same.
    """

    status: int
    headers: Headers
    framed: bool = True


class Exchange(abc.ABC):
    """One request on one connection to an upstream."""

    @abc.abstractmethod
    async def send(self, request: UpstreamRequest) -> AnswerHead:
        """Sends the request and returns the head of its answer.

        Raises:
            UpstreamBroke: It may have run.
        """

    @abc.abstractmethod
    async def read(self) -> bytes | None:
        """Returns the next part of the body, None after the last.

        A call that is cancelled loses nothing of the body.

        Raises:
            UpstreamBroke: The answer broke off.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the exchange; an incomplete one closes its connection."""


class Exchanges(abc.ABC):
    """Connections to upstreams."""

    @abc.abstractmethod
    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream accepts a connection now."""

    @abc.abstractmethod
    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> Exchange:
        """Returns a connection that no other request uses.

        Raises:
            UpstreamUnreachable: There is none; nothing was sent.
        """


class SnapshotSource(abc.ABC):
    """The platform's store, read for configuration and upstreams."""

    @abc.abstractmethod
    async def read(self) -> forwarding.RawSnapshot:
        """Reads the whole store; what it returns is not older than the call.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    async def newest_revision(self) -> int:
        """Returns the store's revision; it is not older than the call.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Returns changes after a revision, None if they are forgotten.

        Some may be missing: the store may be slow to tell of them.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded.

        Raises:
            CodecError: It cannot be read; the field is named.
        """


class DatagramLink(abc.ABC):
    """Messages to other routers that may be lost, and their snapshots.

    Attributes:
        receiver: Called with each message that arrives.
    """

    receiver: Callable[[peer.Message], None]

    @abc.abstractmethod
    def send(self, host: str, message: peer.Message) -> None:
        """Sends a message; it may be lost."""

    @abc.abstractmethod
    async def fetch(
        self, host: str, known: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Args:
            host: Where that router is.
            known: What is known already and need not be sent.

        Raises:
            PeerError: It did not answer in time.
            CodecError: What it answered is none.
        """
