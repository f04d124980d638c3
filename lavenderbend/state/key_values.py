"""Entries of the key-value service."""

from __future__ import annotations

import attrs


@attrs.frozen
class KeyValue:
    """One entry of the key-value service.

    Attributes:
        key: The key.
        value: The value.
        create_revision: Store revision at which the key was created.
        mod_revision: Store revision at which the key was last changed.
        lease: Id of the lease the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0
