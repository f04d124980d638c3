"""Claims and outcomes to be committed, and when a batch is written."""

from __future__ import annotations

import attrs
import trio

from lavenderbend.state import claims

MAX_BATCH_LINES = 5000
FAILURES_BEFORE_REFUSAL = 3


@attrs.frozen
class ShardPolicy:
    """Write settings of a shard.

    Attributes:
        batch_interval: Minimum seconds between the starts of two batches.
        outcome_delay: Seconds for which outcomes wait to be written in the
            same batch as claims.
        outage_seconds: Seconds without an answer from the key-value service
            after which claims are refused at once.
        outage_failures: Consecutive failed calls that are required as well,
            so that a service that loses an occasional answer is not
            considered down.
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
        deadline: Router clock at which the requesting router stops waiting.
        queued_at: Router clock at which it was queued.
        min_reading: Number of the log reading that must be applied before
            its key may be reported as reused, 0 for none.
        failures: Calls to the service that began since then and failed.
        batched: Whether it is part of a batch that may have been written.
        state: The result, None while undecided.
        decided: Set together with `state`.
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
        """Sets the result."""
        self.state = state
        self.decided.set()


@attrs.define(eq=False)
class PendingOutcomes:
    """Outcomes that wait to be committed.

    Attributes:
        lines: The outcomes.
        queued_at: Router clock at which they were queued.
        committed: Set when they are in the log.
    """

    lines: tuple[claims.OutcomeLine, ...]
    queued_at: float
    committed: trio.Event = attrs.field(factory=trio.Event)


class CommitQueue:
    """Claims and outcomes to be committed to one shard, oldest first.

    Attributes:
        policy: Write settings of the shard.
        claims: Undecided claims.
        outcomes: Outcomes not known to be in the log.
    """

    def __init__(self, policy: ShardPolicy) -> None:
        self.policy = policy
        self.claims: list[PendingClaim] = []
        self.outcomes: list[PendingOutcomes] = []

    def due(self) -> bool:
        """Returns whether a batch is due."""
        if self.claims:
            return True
        return trio.current_time() >= self.outcomes_due()

    def outcomes_due(self) -> float:
        """Returns the router clock at which the oldest outcomes are due."""
        if not self.outcomes:
            return float('inf')
        return self.outcomes[0].queued_at + self.policy.outcome_delay

    def next_claims(self) -> list[PendingClaim]:
        """Returns the oldest claims, as many as fit in one batch."""
        return self.claims[:MAX_BATCH_LINES]

    def next_outcomes(self) -> list[PendingOutcomes]:
        """Returns the oldest outcomes, as many as fit in one batch."""
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
        """Decides the claims whose state the table contains.

        Args:
            table: The table of claims.
            applied_reading: Number of the latest log reading applied to it.
        """
        now = trio.current_time()
        undecided = []
        for pending in self.claims:
            line = pending.line
            state = table.state(line.key, line.token, line.digest)
            if (line.key, line.token) in table.released:
                # already released; it must not be committed again
                pending.decide(claims.ClaimState.UNAVAILABLE)
            elif is_decisive(state, pending, applied_reading):
                pending.decide(state)
            elif pending.deadline > now:
                undecided.append(pending)
        self.claims = undecided

    def note_committed(self, outcomes: list[PendingOutcomes]) -> None:
        """Marks outcomes as committed and removes them."""
        for pending in outcomes:
            pending.committed.set()
        self.outcomes = [
            pending
            for pending in self.outcomes
            if not pending.committed.is_set()
        ]

    def note_failed_call(self, began: float, refuse: bool) -> None:
        """Counts a failed call to the service for the claims it concerns.

        During an outage a claim is refused after the first few failed calls
        that began after it was queued: no later, and not because of an
        outage that ended before it was queued.

        Args:
            began: Router clock at which the call began.
            refuse: Whether the service has not answered for too long.
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
    """Returns whether a state in the table decides a claim.

    Another router may have released the claim with the other body, which a
    table read before this claim was queued does not contain. The caller would
    be told for good that a free key is in use.
    """
    if state is claims.ClaimState.REUSED:
        return pending.min_reading <= applied_reading
    return state is not claims.ClaimState.ABSENT
