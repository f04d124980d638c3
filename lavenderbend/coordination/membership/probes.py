"""Probes of other routers, direct and through others."""

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

# every so many periods a router that is believed dead is probed too
DEAD_PROBE_PERIODS = 5
SYNC_PEERS = 3
JOIN_PERIOD = 0.1  # seconds

PROBES = metrics.counter(
    'lavenderbend_membership_probes_total',
    'Probes of other routers, by result.',
)


class Prober:
    """Probes one random router a period.

    Attributes:
        fleet: The membership.
        order: Routers still to be probed in this round.
        period: Counts the periods.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.order: list[str] = []
        self.period = 0

    async def run(self) -> None:
        """Probes until cancelled."""
        settings = self.fleet.settings
        await trio.sleep(self.fleet.rng.uniform(0, settings.probe_period))
        async with trio.open_nursery() as nursery:
            while True:
                self.period += 1
                for target in self.next_targets():
                    nursery.start_soon(self.probe, target)
                await trio.sleep(settings.probe_period)

    def next_targets(self) -> list[str]:
        """Returns whom to probe in this period."""
        targets = []
        target = self.next_in_round()
        if target is not None:
            targets.append(target)
        if self.period % DEAD_PROBE_PERIODS == 0:
            dead = [
                item.vm.id
                for item in self.fleet.table
                if item.state is State.DEAD and item.listed
            ]
            if dead:
                targets.append(self.fleet.rng.choice(dead))
        return targets

    def next_in_round(self) -> str | None:
        """Returns the next router of a shuffled round over all.

        Rounds bound the time until each router is probed, which plain
        chance would not.
        """
        for _ in range(2):
            while self.order:
                target = self.order.pop()
                if self.is_probed(self.fleet.table.get(target)):
                    return target
            self.order = [
                item.vm.id for item in self.fleet.table if self.is_probed(item)
            ]
            self.fleet.rng.shuffle(self.order)
        return None

    def is_probed(self, item: routers_lib.Router | None) -> bool:
        """Returns whether a router is probed in each round."""
        if item is None:
            return False
        return item.answers or (item.state is None and item.listed)

    async def probe(self, target: str) -> None:
        """Probes a router, then through others; suspects it if in vain."""
        if await self.reaches(target):
            PROBES.inc({'result': 'direct'})
            self.fleet.news.note_answer(target)
            return
        item = self.fleet.table.get(target)
        if item is None or not item.answers:
            return
        if await self.reaches_through_others(target):
            PROBES.inc({'result': 'indirect'})
            return
        PROBES.inc({'result': 'none'})
        self.fleet.news.suspect(target)

    async def reaches(self, target: str) -> bool:
        """Returns whether a router answers a direct probe."""
        ping = messages.Ping(self.fleet.news.updates_for(target))
        try:
            answer = await self.fleet.link.request(
                target, ping, self.fleet.settings.probe_timeout
            )
        except errors.PeerError:
            return False
        if isinstance(answer, messages.Ack):
            self.fleet.news.take_updates(answer.updates)
        return True

    async def reaches_through_others(self, target: str) -> bool:
        """Returns whether one of some others reaches a router.

        A cut between two routers only, or packets lost on one path, would
        have each believe the other dead. Others still reach both, so
        asking them first keeps a working router in everybody's view.
        """
        others = [
            name for name in self.fleet.table.answering() if name != target
        ]
        count = min(self.fleet.settings.indirect_probes, len(others))
        found: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self.fleet.rng.sample(others, count):
                nursery.start_soon(self.ask, helper, target, found, nursery)
        return bool(found)

    async def ask(
        self,
        helper: str,
        target: str,
        found: list[bool],
        nursery: trio.Nursery,
    ) -> None:
        """Asks another router to probe in our place."""
        message = messages.PingThrough(
            target, self.fleet.news.updates_for(helper)
        )
        try:
            await self.fleet.link.request(
                helper, message, self.fleet.settings.indirect_timeout
            )
        except errors.PeerError:
            return
        found.append(True)
        nursery.cancel_scope.cancel()

    async def join(self) -> None:
        """Waits for the VM list, or for a peer that knows it, and syncs.

        A router that starts while the list is down knows nobody. The
        others still have it in their lists and probe it, and from the
        first of them it learns the list and the fleet.
        """
        while True:
            await self.sync()
            if self.fleet.has_list():
                return
            await trio.sleep(JOIN_PERIOD)

    async def sync(self) -> None:
        """Learns from some routers all that they believe."""
        names = [
            item.vm.id
            for item in self.fleet.table
            if item.listed or item.answers
        ]
        count = min(SYNC_PEERS, len(names))
        async with trio.open_nursery() as nursery:
            for name in self.fleet.rng.sample(names, count):
                nursery.start_soon(self.sync_with, name)

    async def sync_with(self, name: str) -> None:
        """Learns from one router all that it believes."""
        ask = messages.SyncAsk(
            self.fleet.news.updates_for(name), not self.fleet.has_list()
        )
        timeout = self.fleet.settings.indirect_timeout
        try:
            answer = await self.fleet.link.request(name, ask, timeout)
        except errors.PeerError:
            return
        if isinstance(answer, messages.SyncAnswer):
            self.fleet.news.take_updates(answer.updates, spread=False)
            self.fleet.news.note_answer(name)
