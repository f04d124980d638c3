"""Requests to peers that have no answer yet."""

from __future__ import annotations

import attrs
import trio

from lavenderbend import errors
from lavenderbend.protocol import peer


@attrs.define(eq=False)
class PendingRequest:
    """A request that has no answer yet.

    Attributes:
        peer_id: Id of the router it was sent to.
        done: Set when there is an answer or an error.
        answer: The answer.
        error: Why there will be no answer.
    """

    peer_id: str
    done: trio.Event = attrs.field(factory=trio.Event)
    answer: peer.Message | None = None
    error: errors.PeerError | None = None


class PendingRequests:
    """The requests of one link that have no answer yet.

    Attributes:
        requests: The requests, by number.
        last_number: The number assigned last.
    """

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.last_number = 0

    def next_number(self) -> int:
        """Returns a number that is unique among the requests of the link."""
        self.last_number += 1
        return self.last_number

    async def wait_answer(
        self, number: int, peer_id: str, timeout: float
    ) -> PendingRequest:
        """Waits for the end of a request, at most `timeout` seconds.

        Returns:
            The request; after a timeout it has neither answer nor error.
        """
        request = PendingRequest(peer_id)
        self.requests[number] = request
        try:
            with trio.move_on_after(timeout):
                await request.done.wait()
        finally:
            del self.requests[number]
        return request

    def fail(self, reason: str, peer_id: str | None = None) -> None:
        """Ends requests with `PeerUnreachable`.

        Args:
            reason: Why they can no longer be answered.
            peer_id: Ends only requests to this peer; None for all peers.
        """
        for request in self.requests.values():
            if peer_id in {None, request.peer_id} and not request.done.is_set():
                request.error = errors.PeerUnreachable(
                    f'{request.peer_id}: {reason}'
                )
                request.done.set()


def answer_or_raise(peer_id: str, answer: peer.Message) -> peer.Message:
    """Returns the answer, unless it is a failure.

    Raises:
        PeerRefused: The answer is a failure.
    """
    if isinstance(answer, peer.Failure):
        raise errors.PeerRefused(answer.kind, answer, peer_id)
    return answer
