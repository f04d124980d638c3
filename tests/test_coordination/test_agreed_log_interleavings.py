"""Explores all interleavings of a few writers of the log, with faults."""

from __future__ import annotations

import collections
import types

import pytest

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import log
from lavenderbend.state import key_values

PREFIX = 'l/'
# Possible outcomes of one call to the service.
DONE = 'done'
LOST_ANSWER = 'lost answer'
LOST_REQUEST = 'lost request'
LATE = 'late'
CRASH = 'crash'


class MemoryStore:
    """The keys of the service; the calls of the log are plain functions."""

    def __init__(self, items):
        self.items = dict(items)

    def create(self, key, value, present, absent):
        if key in self.items or absent in self.items:
            return False
        if present is not None and present not in self.items:
            return False
        self.items[key] = value
        return True

    def read(self, key):
        matching = []
        if key in self.items:
            matching = [key_values.KeyValue(key, self.items[key], 1, 1)]
        return interfaces.ReadResult(1, tuple(matching))

    def delete(self, key, end):
        for name in [n for n in self.items if key <= n < end]:
            del self.items[name]
        return 0


@types.coroutine
def step(call):
    """Passes a call to the scheduler; returns or raises its reply."""
    reply = yield call
    if isinstance(reply, Exception):
        raise reply
    return reply


class SteppedStore:
    """Passes each call to the scheduler instead of executing it."""

    async def create(self, key, value, lease=0, present=None, absent=None):
        return await step(('create', key, value, present, absent))

    async def read(self, key, end=None, limit=0):
        return await step(('read', key))

    async def delete(self, key, end=None, mod_revision=None):
        return await step(('delete', key, end))


async def writer(subject_log, name, number):
    """Appends one value, after an entry that another writer has created."""
    value = name.encode()
    for _ in range(2):
        try:
            entry = await subject_log.append(number, value)
        except errors.KeyValueUncertain:
            return ('uncertain', value)
        except errors.KeyValueUnavailable:
            return ('unavailable', value)
        except errors.LogCompacted:
            return ('compacted', value)
        if entry.value == value:
            return ('appended', number, value)
        number += 1
    return ('superseded', value)


async def compactor(subject_log, before):
    try:
        await subject_log.compact(before)
    except errors.KeyValueError:
        pass
    return ('compacted', b'')


class Explorer:
    """Explores the lists of choices depth first.

    A choice is which writer continues and the outcome of its call, or which
    delayed write takes effect. Coroutines cannot be copied, so each path is
    run from the start. A state that another path has reached is not explored
    again.
    """

    def __init__(self, make_tasks, subject_log, start, faults):
        self.make_tasks = make_tasks
        self.subject_log = subject_log
        self.start = start
        self.faults = faults
        self.states = set()

    def explore(self, check):
        """Runs every path and checks each final state."""
        stack = [()]
        while stack:
            path = stack.pop()
            options = self.play(path, check)
            stack += [(*path, option) for option in options]

    def play(self, path, check):
        """Runs a path; returns the next choices, none in a final state."""
        run = Run(self)
        for choice in path:
            run.apply(choice)
        state = run.state()
        if state in self.states:
            return []
        self.states.add(state)
        options = run.options()
        if not options:
            check(run)
        return options


class Run:
    """One run along a path."""

    def __init__(self, explorer):
        self.memory = MemoryStore(explorer.start)
        self.faults_left = explorer.faults
        self.late = []
        self.results = {}
        self.calls = {}
        self.replies = collections.defaultdict(list)
        self.tasks = dict(enumerate(explorer.make_tasks(explorer.subject_log)))
        # All entries ever written, including deleted ones.
        self.written = dict(explorer.start)
        for name in list(self.tasks):
            self.resume(name, None)

    def state(self):
        """All that later steps depend on; for a task, the replies it got."""
        return (
            frozenset(self.memory.items.items()),
            frozenset(self.written.items()),
            tuple(sorted(map(repr, self.late))),
            tuple(tuple(self.replies[name]) for name in sorted(self.tasks)),
            self.faults_left,
        )

    def resume(self, name, reply):
        self.replies[name].append(repr(reply))
        try:
            self.calls[name] = self.tasks[name].send(reply)
        except StopIteration as stop:
            self.results[name] = stop.value
            self.calls.pop(name, None)

    def options(self):
        options = [('late', index) for index in range(len(self.late))]
        for name, call in self.calls.items():
            kinds = [DONE]
            if self.faults_left and call[0] == 'create':
                kinds += [LOST_ANSWER, LOST_REQUEST, LATE, CRASH]
            options += [(name, kind) for kind in kinds]
        return options

    def apply(self, choice):
        if choice[0] == 'late':
            self.execute(self.late.pop(choice[1]))
            return
        name, kind = choice
        call = self.calls[name]
        if kind == DONE:
            self.resume(name, self.execute(call))
            return
        self.faults_left -= 1
        if kind in (LOST_ANSWER, CRASH):
            self.execute(call)
        if kind == LATE:
            self.late.append(call)
        if kind == CRASH:
            self.tasks[name].close()
            self.replies[name].append(CRASH)
            self.calls.pop(name)
            return
        self.resume(name, errors.KeyValueUncertain('lost'))

    def execute(self, call):
        reply = getattr(self.memory, call[0])(*call[1:])
        for key, value in self.memory.items.items():
            if key.startswith(PREFIX + 'entry/'):
                first = self.written.setdefault(key, value)
                # a number is never reused for another value
                assert first == value, f'{key}: {first} and then {value}'
        return reply


def check_final_state(run):
    """Checks that each confirmed value is in the log exactly once."""
    keys_by_value = {}
    for key, value in run.written.items():
        if key.startswith(PREFIX + 'entry/'):
            assert value not in keys_by_value, f'{value} was written twice'
            keys_by_value[value] = key
    for result in run.results.values():
        if result[0] == 'appended':
            key = f'{PREFIX}entry/{result[1]:016d}'
            assert run.written.get(key) == result[2]
        if result[0] in ('unavailable', 'superseded'):
            assert result[1] not in keys_by_value
    remaining = [k for k in run.memory.items if k.startswith(PREFIX + 'entry/')]
    numbers = sorted(int(key[-16:]) for key in remaining)
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))


def entries(*values):
    return {
        f'{PREFIX}entry/{number:016d}': value.encode()
        for number, value in enumerate(values, 1)
    }


def explore(make_tasks, start, faults, log_class=log.Log):
    subject_log = log_class(SteppedStore(), PREFIX)
    explorer = Explorer(make_tasks, subject_log, start, faults)
    explorer.explore(check_final_state)
    return len(explorer.states)


def two_writers(subject_log):
    return [writer(subject_log, 'a', 1), writer(subject_log, 'b', 1)]


def three_writers(subject_log):
    return [writer(subject_log, name, 1) for name in 'abc']


def paused_writers_and_a_compactor(subject_log):
    """Writers that last read the log at 0, 1 and 3 entries; a compactor."""
    return [
        writer(subject_log, 'a', 1),
        writer(subject_log, 'b', 2),
        writer(subject_log, 'c', 4),
        compactor(subject_log, 3),
    ]


def test_two_writers_with_three_faults():
    assert explore(two_writers, {}, faults=3) > 1000


def test_three_writers_with_two_faults():
    assert explore(three_writers, {}, faults=2) > 1000


def test_paused_writers_meet_a_compacted_log():
    """Writers that were paused since the log was short resume at a compaction.

    The key of a compacted number is absent. If it were written again, its
    claim would be confirmed a second time.
    """
    start = entries('x', 'y', 'z')
    assert explore(paused_writers_and_a_compactor, start, faults=1) > 1000


class UnguardedLog(log.Log):
    """A log without the condition that the previous entry exists."""

    async def create(self, number, value):
        return await self.store.create(self.key(number), value)


def test_exploration_finds_the_missing_condition():
    with pytest.raises(AssertionError, match='and then'):
        explore(
            paused_writers_and_a_compactor,
            entries('x', 'y', 'z'),
            faults=0,
            log_class=UnguardedLog,
        )


class UncertainAsUnavailableLog(log.Log):
    """A log that treats a lost reply as a failed write."""

    async def append(self, number, value):
        try:
            return await super().append(number, value)
        except errors.KeyValueUncertain as exc:
            raise errors.KeyValueUnavailable(str(exc)) from exc


def test_exploration_finds_a_lost_reply_treated_as_failure():
    with pytest.raises(AssertionError):
        explore(two_writers, {}, faults=4, log_class=UncertainAsUnavailableLog)
