"""Claims and outcomes that wait for a batch, and when batches are written."""

from __future__ import annotations

import attrs
import trio

from lavenderbend.state import claims

MAX_BATCH_LINES = 5000
FAILURES_BEFORE_REFUSAL = 3


@attrs.frozen
class ShardPolicy:
    """How a shard writes.

    Attributes:
        gap: Least seconds between the beginnings of two batches.
        outcome_delay: Seconds that outcomes wait for claims to ride with.
        give_up: Seconds of silence of the key-value service after which
            claims are refused at once.
        failed_calls: Calls that must have failed in a row besides, so that
            a service that only loses answers now and then is not taken for
            one that is down.
    """

    batch_interval: float = 0.0105
    outcome_delay: float = 0.5
    outage_seconds: float = 2.0
    outage_failures: int = 8


@attrs.define(eq=False)
class PendingClaim:
    """A claim that waits to be committed.

    Attributes:
        line: The claim.
        deadline: When its asker stops waiting.
        since: When it came.
        reading: Number of the reading of the log without which its key
            cannot be called in use, 0 for none.
        failures: Calls to the service that began since and failed.
        batched: Whether it is part of a batch that may have been written.
        state: Where it stands, None while undecided.
        decided: Set with `state`.
    """

    line: claims.ClaimLine
    deadline: float
    queued_at: float
    min_reading: int = 0
    failures: int = 0
    batched: bool = False
    state: claims.ClaimState | None = None
    decided: trio.Event = attrs.field(factory=trio.Event)

    def decide(self, state: claims.ClaimState) -> None:
        """Gives the answer."""
        self.state = state
        self.decided.set()


@attrs.define(eq=False)
class PendingOutcomes:
    """Outcomes that wait to be committed.

    Attributes:
        lines: The outcomes.
        since: When they came.
        committed: Set when they stand in the log.
    """

    lines: tuple[claims.OutcomeLine, ...]
    queued_at: float
    committed: trio.Event = attrs.field(factory=trio.Event)


class CommitQueue:
    """What waits to be committed to one shard, oldest first.

    Attributes:
        policy: How the shard writes.
        claims: Claims without an answer.
        outcomes: Outcomes not known to stand in the log.
    """

    def __init__(self, policy: ShardPolicy) -> None:
        self.policy = policy
        self.claims: list[PendingClaim] = []
        self.outcomes: list[PendingOutcomes] = []

    def due(self) -> bool:
        """Returns whether a batch is to be written now."""
        if self.claims:
            return True
        return trio.current_time() >= self.outcomes_due()

    def outcomes_due(self) -> float:
        """Returns when the oldest outcomes have waited long enough."""
        if not self.outcomes:
            return float('inf')
        return self.outcomes[0].queued_at + self.policy.outcome_delay

    def next_claims(self) -> list[PendingClaim]:
        """Returns the oldest claims, as many as fit one batch."""
        return self.claims[:MAX_BATCH_LINES]

    def next_outcomes(self) -> list[PendingOutcomes]:
        """Returns the oldest outcomes, as many as fit one batch."""
        lines = 0
        batch = []
        for pending in self.outcomes:
            lines += len(pending.lines)
            if batch and lines > MAX_BATCH_LINES:
                break
            batch.append(pending)
        return batch

    def resolve_claims(
        self, table: claims.ClaimTable, applied_reading: int
    ) -> None:
        """Answers the claims that the table decides.

        Args:
            table: The table.
            shown: The latest reading of the log that it shows.
        """
        now = trio.current_time()
        undecided = []
        for pending in self.claims:
            line = pending.line
            state = table.state(line.key, line.token, line.digest)
            if (line.key, line.token) in table.released:
                # its asker has given up; it must not be committed again
                pending.decide(claims.ClaimState.UNAVAILABLE)
            elif is_decisive(state, pending, applied_reading):
                pending.decide(state)
            elif pending.deadline > now:
                undecided.append(pending)
        self.claims = undecided

    def note_committed(self, outcomes: list[PendingOutcomes]) -> None:
        """Tells those who wait for outcomes to be committed."""
        for pending in outcomes:
            pending.committed.set()
        self.outcomes = [
            pending
            for pending in self.outcomes
            if not pending.committed.is_set()
        ]

    def note_failed_call(self, began: float, refuse: bool) -> None:
        """Counts a failed call to the service for the claims it concerns.

        Once the service has been silent for a while, a claim is refused by
        the first few calls that began after it came and failed: no later,
        and not for a silence that was over when it came.

        Args:
            began: When the call began.
            refuse: Whether the service has been silent for too long.
        """
        for pending in self.claims:
            pending.failures += pending.queued_at <= began
            if refuse and pending.failures >= FAILURES_BEFORE_REFUSAL:
                pending.decide(
                    claims.ClaimState.UNAVAILABLE
                    if pending.batched
                    else claims.ClaimState.REFUSED
                )
        self.claims = [w for w in self.claims if w.state is None]


def is_decisive(
    state: claims.ClaimState, pending: PendingClaim, applied_reading: int
) -> bool:
    """Returns whether a state of the table answers a claim.

    The claim with the other body may have been released by another router,
    which a table read before this claim came does not show: the caller would
    be told for good that a key is in use that is free.
    """
    if state is claims.ClaimState.REUSED:
        return pending.min_reading <= applied_reading
    return state is not claims.ClaimState.ABSENT
