"""A simulated fleet whose routers have different views of each other.

Membership and admission are the real ones; the clock is virtual.
"""

from __future__ import annotations

import enum
import random

import attrs
import trio

from bench.decisions import views
from bench.peers import fleets
from bench.peers import network as network_lib
from lavenderbend import errors
from lavenderbend.coordination import admission
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import membership
from lavenderbend.coordination import placement
from lavenderbend.standin import vm_list
from lavenderbend.state import configuration
from lavenderbend.state import requests
from lavenderbend.state import upstreams
from tests.integration import permits

MODEL = 'chat-1'
SERVICE = 'model'
POOL = configuration.Pool('chat', SERVICE, bound=1.5, floor=2, max_load=32)
MESSAGE_GAP_SECONDS = 1e-6  # between two messages of one connection
ENGINE_LATENCY_SECONDS = (0.0005, 0.003)  # from a router to an engine or back
SERVICE_SECONDS = (0.02, 0.3)
PAUSE_SECONDS = (0.01, 0.1)  # between two turns of a chat
DEADLINE_SECONDS = 30.0
SETTLE_SECONDS = 1.0
CUT_SECONDS = 3.0
SHORT_CUT_SECONDS = 0.4
CUT_PROBABILITY = 0.6  # for each other router, with `Cuts.SOME`
STALL_SECONDS = (0.02, 0.5)
STALLS_PER_SECOND = 1.5


class Cuts(enum.Enum):
    """The other routers that a router is cut off from, in one direction."""

    NONE = 'none'
    SOME = 'some'
    ALL = 'all'


@attrs.frozen
class Faults:
    """Faults injected during a run.

    Attributes:
        cuts: Each router in turn is cut off from others, in one direction.
        stalls: Randomly drawn routers are paused, one after the other.
    """

    cuts: Cuts
    stalls: bool = False


class OrderedNetwork(network_lib.MemoryNetwork):
    """A network that keeps the order of messages between two routers."""

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        super().__init__(nursery, rng)
        self.due: dict[tuple[str, str], float] = {}

    async def carry(self, source: str, target: str) -> bool:
        """Waits for the latency of a message; returns whether it arrives."""
        delay = self.latency + self.rng.uniform(0, self.jitter)
        await self.wait_turn(source, target, delay)
        while stalled := {source, target} & self.paused.keys():
            await self.paused[min(stalled)].wait()
            await self.wait_turn(source, target, 0.0)
        return (source, target) not in self.cut

    async def wait_turn(self, source: str, target: str, delay: float) -> None:
        """Waits for a delay and until all earlier messages have arrived."""
        previous = self.due.get((source, target), 0.0)
        due = max(trio.current_time() + delay, previous + MESSAGE_GAP_SECONDS)
        self.due[source, target] = due
        await trio.sleep_until(due)


class LoadedEngines(interfaces.UpstreamClient):
    """Engines whose load reports give the number of running requests."""

    def __init__(self, running: dict[str, int]) -> None:
        self.running = running

    async def open(self, vm, request, headers, timeout):
        """Always fails: no request is sent over this client."""
        raise errors.UpstreamUnreachable(vm.id)

    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Returns an engine's load report."""
        await trio.sleep(ENGINE_LATENCY_SECONDS[0])
        load = self.running[vm.id]
        await trio.sleep(ENGINE_LATENCY_SECONDS[0])
        return upstreams.LoadReport(vm.id, 'one', load, 0, models=(MODEL,))


@attrs.define
class Fleet:
    """Routers with membership and admission in front of some engines.

    Attributes:
        nursery: Runs the routers.
        rng: Random source of the load and the faults.
        network: Connects the routers.
        members: Membership by router.
        admissions: Admission by router.
        running: Number of requests that run on each engine.
        held: Permits of all routers, released or not.
    """

    nursery: trio.Nursery
    rng: random.Random
    network: OrderedNetwork
    members: dict[str, membership.FleetMembership] = attrs.field(factory=dict)
    admissions: dict[str, admission.OwnerAdmission] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)
    held: list[permits.Permit] = attrs.field(factory=list)

    @property
    def names(self) -> list[str]:
        """Ids of the routers."""
        return list(self.admissions)

    @property
    def engines(self) -> list[str]:
        """Ids of the engines."""
        return list(self.running)

    def permit_request(self, chat: int) -> interfaces.PermitRequest:
        """Returns the argument of `acquire` for a chat."""
        return interfaces.PermitRequest(
            request_id=f'request-{len(self.held)}',
            pool=POOL.name,
            customer='court',
            chat=(chat + 1) * 0x9E3779B97F4A7C15 % 2**64,
            model=MODEL,
            adapter=None,
            priority=requests.Priority.NORMAL,
            prompt_tokens=100,
            deadline=trio.current_time() + DEADLINE_SECONDS,
        )

    async def serve(self, router: str, chat: int, seconds: float) -> None:
        """Runs one request, if it is admitted."""
        entry = self.admissions[router]
        try:
            permit = await entry.acquire(self.permit_request(chat))
        except errors.RequestError:
            return
        index = self.record_permit(router, permit)
        engine = permit.upstream.id
        await trio.sleep(self.rng.uniform(*ENGINE_LATENCY_SECONDS))
        self.running[engine] += 1
        await trio.sleep(seconds)
        self.running[engine] -= 1
        await trio.sleep(self.rng.uniform(*ENGINE_LATENCY_SECONDS))
        entry.release(permit, 'complete')
        self.held[index] = attrs.evolve(
            self.held[index], ended=trio.current_time()
        )

    def record_permit(self, router: str, permit: interfaces.Permit) -> int:
        """Records a permit; returns its index."""
        self.held.append(
            permits.Permit(
                permit.upstream.id,
                permit.id,
                '',
                trio.current_time(),
                router=router,
                owner=permit.owner,
                reason=permit.reason,
                waited=permit.waited,
            )
        )
        return len(self.held) - 1

    async def chat(self, number: int, until: float) -> None:
        """Sends the turns of chats, each through a random router."""
        chat = number
        turns = 0
        while trio.current_time() < until:
            if turns == 0:
                chat += 1000
                turns = self.rng.randint(1, 5)
            turns -= 1
            router = self.rng.choice(self.names)
            await self.serve(router, chat, self.rng.uniform(*SERVICE_SECONDS))
            await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def run_load(self, chats: int, faults: Faults) -> None:
        """Generates load while faults are injected."""
        seconds = 2 * SETTLE_SECONDS + CUT_SECONDS * len(self.names)
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for number in range(chats):
                nursery.start_soon(self.chat, number, until)
            if faults.stalls:
                nursery.start_soon(self.stall, until)
            await trio.sleep(SETTLE_SECONDS)
            if faults.cuts is not Cuts.NONE:
                for name in self.names:
                    self.cut(name, faults.cuts, nursery)
                    await trio.sleep(CUT_SECONDS)

    def cut(self, name: str, cuts: Cuts, nursery: trio.Nursery) -> None:
        """Drops messages to or from a router for some seconds."""
        outward = self.rng.random() < 0.5
        for other in self.names:
            if other == name:
                continue
            seconds = CUT_SECONDS
            if cuts is Cuts.SOME:
                if self.rng.random() > CUT_PROBABILITY:
                    continue
                seconds = self.rng.uniform(SHORT_CUT_SECONDS, CUT_SECONDS)
            pair = (name, other) if outward else (other, name)
            nursery.start_soon(self.cut_pair, pair, seconds)

    async def cut_pair(self, pair: tuple[str, str], seconds: float) -> None:
        """Drops messages from one router to another for some seconds."""
        self.network.cut.add(pair)
        await trio.sleep(seconds)
        self.network.cut.discard(pair)

    async def stall(self, until: float) -> None:
        """Pauses one random router after the other."""
        while trio.current_time() < until:
            await trio.sleep(self.rng.expovariate(STALLS_PER_SECOND))
            name = self.rng.choice(self.names)
            self.network.pause(name)
            await trio.sleep(self.rng.uniform(*STALL_SECONDS))
            self.network.resume(name)

    def start(
        self,
        vm: upstreams.Vm,
        listed: vm_list.VmListStandIn,
        configurations: interfaces.Configurations,
    ) -> None:
        """Starts a router."""
        link = self.network.link(vm.id)
        member = membership.FleetMembership(
            vm,
            fleets.ListReader(listed),
            link,
            LoadedEngines(self.running),
            random.Random(self.rng.random()),
        )
        entry = admission.OwnerAdmission(
            vm.id,
            link,
            member,
            configurations,
            random.Random(self.rng.random()),
        )
        member.poll_filter = entry.needs_report
        self.members[vm.id] = member
        self.admissions[vm.id] = entry
        self.nursery.start_soon(member.run)
        self.nursery.start_soon(entry.run)

    def owner(self) -> str:
        """Returns the owner of the pool's only group."""
        entry = self.admissions[self.names[0]]
        entry.refresh_owners()
        return entry.owner_of(entry.directory.groups()[0])

    def loads_at(self, router: str):
        """Returns a router's `GroupLoads` as the owner of the pool."""
        (group,) = self.admissions[router].owner.owned.values()
        return group.loads

    def allowed_at(self, router: str) -> int:
        """Returns the highest load per engine that a router allows as owner."""
        loads = self.loads_at(router)
        candidates = [
            placement.Candidate(vm.id, '', loads.table.load(vm.id))
            for vm in loads.upstreams()
        ]
        return loads.allowed(candidates)


async def make_fleet(
    nursery: trio.Nursery, seed: int, routers: int = 4, engines: int = 5
) -> Fleet:
    """Returns a fleet after all routers are in each other's view."""
    rng = random.Random(seed)
    fleet = Fleet(nursery, rng, OrderedNetwork(nursery, rng))
    listed = vm_list.VmListStandIn(
        [fleets.router_vm(number) for number in range(routers)]
    )
    listed.lag = 0.0
    for number in range(engines):
        vm = fleets.engine_vm(number, SERVICE)
        listed.add(vm)
        fleet.running[vm.id] = 0
    configurations = views.FixedConfiguration(
        configuration.Configuration(pools=(POOL,))
    )
    for number in range(routers):
        fleet.start(fleets.router_vm(number), listed, configurations)
    with trio.fail_after(60):
        for member in fleet.members.values():
            while len(member.routers()) != routers:
                await member.wait_changed()
    await trio.sleep(SETTLE_SECONDS)
    return fleet
