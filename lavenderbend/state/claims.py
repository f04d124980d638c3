"""Claims of non-idempotent requests and the table they make."""

from __future__ import annotations

import enum
import hashlib

import attrs

from lavenderbend import errors

KEY_BYTES = 16
TOKEN_BYTES = 8
DIGEST_BYTES = 8


class ClaimState(enum.Enum):
    """Where a claim stands for the one who asks.

    `ABSENT`: the table has no claim for the key. `UNDECIDED`: nothing is
    known yet, ask again. `REFUSED`: the owner has not even queued it, as
    the key-value service is down. `UNAVAILABLE`: it was queued and given
    up; it may still come to stand in the log.
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
    """The right to run one request once.

    Attributes:
        shard: Number of the shard that holds the claim.
        key: Hash of customer and idempotency key.
        id: Unlike that of any other claim.
    """

    shard: int
    key: bytes
    id: bytes


@attrs.frozen
class Claimed:
    """The request is to be run now, once, by whoever asked.

    Attributes:
        token: Given back with the outcome.
    """

    token: ClaimToken


@attrs.frozen
class Recorded:
    """The request was claimed before; it must not be run.

    Attributes:
        outcome: What its first caller was told; unknown if nobody can tell.
        status: HTTP status that its first caller was told, if any.
    """

    outcome: errors.Outcome
    status: int | None = None


@attrs.frozen
class ClaimLine:
    """A claim as it stands in the log.

    Attributes:
        key: Hash of customer and idempotency key.
        token: Id of the claim's token.
        digest: Hash of the body.
        entry: Router that asked, and runs it.
    """

    key: bytes
    token: bytes
    digest: bytes
    entry: str


@attrs.frozen
class OutcomeLine:
    """An outcome as it stands in the log.

    Attributes:
        key: Hash of customer and idempotency key.
        token: Id of the claim's token.
        outcome: Not run releases the claim.
        status: HTTP status that the caller was told, if any.
    """

    key: bytes
    token: bytes
    outcome: errors.Outcome
    status: int | None = None


@attrs.frozen
class Batch:
    """One entry of a claims log.

    Attributes:
        id: Unlike that of any other batch.
        at: Seconds since the epoch, by the writer's clock.
        claims: Claims, the first for a key counts.
        outcomes: Outcomes; they count before the claims.
    """

    id: bytes
    at: float
    claims: tuple[ClaimLine, ...] = ()
    outcomes: tuple[OutcomeLine, ...] = ()


@attrs.define
class HeldClaim:
    """A claim that counts.

    Attributes:
        token: Id of its token.
        digest: Hash of the body.
        entry: Router that runs it.
        number: Log entry that it stands in.
        outcome: The outcome once recorded.
        status: HTTP status once recorded.
    """

    token: bytes
    digest: bytes
    entry: str
    number: int
    outcome: errors.Outcome | None = None
    status: int | None = None


@attrs.frozen
class AppliedBatch:
    """What is needed to forget a batch again.

    Attributes:
        number: Its log entry.
        at: Its time.
        keys: Keys that it claimed.
        released: Keys and tokens that it released.
    """

    number: int
    at: float
    keys: tuple[bytes, ...]
    released: tuple[tuple[bytes, bytes], ...]


class ClaimTable:
    """The claims of one shard: the same for everyone who read the log.

    Attributes:
        held: Claims that count, by key.
        released: Keys and tokens whose claims never count (again).
        batches: Batches that the table was made from, oldest first.
    """

    def __init__(self) -> None:
        self.held: dict[bytes, HeldClaim] = {}
        self.released: set[tuple[bytes, bytes]] = set()
        self.batches: list[AppliedBatch] = []

    def apply(self, number: int, batch: Batch) -> None:
        """Takes the next entry of the log."""
        released = []
        for line in batch.outcomes:
            self.record(line)
            if line.outcome is errors.Outcome.NOT_RUN:
                released.append((line.key, line.token))
        for line in batch.claims:
            self.claim(number, line)
        keys = tuple(line.key for line in batch.claims)
        self.batches.append(
            AppliedBatch(number, batch.at, keys, tuple(released))
        )

    def claim(self, number: int, line: ClaimLine) -> None:
        """Counts a claim if it is the first for its key."""
        if line.key in self.held:
            return
        # its asker gave up and said 'not run' before this claim arrived by
        # a slower way: counting it would block the key for ever
        if (line.key, line.token) in self.released:
            return
        self.held[line.key] = HeldClaim(
            line.token, line.digest, line.entry, number
        )

    def record(self, line: OutcomeLine) -> None:
        """Notes the outcome of a claim; the first one counts."""
        held = self.held.get(line.key)
        mine = held is not None and held.token == line.token
        if line.outcome is errors.Outcome.NOT_RUN:
            self.released.add((line.key, line.token))
            if mine and held.outcome is None:
                del self.held[line.key]
            return
        if mine and held.outcome is None:
            held.outcome = line.outcome
            held.status = line.status

    def state(self, key: bytes, token: bytes, digest: bytes) -> ClaimState:
        """Returns where a claim stands."""
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

    def forget(self, before: int) -> None:
        """Forgets the batches before a log entry."""
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
        """Returns the first log entry to keep, 0 if there is none."""
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
