"""One try at an upstream, from its permit to its end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from opentelemetry import trace
import trio

from lavenderbend import errors
from lavenderbend.coordination.dispatch import bodies
from lavenderbend.observe import spans
from lavenderbend.protocol import openai
from lavenderbend.state import decisions
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.dispatch import parts as parts_module
    from lavenderbend.coordination.dispatch import relay
    from lavenderbend.state import requests

RESUME_OFFSET = 'x-resume-offset'
COMPLETE = 'complete'
CALLER_GONE = 'CallerGone'


class Attempt:
    """One try at an upstream.

    Attributes:
        parts: The collaborators.
        request: What is sent.
        permit: The leave to send it.
        record: What the decision keeps of it.
        answer: The upstream's answer once its head has come.
        body: Reads that answer.
        reported_instance: Instance id in the last load report.
        settled: Whether the permit is back and the result is noted.
    """

    def __init__(
        self,
        parts: parts_module.Parts,
        request: requests.Request,
        permit: interfaces.Permit,
        span: spans.Hop,
    ) -> None:
        self.parts = parts
        self.request = request
        self.permit = permit
        self.record = decisions.Attempt(
            upstream=permit.upstream.id,
            owner=permit.owner,
            permit=permit.id,
            reason=permit.reason,
            passed_over=permit.passed_over,
            waited=permit.waited,
            started=trio.current_time(),
        )
        self.hop = spans.Hop('attempt', span.headers, trace.SpanKind.CLIENT)
        self.hop.note('upstream', permit.upstream.id)
        self.answer: interfaces.UpstreamAnswer | None = None
        self.body: bodies.Body | None = None
        self.settled = False
        report = parts.membership.report(permit.upstream.id)
        self.reported_instance = '' if report is None else report.instance
        parts.open_attempts[permit.upstream.id] += 1

    @property
    def instance(self) -> str:
        """Instance id that the upstream stated, empty if none."""
        if self.answer is not None and self.answer.start.instance:
            return self.answer.start.instance
        return self.reported_instance

    async def open(
        self,
        check: relay.StreamCheck,
        headers: Mapping[str, str],
    ) -> None:
        """Sends the request and reads the head of the answer.

        The caller bounds the time.
        """
        sent = {**headers, **self.hop.headers}
        self.answer = await self.parts.upstream_client.open(
            self.permit.upstream,
            self.request,
            sent,
            math.inf,
        )
        self.body = self.choose_body(self.answer, check)

    def choose_body(
        self, answer: interfaces.UpstreamAnswer, check: relay.StreamCheck
    ) -> bodies.Body:
        """Returns the reader that fits the answer."""
        limits = self.parts.settings.answers
        engine = self.permit.upstream.kind is upstreams.UpstreamKind.ENGINE
        chat = engine and self.request.path == openai.CHAT_PATH
        whole = 200 <= answer.start.status < 300
        if chat and whole and self.request.stream:
            if not bodies.is_stream(answer.start):
                raise errors.UpstreamBroke('the answer is no stream')
            return bodies.StreamBody(answer, limits, check, self.parts.pacer)
        if chat and whole:
            name = self.parts.answer_name(self.request.id)
            return bodies.HeldBody(answer, limits, chat=True, named_by=name)
        length = bodies.stated_length(answer.start)
        if length is not None and length <= self.parts.settings.held_bytes:
            return bodies.HeldBody(answer, limits, chat=False)
        return bodies.Body(answer, limits)

    async def next_piece(self) -> bytes | None:
        """Returns bytes to pass on, None when the answer is whole."""
        assert self.body is not None
        piece = await self.body.next_piece()
        if self.record.first_byte is None:
            self.record.first_byte = trio.current_time() - self.record.started
        return piece

    async def settle(self, result: str, error: Exception | None) -> None:
        """Gives the permit back and notes how it went, once."""
        if self.settled:
            return
        self.settled = True
        self.parts.open_attempts[self.permit.upstream.id] -= 1
        self.record.result = result
        self.record.finished = trio.current_time() - self.record.started
        self.hop.end('' if result == COMPLETE else result)
        # the exchange ends before the permit goes back, so that the
        # upstream is not given new work while it still does the old
        if self.answer is not None:
            await self.answer.close()
        self.parts.admission.release(self.permit, result)
        # a caller that went away says nothing about the upstream
        if error is not None or result == COMPLETE:
            self.note_result(error)

    def note_result(self, error: Exception | None) -> None:
        """Tells membership how the upstream did."""
        upstream = self.permit.upstream.id
        if isinstance(error, errors.UpstreamRefused):
            self.parts.membership.note_draining(upstream)
            return
        self.parts.membership.note_result(upstream, error)
