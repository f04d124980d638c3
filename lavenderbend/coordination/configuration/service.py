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

# routers that watch the service; the others hear from peers, so that the
# calls to the service stay the same however large the fleet is
WATCHERS = 64
RANK_KEY = 'configuration watchers'
POLL_SECONDS = 10.0
# the fleet together polls the service at most so often
FLEET_POLLS_PER_SECOND = 20.0
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0

FETCHES = metrics.counter(
    'lavenderbend_configuration_steps_total',
    'Steps to a newer revision, by where it came from.',
)


class ServiceFollower:
    """Takes what the service tells, by watch and by reading now and then.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        log: The log of accepted changes.
        membership: Which routers answer.
        contact: Told when the service has answered.
        rng: Source of jitter.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        log: configuration_log.ConfigurationLog,
        membership: interfaces.Membership,
        contact: configuration_contact.Contact,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.store = store
        self.log = log
        self.membership = membership
        self.contact = contact
        self.rng = rng

    async def run(self) -> None:
        """Follows until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow)
            nursery.start_soon(self.poll)

    async def follow(self) -> None:
        """Reads and watches the log, again and again."""
        pause = RETRY_SECONDS
        while True:
            try:
                await self.log.catch_up()
                self.contact.note()
                pause = RETRY_SECONDS
                while not self.watches():
                    await self.membership.wait_changed()
                await self.watch()
            except errors.KeyValueError:
                await trio.sleep(self.rng.uniform(pause / 2, pause))
                pause = min(pause * 2, MAX_RETRY_SECONDS)
            except errors.CodecError as exc:
                logs.change('configuration_unreadable', fault=str(exc))
                await trio.sleep(MAX_RETRY_SECONDS)

    def watches(self) -> bool:
        """Returns whether this router is one of those that watch."""
        routers = {*self.membership.routers(), self.name}
        if len(routers) <= WATCHERS:
            return True
        ranked = hashing.rendezvous_order(RANK_KEY, routers)
        return self.name in ranked[:WATCHERS]

    async def watch(self) -> None:
        """Takes changes as the service tells them, until a gap."""
        changes = self.store.watch(
            self.log.log.first_key,
            self.log.log.end_key,
            self.log.revision + 1,
        )
        async with contextlib.aclosing(changes):
            async for batch in changes:
                self.contact.note()
                for change in batch:
                    if not change.deleted and not self.take(change.item):
                        return

    def take(self, item: key_values.KeyValue) -> bool:
        """Takes an entry seen by the watch; false if some are missing."""
        number = self.log.log.number(item.key)
        if number <= self.log.chain.number:
            return True
        if not self.log.chain.take(number, item.value):
            return False
        FETCHES.inc({'source': 'watch'})
        return True

    async def poll(self) -> None:
        """Reads once in a while: a dead watch looks like a quiet one."""
        while True:
            routers = len(self.membership.routers())
            pause = max(POLL_SECONDS, routers / FLEET_POLLS_PER_SECOND)
            await trio.sleep(self.rng.uniform(pause / 2, pause))
            try:
                await self.log.catch_up()
                self.contact.note()
            except (errors.KeyValueError, errors.CodecError):
                pass
            self.contact.check()
