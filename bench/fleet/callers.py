"""Callers of a fleet, and what they got."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from bench.fleet import entries
from bench.fleet import world
from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.state import configuration
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from lavenderbend.coordination.forwarding import forwarder

CUSTOMERS = 24
HOST = 'fleet.example'
MAX_GAP_SECONDS = 0.5
# What a caller can still be told of a request that was not run.
MIN_SECONDS_LEFT = 0.02
TOKENS_PER_EVENT = 7
NOT_RUN_STATUS = 503


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
        name: Names it, its rule and its path.
        per_second: Requests of the whole fleet.
        target: Seconds within which an answer should begin.
        deadline: Seconds that callers wait for the whole answer.
        rank: Priority, 0 is the most urgent.
        chats: Chats of the whole fleet, 0 for requests without a prompt.
        shared_tokens: What the requests of a chat have in common.
        own_tokens: What is each one's own.
        events: Events of a stream, 0 for an answer that is no stream.
        attempts: Upstreams that a request may be sent to.
    """

    name: str
    per_second: float
    target: float
    deadline: float
    rank: int
    chats: int = 0
    shared_tokens: int = 0
    own_tokens: int = 0
    events: int = 0
    attempts: int = 2

    def rule(self) -> forwarding.ForwardRule:
        """Returns the rule for requests of this kind."""
        return forwarding.ForwardRule(
            self.name,
            configuration.When(
                path=(f'/{self.name}/*',), header={'host': HOST}
            ),
            forwarding.Forward(
                (forwarding.PoolShare(world.SERVICE, 1.0),),
                timeout=self.deadline,
                attempts=self.attempts,
                idempotent=True,
                streaming=self.events > 0,
                resumable=self.events > 0,
                target=self.target,
                max_gap=MAX_GAP_SECONDS,
                rank=self.rank,
            ),
        )


@attrs.frozen
class Arrival:
    """A request that is sent at a time drawn in advance.

    Attributes:
        at: Seconds after the beginning of the play.
        id: Its id.
        router: Number of the router that gets it.
        kind: Its kind.
        chat: Its chat.
        customer: Number of its customer.
    """

    at: float
    id: str
    router: int
    kind: Kind
    chat: int
    customer: int


@attrs.frozen
class Rush:
    """One customer that sends many times its usual for a while.

    Attributes:
        customer: Number of the customer.
        multiple: Of its usual requests.
        begin: Seconds after the beginning of the play.
        end: Likewise.
    """

    customer: int
    multiple: float
    begin: float
    end: float


def draw(
    kind: Kind,
    rng: random.Random,
    routers: int,
    seconds: Sequence[float],
    per_second: float,
    customer: int | None = None,
) -> list[Arrival]:
    """Returns requests of a kind at random times.

    Args:
        kind: The kind.
        rng: Draws them.
        routers: Number of routers, of which each gets as many.
        seconds: Beginning and end.
        per_second: How many.
        customer: Whose they are, None for a customer drawn for each.
    """
    at, end = seconds
    arrivals = []
    while (at := at + rng.expovariate(per_second)) < end:
        owner = rng.randrange(CUSTOMERS) if customer is None else customer
        # Chats belong to the customers in turn.
        own_chats = max(1, kind.chats // CUSTOMERS)
        chat = owner + CUSTOMERS * rng.randrange(own_chats)
        name = f'{kind.name}-{rng.getrandbits(48):012x}'
        arrivals.append(
            Arrival(at, name, rng.randrange(routers), kind, chat, owner)
        )
    return arrivals


@attrs.define
class Got:
    """What callers of one kind got.

    Attributes:
        requests: How many there were.
        in_time: Answers that began within the target.
        late: Answers that began later.
        unserved: Requests that did not begin, and were not refused.
        refused: Requests that were refused before their deadline as not run.
        broken: Answers that began and did not end.
        false_refusals: Refused requests that an upstream had received.
        pauses: Pauses over 500 ms in streams.
        waits: Seconds until each answer began.
        refused_after: Seconds until each refusal.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused: int = 0
    broken: int = 0
    false_refusals: int = 0
    pauses: int = 0
    waits: list[float] = attrs.field(factory=list)
    refused_after: list[float] = attrs.field(factory=list)

    def figures(self) -> dict[str, float]:
        """Returns the parts of all requests, in percent, and counts."""
        count = max(1, self.requests)
        found = {
            name: round(100.0 * getattr(self, name) / count, 2)
            for name in ('in_time', 'late', 'unserved', 'refused')
        }
        waits = sorted(self.waits) or [0.0]
        return {
            'requests': self.requests,
            **found,
            'broken': self.broken,
            'false_refusals': self.false_refusals,
            'pauses': self.pauses,
            'p50_ms': round(1000 * waits[len(waits) // 2]),
            'p95_ms': round(1000 * waits[int(0.95 * len(waits))]),
            'refused_mean_ms': round(
                1000 * sum(self.refused_after) / max(1, len(self.refused_after))
            ),
        }


class Answer(interfaces.CallerAnswer):
    """Records when a caller receives something.

    Attributes:
        begun_at: When the answer began, None if it did not.
        pauses: Pauses over 500 ms within it.
    """

    def __init__(self) -> None:
        self.begun_at: float | None = None
        self.last_at = 0.0
        self.pauses = 0

    async def send_whole(
        self, status: int, headers: interfaces.Headers, body: bytes
    ) -> None:
        """Records a whole answer."""
        self.started = self.finished = True
        if status == 200:
            self.begun_at = trio.current_time()
        await trio.lowlevel.checkpoint()

    async def start(self, status: int, headers: interfaces.Headers) -> None:
        """Records the beginning of a stream."""
        self.started = True
        self.begun_at = self.last_at = trio.current_time()
        await trio.lowlevel.checkpoint()

    async def send(self, data: bytes) -> None:
        """Records events."""
        now = trio.current_time()
        self.pauses += now - self.last_at > MAX_GAP_SECONDS
        self.last_at = now
        await trio.lowlevel.checkpoint()

    async def finish(self) -> None:
        """Records the end."""
        self.finished = True
        await trio.lowlevel.checkpoint()


class Callers:
    """Sends requests to routers and records what came of them.

    Attributes:
        paths: Request path of each router by number.
        ran: Returns whether an upstream received a request.
        got: By kind.
        by_customer: By customer.
    """

    def __init__(self, paths: dict[int, forwarder.Forwarder], ran) -> None:
        self.paths = paths
        self.ran = ran
        self.got: dict[str, Got] = collections.defaultdict(Got)
        self.by_customer: dict[int, Got] = collections.defaultdict(Got)

    async def play(self, arrivals: Sequence[Arrival]) -> None:
        """Sends all requests and waits for the end of each."""
        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            for arrival in sorted(arrivals, key=lambda one: one.at):
                await trio.sleep_until(begin + arrival.at)
                nursery.start_soon(self.send, arrival)

    async def send(self, arrival: Arrival) -> None:
        """Sends one request."""
        answer = Answer()
        begin = trio.current_time()
        error = None
        try:
            await self.paths[arrival.router].forward(
                make_request(arrival), answer
            )
        except errors.RequestError as exc:
            error = exc
        seconds = trio.current_time() - begin
        for got in (
            self.got[arrival.kind.name],
            self.by_customer[arrival.customer],
        ):
            self.record(got, arrival, answer, error, begin, seconds)

    def record(
        self,
        got: Got,
        arrival: Arrival,
        answer: Answer,
        error: errors.RequestError | None,
        begin: float,
        seconds: float,
    ) -> None:
        """Counts one request that has ended."""
        got.requests += 1
        got.pauses += answer.pauses
        if answer.begun_at is not None:
            wait = answer.begun_at - begin
            got.waits.append(wait)
            got.in_time += wait <= arrival.kind.target
            got.late += wait > arrival.kind.target
            got.broken += error is not None
            return
        told_not_run = error is not None and error.status == NOT_RUN_STATUS
        if told_not_run and self.ran(arrival.id):
            got.false_refusals += 1
        left = arrival.kind.deadline - seconds
        if not told_not_run or left < MIN_SECONDS_LEFT:
            got.unserved += 1
            return
        got.refused += 1
        got.refused_after.append(seconds)


def make_request(arrival: Arrival) -> interfaces.CallerRequest:
    """Returns the request of an arrival as a router receives it."""
    kind = arrival.kind
    headers = {
        'host': HOST,
        entries.HEADERS.request_id: arrival.id,
        entries.HEADERS.deadline: f'{kind.deadline * 1000:.0f}',
        'authorization': f'Bearer {key_of(arrival.customer)}',
    }
    if kind.events:
        output = kind.events * TOKENS_PER_EVENT
        headers['x-events'] = str(kind.events)
        headers[entries.HEADERS.tokens] = (
            f'{kind.shared_tokens + kind.own_tokens},{output}'
        )
        headers[entries.HEADERS.length_hint] = str(output)
        headers[entries.HEADERS.prompt_parts] = (
            f'{kind.name}-all:0,'
            f'{kind.name}-{arrival.chat}:{kind.shared_tokens},'
            f'{arrival.id}:{kind.own_tokens}'
        )
    raw = tuple(
        (key.encode(), value.encode()) for key, value in headers.items()
    )
    target = f'/{kind.name}/1'.encode()
    return interfaces.CallerRequest(
        b'POST', target, raw, b'{}', trio.current_time()
    )


def key_of(customer: int) -> str:
    """Returns the credential of a customer."""
    return f'key-{customer}'


def customers() -> tuple[forwarding.ForwardCustomer, ...]:
    """Returns all customers."""
    return tuple(
        forwarding.ForwardCustomer(f'customer-{number}', (key_of(number),))
        for number in range(CUSTOMERS)
    )
