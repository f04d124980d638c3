"""The stand-in answers as one register for each key would."""

from __future__ import annotations

import random

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.standin import key_value


def step(state, call):
    """Returns the next value of a key, None if the answer does not fit."""
    if call.kind == 'create':
        wrote = state is None
        after = call.value if wrote else state
        return (after,) if call.result in (None, wrote) else None
    if call.kind == 'delete':
        count = 0 if state is None else 1
        return (None,) if call.result in (None, count) else None
    value = call.result.items[0].value if call.result.items else None
    return (state,) if value == state else None


def linearizable(calls):
    """Looks for an order of the calls that explains every answer.

    A call takes effect between its beginning and its end; one whose caller
    learned nothing may take effect at any later time or never.
    """
    # a read without an answer tells nothing
    calls = [c for c in calls if c.sure or c.kind != 'read']
    calls.sort(key=lambda call: call.began)
    ends = [call.ended if call.sure else float('inf') for call in calls]
    seen = set()
    stack = [(frozenset(range(len(calls))), None)]
    while stack:
        left, state = stack.pop()
        if (left, state) in seen:
            continue
        seen.add((left, state))
        if not any(calls[i].sure for i in left):
            return True
        first_end = min(ends[i] for i in left)
        for index in left:
            if calls[index].began > first_end:
                continue
            after = step(state, calls[index])
            if after is not None:
                stack.append((left - {index}, after[0]))
    return False


async def play(store, seed):
    """Several clients use a few keys while answers are lost."""
    rng = random.Random(seed)

    async def client(name):
        for number in range(6):
            key = rng.choice('ab')
            kind = rng.choice(('create', 'read', 'read', 'delete'))
            try:
                if kind == 'create':
                    value = f'{name} {number}'.encode()
                    await store.create(key, value)
                elif kind == 'read':
                    await store.read(key)
                else:
                    await store.delete(key)
            except errors.KeyValueError:
                continue

    async with trio.open_nursery() as nursery:
        for name in range(4):
            nursery.start_soon(client, name)


def faulty(cls, seed):
    faults = key_value.Faults(
        latency=0.001,
        jitter=0.01,
        lost_answers=0.15,
        lost_requests=0.1,
        late_writes=0.5,
        late_by=0.1,
        give_up=0.03,
    )
    return cls(random.Random(seed), faults, record=True)


@pytest.mark.parametrize('seed', range(40))
async def test_history_is_linearizable(seed, autojump_clock):
    store = faulty(key_value.MemoryStore, seed)
    await play(store, seed)
    for key in 'ab':
        calls = [call for call in store.history if call.key == key]
        assert linearizable(calls)


class StaleStore(key_value.MemoryStore):
    """Answers some reads with what was there before."""

    async def read(self, key, end=None, limit=0):
        found = await super().read(key, end, limit)
        if self.rng.random() < 0.2 and found.items:
            call = self.history.pop()
            found = interfaces.ReadResult(found.revision, ())
            self.history.append(attrs.evolve(call, result=found))
        return found


async def test_check_finds_a_store_that_answers_from_the_past(
    autojump_clock,
):
    bad = 0
    for seed in range(40):
        store = faulty(StaleStore, seed)
        await play(store, seed)
        for key in 'ab':
            calls = [call for call in store.history if call.key == key]
            bad += not linearizable(calls)
    assert bad > 0


async def test_watch_gives_every_change_or_says_that_it_cannot(
    autojump_clock,
):
    """A watcher starts again where it was; nothing is left out or twice."""
    store = faulty(key_value.MemoryStore, 1)
    seen = []

    async def follow():
        start = 2
        while True:
            try:
                async for changes in store.watch('k/', 'k0', start):
                    seen.extend(change.item.key for change in changes)
                    start = changes[-1].item.mod_revision + 1
            except errors.KeyValueUnavailable:
                await trio.sleep(0.01)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        for number in range(100):
            store.fault(outage=number % 10 == 5)
            try:
                await store.create(f'k/{number:03d}', b'')
            except errors.KeyValueError:
                continue
        store.fault(outage=False)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert seen == [e.item.key for e in store.events]
    assert len(seen) > 50
