"""Results of past orders, which a pool's next controller reads."""

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
    """Consecutive failed orders of one target.

    Attributes:
        target: Target of the orders.
        count: Number of failed orders.
    """

    target: orders.Target
    count: int


class RolloutRecords:
    """Targets known to be good or bad, stored under one key of the service.

    Attributes:
        store: The key-value service.
        key: The key.
        good: Target of the last completed rollout, by model.
        bad: Target whose rollout was stopped, by model.
        failures: The latest target that failed and how often, by model.
        revision: Store revision of the key, 0 while it does not exist.
        changes: Number of changes made here.
        saved_changes: Number of those that the service is known to hold.
        save_lock: Held while a save is in progress.
    """

    def __init__(self, store: interfaces.KeyValueStore, key: str) -> None:
        self.store = store
        self.key = key
        self.good: dict[str, orders.Target] = {}
        self.bad: dict[str, orders.Target] = {}
        self.failures: dict[str, Failures] = {}
        self.revision = 0
        self.changes = 0
        self.saved_changes = 0
        self.save_lock = trio.Lock()

    async def load(self) -> None:
        """Reads what earlier controllers stored.

        Raises:
            KeyValueError: The service cannot be reached.
        """
        result = await self.store.read(self.key)
        self.revision = 0
        self.good, self.bad, self.failures = {}, {}, {}
        self.saved_changes = self.changes
        if not result.items:
            return
        self.revision = result.items[0].mod_revision
        value = json.loads(result.items[0].value)
        self.good = targets_from_json(value['good'])
        self.bad = targets_from_json(value['bad'])
        self.failures = {
            model: Failures(
                target_from_json(failures['target']), failures['count']
            )
            for model, failures in value['failures'].items()
        }

    def note_good(self, target: orders.Target) -> None:
        """Records a target whose rollout is complete."""
        if self.good.get(target.model) != target:
            self.good[target.model] = target
            self.changes += 1

    def note_bad(self, target: orders.Target) -> None:
        """Records a target that engines failed to serve."""
        if self.bad.get(target.model) != target:
            self.bad[target.model] = target
            self.changes += 1

    def note_failure(self, target: orders.Target) -> int:
        """Counts a failed order; returns how many have failed in a row.

        The count is stored for the next controller: if controllers change
        often, each would otherwise try a bad version on further engines.
        """
        earlier = self.failures.get(target.model)
        count = 1
        if earlier is not None and earlier.target == target:
            count += earlier.count
        self.failures[target.model] = Failures(target, count)
        self.changes += 1
        return count

    def clear_bad(self, model: str, configured: orders.Target) -> None:
        """Removes the bad target of a model if another one is configured."""
        if model in self.bad and self.bad[model] != configured:
            del self.bad[model]
            self.changes += 1

    async def save(self) -> None:
        """Writes unsaved changes; after a failure the next call retries."""
        async with self.save_lock:
            if self.saved_changes == self.changes:
                return
            # Changes made while the write is in progress are not part of it.
            changes = self.changes
            value = self.encode()
            try:
                written = await self.write(value)
            except errors.KeyValueError:
                return
            if written:
                self.saved_changes = changes

    def encode(self) -> bytes:
        """Returns the value to store in the service."""
        return json.dumps(
            {
                'good': to_json(self.good),
                'bad': to_json(self.bad),
                'failures': to_json(self.failures),
            }
        ).encode()

    async def write(self, value: bytes) -> bool:
        """Writes a value; returns whether the service now holds it.

        Raises:
            KeyValueError: The service cannot be reached.
        """
        if self.revision:
            await self.store.replace(self.key, value, self.revision)
        else:
            await self.store.create(self.key, value)
        # Read the key back: the reply to the write may have been lost, or
        # another controller may have written since.
        result = await self.store.read(self.key)
        self.revision = result.items[0].mod_revision if result.items else 0
        return bool(result.items) and result.items[0].value == value


def targets_from_json(value: dict[str, dict]) -> dict[str, orders.Target]:
    """Returns targets by model from their JSON form."""
    return {model: target_from_json(target) for model, target in value.items()}


def target_from_json(value: dict) -> orders.Target:
    """Returns a target from its JSON form."""
    return orders.Target(
        value['model'],
        value['version'],
        tuple(value['adapters']),
        value['role'],
    )


def to_json(
    by_model: Mapping[str, orders.Target | Failures],
) -> dict[str, dict[str, Any]]:
    """Returns the JSON form of targets or failures by model."""
    return {model: attrs.asdict(value) for model, value in by_model.items()}
