"""Opening of connections to peers, and closing of idle and old ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.transport import peer_connections

if TYPE_CHECKING:
    from lavenderbend.transport import links
    from lavenderbend.transport import peer_wires

OPENING_ERRORS = (OSError, trio.TooSlowError, errors.LavenderbendError)


class ConnectionOpener:
    """Dials, accepts and retires the connections of a link.

    Attributes:
        link: The link.
        accepting: Number of inbound connections in their handshake.
    """

    def __init__(self, link: links.BatchLink) -> None:
        self.link = link
        self.accepting = 0

    def may_accept(self) -> bool:
        """Returns whether one more inbound connection may be opened.

        Any host that can reach the port can open connections and send
        nothing. Each stays open until the handshake times out, so their
        number is limited.
        """
        if self.accepting < self.link.limits.max_handshakes:
            return True
        self.link.count_dropped('too many handshakes')
        return False

    def redial(self, outbox: peer_wires.Outbox) -> None:
        """Dials a peer if there are messages queued for it."""
        if not outbox.messages or outbox.dialing or self.link.nursery is None:
            return
        outbox.dialing = True
        self.link.nursery.start_soon(self.dial_peer, outbox)

    async def dial_peer(self, outbox: peer_wires.Outbox) -> None:
        """Dials a peer and serves the connection."""
        host, port = self.link.addresses.get(outbox.peer_id, ('', 0))
        connection = None
        hello_received = False
        try:
            with trio.fail_after(self.link.limits.dial_timeout):
                wire = await self.link.dial(outbox.peer_id, host, port)
                connection = peer_connections.Connection(self.link, wire, True)
                await connection.exchange_hellos(outbox.peer_id)
            hello_received = True
        except OPENING_ERRORS as exc:
            self.note_dial_failure(outbox, exc)
            return
        finally:
            if connection is not None and not hello_received:
                await discard(connection)
        outbox.dialing = False
        await connection.serve()

    def note_dial_failure(
        self, outbox: peer_wires.Outbox, exc: Exception
    ) -> None:
        """Drops the queued messages and fails the requests to the peer."""
        outbox.dialing = False
        outbox.dial_after = trio.current_time() + self.link.limits.retry_delay
        self.link.count_dropped('dial failed')
        if outbox.connection is not None:
            return
        outbox.clear()
        self.link.pending_requests.fail(
            f'no connection: {exc!r}', outbox.peer_id
        )

    async def accept(self, wire: peer_wires.Wire) -> None:
        """Serves a wire that a peer opened."""
        connection = peer_connections.Connection(self.link, wire, False)
        hello_received = False
        try:
            with trio.fail_after(self.link.limits.dial_timeout):
                await connection.exchange_hellos(None)
            hello_received = True
        except OPENING_ERRORS as exc:
            # counted before the peer can see that the connection is closed
            self.link.count_dropped('bad hello')
            logs.change('peer_refused', router=self.link.name, error=str(exc))
            return
        finally:
            if not hello_received:
                await discard(connection)
        await connection.serve()

    async def close_idle(self) -> None:
        """Retires connections that are idle or older than the maximum age."""
        while True:
            await trio.sleep(
                min(self.link.limits.idle_timeout, self.link.limits.max_age) / 4
            )
            now = trio.current_time()
            for connection in list(self.link.open_connections):
                unused = (
                    now - connection.last_used > self.link.limits.idle_timeout
                )
                if (
                    unused
                    or now - connection.opened_at > self.link.limits.max_age
                ):
                    connection.retire()


async def discard(connection: peer_connections.Connection) -> None:
    """Closes a connection whose handshake failed, even if cancelled."""
    with trio.CancelScope(shield=True):
        await connection.discard()
