"""Requests that crash each upstream that runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# one death may be any request's that was there; at a second one on another
# upstream a request that never succeeded between is taken for the cause
DEATHS_TO_STOP = 2
# a caller that sends such a request keeps on for so long at most
REMEMBER_SECONDS = 120.0
# a process that died refuses connections by then; one whose connection was
# only reset accepts them
CONFIRM_SECONDS = 0.05
MAX_RECORDS = 1000
COME_BACK_SECONDS = 30.0

DEATHS = metrics.counter(
    'lavenderbend_forward_upstream_deaths_total',
    'Upstreams that died while they had requests of this router.',
)
STOPPED = metrics.counter(
    'lavenderbend_forward_crashing_requests_total',
    'Requests refused because upstreams died of them before.',
)


def fingerprint(request: interfaces.CallerRequest, customer: str) -> int:
    """Returns what a request has in common with its repetitions."""
    return hashing.hash64(
        request.header('host') or '',
        request.method,
        request.target,
        customer,
        request.body,
    )


@attrs.define
class Record:
    """What is known of one fingerprint.

    Attributes:
        instances: Upstreams that died with it.
        at: Router clock of the latest death.
    """

    instances: set[str]
    at: float


@attrs.define(eq=False)
class Loss:
    """A connection that was lost while it had a request.

    Attributes:
        mark: Fingerprint of the request.
        upstream: The upstream.
        cleared: Whether the request has run to a good end since.
    """

    mark: int
    upstream: forwarding.Upstream
    cleared: bool = False


class Crashes:
    """Finds requests that upstreams die of, and refuses them.

    A death is told to all routers: the caller sends the request again
    through any of them. A success clears the request: what has run to a
    good end does not crash upstreams, and many callers may send the same.

    Attributes:
        records: By fingerprint.
        losses: Lost connections of which it is not known yet whether their
            upstreams died.
        tell: Tells other routers.
        alive: Returns whether an upstream accepts connections.
    """

    def __init__(
        self,
        alive: Callable[[forwarding.Upstream], object],
        tell: Callable[[messages_forwarding.CrashNotice], None],
    ) -> None:
        self.alive = alive
        self.tell = tell
        self.records: dict[int, Record] = {}
        self.losses: set[Loss] = set()
        self.lost: trio.MemorySendChannel | None = None

    def check(self, ticket: tickets.Ticket) -> None:
        """Refuses a request that upstreams died of.

        Raises:
            RequestQuarantined: It is one.
        """
        if not self.records:
            return
        record = self.records.get(self.fingerprint(ticket))
        if record is None or len(record.instances) < DEATHS_TO_STOP:
            return
        if trio.current_time() - record.at > REMEMBER_SECONDS:
            return
        STOPPED.inc({})
        error = errors.RequestQuarantined(
            f'{len(record.instances)} upstreams died of this request',
            COME_BACK_SECONDS,
        )
        error.status = errors.NoUpstream.status
        raise error

    def fingerprint(self, ticket: tickets.Ticket) -> int:
        """Returns the fingerprint of a ticket's request, made once."""
        if ticket.fingerprint is None:
            ticket.fingerprint = fingerprint(ticket.request, ticket.customer)
        return ticket.fingerprint

    def note_success(self, ticket: tickets.Ticket) -> None:
        """Clears a request that ran to a good end."""
        if not self.records and not self.losses:
            return
        mark = self.fingerprint(ticket)
        if self.clear(mark):
            self.tell(messages_forwarding.CrashNotice(mark, [], True))

    def clear(self, mark: int) -> bool:
        """Forgets the deaths of a fingerprint; returns whether any counted."""
        for loss in self.losses:
            # its record comes after this success, and must not outlive it
            if loss.mark == mark:
                loss.cleared = True
        return self.records.pop(mark, None) is not None

    def note_lost(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Notes that a connection was lost while it had a request."""
        if self.lost is None:
            return
        loss = Loss(self.fingerprint(ticket), upstream)
        try:
            self.lost.send_nowait(loss)
        except trio.WouldBlock:
            logs.change('crash_not_examined', upstream=upstream.instance)
            return
        self.losses.add(loss)

    async def run(self) -> None:
        """Examines lost connections."""
        self.lost, received = trio.open_memory_channel(MAX_RECORDS)
        async with trio.open_nursery() as nursery:
            async for loss in received:
                nursery.start_soon(self.examine, loss)

    async def examine(self, loss: Loss) -> None:
        """Finds out whether an upstream died, or a connection was reset."""
        try:
            await trio.sleep(CONFIRM_SECONDS)
            if await self.alive(loss.upstream):
                return
        finally:
            self.losses.discard(loss)
        DEATHS.inc({})
        if loss.cleared:
            return
        died = [loss.upstream.instance]
        self.note_death(loss.mark, died)
        self.tell(messages_forwarding.CrashNotice(loss.mark, died, False))

    def note_death(self, mark: int, instances: list[str]) -> None:
        """Notes that upstreams died while they had a request."""
        record = self.records.get(mark)
        if record is None:
            self.forget_old()
            record = self.records[mark] = Record(set(), 0.0)
        record.instances.update(instances)
        record.at = trio.current_time()
        logs.change(
            'request_at_death',
            fingerprint=f'{mark:016x}',
            upstreams=sorted(record.instances),
            stopped=len(record.instances) >= DEATHS_TO_STOP,
        )

    def forget_old(self) -> None:
        """Forgets what is too old, and the oldest if it is too much."""
        oldest = trio.current_time() - REMEMBER_SECONDS
        for mark, record in list(self.records.items()):
            if record.at < oldest or len(self.records) >= MAX_RECORDS:
                del self.records[mark]

    def on_notice(self, notice: messages_forwarding.CrashNotice) -> None:
        """Takes in what another router tells."""
        if notice.cleared:
            self.clear(notice.fingerprint)
            return
        self.note_death(notice.fingerprint, list(notice.instances))

    def notices(self) -> list[messages_forwarding.CrashNotice]:
        """Returns what a router that is new has to know."""
        self.forget_old()
        return [
            messages_forwarding.CrashNotice(
                mark, sorted(record.instances), False
            )
            for mark, record in self.records.items()
        ]
