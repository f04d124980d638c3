"""The settings of a demo and its measurements."""

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
    """Settings of a demo.

    Attributes:
        deployment: Name of a site, or `both`.
        seconds: Time during which calls are started.
        seed: Seed of all random choices.
    """

    deployment: str = 'both'
    seconds: float = 20.0
    seed: int = 1


@attrs.define
class DemoReport:
    """Measurements of a demo.

    Attributes:
        plan: Settings of the demo.
        events: Events, each with seconds from the start of the load.
        loads: Outcomes of the calls, by site.
        skews: Ratio of the largest to the mean engine load, by site.
        control: Traffic between routers and with the key-value service.
        leaving: Measurements of the engine that left.
        router_stop_seconds: Duration of the graceful stop of a router.
        in_force_seconds: Time until a changed revision was in force on all
            routers.
        once_runs: Number of non-idempotent calls by how often each ran.
        told_not_run: Calls that ran although the reply said "not run".
        decision: One decision, as the operators' interface returns it.
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
        """Whether a guarantee of the fleet was broken or no call succeeded.

        The guarantees: no answer is wrong or cut off, no non-idempotent
        call runs twice, and none runs that was reported as not run.
        """
        failed_calls = sum(r.wrong + r.cut for r in self.loads.values())
        ran_twice = any(count > 1 for count in self.once_runs)
        none_succeeded = not any(r.whole for r in self.loads.values())
        return bool(
            failed_calls or ran_twice or self.told_not_run or none_succeeded
        )
