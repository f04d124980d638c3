"""States of the other routers, ordered by incarnation numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterator

State = messages.RouterState


@attrs.define(eq=False)
class Router:
    """A router and its state in this router's view.

    Attributes:
        vm: Its VM, with its peer address.
        state: Its state; None until a first message of it or about it.
        incarnation: Incarnation that the state refers to.
        suspected_for: Seconds since it was suspected, counted only while
            this process runs.
        listed: Whether the VM list contains it.
        unlisted_since: Router clock since which the list does not.
    """

    vm: upstreams.Vm
    state: State | None = None
    incarnation: int = 0
    suspected_for: float = 0.0
    listed: bool = False
    unlisted_since: float = 0.0

    @property
    def is_responsive(self) -> bool:
        """Whether it is alive or suspected."""
        return self.state is State.ALIVE or self.state is State.SUSPECT


class RouterTable:
    """States of this router and of the others.

    Attributes:
        vm: VM of this router.
        name: Id of this router.
        routers: The other routers by id.
        incarnation: Incarnation of this router.
        state: State that this router announces of itself.
    """

    def __init__(self, vm: upstreams.Vm) -> None:
        self.vm = vm
        self.name = vm.id
        self.routers: dict[str, Router] = {}
        self.incarnation = 0
        self.state = State.ALIVE

    def __iter__(self) -> Iterator[Router]:
        return iter(self.routers.values())

    def get(self, router_id: str) -> Router | None:
        """Returns a router, None if it is not known."""
        return self.routers.get(router_id)

    def responsive_ids(self) -> list[str]:
        """Returns the ids of the routers that are alive or suspected."""
        return [router.vm.id for router in self if router.is_responsive]

    def own_update(self) -> messages.RouterUpdate:
        """Returns the update that announces this router."""
        return to_update(self.vm, self.state, self.incarnation)

    def update_of(self, router: Router) -> messages.RouterUpdate:
        """Returns the update that announces the state of a router."""
        return to_update(router.vm, router.state, router.incarnation)

    def refute(self, update: messages.RouterUpdate) -> bool:
        """Processes an update about this router itself.

        A router that was paused or cut off for a while returns to a fleet
        that believes it dead. Only the router itself increments its
        incarnation, so its announcement supersedes all updates about an
        earlier incarnation.

        Returns:
            Whether this router must announce its state again.

        Raises:
            ValueError: The update has an unknown state.
        """
        state = State(update.state)
        if update.incarnation < self.incarnation:
            return False
        if state is self.state and (update.incarnation == self.incarnation):
            return False
        if self.state is State.LEFT:
            return state is not State.LEFT
        if state is State.ALIVE:
            # from an earlier process of this id; take over its incarnation
            self.incarnation = max(self.incarnation, update.incarnation)
            return False
        self.incarnation = update.incarnation + 1
        return True

    def merge(self, update: messages.RouterUpdate) -> bool:
        """Merges an update about another router; returns whether it is new.

        Raises:
            ValueError: The update has an unknown state.
        """
        state = State(update.state)
        router = self.routers.get(update.router)
        if router is None:
            if not update.host:
                return False
            router = Router(from_update(update))
            self.routers[update.router] = router
        if not supersedes(router, state, update.incarnation):
            return False
        if update.host and not router.listed:
            router.vm = from_update(update)
        router.state = state
        router.incarnation = update.incarnation
        router.suspected_for = 0.0
        return True


def supersedes(router: Router, state: State, incarnation: int) -> bool:
    """Returns whether an update supersedes the state of a router."""
    if router.state is None:
        return True
    return (incarnation, state) > (router.incarnation, router.state)


def to_update(
    vm: upstreams.Vm, state: State | None, incarnation: int
) -> messages.RouterUpdate:
    """Returns an update; with the address if the router is alive."""
    state = State.ALIVE if state is None else state
    if state is not State.ALIVE:
        return messages.RouterUpdate(vm.id, int(state), incarnation)
    return messages.RouterUpdate(
        router=vm.id,
        state=int(state),
        incarnation=incarnation,
        host=vm.host,
        port=vm.port,
        availability_zone=vm.availability_zone,
        region=vm.region,
    )


def from_update(update: messages.RouterUpdate) -> upstreams.Vm:
    """Returns the VM of a router that is known only by an update."""
    return upstreams.Vm(
        id=update.router,
        host=update.host,
        port=update.port,
        availability_zone=update.availability_zone,
        service='',
        kind=upstreams.UpstreamKind.ROUTER,
        region=update.region,
    )
