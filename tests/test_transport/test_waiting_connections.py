"""Which connections are closed for others."""

from __future__ import annotations

import attrs
import pytest

from lavenderbend.transport import waiting_connections


@attrs.define(eq=False)
class Connection:
    """A connection.

    Attributes:
        request_arrived: Whether bytes of its next request have come.
        closed: Whether it was closed.
        asked: How often it was asked whether a request has come.
    """

    arrived: bool = False
    closed: bool = False
    asked: int = 0

    @property
    def request_arrived(self):
        self.asked += 1
        return self.arrived

    def close(self):
        self.closed = True


@pytest.fixture
def waiting():
    return waiting_connections.WaitingConnections()


@pytest.mark.parametrize('kind', ['unused', 'kept'])
def test_connection_whose_request_has_come_is_not_closed(waiting, kind):
    """Guards against a request that is lost although it was received."""
    add = getattr(waiting, f'add_{kind}')
    arrived, idle = Connection(arrived=True), Connection()
    add(arrived)
    add(idle)
    assert waiting.close_one() is idle
    assert waiting.close_one() is None
    assert not arrived.closed


def test_few_connections_are_asked_for_a_new_one(waiting):
    """Guards against a loop that does nothing but ask a crowd."""
    crowd = [
        Connection(arrived=True)
        for _ in range(4 * waiting_connections.MAX_ASKED)
    ]
    for connection in crowd:
        waiting.add_unused(connection)
    assert waiting.close_one() is None
    asked = sum(connection.asked for connection in crowd)
    assert asked == waiting_connections.MAX_ASKED
