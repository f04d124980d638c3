"""The adapters that a router's settings name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination import membership as membership_module
from lavenderbend.protocol import http_limits
from lavenderbend.state import settings as settings_module
from lavenderbend.transport import key_value_etcd  # noqa: F401 - registers
from lavenderbend.transport import key_values
from lavenderbend.transport import links
from lavenderbend.transport import peer_frames  # noqa: F401 - registers
from lavenderbend.transport import tls
from lavenderbend.transport import vm_list_http  # noqa: F401 - registers
from lavenderbend.transport import vm_lists

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination import interfaces

ROUTER_SERVICE = 'router'


def make_store(
    settings: settings_module.KeyValueSettings, rng: random.Random
) -> interfaces.KeyValueStore:
    """Returns the client of the key-value service."""
    adapter = key_values.KEY_VALUE_STORES.get(settings.adapter)
    return adapter(settings.endpoints, settings.timeout_seconds, rng)


def make_link(settings: settings_module.RouterSettings) -> links.BatchLink:
    """Returns the link to other routers.

    Raises:
        PeerTlsRequired: The address is beyond loopback, without TLS.
        TlsFilesInvalid: The files cannot be used.
    """
    peers = settings.peers
    context = None
    if peers.tls is not None:
        context = tls.PeerTls(
            peers.tls.certificate, peers.tls.key, peers.tls.ca
        )
    cls = links.LINKS.get(peers.link.value)
    return cls(
        settings.id,
        peers.host,
        peers.port,
        context,
        allow_plain=peers.allow_plain_beyond_loopback,
    )


def make_vm_list(settings: settings_module.VmListSettings) -> interfaces.VmList:
    """Returns the source of the VM list."""
    cls = vm_lists.VM_LISTS.get(settings.adapter.value)
    if settings.adapter is settings_module.VmListKind.STATIC:
        return cls(settings.vms)
    return cls(settings.url, settings.timeout_seconds)


def membership_settings(
    settings: settings_module.VmListSettings,
) -> membership_module.MembershipSettings:
    """Returns the periods of membership."""
    return membership_module.MembershipSettings(
        list_period=settings.interval_seconds
    )


def caller_limits(
    settings: settings_module.CallerSettings,
) -> http_limits.HttpLimits:
    """Returns the limits that guard the memory of the callers' side."""
    return http_limits.HttpLimits(
        header_bytes=settings.max_header_bytes,
        body_bytes=settings.max_body_bytes,
        idle_seconds=settings.idle_seconds,
        connections=settings.max_connections,
    )
