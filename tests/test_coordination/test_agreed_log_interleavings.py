"""Every interleaving of a few writers of the log, faults at every step."""

from __future__ import annotations

import collections
import types

import pytest

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import log
from lavenderbend.state import key_values

PREFIX = 'l/'
# what may happen to one call to the service
DONE = 'done'
LOST_ANSWER = 'lost answer'
LOST_REQUEST = 'lost request'
LATE = 'late'
CRASH = 'crash'


class Memory:
    """The service's keys, with the calls of the log as plain functions."""

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
        found = []
        if key in self.items:
            found = [key_values.KeyValue(key, self.items[key], 1, 1)]
        return interfaces.ReadResult(1, tuple(found))

    def delete(self, key, end):
        for name in [n for n in self.items if key <= n < end]:
            del self.items[name]
        return 0


@types.coroutine
def step(call):
    """Hands a call to the scheduler and gets back what it answers."""
    answer = yield call
    if isinstance(answer, Exception):
        raise answer
    return answer


class SteppedStore:
    """Hands each call to the scheduler instead of carrying it out."""

    async def create(self, key, value, lease=0, present=None, absent=None):
        return await step(('create', key, value, present, absent))

    async def read(self, key, end=None, limit=0):
        return await step(('read', key))

    async def delete(self, key, end=None, mod_revision=None):
        return await step(('delete', key, end))


async def writer(journal, name, number):
    """Appends one value, going on behind whatever others wrote."""
    value = name.encode()
    for _ in range(2):
        try:
            entry = await journal.append(number, value)
        except errors.KeyValueUncertain:
            return ('uncertain', value)
        except errors.KeyValueUnavailable:
            return ('unavailable', value)
        except errors.LogCompacted:
            return ('compacted', value)
        if entry.value == value:
            return ('appended', number, value)
        number += 1
    return ('beaten', value)


async def compactor(journal, before):
    try:
        await journal.compact(before)
    except errors.KeyValueError:
        pass
    return ('compacted', b'')


class Explorer:
    """Replays one list of choices at a time, depth first.

    A choice is which writer goes on, or a late write that arrives, and what
    happens to the call. Coroutines cannot be copied, so each path is played
    from its beginning; a state that was reached before by another order is
    not explored again.
    """

    def __init__(self, make, journal, start, faults):
        self.make = make
        self.journal = journal
        self.start = start
        self.faults = faults
        self.states = set()

    def explore(self, check):
        """Plays every path and checks each end."""
        stack = [()]
        while stack:
            path = stack.pop()
            options = self.play(path, check)
            stack += [(*path, option) for option in options]

    def play(self, path, check):
        """Plays a path; returns what may come next, none at an end."""
        run = Run(self)
        for choice in path:
            run.take(choice)
        state = run.state()
        if state in self.states:
            return []
        self.states.add(state)
        options = run.options()
        if not options:
            check(run)
        return options


class Run:
    """One path as it is played."""

    def __init__(self, explorer):
        self.memory = Memory(explorer.start)
        self.faults_left = explorer.faults
        self.late = []
        self.results = {}
        self.calls = {}
        self.heard = collections.defaultdict(list)
        self.tasks = dict(enumerate(explorer.make(explorer.journal)))
        # every entry that ever stood, so that deletions do not hide one
        self.stood = dict(explorer.start)
        for name in list(self.tasks):
            self.resume(name, None)

    def state(self):
        """What decides the future: a task's is all that it has heard."""
        return (
            frozenset(self.memory.items.items()),
            frozenset(self.stood.items()),
            tuple(sorted(map(repr, self.late))),
            tuple(tuple(self.heard[name]) for name in sorted(self.tasks)),
            self.faults_left,
        )

    def resume(self, name, answer):
        self.heard[name].append(repr(answer))
        try:
            self.calls[name] = self.tasks[name].send(answer)
        except StopIteration as stop:
            self.results[name] = stop.value
            self.calls.pop(name, None)

    def options(self):
        found = [('late', index) for index in range(len(self.late))]
        for name, call in self.calls.items():
            kinds = [DONE]
            if self.faults_left and call[0] == 'create':
                kinds += [LOST_ANSWER, LOST_REQUEST, LATE, CRASH]
            found += [(name, kind) for kind in kinds]
        return found

    def take(self, choice):
        if choice[0] == 'late':
            self.carry_out(self.late.pop(choice[1]))
            return
        name, kind = choice
        call = self.calls[name]
        if kind == DONE:
            self.resume(name, self.carry_out(call))
            return
        self.faults_left -= 1
        if kind in (LOST_ANSWER, CRASH):
            self.carry_out(call)
        if kind == LATE:
            self.late.append(call)
        if kind == CRASH:
            self.tasks[name].close()
            self.heard[name].append(CRASH)
            self.calls.pop(name)
            return
        self.resume(name, errors.KeyValueUncertain('lost'))

    def carry_out(self, call):
        answer = getattr(self.memory, call[0])(*call[1:])
        for key, value in self.memory.items.items():
            if key.startswith(PREFIX + 'entry/'):
                first = self.stood.setdefault(key, value)
                # an entry's place is never given to another value
                assert first == value, f'{key}: {first} and then {value}'
        return answer


def check_end(run):
    """Whoever was told so is in the log, and exactly once."""
    places = {}
    for key, value in run.stood.items():
        if key.startswith(PREFIX + 'entry/'):
            assert value not in places, f'{value} stands twice'
            places[value] = key
    for result in run.results.values():
        if result[0] == 'appended':
            key = f'{PREFIX}entry/{result[1]:016d}'
            assert run.stood.get(key) == result[2]
        if result[0] in ('unavailable', 'beaten'):
            assert result[1] not in places
    kept = [k for k in run.memory.items if k.startswith(PREFIX + 'entry/')]
    numbers = sorted(int(key[-16:]) for key in kept)
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))


def entries(*values):
    return {
        f'{PREFIX}entry/{number:016d}': value.encode()
        for number, value in enumerate(values, 1)
    }


def explore(make, start, faults, journal_class=log.Log):
    journal = journal_class(SteppedStore(), PREFIX)
    explorer = Explorer(make, journal, start, faults)
    explorer.explore(check_end)
    return len(explorer.states)


def two_writers(journal):
    return [writer(journal, 'a', 1), writer(journal, 'b', 1)]


def three_writers(journal):
    return [writer(journal, name, 1) for name in 'abc']


def paused_writers_and_a_compactor(journal):
    """Writers that last saw the log at 0, 1, 2 and 3 entries."""
    return [
        writer(journal, 'a', 1),
        writer(journal, 'b', 2),
        writer(journal, 'c', 4),
        compactor(journal, 3),
    ]


def test_two_writers_with_three_faults():
    assert explore(two_writers, {}, faults=3) > 1000


def test_three_writers_with_two_faults():
    assert explore(three_writers, {}, faults=2) > 1000


def test_paused_writers_meet_a_compacted_log():
    """Writers paused since the log was short wake up beside a compaction.

    A number that was compacted looks absent: written again, its claim
    would be answered 'claimed' a second time.
    """
    start = entries('x', 'y', 'z')
    assert explore(paused_writers_and_a_compactor, start, faults=1) > 1000


class UnguardedLog(log.Log):
    """A log without the guard that the entry before must be there."""

    async def create(self, number, value):
        return await self.store.create(self.key(number), value)


def test_exploration_finds_the_missing_guard():
    with pytest.raises(AssertionError, match='and then'):
        explore(
            paused_writers_and_a_compactor,
            entries('x', 'y', 'z'),
            faults=0,
            journal_class=UnguardedLog,
        )


class HastyLog(log.Log):
    """A log that takes a lost answer for a refusal."""

    async def append(self, number, value):
        try:
            return await super().append(number, value)
        except errors.KeyValueUncertain as exc:
            raise errors.KeyValueUnavailable(str(exc)) from exc


def test_exploration_finds_a_write_taken_for_refused():
    with pytest.raises(AssertionError):
        explore(two_writers, {}, faults=4, journal_class=HastyLog)
