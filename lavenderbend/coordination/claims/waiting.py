"""Claims and outcomes that wait for a batch, and when batches are written."""

from __future__ import annotations

import attrs
import trio

from lavenderbend.state import claims

MAX_BATCH_LINES = 5000
CALLS_FOR_REFUSAL = 3


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

    gap: float = 0.0105
    outcome_delay: float = 0.5
    give_up: float = 2.0
    failed_calls: int = 8


@attrs.define(eq=False)
class Waiting:
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
    since: float
    reading: int = 0
    failures: int = 0
    batched: bool = False
    state: claims.ClaimState | None = None
    decided: trio.Event = attrs.field(factory=trio.Event)

    def decide(self, state: claims.ClaimState) -> None:
        """Gives the answer."""
        self.state = state
        self.decided.set()


@attrs.define(eq=False)
class WaitingOutcomes:
    """Outcomes that wait to be committed.

    Attributes:
        lines: The outcomes.
        since: When they came.
        committed: Set when they stand in the log.
    """

    lines: tuple[claims.OutcomeLine, ...]
    since: float
    committed: trio.Event = attrs.field(factory=trio.Event)


class Queue:
    """What waits to be committed to one shard, oldest first.

    Attributes:
        policy: How the shard writes.
        claims: Claims without an answer.
        outcomes: Outcomes not known to stand in the log.
    """

    def __init__(self, policy: ShardPolicy) -> None:
        self.policy = policy
        self.claims: list[Waiting] = []
        self.outcomes: list[WaitingOutcomes] = []

    def due(self) -> bool:
        """Returns whether a batch is to be written now."""
        if self.claims:
            return True
        return trio.current_time() >= self.outcomes_due()

    def outcomes_due(self) -> float:
        """Returns when the oldest outcomes have waited long enough."""
        if not self.outcomes:
            return float('inf')
        return self.outcomes[0].since + self.policy.outcome_delay

    def next_claims(self) -> list[Waiting]:
        """Returns the oldest claims, as many as fit one batch."""
        return self.claims[:MAX_BATCH_LINES]

    def next_outcomes(self) -> list[WaitingOutcomes]:
        """Returns the oldest outcomes, as many as fit one batch."""
        lines = 0
        found = []
        for waiting in self.outcomes:
            lines += len(waiting.lines)
            if found and lines > MAX_BATCH_LINES:
                break
            found.append(waiting)
        return found

    def answer(self, table: claims.ClaimTable, shown: int) -> None:
        """Answers the claims that the table decides.

        Args:
            table: The table.
            shown: The latest reading of the log that it shows.
        """
        now = trio.current_time()
        left = []
        for waiting in self.claims:
            line = waiting.line
            state = table.state(line.key, line.token, line.digest)
            if (line.key, line.token) in table.released:
                # its asker has given up; it must not be committed again
                waiting.decide(claims.ClaimState.UNAVAILABLE)
            elif decides(state, waiting, shown):
                waiting.decide(state)
            elif waiting.deadline > now:
                left.append(waiting)
        self.claims = left

    def committed(self, outcomes: list[WaitingOutcomes]) -> None:
        """Tells those who wait for outcomes to be committed."""
        for waiting in outcomes:
            waiting.committed.set()
        self.outcomes = [
            waiting
            for waiting in self.outcomes
            if not waiting.committed.is_set()
        ]

    def call_failed(self, began: float, refuse: bool) -> None:
        """Counts a failed call to the service for the claims it concerns.

        Once the service has been silent for a while, a claim is refused by
        the first few calls that began after it came and failed: no later,
        and not for a silence that was over when it came.

        Args:
            began: When the call began.
            refuse: Whether the service has been silent for too long.
        """
        for waiting in self.claims:
            waiting.failures += waiting.since <= began
            if refuse and waiting.failures >= CALLS_FOR_REFUSAL:
                waiting.decide(
                    claims.ClaimState.UNAVAILABLE
                    if waiting.batched
                    else claims.ClaimState.REFUSED
                )
        self.claims = [w for w in self.claims if w.state is None]


def decides(state: claims.ClaimState, waiting: Waiting, shown: int) -> bool:
    """Returns whether a state of the table answers a claim.

    The claim with the other body may have been released by another router,
    which a table read before this claim came does not show: the caller would
    be told for good that a key is in use that is free.
    """
    if state is claims.ClaimState.REUSED:
        return waiting.reading <= shown
    return state is not claims.ClaimState.ABSENT
