"""At-most-once execution: a claim before dispatch, an outcome after it."""

from __future__ import annotations

import collections
import secrets
import time
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.claims import commit_queue
from lavenderbend.coordination.claims import outcomes as claim_outcomes
from lavenderbend.coordination.claims import requester as claim_requester
from lavenderbend.coordination.claims import shards as claim_shards
from lavenderbend.observe import logs
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.state import claims
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer

DEFAULT_PREFIX = '/lavenderbend/claims/'
MAINTENANCE_SECONDS = 10.0
IDLE_SHARD_SECONDS = 60.0
MAX_LOCAL_OUTCOMES = 20_000


@attrs.frozen
class ClaimPolicy:
    """Sharding, retention and time limits of claims.

    Attributes:
        shards: Number of logs that the claims are distributed over. It must
            be the same on every router and be changed only while the whole
            fleet is stopped.
        retention: Seconds for which a claim is kept.
        clock_margin: Seconds by which the clocks of routers may differ.
        lost_router_seconds: A router that has been absent from membership
            for this many seconds no longer runs the requests it claimed;
            further copies of them get the outcome 'unknown' at once.
        shard: Write settings of each shard.
    """

    shards: int = 1
    retention: float = 3600.0
    clock_margin: float = 300.0
    lost_router_seconds: float = 5.0
    shard: commit_queue.ShardPolicy = attrs.field(
        factory=commit_queue.ShardPolicy
    )


class Claims:
    """Claims on one router: client of shard owners, and owner of shards.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        link: Sends messages to peers.
        membership: The routers that are alive.
        rng: Random source of jitter.
        policy: Sharding, retention and time limits.
        shards: Shards loaded on this router, by number.
        outcomes: Outcomes not yet recorded.
        requester: Sends claim requests to the owners of shards.
        local_outcomes: Outcomes of the latest requests claimed by this
            router, by key.
        absent_since: Router clock since which a router has been absent from
            membership, by router.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        rng: random.Random,
        prefix: str = DEFAULT_PREFIX,
        policy: ClaimPolicy | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self.store = store
        self.link = link
        self.membership = membership
        self.rng = rng
        self.prefix = prefix
        self.policy = policy or ClaimPolicy()
        self.clock = clock
        self.shards: dict[int, claim_shards.Shard] = {}
        self.scopes: dict[int, trio.CancelScope] = {}
        self.outcomes = claim_outcomes.OutcomeQueue(link, self.owner, rng)
        self.requester = claim_requester.ClaimRequester(
            name, link, self.owner, rng
        )
        self.local_outcomes: collections.OrderedDict[bytes, claims.Recorded] = (
            collections.OrderedDict()
        )
        self.absent_since: dict[str, float] = {}
        self.nursery: trio.Nursery | None = None
        link.handle(messages.ClaimCommitRequest, self.on_claim)
        link.handle(messages.ClaimLookup, self.on_lookup)
        link.handle(messages.OutcomesCommitRequest, self.on_outcomes)

    async def claim(
        self, customer: str, key: str, body_digest: bytes, deadline: float
    ) -> claims.Claimed | claims.Recorded:
        """Claims a request, or returns the outcome of its first copy.

        Waits while the first copy runs, up to the deadline.

        Raises:
            ClaimUnavailable: Not claimed. The request must not be run, and
                its caller may be told 'not run'.
            IdempotencyKeyReused: The key was used with another body before.
        """
        hashed = claims.key_hash(customer, key)
        shard = claims.shard_of(hashed, self.policy.shards)
        token = claims.ClaimToken(
            shard, hashed, secrets.token_bytes(claims.TOKEN_BYTES)
        )
        # hashed again, so that digests of any length are accepted
        digest = claims.key_hash('', body_digest.hex())
        claim_request = claim_requester.ClaimRequest(
            token,
            digest[: claims.DIGEST_BYTES],
            deadline,
            self.policy.shards,
        )
        try:
            reply = await self.requester.resolve(claim_request)
        except BaseException:
            # a request that is abandoned must release its key: the claim
            # may be in the log, or be written to it later
            if claim_request.may_be_committed:
                self.release(token)
            raise
        return self.interpret_reply(reply, token)

    def interpret_reply(
        self, reply: messages.ClaimReply, token: claims.ClaimToken
    ) -> claims.Claimed | claims.Recorded:
        """Converts the reply of an owner to the result of `claim`.

        Raises:
            IdempotencyKeyReused: The key was used with another body before.
        """
        claim_requester.CLAIM_RESULTS.inc({'result': reply.state})
        state = claims.ClaimState(reply.state)
        if state is claims.ClaimState.CLAIMED:
            self.note_local_outcome(token, errors.Outcome.UNKNOWN, None)
            return claims.Claimed(token)
        if state is claims.ClaimState.REUSED:
            raise errors.IdempotencyKeyReused(
                'the Idempotency-Key was already used with another body'
            )
        if state is claims.ClaimState.RECORDED:
            outcome = errors.Outcome(reply.outcome)
            return claims.Recorded(outcome, reply.status)
        return claims.Recorded(errors.Outcome.UNKNOWN)

    async def on_lookup(
        self, router: str, lookup: messages.ClaimLookup
    ) -> peer.Message:
        """Answers from local state, without a call to the service."""
        local_outcome = self.local_outcomes.get(lookup.key)
        if local_outcome is not None:
            return messages.ClaimReply(
                claims.ClaimState.RECORDED.value,
                local_outcome.outcome.value,
                local_outcome.status,
            )
        shard = self.shards.get(lookup.shard)
        if shard is None:
            return messages.ClaimReply(claims.ClaimState.ABSENT.value)
        state = shard.table.state(lookup.key, lookup.token, lookup.digest)
        if state is claims.ClaimState.RECORDED:
            return self.recorded_reply(shard, lookup.key)
        return messages.ClaimReply(state.value)

    def owner(self, shard: int, rank: int = 0) -> str:
        """Returns the router at a rank in the rendezvous order of a shard."""
        routers = set(self.membership.routers()) | {self.name}
        order = hashing.rendezvous_order(f'claims {shard}', routers)
        return order[rank % len(order)]

    async def record(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None = None,
    ) -> None:
        """Queues the outcome of a claimed request; does not wait."""
        self.note_local_outcome(token, outcome, status)
        self.outcomes.add(token, outcome, status)

    def note_local_outcome(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None,
    ) -> None:
        """Stores the outcome of a request that this router claimed."""
        self.local_outcomes.pop(token.key, None)
        if outcome is not errors.Outcome.NOT_RUN:
            self.local_outcomes[token.key] = claims.Recorded(outcome, status)
        while len(self.local_outcomes) > MAX_LOCAL_OUTCOMES:
            self.local_outcomes.popitem(last=False)

    def release(self, token: claims.ClaimToken) -> None:
        """Queues the release of a claim whose request will not be run."""
        self.outcomes.add(token, errors.Outcome.NOT_RUN, None)

    async def drain(self) -> None:
        """Waits until every queued outcome is recorded."""
        await self.outcomes.drain()

    async def run(self) -> None:
        """Serves peers and delivers outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.outcomes.run)
            nursery.start_soon(self.run_maintenance)
            nursery.start_soon(self.load_owned_shards)

    async def on_claim(
        self, router: str, request: messages.ClaimCommitRequest
    ) -> peer.Message:
        """Commits a peer's claim, or waits for its first copy's outcome."""
        deadline = trio.current_time() + request.timeout_seconds
        shard = None
        if request.shards == self.policy.shards:
            shard = self.ensure_shard(request.shard)
        if shard is None:
            return messages.ClaimReply(claims.ClaimState.UNDECIDED.value)
        line = claims.ClaimLine(
            request.key, request.token, request.digest, router
        )
        state = await shard.claim(line, deadline)
        if state is claims.ClaimState.RUNNING:
            state = await self.wait_for_first_copy(shard, line, deadline)
        if state is not claims.ClaimState.RECORDED:
            return messages.ClaimReply(state.value)
        return self.recorded_reply(shard, request.key)

    def recorded_reply(
        self, shard: claim_shards.Shard, key: bytes
    ) -> messages.ClaimReply:
        """Returns the recorded outcome, 'unknown' while there is none."""
        state = claims.ClaimState.RECORDED.value
        held = shard.table.held.get(key)
        if held is None or held.outcome is None:
            return messages.ClaimReply(state, errors.Outcome.UNKNOWN.value)
        return messages.ClaimReply(state, held.outcome.value, held.status)

    async def wait_for_first_copy(
        self,
        shard: claim_shards.Shard,
        line: claims.ClaimLine,
        deadline: float,
    ) -> claims.ClaimState:
        """Waits while the first copy runs on a router that is not lost."""
        held = shard.table.held.get(line.key)
        if held is not None and self.is_lost(held.entry):
            return claims.ClaimState.RECORDED
        await shard.wait_for_outcome(line.key, deadline)
        state = shard.table.state(line.key, line.token, line.digest)
        if state is claims.ClaimState.RUNNING:
            # another owner may have written the outcome to the log
            shard.request_reading()
        if state is claims.ClaimState.ABSENT:
            # released, so the requesting router is to claim it again
            return claims.ClaimState.RUNNING
        return state

    def is_lost(self, router: str) -> bool:
        """Returns whether a router has been absent for too long."""
        now = trio.current_time()
        if router in self.membership.routers() or router == self.name:
            self.absent_since.pop(router, None)
            return False
        since = self.absent_since.setdefault(router, now)
        return now - since >= self.policy.lost_router_seconds

    async def on_outcomes(
        self, router: str, request: messages.OutcomesCommitRequest
    ) -> peer.Message:
        """Commits the outcomes that a peer sends."""
        shard = self.ensure_shard(request.shard)
        if shard is None:
            return messages.OutcomesReply(False)
        lines = tuple(
            claims.OutcomeLine(key, token, errors.Outcome(outcome), status)
            for key, token, outcome, status in zip(
                request.keys,
                request.tokens,
                request.outcomes,
                request.statuses,
                strict=True,
            )
        )
        deadline = trio.current_time() + request.timeout_seconds
        return messages.OutcomesReply(await shard.record(lines, deadline))

    def ensure_shard(self, number: int) -> claim_shards.Shard | None:
        """Returns a shard, started if necessary; None if not running."""
        if number in self.shards:
            return self.shards[number]
        if self.nursery is None:
            return None
        shard = claim_shards.Shard(
            number,
            self.store,
            self.prefix,
            self.rng,
            self.policy.shard,
            self.clock,
            self.policy.shards,
        )
        shard.last_used_at = trio.current_time()
        self.shards[number] = shard
        self.scopes[number] = trio.CancelScope()
        self.nursery.start_soon(self.run_shard, shard)
        return shard

    async def run_shard(self, shard: claim_shards.Shard) -> None:
        """Runs a shard until it is dropped."""
        logs.change('claim_shard_started', shard=shard.number)
        with self.scopes[shard.number]:
            await shard.run()

    async def load_owned_shards(self) -> None:
        """Loads owned shards before the first request for them arrives."""
        while True:
            for number in range(self.policy.shards):
                if self.owner(number) == self.name:
                    self.ensure_shard(number)
            await self.membership.wait_changed()

    async def run_maintenance(self) -> None:
        """Compacts owned shards and stops idle ones owned by other routers."""
        while True:
            await trio.sleep(MAINTENANCE_SECONDS)
            for shard in list(self.shards.values()):
                if self.owner(shard.number) == self.name:
                    await self.compact(shard)
                elif self.is_idle(shard):
                    del self.shards[shard.number]
                    self.scopes.pop(shard.number).cancel()

    def is_idle(self, shard: claim_shards.Shard) -> bool:
        """Returns whether the shard is unused on this router."""
        if shard.queue.claims or shard.queue.outcomes:
            return False
        return trio.current_time() - shard.last_used_at >= IDLE_SHARD_SECONDS

    async def compact(self, shard: claim_shards.Shard) -> None:
        """Compacts a shard; after a failure the next run tries again."""
        retained_seconds = self.policy.retention + self.policy.clock_margin
        try:
            await shard.compact(retained_seconds)
        except errors.KeyValueError:
            return
