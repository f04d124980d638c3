"""Which upstreams serve a model, by their last reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import upstreams


def serving(
    membership: interfaces.Membership,
    vms: Sequence[upstreams.Vm],
    model: int | None,
) -> list[upstreams.Vm]:
    """Returns the upstreams that serve a model and are not leaving.

    Args:
        membership: Gives the reports.
        vms: Upstreams that may get new work.
        model: Short id of the model, None for plain services.
    """
    reported = [vm for vm in vms if membership.report(vm.id) is not None]
    if model is None:
        return [vm for vm in vms if not draining(membership, vm.id)]
    if not reported:
        return list(vms)
    return [
        vm
        for vm in reported
        if serves(membership, vm.id, model) and not draining(membership, vm.id)
    ]


def unknown(
    membership: interfaces.Membership,
    vms: Sequence[upstreams.Vm],
    model: int | None,
) -> int:
    """Returns how many upstreams have yet to say what they serve.

    A new owner has the reports of some upstreams before those of others.
    Were the mean taken over the first alone, the bound would let them take
    the load of all; so the others count as idle until their reports come or
    membership finds them unreachable.
    """
    if model is None:
        return 0
    reported = sum(membership.report(vm.id) is not None for vm in vms)
    return len(vms) - reported if reported else 0


def serves(
    membership: interfaces.Membership, upstream: str, model: int
) -> bool:
    """Returns whether the last report names the model, or no model."""
    report = membership.report(upstream)
    if report is None or not report.models:
        return True
    short_id = messages_decisions.short_id
    return any(short_id(name) == model for name in report.models)


def draining(membership: interfaces.Membership, upstream: str) -> bool:
    """Returns whether the last report says that it is leaving."""
    report = membership.report(upstream)
    return report is not None and report.draining
