"""Requests to upstreams on pooled connections, by h11 on trio sockets."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.observe import metrics
from lavenderbend.protocol import counts
from lavenderbend.protocol import hop_headers
from lavenderbend.protocol import part_sizes
from lavenderbend.transport import answer_heads
from lavenderbend.transport import pooled_connections
from lavenderbend.transport import write_parts

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.state import forwarding

RECEIVE_BYTES = 64 * 1024
# requests up to this size fit into the smallest TCP window, so that sending
# them does not block
SMALL_BODY_BYTES = 1024
MAX_STRAY_ANSWERS = 4
MAX_STRAY_BYTES = 1024 * 1024
FRAMING = (b'content-length', b'transfer-encoding')
HEAD = b'HEAD'
# answers with these statuses end with their head
BODILESS = (204, 304)
MISMATCH_DETAIL = 'the answer carries the id of another request'

CONNECTIONS = metrics.counter(
    'lavenderbend_forward_connections_total',
    'Connections opened to upstreams, by service.',
)
STRAYS = metrics.counter(
    'lavenderbend_forward_stray_answers_total',
    'Answers of upstreams that belonged to no waiting request.',
)

CONNECTION_ERRORS = (
    h11.ProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


class UpstreamExchanges(interfaces.DirectExchanges):
    """A pool of connections by instance of the upstream.

    Attributes:
        relay_port: Port at which other routers relay connections.
        idle: Idle connections by instance, the most recently used last.
    """

    def __init__(self, relay_port: int = 0) -> None:
        self.relay_port = relay_port
        self.idle: dict[
            str, collections.deque[pooled_connections.PooledConnection]
        ] = {}

    def reuse(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> UpstreamExchange | None:
        """Returns an idle connection, None if there is none to reuse."""
        idle = self.idle.get(upstream.instance)
        while idle:
            connection = idle.pop()
            if connection.reusable(repeatable):
                return UpstreamExchange(self, upstream.instance, connection)
            connection.close()
        return None

    async def connect(self, upstream: forwarding.Upstream) -> UpstreamExchange:
        """Returns a new connection.

        Raises:
            UpstreamUnreachable: No connection can be opened; nothing was sent.
        """
        connection = await pooled_connections.connect(upstream)
        CONNECTIONS.inc({'service': upstream.vm.service})
        return UpstreamExchange(self, upstream.instance, connection)

    async def connect_through(
        self, upstream: forwarding.Upstream, host: str
    ) -> UpstreamExchange:
        """Returns a new connection through another router.

        Raises:
            UpstreamUnreachable: It relays none; nothing was sent.
        """
        connection = await pooled_connections.connect_through(
            upstream, host, self.relay_port
        )
        CONNECTIONS.inc({'service': upstream.vm.service})
        return UpstreamExchange(self, upstream.instance, connection)

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream currently accepts connections."""
        try:
            connection = await pooled_connections.connect(upstream)
        except errors.UpstreamUnreachable:
            return False
        self.add_idle(upstream.instance, connection)
        return True

    def add_idle(
        self, instance: str, connection: pooled_connections.PooledConnection
    ) -> None:
        """Adds a connection to the pool for the next request."""
        connection.idle_since = trio.current_time()
        idle = self.idle.setdefault(instance, collections.deque())
        idle.append(connection)

    def retain(self, instances: set[str]) -> None:
        """Closes idle connections of all instances but the given ones."""
        for instance in [key for key in self.idle if key not in instances]:
            for connection in self.idle.pop(instance):
                connection.close()

    def close_expired(self) -> None:
        """Closes idle connections that can no longer be reused."""
        self.close_idle(lambda connection: not connection.reusable(True))

    def close_silent(self, since: float) -> None:
        """Closes idle connections of this router's own that got no answer."""
        self.close_idle(
            lambda connection: (
                not connection.relay and connection.idle_since < since
            )
        )

    def close_idle(
        self, closes: Callable[[pooled_connections.PooledConnection], bool]
    ) -> None:
        """Closes the idle connections for which a function returns True."""
        for instance, idle in self.idle.items():
            kept = collections.deque()
            for connection in idle:
                if closes(connection):
                    connection.close()
                else:
                    kept.append(connection)
            self.idle[instance] = kept

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain(set())


class UpstreamExchange(interfaces.Exchange):
    """One request on one connection.

    Attributes:
        exchanges: Pool to which the connection is returned.
        instance: Instance of the upstream.
        connection: The connection.
        protocol: HTTP/1.1 state of this exchange.
        request: The request that was sent.
        sent: Whether all of the request was sent.
        complete: Whether the complete answer was received.
        keep: Whether the upstream keeps the connection open.
    """

    def __init__(
        self,
        exchanges: UpstreamExchanges,
        instance: str,
        connection: pooled_connections.PooledConnection,
    ) -> None:
        self.exchanges = exchanges
        self.instance = instance
        self.connection = connection
        self.relay = connection.relay
        self.protocol = h11.Connection(h11.CLIENT)
        self.request: interfaces.UpstreamRequest | None = None
        self.sent = False
        self.complete = False
        self.keep = True

    async def send(
        self, request: interfaces.UpstreamRequest
    ) -> interfaces.AnswerHead:
        """Sends the request and returns the head of its answer.

        An upstream may answer before it has read all of a long body, and
        stop reading it: the answer is read while the body is sent.

        Raises:
            UpstreamBroke: The exchange failed; the request may have been
                executed.
        """
        self.request = request
        parts = self.request_parts()
        if sum(map(len, parts)) > SMALL_BODY_BYTES:
            return await self.send_and_read(parts)
        try:
            for part in parts:
                await self.connection.stream.send_all(part)
        except CONNECTION_ERRORS as exc:
            raise connection_lost(exc) from exc
        self.sent = True
        return await self.read_head()

    async def send_and_read(self, parts: list[bytes]) -> interfaces.AnswerHead:
        """Sends the request and reads its answer concurrently.

        Raises:
            UpstreamBroke: The exchange failed; the request may have been
                executed.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_parts, parts)
            head, error = await self.try_read_head()
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error
        return head

    async def try_read_head(
        self,
    ) -> tuple[interfaces.AnswerHead | None, errors.UpstreamError | None]:
        """Returns the head or the error; a nursery would wrap the latter."""
        try:
            return await self.read_head(), None
        except errors.UpstreamError as exc:
            return None, exc

    async def send_parts(self, parts: list[bytes]) -> None:
        """Sends the request; a lost connection is reported by the read."""
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            errors.RelayLost,
        ):
            for part in parts:
                await self.connection.stream.send_all(part)
            self.sent = True

    def request_parts(self) -> list[bytes]:
        """Returns the parts of the request, and prepares for its answer.

        The body is not copied: a large one would take up twice its memory
        until it is sent.
        """
        request = self.request
        protocol = self.protocol
        head = protocol.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        )
        parts = [head]
        if request.body:
            body = h11.Data(data=request.body)
            parts.extend(protocol.send_with_data_passthrough(body))
        parts.append(protocol.send(h11.EndOfMessage()))
        return write_parts.join_short(parts)

    async def read_head(self) -> interfaces.AnswerHead:
        """Returns the head of the answer to this request.

        An upstream may send a duplicate answer to an earlier request where
        the answer to this one is expected. It is recognized by its request
        id and skipped.

        Raises:
            UpstreamBroke: No answer to this request was received.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            try:
                response = await answer_heads.next_head(
                    self.protocol, self.receive
                )
                answered_id = self.answered_id(response)
                if answered_id == self.request.id:
                    return self.make_head(response)
                STRAYS.inc({})
                if answered_id is None:
                    break
                await self.skip_answer()
            except CONNECTION_ERRORS as exc:
                raise connection_lost(exc) from exc
        raise errors.AnswerMismatch(MISMATCH_DETAIL)

    def answered_id(self, response: h11.Response) -> bytes | None:
        """Returns the id of the request that an answer belongs to, if any.

        Raises:
            RemoteProtocolError: It has the ids of several: the head of one
                answer was cut, and another answer follows there.
        """
        name = self.request.id_header
        ids = {value for key, value in response.headers if key == name}
        if len(ids) > 1:
            raise h11.RemoteProtocolError('a head with the ids of several')
        return ids.pop() if ids else None

    def make_head(self, response: h11.Response) -> interfaces.AnswerHead:
        """Returns the head; applies its Keep-Alive header to the connection."""
        headers = tuple((bytes(k), bytes(v)) for k, v in response.headers)
        self.note_keep_alive(headers)
        return interfaces.AnswerHead(
            response.status_code,
            hop_headers.end_to_end(headers),
            self.is_framed(response.status_code, headers),
        )

    def is_framed(self, status: int, headers: interfaces.Headers) -> bool:
        """Returns whether the end of the body shows without the close."""
        if self.request.method == HEAD or status in BODILESS:
            return True
        return any(name in FRAMING for name, _ in headers)

    def note_keep_alive(self, headers: interfaces.Headers) -> None:
        """Sets the idle limit of the connection from a Keep-Alive header."""
        value = interfaces.header(headers, b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            limit = counts.parse_count(seconds)
            if name == b'timeout' and limit is not None:
                self.connection.note_idle_limit(limit)

    async def skip_answer(self) -> None:
        """Skips an answer; the bytes after it are read as the next answer.

        Raises:
            AnswerMismatch: It is too large to be a duplicate.
        """
        size = 0
        while not isinstance(
            event := await self.next_event(), h11.EndOfMessage
        ):
            if isinstance(event, h11.Data):
                size += part_sizes.counted_size(event.data)
            if size > MAX_STRAY_BYTES:
                raise errors.AnswerMismatch(MISMATCH_DETAIL)
        rest, closed = self.protocol.trailing_data
        self.protocol = h11.Connection(h11.CLIENT)
        self.request_parts()
        if rest:
            self.protocol.receive_data(rest)
        if closed:
            self.protocol.receive_data(b'')

    async def receive(self) -> None:
        """Reads the next bytes from the socket into the protocol state."""
        data = await self.connection.stream.receive_some(RECEIVE_BYTES)
        self.protocol.receive_data(data)

    async def next_event(self) -> h11.Event:
        """Returns the next part of the answer.

        Raises:
            RemoteProtocolError: The upstream breaks the protocol, or takes the
                connection for another one.
        """
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            await self.receive()
        if event is h11.PAUSED:
            raise h11.RemoteProtocolError('the upstream opened a tunnel')
        return event

    async def read(self) -> bytes | None:
        """Returns the next part of the body, None after the last.

        Raises:
            UpstreamBroke: The answer was interrupted.
        """
        while True:
            try:
                event = await self.next_event()
            except CONNECTION_ERRORS as exc:
                raise connection_lost(exc) from exc
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return None

    def close(self) -> None:
        """Ends the exchange; closes its connection unless it is reusable."""
        rest, closed = self.protocol.trailing_data
        done = self.protocol.their_state is h11.DONE
        if self.complete and self.sent and done and not rest and not closed:
            self.exchanges.add_idle(self.instance, self.connection)
            return
        self.connection.close()


def connection_lost(cause: BaseException) -> errors.UpstreamBroke:
    """Returns the error for an exchange that was interrupted."""
    return errors.UpstreamLost(f'connection lost: {type(cause).__name__}')
