"""Engines whose streams pause, fall silent, break off, or contradict."""

from __future__ import annotations

import collections
import random

import h11
import trio

from tests import platform_standins as standins

PAUSE_SECONDS = (0.3, 0.8)
SHORTEST = 5
STEP = 12
LENGTHS = 4
# with it, the longest streams are several times a small receive buffer
PADDING_BYTES = 4000
PLANS = (
    'pauses',
    'falls_silent',
    'breaks_off',
    'closes_within_an_event',
    'unframed',
    'skips',
    'repeats',
    'starts_over',
)
UNFRAMED = ('closes_within_an_event', 'unframed')
# what ends a stream costs a repeat, of which routers have few
WEIGHTS = (4, 1, 1, 1, 1, 1, 1, 1)


def number_of(target) -> int:
    return int(target.rpartition('/')[2])


def length_of(target) -> int:
    """Returns how many events the stream of a target has."""
    return SHORTEST + STEP * (number_of(target) % LENGTHS)


def event(target, number) -> bytes:
    """Returns an event; no two streams share one."""
    padding = '.' * PADDING_BYTES if number_of(target) // LENGTHS % 2 else ''
    return f'id: {number}\ndata: x{number} {target} {padding}\n\n'.encode()


def body_of(target, after=0) -> bytes:
    """Returns all events behind one."""
    numbers = range(after + 1, length_of(target) + 1)
    return b''.join(event(target, number) for number in numbers)


class Stream:
    """One answer in events, chunked or without a length."""

    def __init__(self, worker, asked, stream, protocol, framed=True) -> None:
        self.target = asked.target
        self.gap = worker.gap
        self.stream = stream
        self.protocol = protocol
        self.framed = framed
        self.headers = [
            *worker.headers(asked),
            ('content-type', 'text/event-stream'),
        ]

    async def begin(self) -> None:
        if self.framed:
            head = h11.Response(status_code=200, headers=self.headers)
            await self.stream.send_all(self.protocol.send(head))
            return
        lines = [f'{name}: {value}' for name, value in self.headers]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        await self.stream.send_all(head.encode())

    async def write(self, data) -> None:
        if self.framed:
            data = self.protocol.send(h11.Data(data=data))
        await self.stream.send_all(data)

    async def send(self, numbers) -> None:
        """Sends events, each in a write of its own."""
        for number in numbers:
            await self.together([number])

    async def together(self, numbers) -> None:
        """Sends events in one write."""
        events = [event(self.target, number) for number in numbers]
        await self.write(b''.join(events))
        await trio.sleep(self.gap)

    async def end(self) -> None:
        if self.framed:
            await self.stream.send_all(self.protocol.send(h11.EndOfMessage()))
            return
        self.stream.socket.close()


class StreamWorker(standins.Worker):
    """An engine whose streams differ by their target.

    Attributes:
        rng: Draws what goes wrong, and where in a stream.
        troubled: Share of its streams that something goes wrong in.
        did: What it did, by request.
    """

    def __init__(self, instance, service, seed) -> None:
        super().__init__(instance, service)
        self.rng = random.Random(f'{seed} {instance}')
        self.troubled = 0.0
        self.did = collections.defaultdict(list)

    async def answer(self, asked, stream, protocol):
        if not self.plans and self.rng.random() < self.troubled:
            self.plans.extend(self.rng.choices(PLANS, WEIGHTS))
        plan = self.plans[0] if self.plans else 'well'
        request = asked.headers['lavenderbend-request-id']
        after = asked.headers.get('last-event-id', 0)
        text = f'{self.instance} {plan} after {after}'
        self.did[request].append((trio.current_time(), text))
        await super().answer(asked, stream, protocol)

    async def begun(self, asked, stream, protocol, framed=True):
        """Returns a stream that has begun, and the events due in it."""
        answer = Stream(self, asked, stream, protocol, framed)
        await answer.begin()
        after = int(asked.headers.get('last-event-id', 0))
        return answer, range(after + 1, length_of(asked.target) + 1)

    async def events_from(self, asked, stream, protocol, until):
        """Sends all events; how many, is up to the target."""
        answer, due = await self.begun(asked, stream, protocol)
        await answer.send(due)
        await answer.end()

    def parted(self, due):
        """Returns the events before a point in the stream, and the others."""
        at = self.rng.randrange(len(due)) if due else 0
        return due[:at], due[at:]

    async def pauses(self, asked, stream, protocol):
        """Pauses, and sends what it held back in one write."""
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol)
        for _ in range(2):
            before, due = self.parted(due)
            await answer.send(before)
            await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            held = self.rng.randint(1, 4)
            await answer.together(due[:held])
            due = due[held:]
        await answer.send(due)
        await answer.end()

    async def falls_silent(self, asked, stream, protocol):
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol)
        await answer.send(self.parted(due)[0])
        await trio.sleep_forever()

    async def breaks_off(self, asked, stream, protocol):
        await self.end_within(asked, stream, protocol, True)

    async def closes_within_an_event(self, asked, stream, protocol):
        await self.end_within(asked, stream, protocol, False)

    async def end_within(self, asked, stream, protocol, framed):
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol, framed)
        before, rest = self.parted(due)
        await answer.send(before)
        if rest:
            last = event(asked.target, rest[0])
            await answer.write(last[: self.rng.randrange(1, len(last))])
        stream.socket.close()

    async def unframed(self, asked, stream, protocol):
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol, False)
        await answer.send(due)
        await answer.end()

    async def skips(self, asked, stream, protocol):
        await self.contradict(asked, stream, protocol, (0, 1, 3))

    async def repeats(self, asked, stream, protocol):
        await self.contradict(asked, stream, protocol, (0, 1, 1))

    async def contradict(self, asked, stream, protocol, steps):
        """Numbers events in one write as no stream is numbered."""
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol)
        before, rest = self.parted(due)
        await answer.send(before)
        if len(rest) > max(steps):
            await answer.together([rest[step] for step in steps])
            rest = rest[max(steps) + 1 :]
        await answer.send(rest)
        await answer.end()

    async def starts_over(self, asked, stream, protocol):
        """Goes on at the first event, whatever the caller has."""
        self.note_run(asked)
        answer, due = await self.begun(asked, stream, protocol)
        await answer.send(range(1, due.stop))
        await answer.end()
