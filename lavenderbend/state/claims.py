"""Claims of non-idempotent requests, and the claim table of a shard.

A claim is the exclusive right to run the request with a given idempotency
key. Claims and outcomes are written to a log; the table is the result of
applying its entries in order.
"""

from __future__ import annotations

import enum
import hashlib

import attrs

from lavenderbend import errors

KEY_BYTES = 16
TOKEN_BYTES = 8
DIGEST_BYTES = 8


class ClaimState(enum.Enum):
    """State of a claim, from the point of view of the requesting router.

    `CLAIMED`: the requester holds the claim. `RUNNING`: another request
    holds it and has no outcome yet. `RECORDED`: the outcome of another
    request is recorded. `REUSED`: the key was used with another body.
    `ABSENT`: the table has no claim for the key. `UNDECIDED`: the result is
    not known yet; the requester should retry. `REFUSED`: the owner did not
    queue the claim because the key-value service is down. `UNAVAILABLE`: the
    claim was queued and abandoned; it may still be committed to the log.
    """

    CLAIMED = 'claimed'
    RUNNING = 'running'
    RECORDED = 'recorded'
    REUSED = 'reused'
    ABSENT = 'absent'
    UNDECIDED = 'undecided'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'


@attrs.frozen
class ClaimToken:
    """Identifies a claim: the right to run one request once.

    Attributes:
        shard: Number of the shard that holds the claim.
        key: Hash of customer and idempotency key.
        id: Unique among all claims.
    """

    shard: int
    key: bytes
    id: bytes


@attrs.frozen
class Claimed:
    """The claim was granted: the requester must run the request once.

    Attributes:
        token: Has to be passed on when the outcome is recorded.
    """

    token: ClaimToken


@attrs.frozen
class Recorded:
    """The request was claimed before; it must not be run.

    Attributes:
        outcome: Outcome returned to its first caller; unknown if it cannot
            be determined.
        status: HTTP status returned to its first caller, if any.
    """

    outcome: errors.Outcome
    status: int | None = None


@attrs.frozen
class ClaimLine:
    """A claim as written to the log.

    Attributes:
        key: Hash of customer and idempotency key.
        token: Id of the claim's token.
        digest: Hash of the request body.
        entry: Entry router, which requested the claim and runs the request.
    """

    key: bytes
    token: bytes
    digest: bytes
    entry: str


@attrs.frozen
class OutcomeLine:
    """An outcome as written to the log.

    Attributes:
        key: Hash of customer and idempotency key.
        token: Id of the claim's token.
        outcome: The outcome; `NOT_RUN` releases the claim.
        status: HTTP status returned to the caller, if any.
    """

    key: bytes
    token: bytes
    outcome: errors.Outcome
    status: int | None = None


@attrs.frozen
class Batch:
    """One entry of a claims log.

    Attributes:
        id: Unique among all batches.
        at: Seconds since the epoch, by the writer's clock.
        claims: Claims; the first one for a key takes effect.
        outcomes: Outcomes; they are applied before the claims.
    """

    id: bytes
    at: float
    claims: tuple[ClaimLine, ...] = ()
    outcomes: tuple[OutcomeLine, ...] = ()


@attrs.define
class HeldClaim:
    """A claim in effect.

    Attributes:
        token: Id of its token.
        digest: Hash of the request body.
        entry: Entry router, which runs the request.
        number: Number of the log entry that contains it.
        outcome: The outcome, None until it is recorded.
        status: HTTP status, None until it is recorded.
    """

    token: bytes
    digest: bytes
    entry: str
    number: int
    outcome: errors.Outcome | None = None
    status: int | None = None


@attrs.frozen
class AppliedBatch:
    """What is needed to remove the effects of a batch from the table.

    Attributes:
        number: Number of its log entry.
        at: Time of the batch, in seconds since the epoch.
        keys: Keys that it claimed.
        released: Keys and token ids that it released.
    """

    number: int
    at: float
    keys: tuple[bytes, ...]
    released: tuple[tuple[bytes, bytes], ...]


class ClaimTable:
    """The claims of one shard, as determined by its log.

    All routers that have applied the same log entries have equal tables.

    Attributes:
        held: Claims in effect, by key.
        released: Keys and token ids whose claims must not take effect
            (again).
        batches: Applied batches that are retained, oldest first.
    """

    def __init__(self) -> None:
        self.held: dict[bytes, HeldClaim] = {}
        self.released: set[tuple[bytes, bytes]] = set()
        self.batches: list[AppliedBatch] = []

    def apply(self, number: int, batch: Batch) -> None:
        """Applies the next entry of the log."""
        released = []
        for line in batch.outcomes:
            self.apply_outcome(line)
            if line.outcome is errors.Outcome.NOT_RUN:
                released.append((line.key, line.token))
        for line in batch.claims:
            self.apply_claim(number, line)
        keys = tuple(line.key for line in batch.claims)
        self.batches.append(
            AppliedBatch(number, batch.at, keys, tuple(released))
        )

    def apply_claim(self, number: int, line: ClaimLine) -> None:
        """Puts a claim into effect if it is the first for its key."""
        if line.key in self.held:
            return
        # The requester gave up and recorded NOT_RUN before this claim, which
        # was delayed, reached the log. Putting it into effect would block
        # the key for ever.
        if (line.key, line.token) in self.released:
            return
        self.held[line.key] = HeldClaim(
            line.token, line.digest, line.entry, number
        )

    def apply_outcome(self, line: OutcomeLine) -> None:
        """Records the outcome of a claim, unless it already has one."""
        held = self.held.get(line.key)
        same_claim = held is not None and held.token == line.token
        if line.outcome is errors.Outcome.NOT_RUN:
            self.released.add((line.key, line.token))
            if same_claim and held.outcome is None:
                del self.held[line.key]
            return
        if same_claim and held.outcome is None:
            held.outcome = line.outcome
            held.status = line.status

    def state(self, key: bytes, token: bytes, digest: bytes) -> ClaimState:
        """Returns the state of a claim.

        Args:
            key: Hash of customer and idempotency key.
            token: Id of the claim's token.
            digest: Hash of the request body.
        """
        held = self.held.get(key)
        if held is None:
            return ClaimState.ABSENT
        if held.token == token:
            return ClaimState.CLAIMED
        if held.digest != digest:
            return ClaimState.REUSED
        if held.outcome is None:
            return ClaimState.RUNNING
        return ClaimState.RECORDED

    def remove_before(self, before: int) -> None:
        """Removes the batches before a log entry, and their claims."""
        count = 0
        for batch in self.batches:
            if batch.number >= before:
                break
            count += 1
            for key in batch.keys:
                held = self.held.get(key)
                if held is not None and held.number == batch.number:
                    del self.held[key]
            self.released.difference_update(batch.released)
        del self.batches[:count]

    def first_since(self, at: float) -> int:
        """Returns the first log entry to retain.

        That is the first entry whose time is `at` or later, else the last
        entry; 0 if there are no entries.
        """
        for batch in self.batches:
            if batch.at >= at:
                return batch.number
        return self.batches[-1].number if self.batches else 0


def key_hash(customer: str, key: str) -> bytes:
    """Returns the hash of a customer and its idempotency key."""
    state = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (customer.encode(), key.encode()):
        state.update(len(part).to_bytes(4, 'big'))
        state.update(part)
    return state.digest()


def shard_of(key: bytes, shards: int) -> int:
    """Returns the number of the shard that holds a key."""
    return int.from_bytes(key[:8], 'big') % shards
