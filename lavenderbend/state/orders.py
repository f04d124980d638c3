"""Planning of orders that tell engines which model to serve.

A rollout changes the engines of a pool step by step until the desired number
of engines serves each target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@attrs.frozen
class Target:
    """What an engine is ordered to serve.

    Attributes:
        model: Name of the model.
        version: Version of its weights.
        adapters: Adapters loaded in addition to the model.
        role: Role of the engine.
    """

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = 'serve'


@attrs.frozen
class EngineOrder:
    """An order to one engine.

    Attributes:
        fencing: Fencing token of the lease under which it is sent.
        target: What the engine has to serve.
    """

    fencing: int
    target: Target


@attrs.frozen
class EngineState:
    """State reported by an engine.

    Attributes:
        fencing: Highest fencing token that the engine has received.
        target: Target that it is set to serve.
        healthy: Whether it is serving the target.
    """

    fencing: int
    target: Target
    healthy: bool


@attrs.frozen
class DesiredReplicas:
    """Number of engines that should serve a target.

    Attributes:
        target: The target.
        replicas: Number of engines.
        frozen: Whether engines that serve the model must not be changed.
    """

    target: Target
    replicas: int
    frozen: bool = False


@attrs.frozen
class Step:
    """An order that may be sent now.

    Attributes:
        upstream: VM id of the engine.
        target: What the engine has to serve.
    """

    upstream: str
    target: Target


@attrs.frozen
class RolloutState:
    """State of the engines that the plan depends on.

    Attributes:
        states: States of the engines that could be read, by VM id.
        busy: Targets of the engines that are executing an order, by VM id.
        proven: Targets that an engine has served without failure for some
            time.
        unavailable: Fraction of a model's engines that may be unavailable
            at the same time.
    """

    states: Mapping[str, EngineState]
    busy: Mapping[str, Target]
    proven: Collection[Target]
    unavailable: float = 0.25


@attrs.define
class ModelEngines:
    """Engines assigned to one desired model.

    Attributes:
        desired: Target and number of replicas.
        current: Healthy engines that serve the target.
        outdated: Engines of the model that serve another target or are not
            healthy.
        pending: Engines that are executing an order for the target.
    """

    desired: DesiredReplicas
    current: list[str] = attrs.field(factory=list)
    outdated: list[str] = attrs.field(factory=list)
    pending: list[str] = attrs.field(factory=list)


def plan(
    desired: tuple[DesiredReplicas, ...], situation: RolloutState
) -> tuple[Step, ...]:
    """Returns the orders that may be sent now, most urgent first.

    Spare engines are loaded before a serving engine is taken out of service.
    A target that is not proven is first loaded on a single engine.
    """
    groups, spare = assign_engines(desired, situation)
    steps: list[Step] = []
    for group in groups:
        if group.desired.frozen:
            continue
        steps += group_steps(group, spare, situation)
    # A spare engine must not continue to serve an old version.
    for engine in spare:
        target = situation.states[engine].target
        group = find_group(groups, target.model)
        if group is None or target == group.desired.target:
            continue
        if is_rolled_out(group, situation):
            steps.append(Step(engine, group.desired.target))
    return tuple(steps)


def is_rolled_out(group: ModelEngines, situation: RolloutState) -> bool:
    """Returns whether the target is proven and has all its replicas."""
    if group.desired.frozen or group.desired.target not in situation.proven:
        return False
    return len(group.current) >= group.desired.replicas


def assign_engines(
    desired: tuple[DesiredReplicas, ...], situation: RolloutState
) -> tuple[list[ModelEngines], list[str]]:
    """Assigns engines to the desired models.

    Returns:
        The engines of each desired model, and the spare engines.
    """
    groups = [ModelEngines(replicas) for replicas in desired]
    spare = []
    for engine, state in sorted(situation.states.items()):
        target = situation.busy.get(engine, state.target)
        group = find_group(groups, target.model)
        if group is None:
            if engine not in situation.busy:
                spare.append(engine)
        elif engine in situation.busy:
            members = group.pending
            if target != group.desired.target:
                members = group.outdated
            members.append(engine)
        elif state.target == group.desired.target and state.healthy:
            group.current.append(engine)
        else:
            group.outdated.append(engine)
    for group in groups:
        if not group.desired.frozen:
            spare += remove_surplus(group, situation)
    return groups, spare


def find_group(groups: list[ModelEngines], model: str) -> ModelEngines | None:
    """Returns the engines of a model, None if the model is not desired."""
    for group in groups:
        if group.desired.target.model == model:
            return group
    return None


def remove_surplus(group: ModelEngines, situation: RolloutState) -> list[str]:
    """Removes the engines that a model does not need.

    Returns:
        The removed engines.
    """
    total = len(group.current) + len(group.pending) + len(group.outdated)
    removed = []
    idle = [e for e in group.outdated if e not in situation.busy]
    while total > group.desired.replicas and idle:
        # Unhealthy engines first, as this does not reduce capacity.
        idle.sort(key=lambda engine: situation.states[engine].healthy)
        engine = idle.pop(0)
        if count_serving(group, situation, without=engine) < min_serving(
            group.desired, situation
        ):
            break
        group.outdated.remove(engine)
        removed.append(engine)
        total -= 1
    while len(group.current) > group.desired.replicas:
        removed.append(group.current.pop())
    return removed


def count_serving(
    group: ModelEngines, situation: RolloutState, without: str = ''
) -> int:
    """Returns how many engines serve the model, in any version.

    Args:
        group: The engines of the model.
        situation: State of the engines.
        without: VM id of an engine that is not counted.
    """
    return sum(
        situation.states[engine].healthy and engine not in situation.busy
        for engine in [*group.current, *group.outdated]
        if engine != without
    )


def min_serving(desired: DesiredReplicas, situation: RolloutState) -> int:
    """Returns how many engines of a model must continue to serve.

    This is 0 for a model with one replica: without a spare engine it cannot
    be changed without an interruption.
    """
    max_down = max(1, int(desired.replicas * situation.unavailable))
    return max(0, desired.replicas - max_down)


def group_steps(
    group: ModelEngines, spare: list[str], situation: RolloutState
) -> list[Step]:
    """Returns the steps for one model.

    Spare engines that are used are removed from `spare`.
    """
    target = group.desired.target
    missing = group.desired.replicas - len(group.current) - len(group.pending)
    if target not in situation.proven:
        # A faulty version must fail on one engine, not on all of them.
        missing = min(missing, 1 - len(group.current) - len(group.pending))
    steps = []
    while missing > 0 and spare:
        steps.append(Step(spare.pop(0), target))
        missing -= 1
    idle = [e for e in group.outdated if e not in situation.busy]
    idle.sort(key=lambda engine: situation.states[engine].healthy)
    serving_count = count_serving(group, situation)
    for engine in idle[: max(0, missing)]:
        healthy = situation.states[engine].healthy
        if healthy and serving_count - 1 < min_serving(
            group.desired, situation
        ):
            break
        serving_count -= healthy
        steps.append(Step(engine, target))
    return steps
