"""What owners answer, in the entry's own types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.state import decisions

if TYPE_CHECKING:
    from lavenderbend.protocol import messages_decisions
    from lavenderbend.state import upstreams

REFUSALS: dict[str, type[errors.RequestError]] = {
    'PoolFull': errors.PoolFull,
    'NoUpstream': errors.NoUpstream,
    'CustomerOverLimit': errors.CustomerOverLimit,
}


def raise_refusal(exc: errors.PeerRefused) -> None:
    """Raises the owner's typed refusal as this entry's own."""
    kind = str(exc.args[0]) if exc.args else ''
    refusal = REFUSALS.get(kind)
    if refusal is None:
        return
    failure = exc.args[1] if len(exc.args) > 1 else None
    detail = getattr(failure, 'detail', kind)
    raise refusal(detail, getattr(failure, 'retry_after', None)) from exc


def passed_over(
    grant: messages_decisions.PermitGrant,
    names: dict[int, upstreams.Vm],
) -> tuple[decisions.PassedOver, ...]:
    """Returns who was passed over and why."""
    rows = zip(grant.passed_over[::2], grant.passed_over[1::2], strict=False)
    result = []
    for number, reason in rows:
        vm = names.get(number)
        upstream = vm.id if vm is not None else f'{number:08x}'
        text = placement.reason_text(reason)
        result.append(decisions.PassedOver(upstream, text))
    return tuple(result)
