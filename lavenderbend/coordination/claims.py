"""At most once: claims before dispatch, outcomes after it."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import claim_shards
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.state import claims
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer

DEFAULT_PREFIX = '/lavenderbend/claims/'
ASK_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.5
REFUSED_RETRY_SECONDS = 2.0
OUTCOME_GATHER_SECONDS = 0.1
OUTCOME_ASK_SECONDS = 2.0
OUTCOME_RETRY_SECONDS = 0.5
MAX_OUTCOMES_QUEUED = 100_000
HOUSEKEEPING_SECONDS = 10.0
DROP_IDLE_SECONDS = 60.0
UNDECIDED_SECONDS = 0.02
GIVEN_UP = (claims.ClaimState.REFUSED, claims.ClaimState.UNAVAILABLE)

CLAIMS = metrics.counter(
    'lavenderbend_claims_total', 'Claims by what their asker was told.'
)
OUTCOMES_DROPPED = metrics.counter(
    'lavenderbend_claim_outcomes_dropped_total',
    'Outcomes never recorded because too many were queued.',
)


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
    shard: claim_shards.ShardPolicy = attrs.field(
        factory=claim_shards.ShardPolicy
    )


@attrs.define
class Inquiry:
    """What one call of `Claims.claim` goes through.

    Attributes:
        token: Of the claim.
        digest: Hash of the body.
        deadline: When to give up.
        tries: Owners asked in vain.
        unsure: Whether the claim may stand in the log or come to.
    """

    token: claims.ClaimToken
    digest: bytes
    deadline: float
    tries: int = 0
    unsure: bool = False

    def left(self) -> float:
        """Returns the seconds to the deadline."""
        return self.deadline - trio.current_time()


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
        queue: Outcomes not yet delivered, by shard.
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
        self.queue: dict[int, list[claims.OutcomeLine]] = {}
        self.queued = trio.Event()
        self.delivering = False
        self.delivered = trio.Event()
        self.outcome_tries: dict[int, int] = {}
        self.missing_since: dict[str, float] = {}
        self.nursery: trio.Nursery | None = None
        link.handle(messages.ClaimAsk, self.on_claim)
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
        inquiry = Inquiry(token, digest[: claims.DIGEST_BYTES], deadline)
        try:
            answer = await self.decided(inquiry)
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
        CLAIMS.inc({'result': answer.state})
        state = claims.ClaimState(answer.state)
        if state is claims.ClaimState.CLAIMED:
            return claims.Claimed(token)
        if state is claims.ClaimState.REUSED:
            raise errors.IdempotencyKeyReused(
                'the Idempotency-Key was used with another body'
            )
        if state is claims.ClaimState.RECORDED:
            outcome = errors.Outcome(answer.outcome)
            return claims.Recorded(outcome, answer.status)
        return claims.Recorded(errors.Outcome.UNKNOWN)

    async def decided(self, inquiry: Inquiry) -> messages.ClaimAnswer:
        """Asks owners until one decides, or the deadline comes.

        Raises:
            ClaimUnavailable: None did.
        """
        running = None
        while inquiry.left() > 0:
            answer = await self.ask(inquiry)
            state = claims.ClaimState(answer.state)
            if state in GIVEN_UP:
                raise self.unavailable('the key-value service is down')
            if state is claims.ClaimState.RUNNING:
                running = answer
            elif state is claims.ClaimState.UNDECIDED:
                inquiry.tries += 1
                await trio.sleep(self.rng.uniform(0, UNDECIDED_SECONDS))
            elif inquiry.left() > 0:
                return answer
        if running is not None:
            return running
        raise self.unavailable('not decided before the deadline')

    def unavailable(self, detail: str) -> errors.ClaimUnavailable:
        """Returns the error for a claim that was not committed."""
        CLAIMS.inc({'result': claims.ClaimState.UNAVAILABLE.value})
        return errors.ClaimUnavailable(detail, REFUSED_RETRY_SECONDS)

    async def ask(self, inquiry: Inquiry) -> messages.ClaimAnswer:
        """Asks one owner; undecided if it cannot be reached.

        After a failure the next router by rank is asked, with the same
        token: if the first one committed the claim all the same, the log
        says so and the answer is 'claimed', once.
        """
        token = inquiry.token
        patience = min(inquiry.left(), ASK_SECONDS)
        ask = messages.ClaimAsk(
            token.shard, token.key, token.id, inquiry.digest, patience
        )
        timeout = min(inquiry.left(), patience + ANSWER_MARGIN_SECONDS)
        owner = self.owner(token.shard, inquiry.tries)
        sure, inquiry.unsure = not inquiry.unsure, True
        try:
            with trio.move_on_after(timeout):
                answer = await self.link.request(owner, ask, timeout)
                refused = claims.ClaimState.REFUSED.value
                if sure and answer.state == refused:
                    inquiry.unsure = False
                return answer
        except errors.PeerError:
            pass
        return messages.ClaimAnswer(claims.ClaimState.UNDECIDED.value)

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
        self.enqueue(token, outcome, status)

    def release(self, token: claims.ClaimToken) -> None:
        """Queues the end of a claim that will never be run."""
        self.enqueue(token, errors.Outcome.NOT_RUN, None)

    def enqueue(
        self,
        token: claims.ClaimToken,
        outcome: errors.Outcome,
        status: int | None,
    ) -> None:
        """Queues an outcome for the owner of its shard."""
        lines = self.queue.setdefault(token.shard, [])
        if len(lines) >= MAX_OUTCOMES_QUEUED:
            OUTCOMES_DROPPED.inc({})
            return
        line = claims.OutcomeLine(token.key, token.id, outcome, status)
        lines.append(line)
        self.queued.set()

    async def drain(self) -> None:
        """Waits until every queued outcome is recorded."""
        while self.delivering or any(self.queue.values()):
            await self.delivered.wait()

    async def run(self) -> None:
        """Serves peers and delivers outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.deliver)
            nursery.start_soon(self.keep_house)
            nursery.start_soon(self.load_owned)

    async def deliver(self) -> None:
        """Takes queued outcomes to the owners of their shards."""
        while True:
            await self.queued.wait()
            await trio.sleep(OUTCOME_GATHER_SECONDS)
            self.queued = trio.Event()
            queue, self.queue = self.queue, {}
            self.delivering = True
            async with trio.open_nursery() as nursery:
                for shard, lines in queue.items():
                    nursery.start_soon(self.deliver_lines, shard, lines)
            self.delivering = False
            delivered, self.delivered = self.delivered, trio.Event()
            delivered.set()

    async def deliver_lines(
        self, shard: int, lines: list[claims.OutcomeLine]
    ) -> None:
        """Has outcomes recorded, or puts them back into the queue."""
        say = messages.OutcomesSay(
            shard,
            [line.key for line in lines],
            [line.token for line in lines],
            [line.outcome.value for line in lines],
            [line.status for line in lines],
            OUTCOME_ASK_SECONDS,
        )
        if await self.say(say, self.outcome_tries.get(shard, 0)):
            self.outcome_tries.pop(shard, None)
            return
        # the next by rank; an owner that was asked in vain may be gone
        self.outcome_tries[shard] = self.outcome_tries.get(shard, 0) + 1
        self.queue.setdefault(shard, [])[:0] = lines
        self.queued.set()
        pause = OUTCOME_RETRY_SECONDS
        await trio.sleep(self.rng.uniform(pause / 2, pause))

    async def say(self, say: messages.OutcomesSay, tries: int) -> bool:
        """Asks one owner to record outcomes; returns whether it did."""
        timeout = say.patience + ANSWER_MARGIN_SECONDS
        owner = self.owner(say.shard, tries)
        try:
            with trio.move_on_after(timeout):
                answer = await self.link.request(owner, say, timeout)
                return answer.committed
        except errors.PeerError:
            pass
        return False

    async def on_claim(
        self, router: str, ask: messages.ClaimAsk
    ) -> peer.Message:
        """Commits a peer's claim, or waits with it for the first copy."""
        deadline = trio.current_time() + ask.patience
        shard = self.shard(ask.shard)
        if shard is None:
            return messages.ClaimAnswer(claims.ClaimState.UNDECIDED.value)
        line = claims.ClaimLine(ask.key, ask.token, ask.digest, router)
        state = await shard.claim(line, deadline)
        if state is claims.ClaimState.RUNNING:
            state = await self.wait_for_first(shard, line, deadline)
        if state is not claims.ClaimState.RECORDED:
            return messages.ClaimAnswer(state.value)
        return self.recorded(shard, ask)

    def recorded(
        self, shard: claim_shards.Shard, ask: messages.ClaimAsk
    ) -> messages.ClaimAnswer:
        """Returns the recorded outcome, unknown while there is none."""
        state = claims.ClaimState.RECORDED.value
        held = shard.table.held.get(ask.key)
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
        if shard.waiting or shard.outcomes:
            return False
        return trio.current_time() - shard.used_at >= DROP_IDLE_SECONDS

    async def compact(self, shard: claim_shards.Shard) -> None:
        """Compacts a shard; a failure leaves it for the next time."""
        kept = self.policy.retention + self.policy.clock_margin
        try:
            await shard.compact(kept)
        except errors.KeyValueError:
            return
