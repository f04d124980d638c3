"""The registry of clients that send requests to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import registry

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

CLIENTS: registry.Registry[type[interfaces.UpstreamClient]] = registry.Registry(
    'upstream client'
)
DEFAULT = 'h11'
