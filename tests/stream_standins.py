"""Fake engines whose streams stall, end early or are numbered wrongly."""

from __future__ import annotations

import collections
import random

import h11
import trio

from tests import platform_standins as standins

PAUSE_SECONDS = (0.3, 0.8)
MIN_EVENTS = 5
EVENTS_STEP = 12
LENGTHS = 4
# padded, the longest streams exceed a small receive buffer several times
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
# faults that end a stream use up a retry, and the retry budget is small
WEIGHTS = (4, 1, 1, 1, 1, 1, 1, 1)


def number_of(target) -> int:
    return int(target.rpartition('/')[2])


def event_count(target) -> int:
    """Returns the number of events in the stream of a target."""
    return MIN_EVENTS + EVENTS_STEP * (number_of(target) % LENGTHS)


def event(target, number) -> bytes:
    """Returns an event that is unique to its stream."""
    padding = '.' * PADDING_BYTES if number_of(target) // LENGTHS % 2 else ''
    return f'id: {number}\ndata: x{number} {target} {padding}\n\n'.encode()


def body_of(target, after=0) -> bytes:
    """Returns all events after the given one."""
    numbers = range(after + 1, event_count(target) + 1)
    return b''.join(event(target, number) for number in numbers)


class Stream:
    """A streamed answer, in chunked coding or ended by the connection."""

    def __init__(self, worker, request, stream, protocol, framed=True) -> None:
        self.target = request.target
        self.gap = worker.gap
        self.stream = stream
        self.protocol = protocol
        self.framed = framed
        self.headers = [
            *worker.headers(request),
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
        """Sends events, each in a separate write."""
        for number in numbers:
            await self.send_in_one_write([number])

    async def send_in_one_write(self, numbers) -> None:
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
        rng: Chooses the faults and their positions in the streams.
        fault_fraction: Fraction of its streams that get a fault.
        history: Times and descriptions of its answers, by request id.
    """

    def __init__(self, instance, service, seed) -> None:
        super().__init__(instance, service)
        self.rng = random.Random(f'{seed} {instance}')
        self.fault_fraction = 0.0
        self.history = collections.defaultdict(list)

    async def answer(self, request, stream, protocol):
        if not self.plans and self.rng.random() < self.fault_fraction:
            self.plans.extend(self.rng.choices(PLANS, WEIGHTS))
        plan = self.plans[0] if self.plans else 'well'
        request_id = request.headers['lavenderbend-request-id']
        after = request.headers.get('last-event-id', 0)
        text = f'{self.instance} {plan} after {after}'
        self.history[request_id].append((trio.current_time(), text))
        await super().answer(request, stream, protocol)

    async def begin_stream(self, request, stream, protocol, framed=True):
        """Begins a stream; returns it and the numbers of its events."""
        answer = Stream(self, request, stream, protocol, framed)
        await answer.begin()
        after = int(request.headers.get('last-event-id', 0))
        return answer, range(after + 1, event_count(request.target) + 1)

    async def events_from(self, request, stream, protocol, until):
        """Sends all events; the target determines their number."""
        answer, due = await self.begin_stream(request, stream, protocol)
        await answer.send(due)
        await answer.end()

    def split(self, due):
        """Splits events at a random position."""
        position = self.rng.randrange(len(due)) if due else 0
        return due[:position], due[position:]

    async def pauses(self, request, stream, protocol):
        """Pauses, and then sends delayed events in one write."""
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol)
        for _ in range(2):
            before, due = self.split(due)
            await answer.send(before)
            await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            delayed = self.rng.randint(1, 4)
            await answer.send_in_one_write(due[:delayed])
            due = due[delayed:]
        await answer.send(due)
        await answer.end()

    async def falls_silent(self, request, stream, protocol):
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol)
        await answer.send(self.split(due)[0])
        await trio.sleep_forever()

    async def breaks_off(self, request, stream, protocol):
        await self.end_within(request, stream, protocol, True)

    async def closes_within_an_event(self, request, stream, protocol):
        await self.end_within(request, stream, protocol, False)

    async def end_within(self, request, stream, protocol, framed):
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol, framed)
        before, rest = self.split(due)
        await answer.send(before)
        if rest:
            last = event(request.target, rest[0])
            await answer.write(last[: self.rng.randrange(1, len(last))])
        stream.socket.close()

    async def unframed(self, request, stream, protocol):
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol, False)
        await answer.send(due)
        await answer.end()

    async def skips(self, request, stream, protocol):
        await self.contradict(request, stream, protocol, (0, 1, 3))

    async def repeats(self, request, stream, protocol):
        await self.contradict(request, stream, protocol, (0, 1, 1))

    async def contradict(self, request, stream, protocol, steps):
        """Sends events in one write that skip or repeat a number."""
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol)
        before, rest = self.split(due)
        await answer.send(before)
        if len(rest) > max(steps):
            await answer.send_in_one_write([rest[step] for step in steps])
            rest = rest[max(steps) + 1 :]
        await answer.send(rest)
        await answer.end()

    async def starts_over(self, request, stream, protocol):
        """Sends the stream from its first event, ignoring last-event-id."""
        self.note_run(request)
        answer, due = await self.begin_stream(request, stream, protocol)
        await answer.send(range(1, due.stop))
        await answer.end()
