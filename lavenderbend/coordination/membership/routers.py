"""What this router believes of the others, by incarnation numbers."""

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
    """A router and what is believed of it.

    Attributes:
        vm: Its VM, its peer address in it.
        state: What is believed; None until it was first heard of.
        incarnation: The incarnation that the belief is about.
        suspected_for: Seconds of this router's running time since it was
            suspected.
        listed: Whether the VM list shows it.
        unlisted_since: Router clock since which it does not.
    """

    vm: upstreams.Vm
    state: State | None = None
    incarnation: int = 0
    suspected_for: float = 0.0
    listed: bool = False
    unlisted_since: float = 0.0

    @property
    def answers(self) -> bool:
        """Whether it is believed to answer; suspected ones still are."""
        return self.state is State.ALIVE or self.state is State.SUSPECT


class RouterTable:
    """The other routers.

    Attributes:
        name: Id of this router.
        routers: By id, this router not among them.
        incarnation: Of this router.
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
        """Returns a router, None if it was never heard of."""
        return self.routers.get(router_id)

    def answering(self) -> list[str]:
        """Returns the routers that are believed to answer."""
        return [item.vm.id for item in self if item.answers]

    def own_update(self) -> messages.RouterUpdate:
        """Returns what this router says of itself."""
        return to_update(self.vm, self.state, self.incarnation)

    def update_of(self, item: Router) -> messages.RouterUpdate:
        """Returns what is believed of a router."""
        return to_update(item.vm, item.state, item.incarnation)

    def refute(self, update: messages.RouterUpdate) -> bool:
        """Answers what others say of this router; True if it must speak.

        A router that was paused, or cut off for a while, comes back to a
        fleet that believes it dead. Only the router itself counts its
        incarnation up, so its word goes before all that was said of an
        earlier incarnation.

        Raises:
            ValueError: The update has values that are none of ours.
        """
        state = State(update.state)
        if update.incarnation < self.incarnation:
            return False
        if state is self.state and (update.incarnation == self.incarnation):
            return False
        if self.state is State.LEFT:
            return state is not State.LEFT
        if state is State.ALIVE:
            # an earlier process under this id; this one goes before it
            self.incarnation = max(self.incarnation, update.incarnation)
            return False
        self.incarnation = update.incarnation + 1
        return True

    def merge(self, update: messages.RouterUpdate) -> bool:
        """Takes what was said of another router; True if it is news.

        Raises:
            ValueError: The update has values that are none of ours.
        """
        state = State(update.state)
        item = self.routers.get(update.router)
        if item is None:
            if not update.host:
                return False
            item = Router(from_update(update))
            self.routers[update.router] = item
        if not is_news(item, state, update.incarnation):
            return False
        if update.host and not item.listed:
            item.vm = from_update(update)
        item.state = state
        item.incarnation = update.incarnation
        item.suspected_for = 0.0
        return True


def is_news(item: Router, state: State, incarnation: int) -> bool:
    """Returns whether an update goes before what is believed."""
    if item.state is None:
        return True
    return (incarnation, state) > (item.incarnation, item.state)


def to_update(
    vm: upstreams.Vm, state: State | None, incarnation: int
) -> messages.RouterUpdate:
    """Returns an update, with the address where it may be needed."""
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
    """Returns the VM of a router that only an update has told of."""
    return upstreams.Vm(
        id=update.router,
        host=update.host,
        port=update.port,
        availability_zone=update.availability_zone,
        service='',
        kind=upstreams.UpstreamKind.ROUTER,
        region=update.region,
    )
