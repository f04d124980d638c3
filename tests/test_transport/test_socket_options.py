"""When the kernel gives up connections, by the options that are set."""

from __future__ import annotations

import socket

import pytest
import trio

from lavenderbend.transport import socket_options

TCP = socket.IPPROTO_TCP
# a router's callers and upstreams wait this long for what it has to say
MAX_DEAD_SECONDS = 5.0


@pytest.fixture
async def options():
    connection = trio.socket.socket()
    socket_options.prepare(connection)
    names = ('KEEPIDLE', 'KEEPINTVL', 'KEEPCNT', 'USER_TIMEOUT')
    yield {
        name: connection.getsockopt(TCP, getattr(socket, f'TCP_{name}'))
        for name in names
    }
    connection.close()


def given_up_after(options, lost):
    """Returns when an idle connection is given up, None if it is not.

    As Linux does it: with a user timeout, the count of probes is not used.

    Args:
        options: The socket options.
        lost: Whether each probe, or its answer, is lost.
    """
    heard, unanswered, now = 0.0, 0, options['KEEPIDLE']
    for probe_lost in lost:
        if unanswered and (now - heard) * 1000 >= options['USER_TIMEOUT']:
            return now
        unanswered += 1
        if not probe_lost:
            heard, unanswered = now, 0
        now += options['KEEPIDLE'] if not unanswered else options['KEEPINTVL']
    return None


@pytest.mark.parametrize('in_a_row', [1, 2])
async def test_lost_probes_do_not_end_a_connection(options, in_a_row):
    # Guards against links that lose packets, on which answers are waited for.
    assert given_up_after(options, [True] * in_a_row + [False, False]) is None


async def test_dead_peer_is_noticed(options):
    assert given_up_after(options, [True] * 20) <= MAX_DEAD_SECONDS


async def test_probe_count_and_user_timeout_agree(options):
    # Guards against a user timeout that makes the count of probes void.
    counted = options['KEEPIDLE'] + options['KEEPCNT'] * options['KEEPINTVL']
    assert options['USER_TIMEOUT'] == counted * 1000
