"""The request path of routers of a fleet in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination.forwarding import attempts
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import forwarder
from lavenderbend.coordination.forwarding import outgoing
from lavenderbend.coordination.forwarding import rejection_limits
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding import silence
from lavenderbend.coordination.forwarding.admission import crowding
from lavenderbend.state import forwarding_settings

if TYPE_CHECKING:
    import trio

    from bench.fleet import world
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import peers as peers_module

LOAD_FACTOR = 2.0
APPLY_SECONDS = 4.0
HEADERS = forwarding_settings.ForwardHeaders(
    tokens='x-tokens', length_hint='x-length-hint', copy_from='x-copy-from'
)


def start(
    router: world.Router,
    exchanges: interfaces.Exchanges,
    queue_seconds: float,
    nursery: trio.Nursery,
) -> forwarder.Forwarder:
    """Returns the running request path of a router.

    Args:
        router: The router.
        exchanges: Connections to upstreams.
        queue_seconds: Longest time for which a request waits at an owner.
        nursery: Runs its tasks.
    """
    known = router.directory
    limits = rejection_limits.RejectionLimits(
        router.loads,
        router.peers.facts,
        router.peers.budget_divisor,
        router.peers.rng,
    )
    callbacks = router.peers.fact_callbacks
    callbacks[rejection_limits.LIMITED] = limits.apply_limit
    callbacks[rejection_limits.FULL] = limits.apply_full
    detector = silence.SilenceDetector(router.health)
    nursery.start_soon(detector.run)
    chooser = choice.Chooser(
        router.zone, known, router.health, router.loads, LOAD_FACTOR
    )
    chooser.rejection_limits = limits
    cached = cached_prompts.CachedPrompts(
        known,
        router.health,
        router.peers.prompts,
        router.peers.loads.instances,
    )
    path = forwarder.Forwarder(
        request_resolver.RequestResolver(
            router.snapshots, HEADERS, APPLY_SECONDS
        ),
        reserving_chooser.ReservingChooser(
            chooser,
            router.peers.reservations,
            router.peers.loads.instances,
            router.peers.fleet_size,
        ),
        attempts.Attempts(
            exchanges,
            known,
            router.health,
            router.loads,
            outgoing.OutgoingRequests(cached, HEADERS),
            router.crashes,
            detector,
            router.departures,
            HEADERS,
        ),
        router.budget,
    )
    path.attempts.rejection_limits = limits
    path.fleet_size = router.peers.fleet_size
    set_queue(path, router.peers, queue_seconds)
    return path


def set_queue(
    path: forwarder.Forwarder, peers: peers_module.Peers, seconds: float
) -> None:
    """Lets requests wait at the owners of upstreams.

    Args:
        path: The request path of a router.
        peers: What the router shares with others.
        seconds: Longest time for which a request waits, 0 for none.
    """
    chooser = path.reserving_chooser
    chooser.rng = peers.rng
    chooser.waits.queue_seconds = seconds
    crowded = crowding.Crowding(peers.facts, chooser.queues)
    chooser.crowding = path.attempts.crowding = crowded
    path.attempts.on_pace = chooser.note_pace
    peers.fact_callbacks[crowding.CROWDED] = crowded.apply_fact
