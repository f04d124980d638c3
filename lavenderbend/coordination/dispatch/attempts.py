"""One attempt at an upstream, from its permit to its end."""

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
    from lavenderbend.coordination.dispatch import components as component_types
    from lavenderbend.coordination.dispatch import relay
    from lavenderbend.state import requests

RESUME_OFFSET = 'x-resume-offset'
COMPLETE = 'complete'
CALLER_GONE = 'CallerGone'


class Attempt:
    """One attempt at an upstream.

    Attributes:
        components: Components of the request path.
        request: The request that is sent.
        permit: The permit to send it.
        record: Record of the attempt in the decision.
        answer: The upstream's answer once its head has been received.
        body: Reader of the answer's body.
        reported_instance: Instance id in the last load report.
        finished: Whether the permit is released and the result is recorded.
    """

    def __init__(
        self,
        components: component_types.Components,
        request: requests.Request,
        permit: interfaces.Permit,
        span: spans.Hop,
    ) -> None:
        self.components = components
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
        self.hop.set_attribute('upstream', permit.upstream.id)
        self.answer: interfaces.UpstreamAnswer | None = None
        self.body: bodies.Body | None = None
        self.finished = False
        report = components.membership.report(permit.upstream.id)
        self.reported_instance = '' if report is None else report.instance
        components.open_attempts[permit.upstream.id] += 1

    @property
    def instance(self) -> str:
        """Instance id given by the upstream, empty if none."""
        if self.answer is not None and self.answer.start.instance:
            return self.answer.start.instance
        return self.reported_instance

    async def open(
        self,
        check: relay.StreamCheck,
        headers: Mapping[str, str],
    ) -> None:
        """Sends the request and reads the head of the answer.

        The timeout is set by the caller of this method.
        """
        upstream_headers = {**headers, **self.hop.headers}
        self.answer = await self.components.upstream_client.open(
            self.permit.upstream,
            self.request,
            upstream_headers,
            math.inf,
        )
        self.body = self.body_reader(self.answer, check)

    def body_reader(
        self, answer: interfaces.UpstreamAnswer, check: relay.StreamCheck
    ) -> bodies.Body:
        """Returns the reader for this kind of answer."""
        limits = self.components.settings.answers
        engine = self.permit.upstream.kind is upstreams.UpstreamKind.ENGINE
        chat = engine and self.request.path == openai.CHAT_PATH
        successful = 200 <= answer.start.status < 300
        if chat and successful and self.request.stream:
            if not bodies.is_event_stream(answer.start):
                raise errors.UpstreamBroke('the answer is not an event stream')
            return bodies.StreamBody(
                answer, limits, check, self.components.pacer
            )
        if chat and successful:
            name = self.components.expected_answer_id(self.request.id)
            return bodies.BufferedBody(
                answer, limits, True, name, self.request.reserve
            )
        length = bodies.content_length(answer.start)
        if length is not None and length <= self.components.settings.held_bytes:
            return bodies.BufferedBody(answer, limits, chat=False)
        return bodies.Body(answer, limits)

    async def next_piece(self) -> bytes | None:
        """Returns bytes to relay, None when the answer is complete."""
        assert self.body is not None
        piece = await self.body.next_piece()
        if self.record.first_byte is None:
            self.record.first_byte = trio.current_time() - self.record.started
        return piece

    async def finish(self, result: str, error: Exception | None) -> None:
        """Releases the permit and records the result, once."""
        if self.finished:
            return
        self.finished = True
        self.components.open_attempts[self.permit.upstream.id] -= 1
        self.record.result = result
        self.record.finished = trio.current_time() - self.record.started
        self.hop.end('' if result == COMPLETE else result)
        # the exchange ends before the permit is released, so that the
        # upstream gets no new request while it still runs this one
        if self.answer is not None:
            await self.answer.close()
        self.components.admission.release(self.permit, result)
        # a caller that disconnected says nothing about the upstream's health
        if error is not None or result == COMPLETE:
            self.note_result(error)

    def note_result(self, error: Exception | None) -> None:
        """Reports the result of the upstream to membership."""
        upstream = self.permit.upstream.id
        if isinstance(error, errors.UpstreamRefused):
            self.components.membership.note_draining(upstream)
            return
        self.components.membership.note_result(upstream, error)
