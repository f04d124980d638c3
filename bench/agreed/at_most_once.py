"""Non-idempotent requests with resends, kills, outages, lost answers."""

from __future__ import annotations

import collections
import random

import attrs
import trio

from bench.agreed import fleets
from lavenderbend import errors
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.state import claims

ROUTERS = 7
ARRIVALS_PER_SECOND = 100.0
DEADLINE_SECONDS = 10.0
CLIENT_PATIENCE_SECONDS = 3.0
MAX_SENDS = 5
DOUBLE_SENDS = 0.1
KILL_EVERY_SECONDS = 4.0
OUTAGE_EVERY_SECONDS = 20.0
PAUSE_EVERY_SECONDS = 7.0
CUT_EVERY_SECONDS = 9.0


@attrs.define(eq=False)
class Send:
    """One sending of a request.

    Attributes:
        key: Its idempotency key.
        router: Entry.
        first: Whether it is the first of its key.
        began: When it was sent.
        told: What the router answered, None if its connection was lost.
        told_at: When it answered 'not run'.
        ran: Whether this sending was run.
    """

    key: str
    router: str
    first: bool
    began: float
    told: errors.Outcome | None = None
    told_at: float = 0.0
    ran: bool = False


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        requests: Keys.
        sends: Sendings.
        ran: Keys that ran.
        ran_twice: Keys that ran more than once.
        not_run_yet_run: Sendings told 'not run' that were run.
        later_copy_not_run: Sendings told 'not run' while an earlier one of
            the same key had run: true for that sending only.
        innocent_refused: First sends refused while the service was up.
        refused: Sendings refused in all.
        unknown: Sendings told 'unknown'.
        kills: Routers killed.
        outages: Outages of the service.
        pauses: Pauses of a router.
        lost_answers: Calls to the service whose answer was lost.
    """

    requests: int
    sends: int
    ran: int
    ran_twice: int
    not_run_yet_run: int
    later_copy_not_run: int
    innocent_refused: int
    refused: int
    unknown: int
    kills: int
    outages: int
    pauses: int
    lost_answers: int


class Trial:
    """One run."""

    def __init__(self, requests: int, seed: int, rate: float, make) -> None:
        self.requests = requests
        self.rate = rate
        self.rng = random.Random(seed)
        self.store = fleets.faulty_store(seed + 1, 0.02, 0.01, record=True)
        policy = claims_module.ClaimPolicy(shards=4)
        self.fleet = fleets.Fleet(self.store, self.rng, policy, make)
        self.runs: collections.Counter[str] = collections.Counter()
        self.ran_at: dict[str, float] = {}
        self.sends: list[Send] = []
        self.outages: list[tuple[float, float]] = []
        self.troubled: dict[str, list[tuple[float, float]]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        async with trio.open_nursery() as nursery:
            for _ in range(ROUTERS):
                await self.fleet.start(nursery)
            await trio.sleep(5)
            faults = (
                self.kill_routers,
                self.break_service,
                self.pause_routers,
                self.cut_links,
            )
            for fault in faults:
                nursery.start_soon(fault, nursery)
            async with trio.open_nursery() as clients:
                for number in range(self.requests):
                    await trio.sleep(self.rng.expovariate(self.rate))
                    clients.start_soon(self.client, f'key {number}')
            nursery.cancel_scope.cancel()
        return self.result()

    async def client(self, key: str) -> None:
        """Sends a request until its outcome is known or it gives up."""
        if self.rng.random() < DOUBLE_SENDS:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send, key, True)
                nursery.start_soon(self.send, key, False)
        for number in range(MAX_SENDS):
            told = await self.send(key, number == 0)
            if told in (errors.Outcome.COMPLETE, errors.Outcome.FAILED):
                return
            await trio.sleep(self.rng.uniform(0, 2))

    async def send(self, key: str, first: bool) -> errors.Outcome | None:
        """Sends a request once, through some live router."""
        router = self.rng.choice(list(self.fleet.live.values()))
        now = trio.current_time()
        send = Send(key, router.name, first and not self.sent(key), now)
        self.sends.append(send)
        done = trio.Event()
        router.nursery.start_soon(self.entry, router, send, done)
        patience = CLIENT_PATIENCE_SECONDS
        if self.rng.random() < 0.7:
            patience = DEADLINE_SECONDS + 1
        with trio.move_on_after(patience):
            await done.wait()
        return send.told if done.is_set() else None

    def sent(self, key: str) -> bool:
        """Returns whether the key was sent before."""
        known = key in self.ran_at
        self.ran_at.setdefault(key, float('inf'))
        return known

    async def entry(
        self, router: fleets.Router, send: Send, done: trio.Event
    ) -> None:
        """Serves one request on its entry router."""
        deadline = trio.current_time() + DEADLINE_SECONDS
        try:
            got = await router.claims.claim(
                'customer', send.key, b'body', deadline
            )
        except errors.ClaimUnavailable as exc:
            send.told = exc.outcome
            send.told_at = trio.current_time()
            done.set()
            return
        if isinstance(got, claims.Recorded):
            send.told = got.outcome
            done.set()
            return
        self.runs[send.key] += 1
        send.ran = True
        self.ran_at[send.key] = min(trio.current_time(), self.ran_at[send.key])
        long = self.rng.random() < 0.05
        await trio.sleep(self.rng.uniform(3, 8) if long else 0.2)
        await router.claims.record(got.token, errors.Outcome.COMPLETE, 200)
        send.told = errors.Outcome.COMPLETE
        done.set()

    async def every(self, seconds: float) -> None:
        """Waits about so long."""
        await trio.sleep(self.rng.uniform(0.5, 1.5) * seconds)

    async def kill_routers(self, nursery: trio.Nursery) -> None:
        """Kills a router now and then; another VM takes its place."""
        while True:
            await self.every(KILL_EVERY_SECONDS)
            name = self.rng.choice(list(self.fleet.live))
            self.fleet.kill(name, nursery)
            self.counts['kills'] += 1
            await self.fleet.start(nursery)

    async def break_service(self, nursery: trio.Nursery) -> None:
        """Takes the service down, or makes it slow and lossy."""
        while True:
            await self.every(OUTAGE_EVERY_SECONDS)
            began = trio.current_time()
            if self.rng.random() < 0.5:
                # one that lasts beyond the end of the run counts as well
                self.outages.append((began, float('inf')))
                self.store.fault(outage=True)
                await self.every(4.0)
                self.store.fault(outage=False)
                self.outages[-1] = (began, trio.current_time())
            else:
                self.store.fault(lost_answers=0.2, lost_requests=0.1)
                await self.every(4.0)
                self.store.fault(lost_answers=0.02, lost_requests=0.01)

    async def pause_routers(self, nursery: trio.Nursery) -> None:
        """Pauses a router around its calls to the service."""
        while True:
            await self.every(PAUSE_EVERY_SECONDS)
            router = self.rng.choice(list(self.fleet.live.values()))
            length = self.rng.choice((1.0, 4.0, 15.0))
            router.pause.until = trio.current_time() + length
            self.counts['pauses'] += 1

    async def cut_links(self, nursery: trio.Nursery) -> None:
        """Cuts two routers off from each other."""
        while True:
            await self.every(CUT_EVERY_SECONDS)
            pair = frozenset(self.rng.sample(list(self.fleet.live), 2))
            self.fleet.network.cut.add(pair)
            await self.every(5.0)
            self.fleet.network.cut.discard(pair)

    def down(self, send: Send) -> bool:
        """Returns whether an outage touched the life of a sending."""
        return any(
            send.began <= end and start <= send.told_at
            for start, end in self.outages
        )

    def result(self) -> Result:
        """Counts what happened."""
        refused = [
            send for send in self.sends if send.told is errors.Outcome.NOT_RUN
        ]
        return Result(
            requests=self.requests,
            sends=len(self.sends),
            ran=len(self.runs),
            ran_twice=sum(count > 1 for count in self.runs.values()),
            not_run_yet_run=sum(send.ran for send in refused),
            later_copy_not_run=sum(
                not send.ran and self.ran_at[send.key] < send.told_at
                for send in refused
            ),
            innocent_refused=sum(
                send.first and not self.down(send) for send in refused
            ),
            refused=len(refused),
            unknown=sum(
                send.told is errors.Outcome.UNKNOWN for send in self.sends
            ),
            kills=self.counts['kills'],
            outages=len(self.outages),
            pauses=self.counts['pauses'],
            lost_answers=sum(not call.sure for call in self.store.history),
        )


def run(
    requests: int = 20_000,
    seed: int = 1,
    rate: float = ARRIVALS_PER_SECOND,
    make=claims_module.Claims,
) -> Result:
    """Runs the trial on the virtual clock."""
    trial = Trial(requests, seed, rate, make)
    return fleets.virtual(seed, trial.run)
