"""What the key-value service holds."""

from __future__ import annotations

import attrs


@attrs.frozen
class KeyValue:
    """A key with its value and revisions.

    Attributes:
        key: The key.
        value: The value.
        create_revision: Store revision of its creation.
        mod_revision: Store revision of its last change.
        lease: Lease id, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0
