"""The search for one permit, at the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import held
from lavenderbend.coordination.admission import refusals
from lavenderbend.coordination.admission import serving
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import service
    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

CHAT_SHIFT = 32
LAST_WORD_SECONDS = 0.05
# how long a group without upstreams for a model is not asked for it
EMPTY_SECONDS = 3.0

DEGRADED = metrics.counter(
    'lavenderbend_permits_degraded_total', 'Permits given without an owner.'
)


class Search:
    """The search for one permit."""

    def __init__(
        self,
        admission: service.OwnerAdmission,
        ask: interfaces.PermitAsk,
        pool: configuration.Pool,
    ) -> None:
        self.admission = admission
        self.ask = ask
        self.pool = pool
        self.chat = ask.chat >> CHAT_SHIFT
        self.number = admission.next_number()
        self.started = trio.current_time()
        self.avoid = {messages_decisions.short_id(one) for one in ask.avoid}
        self.index = self.first_group()
        self.hops = 0
        self.waits = False

    async def run(self) -> interfaces.Permit:
        """Returns the permit; raises as `Admission.acquire`."""
        while True:
            self.check_deadline()
            group = groups.group_id(self.pool, self.index)
            owner = self.admission.owner_of(group)
            if not owner:
                permit = self.admit_alone(group)
                if permit is not None:
                    return permit
                await trio.sleep(self.admission.settings.degraded_poll)
                continue
            answer = await self.request(owner, group)
            permit = self.follow(answer, owner, group)
            if permit is not None:
                return permit

    def first_group(self) -> int:
        """Returns the group to ask, of those that may serve the model.

        Raises:
            NoUpstream: Every group has said that none of its upstreams does.
        """
        now = trio.current_time()
        empty = self.admission.empty
        indices = [
            index
            for index in range(max(1, self.pool.groups))
            if empty.get((self.pool.name, index, self.ask.model), 0.0) <= now
        ]
        if not indices:
            raise errors.NoUpstream('no upstream of the pool serves this', 1)
        return groups.chat_group(self.chat or self.number, indices)

    def next_group(self, answer: messages_decisions.PermitElsewhere) -> None:
        """Goes on to another group."""
        if answer.group is not None:
            self.index = answer.group
            self.hops += 1
            return
        key = (self.pool.name, self.index, self.ask.model)
        self.admission.empty[key] = trio.current_time() + EMPTY_SECONDS
        self.index = self.first_group()
        self.hops = 0

    def check_deadline(self) -> None:
        """Ends the search at the deadline.

        Raises:
            PoolFull: The deadline has come.
        """
        if trio.current_time() < self.ask.deadline - LAST_WORD_SECONDS:
            return
        raise errors.PoolFull('no upstream was free before the deadline', 1)

    async def request(
        self, owner: str, group: groups.GroupId
    ) -> peer.Message | None:
        """Asks an owner; returns None if it cannot be reached."""
        admission = self.admission
        with trio.CancelScope() as scope:
            admission.asking[owner][scope] = None
            try:
                answer = await self.exchange(owner, group)
                if owner in admission.out_of_touch:
                    admission.back_in_touch(owner)
                return answer
            except errors.PeerRefused as exc:
                refusals.raise_refusal(exc)
                self.abandon(owner)
                await trio.sleep(admission.settings.degraded_poll)
                return None
            except errors.PeerUnreachable:
                admission.asking[owner].pop(scope, None)
                admission.suspect(owner)
                self.abandon(owner)
                return None
            except trio.Cancelled:
                self.give_up(owner)
                raise
            finally:
                admission.asking[owner].pop(scope, None)
        # cancelled because the owner is lost
        self.abandon(owner)
        return None

    async def exchange(self, owner: str, group: groups.GroupId) -> peer.Message:
        """Sends the request or a poll and returns the answer."""
        settings = self.admission.settings
        left = self.ask.deadline - trio.current_time()
        hold = settings.hold if self.waits else settings.first_hold
        hold = max(0.0, min(hold, left - LAST_WORD_SECONDS))
        item: peer.Message
        if self.waits:
            item = messages_decisions.PermitPoll(
                self.number, group.pool, group.index, round(hold * 1000)
            )
        else:
            item = self.message(owner, group, hold, left)
        timeout = hold + settings.ask_timeout
        return await self.admission.link.request(owner, item, timeout)

    def abandon(self, owner: str) -> None:
        """Goes on with another number.

        The owner may have granted this one all the same: without the notice
        the permit would be live there until the next resync.
        """
        self.give_up(owner)
        self.number = self.admission.next_number()
        self.waits = False

    def give_up(self, owner: str) -> None:
        """Tells an owner that this number is not used."""
        item = messages_decisions.PermitRelease([self.number], True)
        self.admission.tell(owner, item)

    def message(
        self, owner: str, group: groups.GroupId, hold: float, left: float
    ) -> messages_decisions.PermitRequest:
        """Returns the message that asks for the permit."""
        short_id = messages_decisions.short_id
        ask = self.ask
        return messages_decisions.PermitRequest(
            number=self.number,
            pool=group.pool,
            group=group.index,
            customer=short_id(ask.customer),
            chat=self.chat,
            model=short_id(ask.model) if ask.model else None,
            adapter=short_id(ask.adapter) if ask.adapter else None,
            priority=int(ask.priority),
            prompt_tokens=ask.prompt_tokens,
            left=round(left * 1000),
            hold=round(hold * 1000),
            avoid=sorted(self.avoid),
            hops=self.hops,
            suspect=ask.suspect,
            held=self.admission.held_of(owner, group),
        )

    def follow(
        self, answer: peer.Message | None, owner: str, group: groups.GroupId
    ) -> interfaces.Permit | None:
        """Acts on an answer; returns the permit if there is one."""
        if isinstance(answer, messages_decisions.PermitWaiting):
            self.waits = True
            return None
        if isinstance(answer, messages_decisions.PermitElsewhere):
            self.next_group(answer)
            return None
        if isinstance(answer, messages_decisions.PermitGrant):
            return self.accept(answer, owner, group)
        return None

    def accept(
        self,
        grant: messages_decisions.PermitGrant,
        owner: str,
        group: groups.GroupId,
    ) -> interfaces.Permit | None:
        """Returns the permit, None if this entry may not use it."""
        admission = self.admission
        names = self.names()
        vm = names.get(grant.upstream)
        if vm is None:
            # this entry knows already that the upstream is leaving, the
            # owner does not: a leaving upstream must get nothing new
            self.abandon(owner)
            self.avoid.add(grant.upstream)
            return None
        now = trio.current_time()
        admission.held[self.number] = held.Held(
            self.number,
            group,
            vm.id,
            owner,
            now,
            messages_decisions.short_id(self.ask.customer),
        )
        return interfaces.Permit(
            id=f'{admission.name}/{self.number}',
            upstream=vm,
            owner=owner,
            reason=placement.reason_text(grant.reason),
            passed_over=refusals.passed_over(grant, names),
            waited=now - self.started,
        )

    def names(self) -> dict[int, upstreams.Vm]:
        """Returns the pool's upstreams by short id, as seen here."""
        vms = self.admission.membership.upstreams(self.pool.service)
        return {messages_decisions.short_id(vm.id): vm for vm in vms}

    def admit_alone(self, group: groups.GroupId) -> interfaces.Permit | None:
        """Returns a permit within this entry's own share, if any."""
        if self.ask.suspect:
            # suspects cannot be kept apart without an owner
            return None
        admission = self.admission
        ask = self.ask
        model = messages_decisions.short_id(ask.model) if ask.model else None
        membership = admission.membership
        usable = membership.upstreams(self.pool.service)
        vms = serving.serving(membership, usable, model)
        unknown = serving.unknown(membership, usable, model)
        names = {vm.id: vm for vm in vms}
        upstream = admission.local.choose(
            self.pool, vms, self.chat, ask.avoid, unknown
        )
        if upstream is None:
            return None
        now = trio.current_time()
        index = admission.directory.index(self.pool, upstream)
        group = groups.group_id(self.pool, index)
        admission.held[self.number] = held.Held(
            self.number,
            group,
            upstream,
            '',
            now,
            messages_decisions.short_id(ask.customer),
        )
        DEGRADED.inc({'pool': self.pool.name})
        return interfaces.Permit(
            id=f'{admission.name}/{self.number}',
            upstream=names[upstream],
            owner=admission.name,
            reason=placement.OWN_SHARE,
            waited=now - self.started,
            degraded=True,
        )
