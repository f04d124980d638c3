"""Messages about configuration revisions, claims and their outcomes."""

from __future__ import annotations

import attrs

from lavenderbend.protocol import peer


@peer.message(20)
@attrs.frozen
class RevisionNotice(peer.Message):
    """Notice of the configuration revision in force at the sender.

    Attributes:
        number: Number of the revision, 0 for none.
        digest: Digest of its document.
    """

    number: int
    digest: str


@peer.message(21)
@attrs.frozen
class RevisionRequest(peer.Message):
    """Requests the receiver's revision and states the sender's.

    Attributes:
        number: Number of the sender's revision, 0 for none.
        digest: Digest of its document.
    """

    number: int
    digest: str


@peer.message(22)
@attrs.frozen
class EntriesRequest(peer.Message):
    """Requests the changes after a revision.

    Attributes:
        after: Number of the sender's revision.
    """

    after: int


@peer.message(23)
@attrs.frozen
class EntriesReply(peer.Message):
    """Changes in order, or a snapshot if they are no longer retained.

    Attributes:
        first: Number of the first change.
        records: The changes, encoded as in the log.
        snapshot: The whole revision, empty if `records` has the changes.
    """

    first: int
    records: list[bytes]
    snapshot: bytes = b''


@peer.message(30)
@attrs.frozen
class ClaimCommitRequest(peer.Message):
    """Requests the owner of a shard to commit a claim.

    Attributes:
        shard: Number of the shard.
        key: Hash of customer and idempotency key.
        token: Unique token of the claim.
        digest: Hash of the request body.
        timeout_seconds: How long the sender waits for the reply.
        shards: Number of shards in the sender's settings.
    """

    shard: int
    key: bytes
    token: bytes
    digest: bytes
    timeout_seconds: float
    shards: int = 1


@peer.message(31)
@attrs.frozen
class ClaimReply(peer.Message):
    """The state of a claim.

    Attributes:
        state: Value of `claims.ClaimState`.
        outcome: Value of `errors.Outcome` if it is recorded, else empty.
        status: HTTP status of the response to the first caller.
    """

    state: str
    outcome: str = ''
    status: int | None = None


@peer.message(32)
@attrs.frozen
class OutcomesCommitRequest(peer.Message):
    """Requests the owner of a shard to record outcomes; lists are parallel.

    Attributes:
        shard: Number of the shard.
        keys: Hashes of customer and idempotency key.
        tokens: Tokens of the claims.
        outcomes: Values of `errors.Outcome`.
        statuses: HTTP statuses of the responses to the callers, or None.
        timeout_seconds: How long the sender waits for the reply.
    """

    shard: int
    keys: list[bytes]
    tokens: list[bytes]
    outcomes: list[str]
    statuses: list[int | None]
    timeout_seconds: float


@peer.message(33)
@attrs.frozen
class OutcomesReply(peer.Message):
    """States whether the outcomes were committed.

    Attributes:
        committed: False if the sender must retry.
    """

    committed: bool


@peer.message(34)
@attrs.frozen
class ClaimLookup(peer.Message):
    """Requests the state of a key in the receiver's table, without a write.

    Attributes:
        shard: Number of the shard.
        key: Hash of customer and idempotency key.
        token: Token of the sender's claim.
        digest: Hash of the request body.
    """

    shard: int
    key: bytes
    token: bytes
    digest: bytes
