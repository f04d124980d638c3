"""Acquires one permit at the entry router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import held_permits
from lavenderbend.coordination.admission import refusals
from lavenderbend.coordination.admission import serving
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import service
    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

CHAT_SHIFT_BITS = 32
# time before the deadline at which the acquisition ends
DEADLINE_MARGIN_SECONDS = 0.05
# how long a group without upstreams for a model is not asked for it
UNSERVED_SECONDS = 3.0

DEGRADED = metrics.counter(
    'lavenderbend_permits_degraded_total', 'Permits given without an owner.'
)


class PermitAcquisition:
    """Acquires one permit.

    Attributes:
        admission: The entry router's admission.
        permit_request: The request that the permit is for.
        pool: Its pool.
        chat: Upper 32 bits of the chat hash.
        number: Number of the permit requested now.
        started: Router clock.
        avoid: Short ids of upstreams that must not be used.
        index: Index of the group to permit_request.
        hops: How many groups redirected the request.
        queued: Whether the request is queued at the owner.
    """

    def __init__(
        self,
        admission: service.OwnerAdmission,
        permit_request: interfaces.PermitRequest,
        pool: configuration.Pool,
    ) -> None:
        self.admission = admission
        self.permit_request = permit_request
        self.pool = pool
        self.chat = permit_request.chat >> CHAT_SHIFT_BITS
        self.number = admission.next_number()
        self.started = trio.current_time()
        self.avoid = {
            messages_decisions.short_id(upstream)
            for upstream in permit_request.avoid
        }
        self.index = self.first_group()
        self.hops = 0
        self.queued = False

    async def run(self) -> interfaces.Permit:
        """Returns the permit; raises as `Admission.acquire`."""
        while True:
            self.check_deadline()
            group = groups.group_id(self.pool, self.index)
            owner = self.admission.owner_of(group)
            if not owner:
                permit = self.admit_degraded(group)
                if permit is not None:
                    return permit
                await trio.sleep(self.admission.settings.degraded_poll)
                continue
            answer = await self.request(owner, group)
            permit = self.handle_answer(answer, owner, group)
            if permit is not None:
                return permit

    def first_group(self) -> int:
        """Returns the group to ask, of those that may serve the model.

        Raises:
            NoUpstream: Every group answered that none of its upstreams does.
        """
        now = trio.current_time()
        unserved_until = self.admission.unserved_until
        indices = [
            index
            for index in range(max(1, self.pool.groups))
            if unserved_until.get(
                (self.pool.name, index, self.permit_request.model), 0.0
            )
            <= now
        ]
        if not indices:
            raise errors.NoUpstream(
                'no upstream of the pool can serve this request', 1
            )
        return groups.chat_group(self.chat or self.number, indices)

    def next_group(self, answer: messages_decisions.PermitRedirect) -> None:
        """Selects the group that the answer redirects to, or another one."""
        if answer.group is not None:
            self.index = answer.group
            self.hops += 1
            return
        key = (self.pool.name, self.index, self.permit_request.model)
        self.admission.unserved_until[key] = (
            trio.current_time() + UNSERVED_SECONDS
        )
        self.index = self.first_group()
        self.hops = 0

    def check_deadline(self) -> None:
        """Checks that the deadline has not passed.

        Raises:
            PoolFull: The deadline has passed.
        """
        if (
            trio.current_time()
            < self.permit_request.deadline - DEADLINE_MARGIN_SECONDS
        ):
            return
        raise errors.PoolFull('no upstream was free before the deadline', 1)

    async def request(
        self, owner: str, group: groups.GroupId
    ) -> peer.Message | None:
        """Asks an owner; returns None if there is no usable answer."""
        admission = self.admission
        with trio.CancelScope() as scope:
            admission.pending[owner][scope] = group
            try:
                answer = await self.exchange(owner, group)
                if owner in admission.disconnected:
                    admission.reconnect(owner)
                return answer
            except errors.PeerRefused as exc:
                refusals.raise_refusal(exc)
                self.renumber(owner)
                await trio.sleep(admission.settings.degraded_poll)
                return None
            except errors.PeerUnreachable:
                admission.pending[owner].pop(scope, None)
                admission.mark_unreachable(owner)
                self.renumber(owner)
                return None
            except trio.Cancelled:
                self.release_number(owner)
                raise
            finally:
                admission.pending[owner].pop(scope, None)
        # cancelled because the owner is lost or another router is it now
        self.renumber(owner)
        return None

    async def exchange(self, owner: str, group: groups.GroupId) -> peer.Message:
        """Sends the request or a poll and returns the answer."""
        settings = self.admission.settings
        left = self.permit_request.deadline - trio.current_time()
        hold = settings.hold if self.queued else settings.first_hold
        hold = max(0.0, min(hold, left - DEADLINE_MARGIN_SECONDS))
        message: peer.Message
        if self.queued:
            message = messages_decisions.PermitPoll(
                self.number, group.pool, group.index, round(hold * 1000)
            )
        else:
            message = self.message(owner, group, hold, left)
        timeout = hold + settings.answer_timeout
        return await self.admission.link.request(owner, message, timeout)

    def renumber(self, owner: str) -> None:
        """Gives up the current number and continues with a new one.

        The owner may still have granted the old number: without the release
        that permit would be live there until the next resync.
        """
        self.release_number(owner)
        self.number = self.admission.next_number()
        self.queued = False

    def release_number(self, owner: str) -> None:
        """Notifies an owner that the current number is not used."""
        message = messages_decisions.PermitRelease([self.number], True)
        self.admission.send_notice(owner, message)

    def message(
        self, owner: str, group: groups.GroupId, hold: float, left: float
    ) -> messages_decisions.PermitRequest:
        """Returns the message that requests the permit.

        Args:
            owner: Owner of the group.
            group: The group.
            hold: Seconds that the owner may hold its answer.
            left: Seconds until the deadline.
        """
        short_id = messages_decisions.short_id
        permit_request = self.permit_request
        return messages_decisions.PermitRequest(
            number=self.number,
            pool=group.pool,
            group=group.index,
            customer=short_id(permit_request.customer),
            chat=self.chat,
            model=short_id(permit_request.model)
            if permit_request.model
            else None,
            adapter=short_id(permit_request.adapter)
            if permit_request.adapter
            else None,
            priority=int(permit_request.priority),
            prompt_tokens=permit_request.prompt_tokens,
            milliseconds_left=round(left * 1000),
            hold_milliseconds=round(hold * 1000),
            avoid=sorted(self.avoid),
            hops=self.hops,
            suspect=permit_request.suspect,
            held_permits=self.admission.held_count(owner, group),
        )

    def handle_answer(
        self, answer: peer.Message | None, owner: str, group: groups.GroupId
    ) -> interfaces.Permit | None:
        """Handles an answer; returns the permit if it grants one."""
        if isinstance(answer, messages_decisions.PermitQueued):
            self.queued = True
            return None
        if isinstance(answer, messages_decisions.PermitRedirect):
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
        """Returns the permit, None if its upstream must not be used."""
        admission = self.admission
        names = self.names()
        vm = names.get(grant.upstream)
        if vm is None:
            # This entry router already knows that the upstream is leaving,
            # the owner does not yet: a leaving upstream must not get any new
            # request.
            self.renumber(owner)
            self.avoid.add(grant.upstream)
            return None
        now = trio.current_time()
        admission.held[self.number] = held_permits.HeldPermit(
            self.number,
            group,
            vm.id,
            owner,
            now,
            messages_decisions.short_id(self.permit_request.customer),
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
        """Returns the upstreams of the pool's service by short id."""
        vms = self.admission.membership.upstreams(self.pool.service)
        return {messages_decisions.short_id(vm.id): vm for vm in vms}

    def admit_degraded(self, group: groups.GroupId) -> interfaces.Permit | None:
        """Returns a permit within this entry router's share, if any."""
        if self.permit_request.suspect:
            # without an owner, two suspects could be sent to one upstream
            return None
        admission = self.admission
        permit_request = self.permit_request
        model = (
            messages_decisions.short_id(permit_request.model)
            if permit_request.model
            else None
        )
        membership = admission.membership
        usable = membership.upstreams(self.pool.service)
        vms = serving.serving(membership, usable, model)
        unreported = serving.unreported_count(membership, usable, model)
        names = {vm.id: vm for vm in vms}
        upstream = admission.local.choose(
            self.pool, vms, self.chat, permit_request.avoid, unreported
        )
        if upstream is None:
            return None
        now = trio.current_time()
        index = admission.directory.index(self.pool, upstream)
        group = groups.group_id(self.pool, index)
        admission.held[self.number] = held_permits.HeldPermit(
            self.number,
            group,
            upstream,
            '',
            now,
            messages_decisions.short_id(permit_request.customer),
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
