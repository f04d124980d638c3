"""Claims and outcomes that wait for a batch, and when batches are written."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.state import claims


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
        failures: Calls to the service that began since and failed.
        batched: Whether it is part of a batch that may have been written.
        state: Where it stands, None while undecided.
        decided: Set with `state`.
    """

    line: claims.ClaimLine
    deadline: float
    since: float
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
