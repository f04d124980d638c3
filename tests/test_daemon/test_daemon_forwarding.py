"""Which settings a forwarding router applies on a reload."""

from __future__ import annotations

import attrs
import pytest

from lavenderbend.daemon import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import settings as settings_module

MIB = 1024 * 1024
LISTEN = forwarding_settings.ForwardListen(
    '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'
)


@pytest.fixture
def settings():
    return settings_module.RouterSettings(
        'router-1',
        'sala-a',
        settings_module.KeyValueSettings(['http://127.0.0.1:4']),
        forwarding=forwarding_settings.ForwardingSettings(LISTEN),
    )


async def test_reload_changes_the_age_limit_of_refusals(settings):
    # Guards against a reload that changes `apply_seconds` for reading the
    # store but not for refusals, although its log line names no need for a
    # restart: unknown routes and credentials were still refused by a
    # configuration as old as the former value allowed.
    daemon = forwarding.ForwardingDaemon(settings)
    changed = attrs.evolve(settings.forwarding, apply_seconds=0.5)
    daemon.reload(attrs.evolve(settings, forwarding=changed))
    assert daemon.snapshots.settings.apply_seconds == 0.5
    assert daemon.forwarder.resolver.apply_seconds == 0.5


async def test_reload_changes_drained_zones_and_cold_upstreams(settings):
    # Guards against a reload that needs a restart and does not say so.
    daemon = forwarding.ForwardingDaemon(settings)
    changed = attrs.evolve(
        settings.forwarding,
        zone_drain_seconds=7.0,
        cold_rate_factor=2.0,
        cold_rate_extra=3.0,
    )
    daemon.reload(attrs.evolve(settings, forwarding=changed))
    assert daemon.directory.copy_seconds == 7.0
    assert daemon.cold_starts.settings.factor == 2.0
    assert daemon.cold_starts.settings.extra == 3.0


async def test_limit_of_cold_upstreams_heeds_the_records_of_zones(settings):
    # Guards against a router that takes every zone for one with routers.
    daemon = forwarding.ForwardingDaemon(settings)
    assert daemon.cold_starts.presence == daemon.zone_records.presence
    assert daemon.zone_records.store is daemon.store


async def test_processor_settings_weight_the_router_and_reload(settings):
    # Guards against a router that tells others the usual processor, whatever
    # its settings say, or needs a restart to tell them another.
    small = attrs.evolve(
        settings.forwarding, processor_share=0.5, processor_speed=1.6
    )
    daemon = forwarding.ForwardingDaemon(
        attrs.evolve(settings, forwarding=small)
    )
    assert daemon.peers.state('127.0.0.9').capacity == 80
    large = attrs.evolve(small, processor_share=1.0, processor_speed=2.15)
    daemon.reload(attrs.evolve(settings, forwarding=large))
    assert daemon.peers.state('127.0.0.9').capacity == 215


@pytest.mark.parametrize(
    ('memory_bytes', 'limit'),
    [(200 * MIB, 40 * MIB), (512 * MIB, settings_module.DEFAULT_HELD_BYTES)],
)
async def test_callers_take_up_a_fifth_of_a_small_machine(
    settings, memory_bytes, limit
):
    """Guards against a limit that is larger than its machine can bear."""
    small = attrs.evolve(settings.forwarding, memory_bytes=memory_bytes)
    daemon = forwarding.ForwardingDaemon(
        attrs.evolve(settings, forwarding=small)
    )
    assert daemon.callers.memory.limit == limit
