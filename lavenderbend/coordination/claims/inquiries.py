"""The asking side of a claim: which routers to ask, and how often."""

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

ASK_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.5
REFUSED_RETRY_SECONDS = 2.0
UNDECIDED_SECONDS = 0.02
LOOK_SECONDS = 0.2
LOOKS = 8
GIVEN_UP = (claims.ClaimState.REFUSED, claims.ClaimState.UNAVAILABLE)
KNOWN = (
    claims.ClaimState.CLAIMED,
    claims.ClaimState.RUNNING,
    claims.ClaimState.RECORDED,
)

CLAIMS = metrics.counter(
    'lavenderbend_claims_total', 'Claims by what their asker was told.'
)


@attrs.define
class Inquiry:
    """What one call of `Claims.claim` goes through.

    Attributes:
        token: Of the claim.
        digest: Hash of the body.
        deadline: When to give up.
        shards: How many shards there are.
        tries: Owners asked in vain.
        unsure: Whether the claim may stand in the log or come to.
    """

    token: claims.ClaimToken
    digest: bytes
    deadline: float
    shards: int
    tries: int = 0
    unsure: bool = False

    def left(self) -> float:
        """Returns the seconds to the deadline."""
        return self.deadline - trio.current_time()


class Inquirer:
    """Asks owners of shards on behalf of one router.

    Attributes:
        name: Id of this router.
        link: Messages to peers.
        owner: Gives the router to ask for a shard, by rank.
        rng: Source of jitter.
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

    async def decided(self, inquiry: Inquiry) -> messages.ClaimAnswer:
        """Asks owners, and others where these cannot decide.

        Raises:
            ClaimUnavailable: Nobody knows anything of the key.
        """
        try:
            return await self.ask_owners(inquiry)
        except errors.ClaimUnavailable:
            answer = await self.look_around(inquiry)
            if answer is None:
                raise
            return answer

    async def look_around(
        self, inquiry: Inquiry
    ) -> messages.ClaimAnswer | None:
        """Returns what routers know that may have owned the shard before.

        A shard falls to a new owner during an outage, and it cannot read
        the log: it would say 'not run' to a copy of a request that the
        owner before knows to have run.
        """
        token = inquiry.token
        look = messages.ClaimLook(
            token.shard, token.key, token.id, inquiry.digest
        )
        found = []

        async def ask(router: str) -> None:
            try:
                with trio.move_on_after(LOOK_SECONDS):
                    answer = await self.link.request(router, look, LOOK_SECONDS)
                    if claims.ClaimState(answer.state) in KNOWN:
                        found.append(answer)
            except errors.PeerError:
                return

        routers = {self.owner(token.shard, rank) for rank in range(LOOKS)}
        async with trio.open_nursery() as nursery:
            for router in {*routers, self.name}:
                nursery.start_soon(ask, router)
        return found[0] if found else None

    async def ask_owners(self, inquiry: Inquiry) -> messages.ClaimAnswer:
        """Asks owners until one decides, or the deadline comes.

        Raises:
            ClaimUnavailable: None did.
        """
        running = None
        while inquiry.left() > 0:
            answer = await self.ask(inquiry)
            state = claims.ClaimState(answer.state)
            if state in GIVEN_UP:
                raise self.unavailable('the key-value service is down')
            if state is claims.ClaimState.RUNNING:
                running = answer
            elif state is claims.ClaimState.UNDECIDED:
                inquiry.tries += 1
                await trio.sleep(self.rng.uniform(0, UNDECIDED_SECONDS))
            elif inquiry.left() > 0:
                return answer
        if running is not None:
            return running
        raise self.unavailable('not decided before the deadline')

    def unavailable(self, detail: str) -> errors.ClaimUnavailable:
        """Returns the error for a claim that was not committed."""
        CLAIMS.inc({'result': claims.ClaimState.UNAVAILABLE.value})
        return errors.ClaimUnavailable(detail, REFUSED_RETRY_SECONDS)

    async def ask(self, inquiry: Inquiry) -> messages.ClaimAnswer:
        """Asks one owner; undecided if it cannot be reached.

        After a failure the next router by rank is asked, with the same
        token: if the first one committed the claim all the same, the log
        says so and the answer is 'claimed', once.
        """
        token = inquiry.token
        patience = min(inquiry.left(), ASK_SECONDS)
        ask = messages.ClaimAsk(
            token.shard,
            token.key,
            token.id,
            inquiry.digest,
            patience,
            inquiry.shards,
        )
        timeout = min(inquiry.left(), patience + ANSWER_MARGIN_SECONDS)
        owner = self.owner(token.shard, inquiry.tries)
        sure, inquiry.unsure = not inquiry.unsure, True
        try:
            with trio.move_on_after(timeout):
                answer = await self.link.request(owner, ask, timeout)
                refused = claims.ClaimState.REFUSED.value
                if sure and answer.state == refused:
                    inquiry.unsure = False
                return answer
        except errors.PeerError:
            pass
        return messages.ClaimAnswer(claims.ClaimState.UNDECIDED.value)
