"""Interfaces of forwarding to callers, upstreams, peers and the store."""

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
    """One request, read completely.

    Attributes:
        method: HTTP method.
        target: Path and query, unchanged.
        headers: Names in lower case, in the order received.
        body: The complete body.
        arrived: Router clock at the request's first byte.
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
    """The response to one caller.

    Attributes:
        started: Whether a part of the response was sent.
        finished: Whether the complete response was sent.
        write_pending: Whether a write has begun and was not completed. The
            caller may have a part of it, and nothing may follow.
        disconnected: Whether the caller closed its connection before the
            response was finished.
        sent_bytes: Bytes of the response that the caller's connection took.
    """

    started = False
    finished = False
    write_pending = False
    disconnected = False
    sent_bytes = 0

    async def reserve(self, size: int) -> None:  # noqa: B027
        """Waits until the router may hold so much of the response, in bytes."""

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete response of known length.

        It is sent for a short time also if the request was cancelled.
        """

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed response.

        If the request was cancelled, the response is not started.
        """

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Sends a part of a streamed response."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends a streamed response as complete."""


@attrs.frozen
class UpstreamRequest:
    """A request to an upstream.

    Attributes:
        id: The request id, which the response must repeat.
        id_header: The header with the request id, in lower case.
        method: HTTP method.
        target: Path and query.
        headers: All headers.
        body: The complete body.
    """

    id: bytes
    id_header: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status.
        headers: The end-to-end headers.
        framed: Whether the framing of the body shows where it ends. Otherwise
            the body ends with the connection, and a truncated one looks the
            same as a complete one.
    """

    status: int
    headers: Headers
    framed: bool = True


class Exchange(abc.ABC):
    """One request on one connection to an upstream.

    Attributes:
        relay: Router through which the connection goes, empty if none.
    """

    relay = ''

    @abc.abstractmethod
    async def send(self, request: UpstreamRequest) -> AnswerHead:
        """Sends the request and returns the head of the response.

        Raises:
            UpstreamBroke: No response came; the request may have run.
        """

    @abc.abstractmethod
    async def read(self) -> bytes | None:
        """Returns the next part of the body, None after the last.

        Cancelling the call loses no part of the body.

        Raises:
            UpstreamBroke: The response broke off.
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

        Args:
            upstream: The upstream.
            repeatable: Whether the request may run twice.

        Raises:
            UpstreamUnreachable: The upstream accepts none; nothing was sent.
        """

    def note_relay_failed(self, relay: str) -> None:  # noqa: B027
        """Records that a router that relayed an exchange failed to.

        Args:
            relay: The router.
        """


class DirectExchanges(Exchanges):
    """Connections to upstreams, each opened as the caller of it says."""

    @abc.abstractmethod
    def reuse(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> Exchange | None:
        """Returns an idle connection, None if there is none to reuse.

        Args:
            upstream: The upstream.
            repeatable: Whether the request may run twice.
        """

    @abc.abstractmethod
    async def connect(self, upstream: forwarding.Upstream) -> Exchange:
        """Returns a new connection.

        Raises:
            UpstreamUnreachable: The upstream accepts none; nothing was sent.
        """

    @abc.abstractmethod
    async def connect_through(
        self, upstream: forwarding.Upstream, host: str
    ) -> Exchange:
        """Returns a new connection through another router.

        Raises:
            UpstreamUnreachable: The router does not reach the upstream.
            UpstreamWithdrawn: It knows that the upstream takes no requests.
            RelayUnavailable: It relays no connections, or did not reply.
        """

    @abc.abstractmethod
    def close_silent(self, since: float) -> None:
        """Closes idle connections that go through no other router.

        Args:
            since: Router clock; those that became idle later are kept.
        """

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> Exchange:
        """Returns an idle or a new connection."""
        idle = self.reuse(upstream, repeatable)
        return await self.connect(upstream) if idle is None else idle


class SnapshotSource(abc.ABC):
    """Reads configuration and upstreams from the platform's store."""

    @abc.abstractmethod
    async def read(self) -> forwarding.RawSnapshot:
        """Reads the whole store; the result is not older than the call.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    async def newest_position(self) -> forwarding.StorePosition:
        """Returns the store's position, which is not older than the call.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Returns changes after a revision, None if they were compacted.

        Recent changes may be missing, as the store may report them late.

        Raises:
            KeyValueError: The store did not answer.
        """

    @abc.abstractmethod
    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns the decoded result of a read.

        Raises:
            CodecError: It cannot be decoded; the message names the field.
        """

    @abc.abstractmethod
    def keep_table(
        self, raw: forwarding.RawSnapshot, kept: forwarding.RawSnapshot
    ) -> forwarding.RawSnapshot:
        """Returns a read with the configuration of an earlier one.

        Args:
            raw: The read, which shows an older configuration.
            kept: The earlier read.
        """


class ZoneRecordStore(abc.ABC):
    """Writes the records of zones that have routers to the store."""

    @abc.abstractmethod
    async def write_zone_record(
        self, zone: str, position: forwarding.StorePosition, confirmed: bool
    ) -> bool:
        """Writes a zone's record unless it was changed meanwhile.

        Args:
            zone: The availability zone.
            position: Era of the store, and revision of the record to replace,
                0 if there is none.
            confirmed: Whether the record is confirmed; it counts as such in
                that era only.

        Returns:
            Whether it was written.

        Raises:
            KeyValueError: The store did not answer; it may have been written.
        """


class VersionRecordStore(abc.ABC):
    """Writes the records of the versions of streams to the store."""

    @abc.abstractmethod
    async def write_version_record(
        self, service: str, revision: int, content: str
    ) -> bool:
        """Writes a service's record unless it was changed meanwhile.

        Args:
            service: The service.
            revision: Revision of the record to replace, 0 if there is none.
            content: What the record says.

        Returns:
            Whether it was written.

        Raises:
            KeyValueError: The store did not answer; it may have been written.
        """


class PartRecordStore(abc.ABC):
    """Writes the records of prompt parts that crash upstreams to the store."""

    @abc.abstractmethod
    async def write_part_record(
        self, part: int, revision: int, strike: int, seconds: float
    ) -> bool:
        """Writes a part's record unless it was changed meanwhile.

        Args:
            part: Key of the part.
            revision: Revision of the record to replace, 0 if there is none.
            strike: How often the part was found to crash upstreams.
            seconds: Time after which the store removes the record.

        Returns:
            Whether it was written.

        Raises:
            KeyValueError: The store did not answer; it may have been written.
        """

    @abc.abstractmethod
    async def remove_part_record(self, part: int, revision: int) -> bool:
        """Removes a part's record unless it was changed meanwhile.

        Args:
            part: Key of the part.
            revision: Revision of the record.

        Returns:
            Whether it was removed.

        Raises:
            KeyValueError: The store did not answer; it may have been removed.
        """


class DatagramLink(abc.ABC):
    """Sends unreliable messages to other routers, and fetches snapshots.

    Attributes:
        receiver: Called with each message that arrives.
    """

    receiver: Callable[[peer.Message], None]

    @abc.abstractmethod
    def send(self, host: str, message: peer.Message) -> None:
        """Sends a message, which may be lost."""

    @abc.abstractmethod
    async def fetch(
        self, host: str, base: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Args:
            host: Host of that router.
            base: A snapshot whose content need not be sent again.

        Raises:
            PeerError: It did not answer in time.
            CodecError: The response is not a snapshot.
        """
