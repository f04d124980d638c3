"""Requests to upstreams on kept connections, by h11 on trio sockets."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.observe import metrics
from lavenderbend.protocol import hop_headers
from lavenderbend.transport import answer_heads
from lavenderbend.transport import kept_connections

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

RECEIVE_BYTES = 64 * 1024
# bodies under this fit the smallest windows of a connection at once
SMALL_BODY_BYTES = 1024
MAX_STRAYS = 4
FRAMING = (b'content-length', b'transfer-encoding')
NOT_OURS = 'the answer carries the id of another request'

CONNECTIONS = metrics.counter(
    'lavenderbend_forward_connections_total',
    'Connections opened to upstreams, by service.',
)
STRAYS = metrics.counter(
    'lavenderbend_forward_stray_answers_total',
    'Answers of upstreams that belonged to no waiting request.',
)

BROKEN = (
    h11.ProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


class UpstreamExchanges(interfaces.Exchanges):
    """Kept connections by instance of the upstream.

    Attributes:
        idle: Connections that wait for a request, the latest used last.
    """

    def __init__(self) -> None:
        self.idle: dict[
            str, collections.deque[kept_connections.KeptConnection]
        ] = {}

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> UpstreamExchange:
        """Returns a connection that no other request uses.

        Raises:
            UpstreamUnreachable: There is none; nothing was sent.
        """
        kept = self.idle.get(upstream.instance)
        while kept:
            connection = kept.pop()
            if connection.reusable(repeatable):
                return UpstreamExchange(self, upstream.instance, connection)
            connection.close()
        connection = await kept_connections.connect(upstream)
        CONNECTIONS.inc({'service': upstream.vm.service})
        return UpstreamExchange(self, upstream.instance, connection)

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream accepts a connection now."""
        try:
            connection = await kept_connections.connect(upstream)
        except errors.UpstreamUnreachable:
            return False
        self.keep(upstream.instance, connection)
        return True

    def keep(
        self, instance: str, connection: kept_connections.KeptConnection
    ) -> None:
        """Keeps a connection for the next request."""
        connection.idle_since = trio.current_time()
        kept = self.idle.setdefault(instance, collections.deque())
        kept.append(connection)

    def retain(self, instances: set[str]) -> None:
        """Closes idle connections of instances that are no more."""
        for instance in [one for one in self.idle if one not in instances]:
            for connection in self.idle.pop(instance):
                connection.close()

    def sweep(self) -> None:
        """Closes idle connections that would not be used again."""
        for kept in self.idle.values():
            while kept and not kept[0].reusable(True):
                kept.popleft().close()

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain(set())


class UpstreamExchange(interfaces.Exchange):
    """One request on one connection.

    Attributes:
        exchanges: Where the connection goes back to.
        instance: The upstream.
        connection: The connection.
        protocol: HTTP/1.1 state of this exchange.
        request: What was sent.
        sent: Whether all of the request was sent.
        complete: Whether the whole answer has come.
        keep: Whether the upstream keeps the connection open.
    """

    def __init__(
        self,
        exchanges: UpstreamExchanges,
        instance: str,
        connection: kept_connections.KeptConnection,
    ) -> None:
        self.exchanges = exchanges
        self.instance = instance
        self.connection = connection
        self.protocol = h11.Connection(h11.CLIENT)
        self.request: interfaces.UpstreamRequest | None = None
        self.sent = False
        self.complete = False
        self.keep = True

    async def send(
        self, request: interfaces.UpstreamRequest
    ) -> interfaces.AnswerHead:
        """Sends the request and returns the head of its answer.

        An upstream may answer before it has read a long body, and reads no
        further until then: the answer is read while the body is sent.

        Raises:
            UpstreamBroke: It may have run.
        """
        self.request = request
        data = self.begin()
        if len(data) > SMALL_BODY_BYTES:
            return await self.send_and_read(data)
        try:
            await self.connection.stream.send_all(data)
        except BROKEN as exc:
            raise lost(exc) from exc
        self.sent = True
        return await self.read_head()

    async def send_and_read(self, data: bytes) -> interfaces.AnswerHead:
        """Sends the request while its answer is read.

        Raises:
            UpstreamBroke: It may have run.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_data, data)
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

    async def send_data(self, data: bytes) -> None:
        """Sends the request; its failure shows where the answer is read."""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self.connection.stream.send_all(data)
            self.sent = True

    def begin(self) -> bytes:
        """Returns the bytes of the request, and expects its answer."""
        request = self.request
        protocol = self.protocol
        data = protocol.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        )
        if request.body:
            data += protocol.send(h11.Data(data=request.body))
        return data + protocol.send(h11.EndOfMessage())

    async def read_head(self) -> interfaces.AnswerHead:
        """Returns the head of the answer to this request.

        An upstream may send a second answer to an earlier request, just
        where this one's answer is due. Its id tells; it is read over.

        Raises:
            UpstreamBroke: The answers that came are none to this request.
        """
        for _ in range(MAX_STRAYS):
            try:
                response = await answer_heads.next_head(
                    self.protocol, self.receive
                )
                found = interfaces.header(
                    response.headers, self.request.id_header
                )
                if found == self.request.id:
                    return self.head_of(response)
                STRAYS.inc({})
                if found is None:
                    break
                await self.skip_answer()
            except BROKEN as exc:
                raise lost(exc) from exc
        raise errors.AnswerMismatch(NOT_OURS)

    def head_of(self, response: h11.Response) -> interfaces.AnswerHead:
        """Returns the head, and notes what it says of the connection."""
        headers = tuple((bytes(k), bytes(v)) for k, v in response.headers)
        self.note_keep_alive(headers)
        framed = any(name in FRAMING for name, _ in headers)
        return interfaces.AnswerHead(
            response.status_code, hop_headers.end_to_end(headers), framed
        )

    def note_keep_alive(self, headers: interfaces.Headers) -> None:
        """Notes how long the upstream keeps the connection idle."""
        value = interfaces.header(headers, b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.connection.note_idle_limit(int(seconds))

    async def skip_answer(self) -> None:
        """Reads an answer to its end and begins anew with what follows."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                await self.receive()
            elif isinstance(event, h11.EndOfMessage):
                break
        rest, closed = self.protocol.trailing_data
        self.protocol = h11.Connection(h11.CLIENT)
        self.begin()
        if rest:
            self.protocol.receive_data(rest)
        if closed:
            self.protocol.receive_data(b'')

    async def receive(self) -> None:
        """Reads what comes next into the protocol."""
        data = await self.connection.stream.receive_some(RECEIVE_BYTES)
        self.protocol.receive_data(data)

    async def read(self) -> bytes | None:
        """Returns the next part of the body, None after the last.

        Raises:
            UpstreamBroke: The answer broke off.
        """
        while True:
            try:
                event = self.protocol.next_event()
                if event is h11.NEED_DATA:
                    await self.receive()
                    continue
            except BROKEN as exc:
                raise lost(exc) from exc
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return None

    def close(self) -> None:
        """Ends the exchange; an incomplete one closes its connection."""
        rest, closed = self.protocol.trailing_data
        done = self.protocol.their_state is h11.DONE
        if self.complete and self.sent and done and not rest and not closed:
            self.exchanges.keep(self.instance, self.connection)
            return
        self.connection.close()


def lost(cause: BaseException) -> errors.UpstreamBroke:
    """Returns the error for an exchange that broke off."""
    return errors.UpstreamLost(f'broken off: {type(cause).__name__}')
