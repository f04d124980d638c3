"""What order controllers of one pool tell their successors."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.state import orders

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination import interfaces


@attrs.frozen
class Failures:
    """Orders that failed in a row.

    Attributes:
        target: What was ordered.
        count: How many failed.
    """

    target: orders.Target
    count: int


class OrderMemory:
    """Targets known to be good or bad, in one key of the service.

    Attributes:
        store: The key-value service.
        key: The key.
        good: Target that a whole roll ended with, by model.
        bad: Targets whose roll was stopped, by model.
        failures: The latest target that failed and how often, by model.
        changes: Counts what was noted.
        saved: Up to which of the changes the service is known to hold.
        saving: Held by the save that is in progress.
    """

    def __init__(self, store: interfaces.KeyValueStore, key: str) -> None:
        self.store = store
        self.key = key
        self.good: dict[str, orders.Target] = {}
        self.bad: dict[str, orders.Target] = {}
        self.failures: dict[str, Failures] = {}
        self.revision = 0
        self.changes = 0
        self.saved = 0
        self.saving = trio.Lock()

    async def load(self) -> None:
        """Reads what earlier controllers left.

        Raises:
            KeyValueError: The service does not answer.
        """
        found = await self.store.read(self.key)
        self.revision = 0
        self.good, self.bad, self.failures = {}, {}, {}
        self.saved = self.changes
        if not found.items:
            return
        self.revision = found.items[0].mod_revision
        value = json.loads(found.items[0].value)
        self.good = targets(value['good'])
        self.bad = targets(value['bad'])
        self.failures = {
            model: Failures(read_target(item['target']), item['count'])
            for model, item in value['failures'].items()
        }

    def note_good(self, target: orders.Target) -> None:
        """Notes a target that all its engines serve."""
        if self.good.get(target.model) != target:
            self.good[target.model] = target
            self.changes += 1

    def note_bad(self, target: orders.Target) -> None:
        """Notes a target that engines failed to serve."""
        if self.bad.get(target.model) != target:
            self.bad[target.model] = target
            self.changes += 1

    def note_failure(self, target: orders.Target) -> int:
        """Counts an order that failed; returns how many have.

        The count outlives the controller: controllers that change often
        would try a bad version on engine after engine otherwise.
        """
        known = self.failures.get(target.model)
        count = 1
        if known is not None and known.target == target:
            count += known.count
        self.failures[target.model] = Failures(target, count)
        self.changes += 1
        return count

    def forget_bad(self, model: str, wanted: orders.Target) -> None:
        """Forgets a bad target once something else is wanted."""
        if model in self.bad and self.bad[model] != wanted:
            del self.bad[model]
            self.changes += 1

    async def save(self) -> None:
        """Writes what has changed; a failure leaves it for the next time."""
        async with self.saving:
            if self.saved == self.changes:
                return
            # what is noted from here on is not part of this save
            changes = self.changes
            value = self.encode()
            try:
                written = await self.write(value)
            except errors.KeyValueError:
                return
            if written:
                self.saved = changes

    def encode(self) -> bytes:
        """Returns what is known, as it stands in the service."""
        return json.dumps(
            {
                'good': plain(self.good),
                'bad': plain(self.bad),
                'failures': plain(self.failures),
            }
        ).encode()

    async def write(self, value: bytes) -> bool:
        """Writes a value; returns whether it stands in the service.

        Raises:
            KeyValueError: The service does not answer.
        """
        if self.revision:
            await self.store.replace(self.key, value, self.revision)
        else:
            await self.store.create(self.key, value)
        # read back: the answer may have been lost, or another controller
        # may have written since
        found = await self.store.read(self.key)
        self.revision = found.items[0].mod_revision if found.items else 0
        return bool(found.items) and found.items[0].value == value


def targets(value: dict[str, dict]) -> dict[str, orders.Target]:
    """Returns targets by model from their JSON form."""
    return {model: read_target(item) for model, item in value.items()}


def read_target(item: dict) -> orders.Target:
    """Returns a target from its JSON form."""
    return orders.Target(
        item['model'],
        item['version'],
        tuple(item['adapters']),
        item['role'],
    )


def plain(
    items: Mapping[str, orders.Target | Failures],
) -> dict[str, dict[str, Any]]:
    """Returns what is known by model, as JSON can hold it."""
    return {model: attrs.asdict(item) for model, item in items.items()}
