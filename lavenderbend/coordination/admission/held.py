"""Permits that an entry uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import groups


@attrs.frozen
class Held:
    """A permit that this entry uses.

    Attributes:
        number: This entry's number for it.
        group: The group of its upstream.
        upstream: VM id.
        owner: Router that was last told of it.
        granted_at: Router clock.
        customer: Short id of the customer.
    """

    number: int
    group: groups.GroupId
    upstream: str
    owner: str
    granted_at: float
    customer: int
