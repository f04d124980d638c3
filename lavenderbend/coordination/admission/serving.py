"""Which upstreams serve a model, according to their last load reports."""

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
    """Returns the upstreams that serve a model and are not draining.

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


def unreported_count(
    membership: interfaces.Membership,
    vms: Sequence[upstreams.Vm],
    model: int | None,
) -> int:
    """Returns how many upstreams have not reported which models they serve.

    A new owner receives the reports of some upstreams before those of
    others. If the mean were taken over the first ones alone, the bound would
    let them take the load of all. So the others count as idle until their
    reports arrive or membership finds them unreachable.

    Args:
        membership: Gives the reports.
        vms: Upstreams that may get new work.
        model: Short id of the model, None for plain services.
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
    """Returns whether the last report says that the upstream is draining."""
    report = membership.report(upstream)
    return report is not None and report.draining
