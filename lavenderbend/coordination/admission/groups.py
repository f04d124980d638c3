"""Groups of upstreams within a pool; each group has one owner."""

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

# the owner and its standby poll the load reports of a group
REPORTED_OWNERS = 2


@attrs.frozen
class GroupId:
    """Id of a group, the same on all routers.

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
    """Returns the owner of a group among the given routers, empty if none."""
    key = f'{group.pool}/{group.index}'
    return hashing.rendezvous(key, routers) or ''


def first_owners(group: GroupId, routers: Sequence[str]) -> list[str]:
    """Returns the owner of a group and the router that would succeed it."""
    key = f'{group.pool}/{group.index}'
    return hashing.rendezvous_order(key, routers)[:REPORTED_OWNERS]


def standby(group: GroupId, routers: Sequence[str], name: str) -> str:
    """Returns the router to replicate an owner's state to, empty for none.

    This is the router that becomes the owner if the present one is lost. If
    the present owner is no longer first in the rendezvous order, it is the
    router that is.

    Args:
        group: The group.
        routers: The live routers.
        name: The present owner.
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
    """Returns the index of the group to ask first for a chat."""
    if len(indices) == 1:
        return indices[0]
    names = [str(index) for index in indices]
    return int(hashing.rendezvous(chat.to_bytes(8, 'big'), names) or 0)


class Directory:
    """Resolves short ids by this router's view and configuration.

    Attributes:
        revision: Number of the configuration revision read last.
        pools: Pools by short id.
        customers: Customers by short id.
        indices: Cached group index by pool name, group count and VM id.
    """

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
        """Reads the configuration again if its revision has changed.

        Raises:
            NoConfiguration: This router has no configuration yet.
        """
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
        """Returns the pool of a short id, None if it is not configured."""
        self.refresh()
        return self.pools.get(pool)

    def weight(self, customer: int) -> float:
        """Returns the weight of a customer, 1 if it is not configured."""
        configured = self.customers.get(customer)
        return configured.weight if configured is not None else 1.0

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
            GroupId(short_id, index)
            for short_id, pool in self.pools.items()
            for index in range(max(1, pool.groups))
        ]
