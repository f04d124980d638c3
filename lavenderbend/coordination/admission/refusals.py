"""Converts answers of owners to the entry router's types."""

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
    """Raises the error that the owner answered with, if its kind is known.

    Raises:
        RequestError: Of the same class as at the owner.
    """
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
    """Returns the upstreams that the owner passed over, with the reasons.

    Args:
        grant: The owner's answer.
        names: Upstreams by short id; the id of any other upstream is written
            in hexadecimal.
    """
    rows = zip(grant.passed_over[::2], grant.passed_over[1::2], strict=False)
    result = []
    for number, reason in rows:
        vm = names.get(number)
        upstream = vm.id if vm is not None else f'{number:08x}'
        text = placement.reason_text(reason)
        result.append(decisions.PassedOver(upstream, text))
    return tuple(result)
