"""Groups of upstreams within a pool, the units that have owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.protocol import messages_decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

REPORTED_OWNERS = 2


@attrs.frozen
class GroupId:
    """Names a group; the same on all routers.

    Attributes:
        pool: Short id of the pool.
        index: Index of the group within the pool.
    """

    pool: int
    index: int


def group_id(pool: configuration.Pool, index: int) -> GroupId:
    """Returns the id of a group of a pool."""
    return GroupId(messages_decisions.short_id(pool.name), index)


def owner(group: GroupId, routers: Sequence[str]) -> str:
    """Returns the router that owns a group, by the given view."""
    key = f'{group.pool}/{group.index}'
    return hashing.rendezvous(key, routers) or ''


def first_owners(group: GroupId, routers: Sequence[str]) -> list[str]:
    """Returns the owner of a group and who comes after it, if it is lost."""
    key = f'{group.pool}/{group.index}'
    return hashing.rendezvous_order(key, routers)[:REPORTED_OWNERS]


def standby(group: GroupId, routers: Sequence[str], name: str) -> str:
    """Returns who should know what an owner knows, empty for nobody.

    That is the router that becomes the owner if the present one is lost; for
    an owner that is no longer first in the order, the one that is.
    """
    key = f'{group.pool}/{group.index}'
    order = hashing.rendezvous_order(key, routers)
    others = [router for router in order if router != name]
    return others[0] if others else ''


def index_of(pool: configuration.Pool, upstream: str) -> int:
    """Returns the index of the group that an upstream belongs to."""
    if pool.groups <= 1:
        return 0
    names = [f'{pool.name}/{index}' for index in range(pool.groups)]
    best = hashing.rendezvous(upstream, names)
    return names.index(best) if best is not None else 0


def chat_group(chat: int, indices: Sequence[int]) -> int:
    """Returns which of some groups to ask first for a chat."""
    if len(indices) == 1:
        return indices[0]
    names = [str(index) for index in indices]
    return int(hashing.rendezvous(chat.to_bytes(8, 'big'), names) or 0)


class Directory:
    """Names behind short ids, from this router's own view."""

    def __init__(
        self,
        membership: interfaces.Membership,
        configurations: interfaces.Configurations,
    ) -> None:
        self.membership = membership
        self.configurations = configurations
        self.revision = -1
        self.pools: dict[int, configuration.Pool] = {}
        self.customers: dict[int, configuration.Customer] = {}
        self.indices: dict[tuple[str, int, str], int] = {}

    def refresh(self) -> None:
        """Reads the configuration again if it has changed."""
        revision = self.configurations.current()
        if revision.number == self.revision:
            return
        self.revision = revision.number
        short_id = messages_decisions.short_id
        document = revision.document
        self.pools = {short_id(pool.name): pool for pool in document.pools}
        self.customers = {
            short_id(customer.name): customer for customer in document.customers
        }
        self.indices.clear()

    def pool(self, pool: int) -> configuration.Pool | None:
        """Returns the pool of a short id, None if it is not known here."""
        self.refresh()
        return self.pools.get(pool)

    def weight(self, customer: int) -> float:
        """Returns the weight of a customer, 1 if it is not known here."""
        known = self.customers.get(customer)
        return known.weight if known is not None else 1.0

    def upstreams(
        self, pool: configuration.Pool, index: int
    ) -> list[upstreams.Vm]:
        """Returns the upstreams of a group that may get new work."""
        vms = self.membership.upstreams(pool.service)
        if pool.groups <= 1:
            return list(vms)
        return [vm for vm in vms if self.index(pool, vm.id) == index]

    def index(self, pool: configuration.Pool, upstream: str) -> int:
        """Returns the index of an upstream's group."""
        key = (pool.name, pool.groups, upstream)
        if key not in self.indices:
            self.indices[key] = index_of(pool, upstream)
        return self.indices[key]

    def groups(self) -> list[GroupId]:
        """Returns the ids of all groups of all pools."""
        self.refresh()
        return [
            GroupId(number, index)
            for number, pool in self.pools.items()
            for index in range(max(1, pool.groups))
        ]
