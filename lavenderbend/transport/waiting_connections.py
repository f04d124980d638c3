"""Which connections are closed for others when too many are open."""

from __future__ import annotations

import itertools
from typing import Generic
from typing import Protocol
from typing import TypeVar

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

# Connections that are asked, for one new one, whether their request has come.
MAX_ASKED = 64

CLOSED = metrics.counter(
    'lavenderbend_waiting_connections_closed_total',
    'Connections without a request that were closed for others.',
)


class Connection(Protocol):
    """A connection that can wait for a request.

    Attributes:
        request_arrived: Whether bytes of the next request have come and are
            not parsed.
    """

    request_arrived: bool

    def close(self) -> None:
        """Closes the connection."""


C = TypeVar('C', bound=Connection)


class WaitingConnections(Generic[C]):
    """The connections that wait for a request.

    Without them, clients that open connections and send nothing would keep out
    all others.

    Attributes:
        unused: Those without a whole head so far, in the order of opening.
        kept: Those that have carried requests, the one that has waited the
            longest first.
    """

    def __init__(self) -> None:
        self.unused: dict[C, None] = {}
        self.kept: dict[C, None] = {}

    def add_unused(self, connection: C) -> None:
        """Adds a connection that has carried no request."""
        self.unused[connection] = None

    def add_kept(self, connection: C) -> None:
        """Adds a connection that has carried a request."""
        self.kept[connection] = None

    def discard(self, connection: C) -> None:
        """Removes a connection whose request has come, or that is closed."""
        self.unused.pop(connection, None)
        self.kept.pop(connection, None)

    def close_one(self) -> C | None:
        """Closes the connection that has waited the longest.

        One that was never used is closed before one that its caller keeps. A
        request that has come is read.

        Returns:
            The connection, None if none was found to close.
        """
        asked = itertools.islice(
            itertools.chain(self.unused, self.kept), MAX_ASKED
        )
        waiting = (one for one in asked if not one.request_arrived)
        connection = next(waiting, None)
        if connection is None:
            return None
        CLOSED.inc({})
        logs.caller_fault(
            'waiting_connection_closed',
            kept=connection in self.kept,
            unused=len(self.unused),
            idle=len(self.kept),
        )
        self.discard(connection)
        connection.close()
        return connection
