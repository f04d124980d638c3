"""Direct and indirect probes of other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_membership as messages

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib
    from lavenderbend.coordination.membership import routers as routers_lib

State = messages.RouterState

# a dead router is probed too in each period whose number is a multiple of this
DEAD_PROBE_PERIODS = 5
SYNC_PEERS = 3  # peers asked for their whole state
JOIN_RETRY_SECONDS = 0.1

PROBES = metrics.counter(
    'lavenderbend_membership_probes_total',
    'Probes of other routers, by result.',
)


class Prober:
    """Probes one random router in each period.

    Attributes:
        fleet: Membership whose routers are probed.
        round_targets: Routers still to be probed in this round.
        period: Number of the current period.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.round_targets: list[str] = []
        self.period = 0

    async def run(self) -> None:
        """Sends probes until cancelled."""
        settings = self.fleet.settings
        await trio.sleep(self.fleet.rng.uniform(0, settings.probe_period))
        async with trio.open_nursery() as nursery:
            while True:
                self.period += 1
                for target in self.next_targets():
                    nursery.start_soon(self.probe, target)
                await trio.sleep(settings.probe_period)

    def next_targets(self) -> list[str]:
        """Returns the routers to probe in this period."""
        targets = []
        target = self.next_in_round()
        if target is not None:
            targets.append(target)
        if self.period % DEAD_PROBE_PERIODS == 0:
            dead = [
                router.vm.id
                for router in self.fleet.table
                if router.state is State.DEAD and router.listed
            ]
            if dead:
                targets.append(self.fleet.rng.choice(dead))
        return targets

    def next_in_round(self) -> str | None:
        """Returns the next router of a shuffled round over all routers.

        Rounds bound the time until each router is probed, which independent
        random choices would not.
        """
        for _ in range(2):
            while self.round_targets:
                target = self.round_targets.pop()
                if self.is_probed(self.fleet.table.get(target)):
                    return target
            self.round_targets = [
                router.vm.id
                for router in self.fleet.table
                if self.is_probed(router)
            ]
            self.fleet.rng.shuffle(self.round_targets)
        return None

    def is_probed(self, router: routers_lib.Router | None) -> bool:
        """Returns whether a router is probed in each round."""
        if router is None:
            return False
        return router.is_responsive or (router.state is None and router.listed)

    async def probe(self, target: str) -> None:
        """Probes a router directly, then indirectly, and else suspects it."""
        if await self.is_reachable(target):
            PROBES.inc({'result': 'direct'})
            self.fleet.processor.note_responsive(target)
            return
        router = self.fleet.table.get(target)
        if router is None or not router.is_responsive:
            return
        if await self.is_reachable_indirectly(target):
            PROBES.inc({'result': 'indirect'})
            return
        PROBES.inc({'result': 'none'})
        self.fleet.processor.suspect(target)

    async def is_reachable(self, target: str) -> bool:
        """Returns whether a router answers a direct probe."""
        ping = messages.Ping(self.fleet.processor.updates_for(target))
        try:
            answer = await self.fleet.link.request(
                target, ping, self.fleet.settings.probe_timeout
            )
        except errors.PeerError:
            return False
        if isinstance(answer, messages.Ack):
            self.fleet.processor.merge_updates(answer.updates)
        return True

    async def is_reachable_indirectly(self, target: str) -> bool:
        """Returns whether one of several other routers reaches a router.

        If only the path between two routers is cut or loses packets, each
        would believe the other dead although the other routers reach both.
        Asking some of those first keeps a working router in all views.
        """
        others = [
            name for name in self.fleet.table.responsive_ids() if name != target
        ]
        count = min(self.fleet.settings.indirect_probes, len(others))
        reachable: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self.fleet.rng.sample(others, count):
                nursery.start_soon(
                    self.request_indirect_probe,
                    helper,
                    target,
                    reachable,
                    nursery,
                )
        return bool(reachable)

    async def request_indirect_probe(
        self,
        helper: str,
        target: str,
        reachable: list[bool],
        nursery: trio.Nursery,
    ) -> None:
        """Asks another router to probe the target for this one."""
        message = messages.IndirectPing(
            target, self.fleet.processor.updates_for(helper)
        )
        try:
            await self.fleet.link.request(
                helper, message, self.fleet.settings.indirect_timeout
            )
        except errors.PeerError:
            return
        reachable.append(True)
        nursery.cancel_scope.cancel()

    async def join(self) -> None:
        """Synchronizes with peers until the VM list is known.

        A router that starts while the list service is down knows no peers.
        The others still have it in their lists and probe it, and it learns
        the list and the fleet from the first of them.
        """
        while True:
            await self.sync()
            if self.fleet.has_list():
                return
            await trio.sleep(JOIN_RETRY_SECONDS)

    async def sync(self) -> None:
        """Fetches the whole membership state of some routers."""
        names = [
            router.vm.id
            for router in self.fleet.table
            if router.listed or router.is_responsive
        ]
        count = min(SYNC_PEERS, len(names))
        async with trio.open_nursery() as nursery:
            for name in self.fleet.rng.sample(names, count):
                nursery.start_soon(self.sync_with, name)

    async def sync_with(self, name: str) -> None:
        """Fetches the whole membership state of one router."""
        request = messages.SyncRequest(
            self.fleet.processor.updates_for(name), not self.fleet.has_list()
        )
        timeout = self.fleet.settings.indirect_timeout
        try:
            answer = await self.fleet.link.request(name, request, timeout)
        except errors.PeerError:
            return
        if isinstance(answer, messages.SyncReply):
            self.fleet.processor.merge_updates(answer.updates, relay=False)
            self.fleet.processor.note_responsive(name)
