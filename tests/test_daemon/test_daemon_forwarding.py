"""What a forwarding router takes over when its settings are read again."""

from __future__ import annotations

import attrs

from lavenderbend.daemon import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import settings as settings_module

LISTEN = forwarding_settings.ForwardListen(
    '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'
)


async def test_reload_changes_how_old_a_refusal_may_be():
    # An operator shortens `apply_seconds` and has the settings read again;
    # the line says that no new start is needed. The store was followed by
    # the new figure, but that there is no such route, or no such credential,
    # was told by a configuration as old as the former figure allowed.
    settings = settings_module.RouterSettings(
        'router-1',
        'sala-a',
        settings_module.KeyValueSettings(['http://127.0.0.1:4']),
        forwarding=forwarding_settings.ForwardingSettings(LISTEN),
    )
    daemon = forwarding.ForwardingDaemon(settings)
    shorter = attrs.evolve(settings.forwarding, apply_seconds=0.5)
    daemon.reload(attrs.evolve(settings, forwarding=shorter))
    assert daemon.snapshots.settings.apply_seconds == 0.5
    assert daemon.forwarder.resolver.apply_seconds == 0.5
