"""Requests to peers that wait for their answers."""

from __future__ import annotations

import attrs
import trio

from lavenderbend import errors
from lavenderbend.protocol import peer


@attrs.define(eq=False)
class Call:
    """A request that waits for its answer.

    Attributes:
        peer_id: Who it was sent to.
        done: Set when there is an answer or an error.
        answer: The answer.
        error: Why there will be none.
    """

    peer_id: str
    done: trio.Event = attrs.field(factory=trio.Event)
    answer: peer.Message | None = None
    error: errors.PeerError | None = None


class Calls:
    """The requests of one link without an answer yet.

    Attributes:
        open: The requests, by number.
        last: The latest number given.
    """

    def __init__(self) -> None:
        self.open: dict[int, Call] = {}
        self.last = 0

    def number(self) -> int:
        """Returns a number that no other request has."""
        self.last += 1
        return self.last

    async def wait(self, number: int, peer_id: str, timeout: float) -> Call:
        """Returns a request once it has ended or its time is over."""
        call = Call(peer_id)
        self.open[number] = call
        try:
            with trio.move_on_after(timeout):
                await call.done.wait()
        finally:
            del self.open[number]
        return call

    def fail(self, reason: str, peer_id: str | None = None) -> None:
        """Ends requests that can get no answer any more."""
        for call in self.open.values():
            if peer_id in {None, call.peer_id} and not call.done.is_set():
                call.error = errors.PeerUnreachable(f'{call.peer_id}: {reason}')
                call.done.set()


def checked(peer_id: str, answer: peer.Message) -> peer.Message:
    """Returns an answer that is no failure.

    Raises:
        PeerRefused: It is one.
    """
    if isinstance(answer, peer.Failure):
        raise errors.PeerRefused(answer.kind, answer, peer_id)
    return answer
