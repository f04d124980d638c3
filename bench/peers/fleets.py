"""Fleets of routers in memory."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from bench.peers import network as network_lib
from lavenderbend.coordination import membership
from lavenderbend.standin import vm_list
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Sequence

ZONES = ('zone-a', 'zone-b', 'zone-c')


def router_vm(number: int, region: str = 'default') -> upstreams.Vm:
    """Returns the VM of a router."""
    return upstreams.Vm(
        id=f'router-{number:03d}',
        host=f'10.0.{number // 250}.{number % 250 + 1}',
        port=7100,
        availability_zone=ZONES[number % 3],
        service='router',
        kind=upstreams.UpstreamKind.ROUTER,
        region=region,
    )


def engine_vm(number: int, service: str = 'assistant') -> upstreams.Vm:
    """Returns the VM of an engine."""
    return upstreams.Vm(
        id=f'engine-{number:04d}',
        host=f'10.1.{number // 250}.{number % 250 + 1}',
        port=8000,
        availability_zone=ZONES[number % 3],
        service=service,
        kind=upstreams.UpstreamKind.ENGINE,
    )


@attrs.define
class Fleet:
    """Routers that share a network, a VM list and engines.

    Attributes:
        nursery: Runs the routers.
        network: The network.
        vm_list: The VM list.
        engines: By VM id.
        members: By router id.
        scopes: Ends a router, by its id.
        settings: Of all routers.
    """

    nursery: trio.Nursery
    network: network_lib.MemoryNetwork
    vm_list: vm_list.VmListStandIn
    engines: dict[str, network_lib.Engine]
    rng: random.Random
    settings: membership.MembershipSettings
    members: dict[str, membership.FleetMembership] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    def start(self, vm: upstreams.Vm) -> membership.FleetMembership:
        """Starts a router, or one anew under an old id."""
        self.network.down.discard(vm.id)
        member = membership.FleetMembership(
            vm,
            ListReader(self.vm_list),
            self.network.link(vm.id),
            network_lib.MemoryUpstreams(vm.id, self.engines),
            random.Random(self.rng.random()),
            self.settings,
        )
        self.members[vm.id] = member
        scope = trio.CancelScope()
        self.scopes[vm.id] = scope
        self.nursery.start_soon(self.run_member, member, scope)
        return member

    async def run_member(
        self, member: membership.FleetMembership, scope: trio.CancelScope
    ) -> None:
        """Runs a router until it is ended."""
        with scope:
            await member.run()

    def end(self, name: str) -> None:
        """Ends a router's process at once."""
        self.scopes[name].cancel()
        self.network.down.add(name)
        del self.members[name]

    def add_engine(self, number: int) -> upstreams.Vm:
        """Adds an engine."""
        vm = engine_vm(number)
        self.engines[vm.id] = network_lib.Engine()
        self.vm_list.add(vm)
        return vm

    def believing(self, name: str) -> list[str]:
        """Returns the routers in whose view a router takes part."""
        return [
            other
            for other, member in self.members.items()
            if name in member.candidates.router_ids()
        ]

    def using(self, engine: str, service: str = 'assistant') -> list[str]:
        """Returns the routers for which an engine is a candidate."""
        return [
            name
            for name, member in self.members.items()
            if engine in {vm.id for vm in member.upstreams(service)}
        ]


@attrs.define
class ListReader:
    """Reads a stand-in directly.

    Attributes:
        standin: The stand-in.
    """

    standin: vm_list.VmListStandIn

    async def fetch(self) -> Sequence[upstreams.Vm]:
        """Returns the list as it shows now."""
        await trio.sleep(0.005)
        if self.standin.down:
            raise ConnectionError('the VM list is down')
        return self.standin.vms()


async def make_fleet(
    nursery: trio.Nursery,
    routers: int,
    engines: int = 0,
    seed: int = 1,
    lag: float = 0.0,
    settings: membership.MembershipSettings | None = None,
) -> Fleet:
    """Returns a fleet that has settled."""
    rng = random.Random(seed)
    standin = vm_list.VmListStandIn([router_vm(i) for i in range(routers)])
    fleet = Fleet(
        nursery,
        network_lib.MemoryNetwork(nursery, rng),
        standin,
        {},
        rng,
        settings or membership.MembershipSettings(),
    )
    for number in range(engines):
        fleet.add_engine(number)
    standin.lag = lag
    for number in range(routers):
        fleet.start(router_vm(number))
    await settle(fleet, routers)
    return fleet


async def settle(fleet: Fleet, routers: int, limit: float = 120.0) -> None:
    """Waits until every router sees every other."""
    with trio.fail_after(limit):
        for member in fleet.members.values():
            while len(member.routers()) != routers:
                await member.wait_changed()
