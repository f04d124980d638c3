"""The attempts of one request, until its answer is complete or failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.dispatch import attempts
from lavenderbend.coordination.dispatch import bodies
from lavenderbend.coordination.dispatch import recovery
from lavenderbend.coordination.dispatch import relay

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from lavenderbend.coordination.dispatch import components as component_types
    from lavenderbend.observe import spans
    from lavenderbend.state import configuration
    from lavenderbend.state import decisions
    from lavenderbend.state import requests

PRIORITY = 'x-priority'
CHAT = 'x-chat'


class Exchange:
    """The attempts of one request.

    Attributes:
        components: Components of the request path.
        request: The request as changed by the rule.
        rule: The first rule that matched.
        decision: The decision record of the request.
        fingerprint: Identifies the request in the quarantine.
        chat: Hash of customer and chat key, 0 for none.
        span: The span of the request.
        deadline: Router clock by which the first byte must be received.
        check: Checks of the streamed events relayed so far.
        attempt: The current attempt.
        avoid: Upstreams of earlier attempts.
        attempt_count: Number of attempts made.
        dispatched: Whether an upstream may have started the request.
        answer_begun: Whether the caller got any byte of the answer.
        headers: Headers added to those of the caller.
    """

    def __init__(
        self,
        components: component_types.Components,
        request: requests.Request,
        rule: configuration.Rule,
        decision: decisions.Decision,
        fingerprint: int,
        chat: int,
        span: spans.Hop,
    ) -> None:
        self.components = components
        self.request = request
        self.rule = rule
        self.decision = decision
        self.fingerprint = fingerprint
        self.chat = chat
        self.span = span
        self.deadline = request.arrived + rule.then.timeout
        self.check = relay.StreamCheck(
            components.settings.answers.event_bytes,
            components.expected_answer_id(request.id),
        )
        self.attempt: attempts.Attempt | None = None
        self.avoid: list[str] = []
        self.attempt_count = 0
        self.dispatched = False
        self.answer_begun = False
        self.headers = upstream_headers(rule, chat)

    async def acquire(self) -> interfaces.Permit:
        """Returns a permit for the next attempt.

        Raises:
            RequestError: There is none. The outcome is 'not run' only if no
                earlier attempt was dispatched.
        """
        permit_request = interfaces.PermitRequest(
            request_id=self.request.id,
            pool=self.decision.pool,
            customer=self.request.customer,
            chat=self.chat,
            model=self.request.model,
            adapter=self.request.adapter,
            priority=self.rule.then.priority,
            prompt_tokens=self.request.prompt_tokens,
            deadline=self.deadline,
            avoid=tuple(self.avoid),
            suspect=self.suspect(),
        )
        try:
            return await self.components.admission.acquire(permit_request)
        except errors.RequestError as exc:
            # an earlier attempt may have run: "not run" would be wrong, and
            # the caller would send the request a second time
            if self.dispatched:
                raise errors.OutcomeUnknown(
                    f'an attempt failed and no other was possible: {exc}'
                ) from exc
            raise

    def recheck_quarantine(self, permit: interfaces.Permit) -> None:
        """Checks the quarantine again after the wait for a permit.

        Copies of a request that crashes engines may be waiting for permits
        when it is quarantined. If they were sent, each would crash one more.

        Raises:
            RequestQuarantined: No attempt of the request has been sent.
            OutcomeUnknown: An attempt has been sent.
        """
        quarantine = self.components.quarantine
        if quarantine is None:
            return
        try:
            quarantine.check(self.fingerprint)
        except errors.RequestQuarantined as exc:
            self.components.admission.release(permit, type(exc).__name__)
            if self.dispatched:
                raise errors.OutcomeUnknown(
                    f'an attempt failed and no other is allowed: {exc}'
                ) from exc
            raise

    def suspect(self) -> bool:
        """Returns whether an upstream crashed while it ran the request."""
        quarantine = self.components.quarantine
        return quarantine is not None and quarantine.suspect(self.fingerprint)

    async def begin(self) -> bytes | None:
        """Returns the first piece of the answer.

        Raises:
            RequestError: There is no answer.
        """
        while True:
            try:
                piece = await self.make_attempt({})
            except errors.UpstreamError as exc:
                await recovery.prepare_retry(self, exc)
            else:
                self.answer_begun = True
                return piece

    async def make_attempt(self, headers: dict[str, str]) -> bytes | None:
        """Makes one attempt and returns its first piece."""
        permit = await self.acquire()
        self.recheck_quarantine(permit)
        self.attempt_count += 1
        self.avoid.append(permit.upstream.id)
        attempt = attempts.Attempt(
            self.components, self.request, permit, self.span
        )
        self.attempt = attempt
        self.decision.attempts.append(attempt.record)
        return await self.run_step(
            attempt, self.read_first_piece(attempt, headers)
        )

    async def read_first_piece(
        self, attempt: attempts.Attempt, headers: dict[str, str]
    ) -> bytes | None:
        """Opens an attempt and returns its first piece."""
        with trio.move_on_at(self.deadline):
            merged_headers = {**self.headers, **headers}
            await attempt.open(self.check, merged_headers)
            recovery.prepare_check(self, attempt)
            return await attempt.next_piece()
        raise errors.UpstreamStalled('no answer before the deadline')

    async def run_step(
        self, attempt: attempts.Attempt, step: Awaitable[bytes | None]
    ) -> bytes | None:
        """Runs a step of an attempt and finishes the attempt at its end."""
        try:
            piece = await step
        except BaseException as exc:
            await self.finish_failed(attempt, exc)
            raise
        if piece is None:
            await self.finish_complete(attempt)
        return piece

    async def finish_failed(
        self, attempt: attempts.Attempt, error: BaseException
    ) -> None:
        """Finishes an attempt that failed or was cancelled."""
        if isinstance(error, errors.UpstreamError):
            await attempt.finish(type(error).__name__, error)
        elif isinstance(error, trio.Cancelled):
            await attempt.finish(attempts.CALLER_GONE, None)
        else:
            await attempt.finish(type(error).__name__, None)

    async def finish_complete(self, attempt: attempts.Attempt) -> None:
        """Finishes an attempt whose answer is complete."""
        await attempt.finish(attempts.COMPLETE, None)
        if self.components.quarantine is not None:
            self.components.quarantine.survived(self.fingerprint)

    async def next_piece(self) -> bytes | None:
        """Returns the next piece of the answer, None at its end.

        Raises:
            RequestError: The answer cannot be completed.
        """
        attempt = self.attempt
        # called for each streamed chunk, hence few nested calls
        try:
            piece = await attempt.body.next_piece()
        except errors.UpstreamError as exc:
            await self.finish_failed(attempt, exc)
            return await recovery.continue_answer(self, exc)
        except BaseException as exc:
            await self.finish_failed(attempt, exc)
            raise
        if piece is None:
            await self.finish_complete(attempt)
        return piece

    def buffered_length(self, first: bytes | None) -> int | None:
        """Returns the length of an answer that was buffered, else None."""
        if self.request.method == 'HEAD':
            return None
        if not isinstance(self.attempt.body, bodies.BufferedBody):
            return None
        return len(first or b'')

    async def abandon(self) -> None:
        """Finishes the current attempt because the caller disconnected."""
        if self.attempt is not None:
            await self.attempt.finish(attempts.CALLER_GONE, None)


def upstream_headers(rule: configuration.Rule, chat: int) -> dict[str, str]:
    """Returns the headers that tell an upstream the priority and chat."""
    headers = {PRIORITY: str(int(rule.then.priority))}
    if chat:
        headers[CHAT] = f'{chat:016x}'
    return headers
