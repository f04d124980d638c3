"""Messages between routers about what is agreed and kept."""

from __future__ import annotations

import attrs

from lavenderbend.protocol import peer


@peer.message(20)
@attrs.frozen
class RevisionSay(peer.Message):
    """The configuration revision in force at the sender.

    Attributes:
        number: Its number, 0 for none.
        digest: Its digest.
    """

    number: int
    digest: str


@peer.message(21)
@attrs.frozen
class RevisionAsk(peer.Message):
    """Says the sender's revision and asks for the receiver's."""

    number: int
    digest: str


@peer.message(22)
@attrs.frozen
class EntriesAsk(peer.Message):
    """Asks for the changes after a revision.

    Attributes:
        after: Number of the revision that the sender has.
    """

    after: int


@peer.message(23)
@attrs.frozen
class EntriesAnswer(peer.Message):
    """Changes in order, or a whole revision if those are not kept.

    Attributes:
        first: Number of the first change.
        records: The changes as they stand in the log.
        snapshot: The whole revision, empty if the changes are given.
    """

    first: int
    records: list[bytes]
    snapshot: bytes = b''


@peer.message(30)
@attrs.frozen
class ClaimAsk(peer.Message):
    """Asks the owner of a shard to commit a claim.

    Attributes:
        shard: Number of the shard.
        key: Hash of customer and idempotency key.
        token: Unlike that of any other claim.
        digest: Hash of the body.
        patience: Seconds that the sender waits for an answer.
        shards: How many shards there are for the sender.
    """

    shard: int
    key: bytes
    token: bytes
    digest: bytes
    patience: float
    shards: int = 1


@peer.message(31)
@attrs.frozen
class ClaimAnswer(peer.Message):
    """Where the claim stands.

    Attributes:
        state: Value of `claims.ClaimState`.
        outcome: Value of `errors.Outcome` when it is recorded.
        status: HTTP status that the first caller was told.
    """

    state: str
    outcome: str = ''
    status: int | None = None


@peer.message(32)
@attrs.frozen
class OutcomesSay(peer.Message):
    """Asks the owner of a shard to record outcomes; the lists are parallel.

    Attributes:
        shard: Number of the shard.
        keys: Hashes of customer and idempotency key.
        tokens: Tokens of the claims.
        outcomes: Values of `errors.Outcome`.
        statuses: HTTP statuses that the callers were told, or None.
        patience: Seconds that the sender waits for an answer.
    """

    shard: int
    keys: list[bytes]
    tokens: list[bytes]
    outcomes: list[str]
    statuses: list[int | None]
    patience: float


@peer.message(33)
@attrs.frozen
class OutcomesAnswer(peer.Message):
    """Says whether the outcomes were committed.

    Attributes:
        committed: False if the sender is to try again.
    """

    committed: bool


@peer.message(34)
@attrs.frozen
class ClaimLook(peer.Message):
    """Asks what the receiver's table knows of a key, without writing.

    Attributes:
        shard: Number of the shard.
        key: Hash of customer and idempotency key.
        token: Token of the asker's claim.
        digest: Hash of the body.
    """

    shard: int
    key: bytes
    token: bytes
    digest: bytes
