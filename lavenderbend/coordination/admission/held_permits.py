"""Permits that an entry router holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import groups


@attrs.frozen
class HeldPermit:
    """A permit that this entry router holds.

    Attributes:
        number: This entry router's number for it.
        group: The group of its upstream.
        upstream: VM id.
        owner: Owner that has this permit in its table, empty if it was
            granted without an owner and not yet registered.
        granted_at: Router clock.
        customer: Short id of the customer.
    """

    number: int
    group: groups.GroupId
    upstream: str
    owner: str
    granted_at: float
    customer: int
