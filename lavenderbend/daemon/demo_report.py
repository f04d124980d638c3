"""What a demo does and what it measured."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lavenderbend.daemon import demo_samples
    from lavenderbend.load import results


@attrs.frozen
class DemoPlan:
    """What a demo does.

    Attributes:
        deployment: Name of a site, or `both`.
        seconds: How long calls are begun.
        seed: Seed of everything random.
    """

    deployment: str = 'both'
    seconds: float = 20.0
    seed: int = 1


@attrs.define
class DemoReport:
    """What a demo measured.

    Attributes:
        plan: What it did.
        events: What happened, with seconds from the start of the load.
        loads: What became of the calls, by site.
        skews: Evenness of the engines' load over time, by site.
        control: Traffic between routers and with the platform.
        leaving: What became of the engine that left.
        router_stop_seconds: How long the graceful stop of a router took.
        in_force_seconds: How long a change took to be in force everywhere.
        once_runs: Non-idempotent calls by how often each ran.
        told_not_run: Calls that were told "not run" and yet ran.
        decision: One decision, as the operators' interface gives it.
    """

    plan: DemoPlan
    events: list[tuple[float, str]] = attrs.field(factory=list)
    loads: dict[str, results.LoadResult] = attrs.field(factory=dict)
    skews: dict[str, demo_samples.Skew] = attrs.field(factory=dict)
    control: demo_samples.Control | None = None
    leaving: demo_samples.Leaving | None = None
    router_stop_seconds: float | None = None
    in_force_seconds: float | None = None
    once_runs: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    told_not_run: int = 0
    decision: dict[str, Any] | None = None

    @property
    def failed(self) -> bool:
        """Whether anything broke what the fleet promises."""
        broken = sum(r.wrong + r.cut for r in self.loads.values())
        twice = any(count > 1 for count in self.once_runs)
        nothing = not any(r.whole for r in self.loads.values())
        return bool(broken or twice or self.told_not_run or nothing)
