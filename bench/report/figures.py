"""Figures of a run beside those that were committed last."""

from __future__ import annotations

import json
import pathlib
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

BENCHES = pathlib.Path(__file__).parents[1]
COMMITTED = {
    'agreed': BENCHES / 'agreed/figures.json',
    'capacity': BENCHES / 'capacity/figures.json',
    'decisions': BENCHES / 'report/decisions.json',
    'peers': BENCHES / 'peers/figures.json',
    'relay': BENCHES / 'report/relay.json',
}


@attrs.frozen
class Pair:
    """One figure.

    Attributes:
        name: Where it stands in the bench's figures.
        committed: What was committed last, None for nothing.
        now: What this run gave, None for nothing.
    """

    name: str
    committed: float | None
    now: float | None

    @property
    def change(self) -> float | None:
        """Part by which it has grown, if both are there and not zero."""
        if not self.committed or self.now is None:
            return None
        return self.now / self.committed - 1


def read(path: pathlib.Path) -> dict[str, Any]:
    """Returns the figures in a file, none if there is no file."""
    if not path.exists():
        return {}
    return json.loads(path.read_text(encoding='utf-8'))


def read_committed(bench: str) -> dict[str, Any]:
    """Returns the figures of a bench that were committed last."""
    path = COMMITTED.get(bench)
    return read(path) if path is not None else {}


def flat(value: Any, name: str = '') -> Iterator[tuple[str, float]]:
    """Yields each number with the path to it."""
    if isinstance(value, bool):
        return
    if isinstance(value, (int, float)):
        yield name, float(value)
        return
    if isinstance(value, list):
        value = {str(index): item for index, item in enumerate(value)}
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flat(item, f'{name} / {key}' if name else str(key))


def pairs(committed: dict[str, Any], now: dict[str, Any]) -> list[Pair]:
    """Returns all figures of a bench, the committed ones first."""
    old = dict(flat(committed))
    new = dict(flat(now))
    names = list(dict.fromkeys([*old, *new]))
    return [Pair(name, old.get(name), new.get(name)) for name in names]
