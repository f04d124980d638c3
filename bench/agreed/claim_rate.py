"""Writes and latency of claims at a steady rate, without faults."""

from __future__ import annotations

import random

import attrs
import trio

from bench.agreed import fleets
from lavenderbend import errors
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.coordination.claims import commit_queue
from lavenderbend.standin import key_value

ONE_WAY_SECONDS = 0.0015
JITTER_SECONDS = 0.001
ROUND_TRIP_MS = 1000 * 2 * (ONE_WAY_SECONDS + JITTER_SECONDS / 2)
WARM_UP_SECONDS = 5.0


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        claims_per_second: Offered and committed.
        writes_per_second: Calls to the service that write.
        reads_per_second: Calls to the service that read.
        p50_ms: Median of the time that `claim` takes.
        p99_ms: The slowest hundredth.
        allowed_ms: Two mean round trips of the service and 10 ms.
        owner_bytes_per_claim: Bytes of peer messages at the busiest router
            and of values written, for each claim.
        takeover_ms: Time to read the log when its owner is killed.
        takeover_claims: Claims in that log.
        takeover_gap_ms: Longest claim while the owner was replaced.
    """

    claims_per_second: float
    writes_per_second: float
    reads_per_second: float
    p50_ms: float
    p99_ms: float
    allowed_ms: float
    owner_bytes_per_claim: float
    takeover_ms: float
    takeover_claims: int
    takeover_gap_ms: float


class Trial:
    """One run."""

    def __init__(self, rate: float, seconds: float, shards: int) -> None:
        self.rate = rate
        self.seconds = seconds
        self.rng = random.Random(1)
        self.store = key_value.MemoryStore(
            random.Random(2),
            key_value.Faults(latency=ONE_WAY_SECONDS, jitter=JITTER_SECONDS),
        )
        policy = claims_module.ClaimPolicy(
            shards=shards,
            shard=commit_queue.ShardPolicy(batch_interval=0.0105 * shards),
        )
        self.fleet = fleets.Fleet(
            self.store, self.rng, policy, claims_module.Claims
        )
        self.taken: list[float] = []

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        async with trio.open_nursery() as nursery:
            for _ in range(7):
                await self.fleet.start(nursery)
            await trio.sleep(WARM_UP_SECONDS)
            network = self.fleet.network
            network.bytes_by_router.clear()
            written = self.store.bytes_written
            calls = self.store.calls.copy()
            await self.load('steady')
            taken = sorted(self.taken)
            calls = self.store.calls - calls
            written = self.store.bytes_written - written
            count = len(taken)
            busiest = max(network.bytes_by_router.values())
            seconds = self.seconds
            takeover = await self.take_over(nursery)
            nursery.cancel_scope.cancel()
        return Result(
            claims_per_second=count / seconds,
            writes_per_second=calls['create'] / seconds,
            reads_per_second=calls['read'] / seconds,
            p50_ms=1000 * taken[count // 2],
            p99_ms=1000 * taken[count * 99 // 100],
            allowed_ms=2 * ROUND_TRIP_MS + 10,
            owner_bytes_per_claim=(busiest + written) / count,
            takeover_ms=takeover[0],
            takeover_claims=takeover[1],
            takeover_gap_ms=takeover[2],
        )

    async def load(self, prefix: str) -> None:
        """Offers claims at the rate for the time."""
        end = trio.current_time() + self.seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.rng.expovariate(self.rate))
                nursery.start_soon(self.one, f'{prefix} {number}')
                number += 1

    async def one(self, key: str) -> None:
        """Claims, runs and records one request."""
        router = self.rng.choice(list(self.fleet.live.values()))
        began = trio.current_time()
        try:
            got = await router.claims.claim('customer', key, b'b', began + 10)
        except errors.ClaimUnavailable:
            if router.name in self.fleet.live:
                raise
            return
        self.taken.append(trio.current_time() - began)
        await trio.sleep(0.05)
        await router.claims.record(got.token, errors.Outcome.COMPLETE, 200)

    async def take_over(
        self, nursery: trio.Nursery
    ) -> tuple[float, int, float]:
        """Kills the owner of shard 0 under load."""
        some = next(iter(self.fleet.live.values()))
        owner = some.claims.owner(0)
        self.taken.clear()
        self.seconds = 8.0
        async with trio.open_nursery() as inner:
            inner.start_soon(self.load, 'after')
            await trio.sleep(2.0)
            self.fleet.kill(owner, nursery)
        some = next(iter(self.fleet.live.values()))
        shard = self.fleet.live[some.claims.owner(0)].claims.shards[0]
        loaded = 1000 * max(shard.reading_seconds)
        return loaded, len(shard.table.held), 1000 * max(self.taken)


def run(rate: float = 1000.0, seconds: float = 20.0, shards: int = 1) -> Result:
    """Runs the trial on the virtual clock."""
    return fleets.virtual(1, Trial(rate, seconds, shards).run)
