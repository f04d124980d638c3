"""What engines are ordered to serve, and the next steps towards it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@attrs.frozen
class Target:
    """What one engine is to serve.

    Attributes:
        model: The model.
        version: Version of its weights.
        adapters: Adapters loaded beside it.
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
        fencing: Fencing number of the lease it is sent under.
        target: What the engine is to serve.
    """

    fencing: int
    target: Target


@attrs.frozen
class EngineState:
    """What an engine says of itself when it is read back.

    Attributes:
        fencing: Highest fencing number it has seen.
        target: What it serves.
        healthy: Whether it serves it.
    """

    fencing: int
    target: Target
    healthy: bool


@attrs.frozen
class Wanted:
    """How many engines are to serve a target.

    Attributes:
        target: The target.
        replicas: How many.
        frozen: Engines that serve the model are left as they are.
    """

    target: Target
    replicas: int
    frozen: bool = False


@attrs.frozen
class Step:
    """An order to be sent next.

    Attributes:
        upstream: VM id of the engine.
        target: What it is to serve.
    """

    upstream: str
    target: Target


@attrs.frozen
class Situation:
    """What the next steps depend on.

    Attributes:
        states: Engines that could be read, by VM id.
        busy: Engines that are carrying out an order, with their target.
        proven: Targets that an engine has served well for some time.
        unavailable: Share of a model's engines that may be down at once.
    """

    states: Mapping[str, EngineState]
    busy: Mapping[str, Target]
    proven: Collection[Target]
    unavailable: float = 0.25


@attrs.define
class Share:
    """Engines that serve one wanted model.

    Attributes:
        wanted: What is wanted.
        right: Engines at the target.
        wrong: Engines of the same model that are not.
        coming: Engines that are being ordered to the target.
    """

    wanted: Wanted
    right: list[str] = attrs.field(factory=list)
    wrong: list[str] = attrs.field(factory=list)
    coming: list[str] = attrs.field(factory=list)


def plan(wanted: tuple[Wanted, ...], situation: Situation) -> tuple[Step, ...]:
    """Returns the orders that may be sent now, most urgent first.

    An engine that nobody needs is loaded before one that serves is taken
    down. A target that no engine has served well gets one engine first.
    """
    shares, spare = divide(wanted, situation)
    steps: list[Step] = []
    for share in shares:
        if share.wanted.frozen:
            continue
        steps += share_steps(share, spare, situation)
    # one that nobody needs must not go on serving an old version
    for engine in spare:
        target = situation.states[engine].target
        share = share_of(shares, target.model)
        if share is None or target == share.wanted.target:
            continue
        if at_target(share, situation):
            steps.append(Step(engine, share.wanted.target))
    return tuple(steps)


def at_target(share: Share, situation: Situation) -> bool:
    """Returns whether the target is proven and all its engines serve it."""
    if share.wanted.frozen or share.wanted.target not in situation.proven:
        return False
    return len(share.right) >= share.wanted.replicas


def divide(
    wanted: tuple[Wanted, ...], situation: Situation
) -> tuple[list[Share], list[str]]:
    """Returns which engines serve what is wanted, and the spare ones."""
    shares = [Share(item) for item in wanted]
    spare = []
    for engine, state in sorted(situation.states.items()):
        serving = situation.busy.get(engine, state.target)
        share = share_of(shares, serving.model)
        if share is None:
            if engine not in situation.busy:
                spare.append(engine)
        elif engine in situation.busy:
            side = share.coming
            if serving != share.wanted.target:
                side = share.wrong
            side.append(engine)
        elif state.target == share.wanted.target and state.healthy:
            share.right.append(engine)
        else:
            share.wrong.append(engine)
    for share in shares:
        if not share.wanted.frozen:
            spare += surplus(share, situation)
    return shares, spare


def share_of(shares: list[Share], model: str) -> Share | None:
    """Returns the share of a model, if it is wanted."""
    for share in shares:
        if share.wanted.target.model == model:
            return share
    return None


def surplus(share: Share, situation: Situation) -> list[str]:
    """Takes the engines out of a share that it can do without."""
    have = len(share.right) + len(share.coming) + len(share.wrong)
    found = []
    idle = [e for e in share.wrong if e not in situation.busy]
    while have > share.wanted.replicas and idle:
        # one that is not healthy first: nothing is lost with it
        idle.sort(key=lambda engine: situation.states[engine].healthy)
        engine = idle.pop(0)
        if serving(share, situation, without=engine) < least(
            share.wanted, situation
        ):
            break
        share.wrong.remove(engine)
        found.append(engine)
        have -= 1
    while len(share.right) > share.wanted.replicas:
        found.append(share.right.pop())
    return found


def serving(share: Share, situation: Situation, without: str = '') -> int:
    """Returns how many engines serve the model, at whatever version."""
    return sum(
        situation.states[engine].healthy and engine not in situation.busy
        for engine in [*share.right, *share.wrong]
        if engine != without
    )


def least(wanted: Wanted, situation: Situation) -> int:
    """Returns how many engines of a model must go on serving.

    A model with one replica and no spare engine cannot be changed without
    a gap.
    """
    down = max(1, int(wanted.replicas * situation.unavailable))
    return max(0, wanted.replicas - down)


def share_steps(
    share: Share, spare: list[str], situation: Situation
) -> list[Step]:
    """Returns the steps of one share; takes engines from the spare ones."""
    target = share.wanted.target
    room = share.wanted.replicas - len(share.right) - len(share.coming)
    if target not in situation.proven:
        # a bad version must be seen on one engine, not on all of them
        room = min(room, 1 - len(share.right) - len(share.coming))
    steps = []
    while room > 0 and spare:
        steps.append(Step(spare.pop(0), target))
        room -= 1
    idle = [e for e in share.wrong if e not in situation.busy]
    idle.sort(key=lambda engine: situation.states[engine].healthy)
    up = serving(share, situation)
    for engine in idle[: max(0, room)]:
        healthy = situation.states[engine].healthy
        if healthy and up - 1 < least(share.wanted, situation):
            break
        up -= healthy
        steps.append(Step(engine, target))
    return steps
