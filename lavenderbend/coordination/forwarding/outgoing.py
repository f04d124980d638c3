"""Builds the requests to upstreams from the requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import hop_headers

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import cached_prompts
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.observe import spans
    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

LAST_EVENT_ID = b'last-event-id'


class OutgoingRequests:
    """Builds requests to upstreams.

    Headers that only the router may set are dropped from the caller's
    request. Otherwise a caller could claim another customer's name, a higher
    rank, or memory that is reserved for others.

    Attributes:
        cached: Finds upstreams that have a prompt cached.
        headers: Names of the headers.
        dropped_headers: Headers of callers that are not passed on.
    """

    def __init__(
        self,
        cached: cached_prompts.CachedPrompts,
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.cached = cached
        self.headers = headers
        self.dropped_headers = frozenset(
            name.encode()
            for name in (
                'authorization',
                'content-length',
                'expect',
                headers.customer,
                headers.deadline,
                headers.instance,
                headers.rank,
                headers.copy_from,
                *headers.reserved,
            )
        )

    def build(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> interfaces.UpstreamRequest:
        """Returns the request to an upstream."""
        request = ticket.request
        headers = [
            header
            for header in hop_headers.end_to_end(request.headers)
            if header[0] not in self.dropped_headers
        ]
        names = self.headers
        source = self.copy_source(ticket, upstream)
        if source is not None:
            headers.append((names.copy_from.encode(), source))
        milliseconds_left = max(1, int(ticket.seconds_left * 1000))
        headers.append((names.deadline.encode(), b'%d' % milliseconds_left))
        headers.append((names.instance.encode(), upstream.vm.id.encode()))
        headers.append((names.rank.encode(), b'%d' % ticket.rank))
        if ticket.customer:
            headers.append((names.customer.encode(), ticket.customer.encode()))
        if request.body or request.method not in (b'GET', b'HEAD'):
            headers.append((b'content-length', b'%d' % len(request.body)))
        if ticket.attempt_span is not None:
            headers = with_trace_headers(headers, ticket.attempt_span)
        last_event = ticket.splitter.written_position.number
        if last_event is not None:
            headers = [
                header for header in headers if header[0] != LAST_EVENT_ID
            ]
            headers.append((LAST_EVENT_ID, b'%d' % last_event))
        return interfaces.UpstreamRequest(
            id=ticket.id.encode('latin-1'),
            id_header=names.request_id.encode(),
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
        )

    def note_prompt_read(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that an upstream has processed and cached the prompt.

        This is called only once its response shows so. An upstream that
        refused the request or broke off before has not cached the prompt: the
        next one would ask it for a copy in vain and process the whole prompt.
        """
        if ticket.prompt.parts and self.headers.copy_from:
            self.cached.note_sent(
                ticket.prompt.chat,
                ticket.prompt.parts,
                upstream.instance,
                displaced=bool(ticket.attempts[-1].passed_over),
            )

    def copy_source(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bytes | None:
        """Returns the address of an upstream to copy the cached prompt from.

        None if there is no such upstream.
        """
        if not ticket.prompt.parts or not self.headers.copy_from:
            return None
        source = self.cached.source(
            ticket.service,
            ticket.prompt.chat,
            ticket.prompt.parts,
            upstream,
            () if ticket.reservation is None else ticket.reservation.holders,
            ticket.regions,
        )
        if source is None:
            return None
        holder = source.upstream
        record = ticket.attempts[-1]
        record.copied_from = f'{holder.instance}: {source.reason}'
        return f'{holder.vm.host}:{holder.vm.port}'.encode()


def with_trace_headers(
    headers: list[tuple[bytes, bytes]], span: spans.Hop
) -> list[tuple[bytes, bytes]]:
    """Returns the headers with a span as the parent of the upstream's."""
    own = {
        name.encode(): value.encode() for name, value in span.headers.items()
    }
    return [header for header in headers if header[0] not in own] + [
        *own.items()
    ]
