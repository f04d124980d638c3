"""At most once: claims before dispatch, outcomes after it."""

from __future__ import annotations

import collections
import secrets
import time
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.claims import inquiries as claim_inquiries
from lavenderbend.coordination.claims import outcomes as claim_outcomes
from lavenderbend.coordination.claims import shards as claim_shards
from lavenderbend.coordination.claims import waiting as claim_waiting
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
HOUSEKEEPING_SECONDS = 10.0
DROP_IDLE_SECONDS = 60.0
MAX_OWN = 20_000


@attrs.frozen
class ClaimPolicy:
    """How claims are kept.

    Attributes:
        shards: Logs that the claims are spread over; the same on every
            router, changed only with the whole fleet stopped.
        retention: Seconds for which a claim is remembered.
        clock_margin: Seconds by which clocks of routers may differ.
        gone_seconds: A router missing for so long has stopped running what
            it claimed; its callers' copies are told 'unknown' at once.
        shard: How each shard writes.
    """

    shards: int = 1
    retention: float = 3600.0
    clock_margin: float = 300.0
    gone_seconds: float = 5.0
    shard: claim_waiting.ShardPolicy = attrs.field(
        factory=claim_waiting.ShardPolicy
    )


class Claims:
    """Claims on one router: asks owners, and is the owner of its shards.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        link: Messages to peers.
        membership: Which routers answer.
        rng: Source of jitter.
        policy: How claims are kept.
        shards: Shards loaded here, by number.
        outcomes: Outcomes not yet recorded.
        inquirer: Asks the owners of shards.
        own: The latest requests claimed here, by key, with their outcomes.
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
        self.inquirer = claim_inquiries.Inquirer(name, link, self.owner, rng)
        self.own: collections.OrderedDict[bytes, claims.Recorded] = (
            collections.OrderedDict()
        )
        self.missing_since: dict[str, float] = {}
        self.nursery: trio.Nursery | None = None
        link.handle(messages.ClaimAsk, self.on_claim)
        link.handle(messages.ClaimLook, self.on_look)
        link.handle(messages.OutcomesSay, self.on_outcomes)

    async def claim(
        self, customer: str, key: str, body_digest: bytes, deadline: float
    ) -> claims.Claimed | claims.Recorded:
        """Claims a request, or tells what became of its first copy.

        Waits while the first copy runs, up to the deadline.

        Raises:
            ClaimUnavailable: Not claimed; the request must not be run and
                its caller may be told 'not run'.
            IdempotencyKeyReused: The key came with another body before.
        """
        hashed = claims.key_hash(customer, key)
        shard = claims.shard_of(hashed, self.policy.shards)
        token = claims.ClaimToken(
            shard, hashed, secrets.token_bytes(claims.TOKEN_BYTES)
        )
        # a hash of the digest, so that digests of any length may come
        digest = claims.key_hash('', body_digest.hex())
        inquiry = claim_inquiries.Inquiry(
            token,
            digest[: claims.DIGEST_BYTES],
            deadline,
            self.policy.shards,
        )
        try:
            answer = await self.inquirer.decided(inquiry)
        except BaseException:
            # whoever gives up must free the key: the claim may stand in
            # the log, or come to stand there later
            if inquiry.unsure:
                self.release(token)
            raise
        return self.conclude(answer, token)

    def conclude(
        self, answer: messages.ClaimAnswer, token: claims.ClaimToken
    ) -> claims.Claimed | claims.Recorded:
        """Returns what the answer of an owner means to the asker."""
        claim_inquiries.CLAIMS.inc({'result': answer.state})
        state = claims.ClaimState(answer.state)
        if state is claims.ClaimState.CLAIMED:
            self.remember(token, errors.Outcome.UNKNOWN, None)
            return claims.Claimed(token)
        if state is claims.ClaimState.REUSED:
            raise errors.IdempotencyKeyReused(
                'the Idempotency-Key was used with another body'
            )
        if state is claims.ClaimState.RECORDED:
            outcome = errors.Outcome(answer.outcome)
            return claims.Recorded(outcome, answer.status)
        return claims.Recorded(errors.Outcome.UNKNOWN)

    async def on_look(
        self, router: str, look: messages.ClaimLook
    ) -> peer.Message:
        """Answers from what is known here without asking the service."""
        own = self.own.get(look.key)
        if own is not None:
            return messages.ClaimAnswer(
                claims.ClaimState.RECORDED.value,
                own.outcome.value,
                own.status,
            )
        shard = self.shards.get(look.shard)
        if shard is None:
            return messages.ClaimAnswer(claims.ClaimState.ABSENT.value)
        state = shard.table.state(look.key, look.token, look.digest)
        if state is claims.ClaimState.RECORDED:
            return self.recorded(shard, look.key)
        return messages.ClaimAnswer(state.value)

    def owner(self, shard: int, tries: int = 0) -> str:
        """Returns the router to ask, the next by rank after each try."""
        routers = set(self.membership.routers()) | {self.name}
        order = hashing.rendezvous_order(f'claims {shard}', routers)
        return order[tries % len(order)]

    async def record(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None = None,
    ) -> None:
        """Queues the outcome of a claimed request; does not wait."""
        self.remember(token, outcome, status)
        self.outcomes.add(token, outcome, status)

    def remember(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None,
    ) -> None:
        """Notes what became of a request that was claimed here."""
        self.own.pop(token.key, None)
        if outcome is not errors.Outcome.NOT_RUN:
            self.own[token.key] = claims.Recorded(outcome, status)
        while len(self.own) > MAX_OWN:
            self.own.popitem(last=False)

    def release(self, token: claims.ClaimToken) -> None:
        """Queues the end of a claim that will never be run."""
        self.outcomes.add(token, errors.Outcome.NOT_RUN, None)

    async def drain(self) -> None:
        """Waits until every queued outcome is recorded."""
        await self.outcomes.drain()

    async def run(self) -> None:
        """Serves peers and delivers outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.outcomes.run)
            nursery.start_soon(self.keep_house)
            nursery.start_soon(self.load_owned)

    async def on_claim(
        self, router: str, ask: messages.ClaimAsk
    ) -> peer.Message:
        """Commits a peer's claim, or waits with it for the first copy."""
        deadline = trio.current_time() + ask.patience
        shard = None
        if ask.shards == self.policy.shards:
            shard = self.shard(ask.shard)
        if shard is None:
            return messages.ClaimAnswer(claims.ClaimState.UNDECIDED.value)
        line = claims.ClaimLine(ask.key, ask.token, ask.digest, router)
        state = await shard.claim(line, deadline)
        if state is claims.ClaimState.RUNNING:
            state = await self.wait_for_first(shard, line, deadline)
        if state is not claims.ClaimState.RECORDED:
            return messages.ClaimAnswer(state.value)
        return self.recorded(shard, ask.key)

    def recorded(
        self, shard: claim_shards.Shard, key: bytes
    ) -> messages.ClaimAnswer:
        """Returns the recorded outcome, unknown while there is none."""
        state = claims.ClaimState.RECORDED.value
        held = shard.table.held.get(key)
        if held is None or held.outcome is None:
            return messages.ClaimAnswer(state, errors.Outcome.UNKNOWN.value)
        return messages.ClaimAnswer(state, held.outcome.value, held.status)

    async def wait_for_first(
        self,
        shard: claim_shards.Shard,
        line: claims.ClaimLine,
        deadline: float,
    ) -> claims.ClaimState:
        """Waits while the first copy runs on a router that is there."""
        held = shard.table.held.get(line.key)
        if held is not None and self.gone(held.entry):
            return claims.ClaimState.RECORDED
        await shard.outcome(line.key, deadline)
        state = shard.table.state(line.key, line.token, line.digest)
        if state is claims.ClaimState.RUNNING:
            # the outcome may stand in the log by another owner's hand
            shard.refresh()
        if state is claims.ClaimState.ABSENT:
            # released, so the asker is to claim it again
            return claims.ClaimState.RUNNING
        return state

    def gone(self, router: str) -> bool:
        """Returns whether a router has been missing for long enough."""
        now = trio.current_time()
        if router in self.membership.routers() or router == self.name:
            self.missing_since.pop(router, None)
            return False
        since = self.missing_since.setdefault(router, now)
        return now - since >= self.policy.gone_seconds

    async def on_outcomes(
        self, router: str, say: messages.OutcomesSay
    ) -> peer.Message:
        """Commits the outcomes that a peer brings."""
        shard = self.shard(say.shard)
        if shard is None:
            return messages.OutcomesAnswer(False)
        lines = tuple(
            claims.OutcomeLine(key, token, errors.Outcome(outcome), status)
            for key, token, outcome, status in zip(
                say.keys, say.tokens, say.outcomes, say.statuses, strict=True
            )
        )
        deadline = trio.current_time() + say.patience
        return messages.OutcomesAnswer(await shard.record(lines, deadline))

    def shard(self, number: int) -> claim_shards.Shard | None:
        """Returns a shard, started here if it was not; None if stopped."""
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
        shard.used_at = trio.current_time()
        self.shards[number] = shard
        self.scopes[number] = trio.CancelScope()
        self.nursery.start_soon(self.run_shard, shard)
        return shard

    async def run_shard(self, shard: claim_shards.Shard) -> None:
        """Runs a shard until it is dropped."""
        logs.change('claim_shard_started', shard=shard.number)
        with self.scopes[shard.number]:
            await shard.run()

    async def load_owned(self) -> None:
        """Loads the shards that fall to this router before they are asked."""
        while True:
            for number in range(self.policy.shards):
                if self.owner(number) == self.name:
                    self.shard(number)
            await self.membership.wait_changed()

    async def keep_house(self) -> None:
        """Compacts owned shards and drops those no longer used."""
        while True:
            await trio.sleep(HOUSEKEEPING_SECONDS)
            for shard in list(self.shards.values()):
                if self.owner(shard.number) == self.name:
                    await self.compact(shard)
                elif self.idle(shard):
                    del self.shards[shard.number]
                    self.scopes.pop(shard.number).cancel()

    def idle(self, shard: claim_shards.Shard) -> bool:
        """Returns whether nobody needs the shard here."""
        if shard.queue.claims or shard.queue.outcomes:
            return False
        return trio.current_time() - shard.used_at >= DROP_IDLE_SECONDS

    async def compact(self, shard: claim_shards.Shard) -> None:
        """Compacts a shard; a failure leaves it for the next time."""
        kept = self.policy.retention + self.policy.clock_margin
        try:
            await shard.compact(kept)
        except errors.KeyValueError:
            return
