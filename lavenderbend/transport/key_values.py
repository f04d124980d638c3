"""Adapters to the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import registry

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

# each entry is called with the endpoints, the timeout in seconds and a
# random number generator
KEY_VALUE_STORES: registry.Registry[type[interfaces.KeyValueStore]] = (
    registry.Registry('key-value adapter')
)
