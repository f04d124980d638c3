"""A small stand-in for the platform's key-value service, with faults."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.standin import app_serving
from lavenderbend.standin import key_value_data
from lavenderbend.standin import key_value_http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import quart_trio

MAX_VALUE_BYTES = 1024 * 1024
# these count against the limit of writes, all others against that of reads
WRITE_KINDS = ('create', 'replace', 'delete')


@attrs.define
class Faults:
    """What goes wrong now; every share is between 0 and 1.

    Attributes:
        latency: Seconds one way.
        jitter: Further seconds one way, evenly up to this.
        outage: No call reaches the service and watches end.
        lost_requests: Share of calls that are lost on the way there.
        lost_answers: Share of calls carried out whose answer is lost.
        late_writes: Share of the lost requests that take effect later on.
        late_by: Seconds after which they do, at most.
        give_up: Seconds until a caller gives up on a lost call.
        writes_per_second: Limit, 0 for none; more are refused.
        reads_per_second: Limit, 0 for none; more are refused.
    """

    latency: float = 0.0
    jitter: float = 0.0
    outage: bool = False
    lost_requests: float = 0.0
    lost_answers: float = 0.0
    late_writes: float = 0.0
    late_by: float = 1.0
    give_up: float = 0.5
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0


@attrs.frozen
class Call:
    """One call, for checks of the history.

    Attributes:
        kind: Such as `read` or `create`.
        key: First key.
        value: The value written.
        began: When it was sent.
        ended: When its answer came or its caller gave up.
        result: What was answered, None if nothing was.
        sure: False when the caller cannot know if it took effect.
    """

    kind: str
    key: str
    value: bytes
    began: float
    ended: float
    result: object
    sure: bool


class Gate:
    """A limit of calls a second with a burst of one second."""

    def __init__(self) -> None:
        self.level = 0.0
        self.at = 0.0

    def admits(self, rate: float, now: float) -> bool:
        """Takes one call from the allowance, if there is one."""
        if rate <= 0:
            return True
        self.level = max(0.0, self.level - (now - self.at) * rate)
        self.at = now
        if self.level + 1 > rate:
            return False
        self.level += 1
        return True


class MemoryStore(key_value_data.Data, interfaces.KeyValueStore):
    """Calls and watches on data in memory, with faults, on trio's clock.

    Attributes:
        faults: What goes wrong now; change it through `fault`.
        rng: Source of the faults.
        calls: Calls by kind.
        bytes_written: Bytes of values in writes.
        bytes_read: Bytes of values in answers to reads and watches.
        history: Calls made, while `record` is set.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        faults: Faults | None = None,
        record: bool = False,
    ) -> None:
        super().__init__()
        self.faults = faults or Faults()
        self.rng = rng or random.Random(0)
        self.record = record
        self.late: list[tuple[float, Callable[[], object]]] = []
        self.gates = {'write': Gate(), 'read': Gate()}
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.bytes_written = 0
        self.bytes_read = 0
        self.history: list[Call] = []

    def fault(self, **changes: float | bool) -> None:
        """Changes what goes wrong from now on."""
        self.faults = attrs.evolve(self.faults, **changes)
        self.watchers.unpark_all()

    async def read(
        self, key: str, end: str | None = None, limit: int = 0
    ) -> interfaces.ReadResult:
        """Reads one key or a range at one store revision."""

        def effect() -> interfaces.ReadResult:
            names = self.names(key, end)
            if limit:
                names = names[:limit]
            found = tuple(self.items[name] for name in names)
            self.bytes_read += sum(len(item.value) for item in found)
            return interfaces.ReadResult(self.revision, found)

        return await self.call('read', key, b'', effect)

    async def create(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        present: str | None = None,
        absent: str | None = None,
    ) -> bool:
        """Writes the key if it is absent and the guards hold."""

        def effect() -> bool:
            if key in self.items or (absent in self.items):
                return False
            if present is not None and present not in self.items:
                return False
            return self.put(key, value, lease)

        return await self.call('create', key, value, effect)

    async def replace(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Writes the key if it is still at that revision."""

        def effect() -> bool:
            item = self.items.get(key)
            if (item.mod_revision if item else 0) != mod_revision:
                return False
            return self.put(key, value, lease)

        return await self.call('replace', key, value, effect)

    async def delete(
        self, key: str, end: str | None = None, mod_revision: int | None = None
    ) -> int:
        """Deletes one key or a range."""

        def effect() -> int:
            if mod_revision is not None:
                item = self.items.get(key)
                if (item.mod_revision if item else 0) != mod_revision:
                    return 0
            return self.remove(self.names(key, end))

        return await self.call('delete', key, b'', effect)

    async def grant_lease(self, seconds: float) -> int:
        """Returns a new lease."""

        def effect() -> int:
            self.next_lease += 1
            expires = trio.current_time() + seconds
            self.leases[self.next_lease] = key_value_data.HeldLease(
                seconds, expires
            )
            return self.next_lease

        return await self.call('grant', '', b'', effect)

    async def renew_lease(self, lease: int) -> float:
        """Renews a lease; 0 if it is gone."""

        def effect() -> float:
            held = self.leases.get(lease)
            if held is None:
                return 0.0
            held.expires = trio.current_time() + held.seconds
            return held.seconds

        return await self.call('keepalive', '', b'', effect)

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        await self.call('revoke', '', b'', lambda: self.end_lease(lease))

    def lapse(self, lease: int) -> None:
        """Lets a lease lapse at once, as if its time had run out."""
        self.end_lease(lease)

    async def watch(
        self, key: str, end: str | None, start_revision: int
    ) -> AsyncIterator[tuple[interfaces.Change, ...]]:
        """Yields changes from a revision on, and waits for more."""
        self.calls['watch'] += 1
        position = start_revision
        while True:
            await trio.sleep(self.one_way())
            self.settle()
            if self.faults.outage:
                raise errors.KeyValueUnavailable('watch: outage')
            if position < self.compacted:
                raise errors.KeyValueUnavailable('watch: compacted')
            changes = self.changes(key, end, position)
            position = self.revision + 1
            if changes:
                self.bytes_read += sum(len(c.item.value) for c in changes)
                yield changes
            if position <= self.revision or self.faults.outage:
                continue
            with trio.move_on_at(self.next_due()):
                await self.watchers.park()

    async def call(
        self,
        kind: str,
        key: str,
        value: bytes,
        effect: Callable[[], object],
    ):
        """Carries out one call with the faults of the moment."""
        began = trio.current_time()
        self.calls[kind] += 1
        self.check_call(kind, value)
        await trio.sleep(self.one_way())
        if self.rng.random() < self.faults.lost_requests:
            self.maybe_late(kind, effect)
            await self.lose(kind, key, value, began)
        if self.faults.outage:
            raise errors.KeyValueUnavailable(f'{kind}: outage')
        self.settle()
        result = effect()
        await trio.sleep(self.one_way())
        lost = self.rng.random() < self.faults.lost_answers
        if lost or self.faults.outage:
            await self.lose(kind, key, value, began)
        self.note(kind, key, value, began, result, sure=True)
        return result

    def check_call(self, kind: str, value: bytes) -> None:
        """Refuses a call in an outage, over the rate or too large."""
        if len(value) > MAX_VALUE_BYTES:
            raise errors.KeyValueUnavailable(f'{kind}: value too large')
        if self.faults.outage:
            raise errors.KeyValueUnavailable(f'{kind}: outage')
        self.bytes_written += len(value)
        write = kind in WRITE_KINDS
        rate = self.faults.reads_per_second
        if write:
            rate = self.faults.writes_per_second
        gate = self.gates['write' if write else 'read']
        if not gate.admits(rate, trio.current_time()):
            self.refused += 1
            raise errors.KeyValueUnavailable(f'{kind}: too many requests')

    def maybe_late(self, kind: str, effect: Callable[[], object]) -> None:
        """Lets some of the lost writes arrive after all, later on."""
        if kind not in WRITE_KINDS:
            return
        if self.rng.random() >= self.faults.late_writes:
            return
        delay = self.rng.uniform(0, self.faults.late_by)
        self.late.append((trio.current_time() + delay, effect))
        self.late.sort(key=lambda pair: pair[0])
        self.watchers.unpark_all()

    async def lose(
        self, kind: str, key: str, value: bytes, began: float
    ) -> None:
        """Lets the caller wait and then learn nothing."""
        await trio.sleep(self.faults.give_up)
        self.note(kind, key, value, began, None, sure=False)
        if kind == 'read':
            raise errors.KeyValueUnavailable('read: no answer')
        raise errors.KeyValueUncertain(f'{kind}: no answer')

    def note(
        self,
        kind: str,
        key: str,
        value: bytes,
        began: float,
        result: object,
        sure: bool,
    ) -> None:
        """Keeps the call for checks of the history."""
        if self.record:
            ended = trio.current_time()
            self.history.append(
                Call(kind, key, value, began, ended, result, sure)
            )

    def one_way(self) -> float:
        """Returns the seconds that a message travels now."""
        faults = self.faults
        return faults.latency + self.rng.uniform(0, faults.jitter)

    def settle(self) -> None:
        """Lets due late writes take effect and due leases lapse."""
        now = trio.current_time()
        while self.late and self.late[0][0] <= now:
            effect = self.late.pop(0)[1]
            effect()
        for lease, held in list(self.leases.items()):
            if held.expires <= now:
                self.end_lease(lease)

    def next_due(self) -> float:
        """Returns when something happens without a call."""
        dues = [held.expires for held in self.leases.values()]
        dues += [due for due, effect in self.late]
        return min(dues, default=float('inf'))


def app(store: MemoryStore) -> quart_trio.QuartTrio:
    """Returns the application that serves the store over HTTP."""
    return key_value_http.app(store)


async def serve(
    host: str,
    port: int,
    store: MemoryStore,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the store until cancelled; reports its URL when it is bound."""
    await app_serving.serve(app(store), host, port, task_status)
