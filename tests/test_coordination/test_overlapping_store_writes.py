"""Records that become obsolete while another record is being written."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend.coordination.forwarding.crashing_parts import part_records
from lavenderbend.coordination.forwarding.crashing_parts import quarantines
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

# Both parts are due within it, whatever the router's place among the writers.
DUE_SECONDS = 30.0


class Parts:
    """Quarantined and answered parts of one router."""

    def __init__(self, answered=()):
        self.answered = set(answered)
        self.quarantines = {}
        self.on_cleared = None

    def was_answered(self, part):
        return part in self.answered

    def note_recorded(self, part, strike):
        pass

    def note_unrecorded(self, part):
        pass


class Store:
    """A store in which something else changes during each write.

    Attributes:
        calls: Parts whose records were written or removed.
        on_call: Called during each write or removal.
    """

    def __init__(self):
        self.calls = []
        self.on_call = lambda: None

    async def write_part_record(self, part, revision, strike, seconds):
        return await self.call(part)

    async def remove_part_record(self, part, revision):
        return await self.call(part)

    async def call(self, part):
        self.calls.append(part)
        await trio.sleep(0.01)
        self.on_call()
        return True


@pytest.fixture
def store():
    return Store()


@pytest.fixture
async def router(autojump_clock):
    content = fakes.snapshot(10, fakes.table(1))
    return fakes.Router(content, fakes.Exchanges())


def quarantine():
    now = trio.current_time()
    return quarantines.Quarantine(1, now, now, now, None, now, now, False)


def shown(records, revision, kept):
    """Shows a router the given part records in its next snapshot."""
    content = fakes.snapshot(revision, fakes.table(1))
    records.apply_snapshot(attrs.evolve(content, part_records=kept))


async def test_router_survives_a_removal_that_another_router_made_first(
    router, store, nursery, autojump_clock
):
    """Guards against a router that ends with a KeyError."""
    records = part_records.PartRecords(
        router.snapshots, store, Parts(answered=(7, 8))
    )
    shown(
        records,
        20,
        {7: forwarding.PartRecord(15, 1), 8: forwarding.PartRecord(16, 1)},
    )
    store.on_call = lambda: shown(records, 21, {})
    nursery.start_soon(records.run)
    await trio.sleep(DUE_SECONDS)
    assert store.calls == [7]


async def test_part_that_was_released_meanwhile_is_not_recorded(
    router, store, nursery, autojump_clock
):
    """Guards against a record that refuses a part which was just answered."""
    parts = Parts()
    records = part_records.PartRecords(router.snapshots, store, parts)
    shown(records, 20, {})
    for part in (7, 8):
        parts.quarantines[part] = quarantine()
    store.on_call = lambda: parts.quarantines.pop(8, None)
    nursery.start_soon(records.run)
    await trio.sleep(DUE_SECONDS)
    assert set(store.calls) == {7}
