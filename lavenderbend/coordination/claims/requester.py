"""Client side of a claim: which routers are asked, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.state import claims

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces

OWNER_WAIT_SECONDS = 1.0
REPLY_MARGIN_SECONDS = 0.5
REFUSED_RETRY_SECONDS = 2.0
UNDECIDED_PAUSE_SECONDS = 0.02
LOOKUP_TIMEOUT_SECONDS = 0.2
LOOKUP_ROUTERS = 8
SERVICE_DOWN_STATES = (claims.ClaimState.REFUSED, claims.ClaimState.UNAVAILABLE)
CLAIMED_STATES = (
    claims.ClaimState.CLAIMED,
    claims.ClaimState.RUNNING,
    claims.ClaimState.RECORDED,
)

CLAIM_RESULTS = metrics.counter(
    'lavenderbend_claims_total', 'Claims by what their asker was told.'
)


@attrs.define
class ClaimRequest:
    """State of one call of `Claims.claim`.

    Attributes:
        token: Token of the claim.
        digest: Hash of the body.
        deadline: Router clock at which the call fails.
        shards: Number of shards.
        failed_requests: Requests that no owner decided; also the rank of
            the owner that is asked next.
        may_be_committed: Whether the claim may be in the log or still be
            written to it.
    """

    token: claims.ClaimToken
    digest: bytes
    deadline: float
    shards: int
    failed_requests: int = 0
    may_be_committed: bool = False

    def seconds_left(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline - trio.current_time()


class ClaimRequester:
    """Sends the claim requests of one router to the owners of shards.

    Attributes:
        name: Id of this router.
        link: Sends messages to peers.
        owner: Returns the router at a rank in the order of a shard.
        rng: Random source of jitter.
    """

    def __init__(
        self,
        name: str,
        link: interfaces.PeerLink,
        owner: Callable[[int, int], str],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.link = link
        self.owner = owner
        self.rng = rng

    async def resolve(self, claim_request: ClaimRequest) -> messages.ClaimReply:
        """Asks owners, then former owners if the owners cannot decide.

        Raises:
            ClaimUnavailable: No router has a claim of the key.
        """
        try:
            return await self.query_owners(claim_request)
        except errors.ClaimUnavailable:
            reply = await self.query_former_owners(claim_request)
            if reply is None:
                raise
            return reply

    async def query_former_owners(
        self, claim_request: ClaimRequest
    ) -> messages.ClaimReply | None:
        """Returns the reply of a router that may have owned the shard.

        If a shard gets a new owner during an outage, that owner cannot read
        the log. It would answer 'not run' to a copy of a request that the
        previous owner knows to have run.
        """
        token = claim_request.token
        lookup = messages.ClaimLookup(
            token.shard, token.key, token.id, claim_request.digest
        )
        replies = []

        async def look_up(router: str) -> None:
            try:
                with trio.move_on_after(LOOKUP_TIMEOUT_SECONDS):
                    reply = await self.link.request(
                        router, lookup, LOOKUP_TIMEOUT_SECONDS
                    )
                    if claims.ClaimState(reply.state) in CLAIMED_STATES:
                        replies.append(reply)
            except errors.PeerError:
                return

        routers = {
            self.owner(token.shard, rank) for rank in range(LOOKUP_ROUTERS)
        }
        async with trio.open_nursery() as nursery:
            for router in {*routers, self.name}:
                nursery.start_soon(look_up, router)
        return replies[0] if replies else None

    async def query_owners(
        self, claim_request: ClaimRequest
    ) -> messages.ClaimReply:
        """Asks owners until one decides or the deadline has passed.

        Raises:
            ClaimUnavailable: No owner decided.
        """
        running = None
        while claim_request.seconds_left() > 0:
            reply = await self.query_owner(claim_request)
            state = claims.ClaimState(reply.state)
            if state in SERVICE_DOWN_STATES:
                raise self.unavailable_error('the key-value service is down')
            if state is claims.ClaimState.RUNNING:
                running = reply
            elif state is claims.ClaimState.UNDECIDED:
                claim_request.failed_requests += 1
                await trio.sleep(self.rng.uniform(0, UNDECIDED_PAUSE_SECONDS))
            elif claim_request.seconds_left() > 0:
                return reply
        if running is not None:
            return running
        raise self.unavailable_error('not decided before the deadline')

    def unavailable_error(self, detail: str) -> errors.ClaimUnavailable:
        """Returns the error for a claim that was not committed."""
        CLAIM_RESULTS.inc({'result': claims.ClaimState.UNAVAILABLE.value})
        return errors.ClaimUnavailable(detail, REFUSED_RETRY_SECONDS)

    async def query_owner(
        self, claim_request: ClaimRequest
    ) -> messages.ClaimReply:
        """Asks one owner; returns 'undecided' if it cannot be reached.

        After a failure the next router by rank is asked with the same
        token. If the first one committed the claim nevertheless, the log
        contains it and the reply is 'claimed', once.
        """
        token = claim_request.token
        wait = min(claim_request.seconds_left(), OWNER_WAIT_SECONDS)
        message = messages.ClaimCommitRequest(
            token.shard,
            token.key,
            token.id,
            claim_request.digest,
            wait,
            claim_request.shards,
        )
        timeout = min(claim_request.seconds_left(), wait + REPLY_MARGIN_SECONDS)
        owner = self.owner(token.shard, claim_request.failed_requests)
        first_request, claim_request.may_be_committed = (
            not claim_request.may_be_committed,
            True,
        )
        try:
            with trio.move_on_after(timeout):
                reply = await self.link.request(owner, message, timeout)
                refused = claims.ClaimState.REFUSED.value
                if first_request and reply.state == refused:
                    claim_request.may_be_committed = False
                return reply
        except errors.PeerError:
            pass
        return messages.ClaimReply(claims.ClaimState.UNDECIDED.value)
