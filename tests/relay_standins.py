"""A router that relays connections to upstreams, without its other parts."""

from __future__ import annotations

import socket
import types

import trio

from lavenderbend.coordination.forwarding import reachability
from lavenderbend.protocol import messages_forwarding
from lavenderbend.transport import peer_datagrams
from lavenderbend.transport import relay_server

HOST = '127.0.0.1'
Outcome = messages_forwarding.RelayOutcome


class OneUpstream:
    """Relays connections to one upstream, by the outcome that a test sets."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.outcome = Outcome.CONNECTED
        self.reachability = reachability.Reachability()
        self.stopping = False

    def admit(self, instance):
        if self.stopping:
            return Outcome.UNABLE, None
        if self.outcome is not Outcome.CONNECTED:
            return self.outcome, None
        return self.outcome, self.upstream


async def start_relay(nursery, upstream):
    """Returns a router that relays; its task ends when `scope` is cancelled."""
    relays = OneUpstream(upstream)
    server = relay_server.RelayServer(relays)
    link = peer_datagrams.PeerDatagrams(HOST, 0, lambda: None)
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        link.port = probe.getsockname()[1]
    link.relay = server.serve
    scope = trio.CancelScope()

    async def run(task_status):
        with scope:
            await link.run(task_status=task_status)

    await nursery.start(run)
    return types.SimpleNamespace(
        relays=relays, server=server, port=link.port, scope=scope
    )
