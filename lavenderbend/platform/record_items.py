"""Items that routers write to the platform's store."""

from __future__ import annotations

import base64
from typing import Any

# An item without a lease outlives its writers.
NO_LEASE = 0


def transaction(
    key: str, revision: int, value: bytes, lease: int = NO_LEASE
) -> dict[str, Any]:
    """Returns the body of the call that writes an item.

    Args:
        key: Key of the item.
        revision: Revision of the item to replace, 0 if there is none.
        value: The new value.
        lease: Lease at whose end the store removes the item.
    """
    item = {
        'key': key,
        'value': base64.b64encode(value).decode(),
        'lease': lease,
    }
    return {
        'ifRev': [{'key': key, 'rev': revision}],
        'writes': [item],
        'remove': [],
    }


def removal(key: str, revision: int) -> dict[str, Any]:
    """Returns the body of the call that removes an item.

    Args:
        key: Key of the item.
        revision: Revision of the item.
    """
    return {
        'ifRev': [{'key': key, 'rev': revision}],
        'writes': [],
        'remove': [key],
    }
