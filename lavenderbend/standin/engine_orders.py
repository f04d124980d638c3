"""Orders to a stand-in engine, with and without fencing checks."""

from __future__ import annotations

from typing import Any

import attrs
import trio


class StaleFencing(Exception):  # noqa: N818
    """The order carries an older fencing number than the highest seen."""


@attrs.frozen
class EngineOrder:
    """One order.

    Attributes:
        fencing: Fencing number of the sender.
        model: Model to serve.
        version: Version of its weights.
        adapters: Adapters to load beside it.
        role: Role to take.
    """

    fencing: int
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = 'serve'


class Orders:
    """What an engine serves and which orders it has seen.

    Attributes:
        models: Models that it serves.
        adapters: Adapters that it has loaded.
        version: Version of the weights.
        role: Its role.
        fencing: Highest fencing number seen.
        healthy: False while an order is carried out.
        applied: Every order that was carried out, in order.
    """

    def __init__(
        self,
        models: tuple[str, ...],
        adapters: tuple[str, ...],
        checks_fencing: bool,
        order_seconds: float,
    ) -> None:
        self.models = models
        self.adapters = adapters
        self.checks_fencing = checks_fencing
        self.order_seconds = order_seconds
        self.version = '1'
        self.role = 'serve'
        self.fencing = 0
        self.healthy = True
        self.applied: list[EngineOrder] = []

    async def apply(self, order: EngineOrder) -> None:
        """Carries an order out.

        Raises:
            StaleFencing: The number is checked and too old.
        """
        if self.checks_fencing and order.fencing < self.fencing:
            raise StaleFencing
        self.fencing = max(self.fencing, order.fencing)
        if not self.differs(order):
            return
        self.healthy = False
        await trio.sleep(self.order_seconds)
        self.models = (order.model,)
        self.version = order.version
        self.adapters = order.adapters
        self.role = order.role
        self.healthy = True
        self.applied.append(order)

    def differs(self, order: EngineOrder) -> bool:
        """Returns whether the order changes anything."""
        wanted = (order.model, order.version, order.adapters, order.role)
        model = self.models[0] if self.models else ''
        return wanted != (model, self.version, self.adapters, self.role)

    def state(self) -> dict[str, Any]:
        """Returns the state as a JSON object."""
        return {
            'fencing': self.fencing,
            'model': self.models[0] if self.models else '',
            'version': self.version,
            'adapters': list(self.adapters),
            'role': self.role,
            'healthy': self.healthy,
        }


def read_order(document: dict[str, Any]) -> EngineOrder:
    """Returns the order in a JSON object; raises `ValueError` for none."""
    try:
        return EngineOrder(
            fencing=int(document['fencing']),
            model=str(document['model']),
            version=str(document['version']),
            adapters=tuple(str(item) for item in document.get('adapters', ())),
            role=str(document.get('role', 'serve')),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError('no order') from exc
