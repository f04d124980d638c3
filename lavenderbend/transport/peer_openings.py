"""How connections to peers begin, and when unused ones end."""

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


class Openings:
    """Opens, accepts and in the end closes the connections of a link.

    Attributes:
        link: The link.
        accepting: Connections of peers that are opening now.
    """

    def __init__(self, link: links.BatchLink) -> None:
        self.link = link
        self.accepting = 0

    def may_accept(self) -> bool:
        """Returns whether one more peer may begin to connect.

        Whoever reaches the port can open connections and say nothing. Each
        is held until the handshake times out, so they are bounded.
        """
        if self.accepting < self.link.limits.handshakes:
            return True
        self.link.count_dropped('too many handshakes')
        return False

    def redial(self, box: peer_wires.Outbox) -> None:
        """Opens a connection for what still waits in an outbox."""
        if not box.items or box.dialing or self.link.nursery is None:
            return
        box.dialing = True
        self.link.nursery.start_soon(self.dial_peer, box)

    async def dial_peer(self, box: peer_wires.Outbox) -> None:
        """Connects to a peer and serves the connection."""
        host, port = self.link.addresses.get(box.peer_id, ('', 0))
        connection = None
        greeted = False
        try:
            with trio.fail_after(self.link.limits.dial_timeout):
                wire = await self.link.dial(box.peer_id, host, port)
                connection = peer_connections.Connection(self.link, wire, True)
                await connection.greet(box.peer_id)
            greeted = True
        except OPENING_ERRORS as exc:
            self.dial_failed(box, exc)
            return
        finally:
            if connection is not None and not greeted:
                await discard(connection)
        box.dialing = False
        await connection.serve()

    def dial_failed(self, box: peer_wires.Outbox, exc: Exception) -> None:
        """Gives up what waited for a connection that did not come."""
        box.dialing = False
        box.dial_after = trio.current_time() + self.link.limits.retry_delay
        self.link.count_dropped('dial failed')
        if box.connection is not None:
            return
        box.clear()
        self.link.calls.fail(f'no connection: {exc!r}', box.peer_id)

    async def accept(self, wire: peer_wires.Wire) -> None:
        """Serves a wire that a peer has opened."""
        connection = peer_connections.Connection(self.link, wire, False)
        greeted = False
        try:
            with trio.fail_after(self.link.limits.dial_timeout):
                await connection.greet(None)
            greeted = True
        except OPENING_ERRORS as exc:
            # counted before the peer can see the end of the connection
            self.link.count_dropped('bad hello')
            logs.change('peer_refused', router=self.link.name, error=str(exc))
            return
        finally:
            if not greeted:
                await discard(connection)
        await connection.serve()

    async def close_idle(self) -> None:
        """Closes connections that nobody has used for long, or are old."""
        while True:
            await trio.sleep(
                min(self.link.limits.idle, self.link.limits.age) / 4
            )
            now = trio.current_time()
            for connection in list(self.link.live):
                unused = now - connection.last_used > self.link.limits.idle
                if unused or now - connection.began > self.link.limits.age:
                    connection.retire()


async def discard(connection: peer_connections.Connection) -> None:
    """Closes a connection that did not open, also when cancelled."""
    with trio.CancelScope(shield=True):
        await connection.discard()
