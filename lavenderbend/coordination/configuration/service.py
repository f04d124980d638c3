"""Follows the log of accepted changes at the key-value service."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import hashing

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.configuration import (
        contact as configuration_contact,
    )
    from lavenderbend.coordination.configuration import log as configuration_log
    from lavenderbend.state import key_values

# Number of routers that watch the service. The others get changes from peers,
# so that the number of watches does not grow with the fleet.
MAX_WATCHERS = 64
WATCHER_HASH_KEY = 'configuration watchers'
POLL_INTERVAL_SECONDS = 10.0
# Upper limit for the polls of all routers together.
FLEET_POLLS_PER_SECOND = 20.0
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 5.0

STEPS = metrics.counter(
    'lavenderbend_configuration_steps_total',
    'Steps to a newer revision, by where it came from.',
)


class ServiceFollower:
    """Applies accepted changes from the service, by watch and by polling.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        log: The log of accepted changes.
        membership: Live routers.
        contact: Records when the service has replied.
        rng: Source of jitter.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        log: configuration_log.ConfigurationLog,
        membership: interfaces.Membership,
        contact: configuration_contact.ContactMonitor,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.store = store
        self.log = log
        self.membership = membership
        self.contact = contact
        self.rng = rng

    async def run(self) -> None:
        """Follows the log until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow)
            nursery.start_soon(self.poll)

    async def follow(self) -> None:
        """Reads and then watches the log, with backoff after errors."""
        delay = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await self.catch_up()
                delay = INITIAL_BACKOFF_SECONDS
                while not self.is_watcher():
                    await self.membership.wait_changed()
                await self.watch()
            except errors.KeyValueError:
                await trio.sleep(self.rng.uniform(delay / 2, delay))
                delay = min(delay * 2, MAX_BACKOFF_SECONDS)
            except errors.CodecError as exc:
                logs.change('configuration_unreadable', fault=str(exc))
                await trio.sleep(MAX_BACKOFF_SECONDS)

    async def catch_up(self) -> None:
        """Reads what the log has beyond what this router knows.

        Raises:
            KeyValueError: The service did not reply.
            CodecError: An entry could not be read.
        """
        asked_at = self.contact.clock()
        await self.log.catch_up()
        self.contact.note_contact(asked_at)

    def is_watcher(self) -> bool:
        """Returns whether this router is among those that watch the log."""
        routers = {*self.membership.routers(), self.name}
        if len(routers) <= MAX_WATCHERS:
            return True
        ranked = hashing.rendezvous_order(WATCHER_HASH_KEY, routers)
        return self.name in ranked[:MAX_WATCHERS]

    async def watch(self) -> None:
        """Applies changes reported by the watch, until there is a gap."""
        changes = self.store.watch(
            self.log.log.first_key,
            self.log.log.end_key,
            self.log.revision + 1,
        )
        async with contextlib.aclosing(changes):
            async for batch in changes:
                for change in batch:
                    if not change.deleted and not self.apply_change(
                        change.item
                    ):
                        return

    def apply_change(self, entry: key_values.KeyValue) -> bool:
        """Applies a log entry from the watch.

        Returns:
            False if earlier entries are missing.
        """
        number = self.log.log.number(entry.key)
        if number <= self.log.chain.number:
            return True
        if not self.log.chain.apply(number, entry.value):
            return False
        STEPS.inc({'source': 'watch'})
        return True

    async def poll(self) -> None:
        """Reads the log periodically.

        A watch whose connection is dead looks like one without changes.
        """
        while True:
            routers = len(self.membership.routers())
            delay = max(POLL_INTERVAL_SECONDS, routers / FLEET_POLLS_PER_SECOND)
            if routers <= 1:
                # nobody else confirms the configuration
                delay = min(delay, self.contact.interval_seconds)
            await trio.sleep(self.rng.uniform(delay / 2, delay))
            try:
                await self.catch_up()
            except (errors.KeyValueError, errors.CodecError):
                pass
            self.contact.report_stale()
