"""What is sent to an upstream in place of what a caller sent."""

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
    """Makes requests to upstreams.

    Headers that only the router may set are dropped from what callers sent:
    a caller could else take another customer's name, a higher rank, or
    memory that is held for others.

    Attributes:
        cached: Knows where prompts are cached.
        headers: Names of the headers.
        dropped: Headers of callers that are not passed on.
    """

    def __init__(
        self,
        cached: cached_prompts.CachedPrompts,
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.cached = cached
        self.headers = headers
        self.dropped = frozenset(
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

    def make(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> interfaces.UpstreamRequest:
        """Returns what is sent to the upstream."""
        request = ticket.request
        headers = [
            item
            for item in hop_headers.end_to_end(request.headers)
            if item[0] not in self.dropped
        ]
        names = self.headers
        source = self.copy_source(ticket, upstream)
        if source is not None:
            headers.append((names.copy_from.encode(), source))
        left = max(1, int(ticket.left * 1000))
        headers.append((names.deadline.encode(), b'%d' % left))
        headers.append((names.instance.encode(), upstream.vm.id.encode()))
        headers.append((names.rank.encode(), b'%d' % ticket.rank))
        if ticket.customer:
            headers.append((names.customer.encode(), ticket.customer.encode()))
        if request.body or request.method not in (b'GET', b'HEAD'):
            headers.append((b'content-length', b'%d' % len(request.body)))
        if ticket.attempt_hop is not None:
            headers = traced(headers, ticket.attempt_hop)
        written = ticket.cutter.written.number
        if written is not None:
            headers = [item for item in headers if item[0] != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, b'%d' % written))
        return interfaces.UpstreamRequest(
            id=ticket.id.encode('latin-1'),
            id_header=names.request_id.encode(),
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
        )

    def note_taken(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Notes that an upstream has read the prompt, by its own answer.

        One that refused the request, or broke off before, has not: the next
        upstream would ask it for a copy, and read the whole prompt anew.
        """
        if ticket.need.parts and self.headers.copy_from:
            self.cached.note_sent(
                ticket.need.chat,
                ticket.need.parts,
                upstream.instance,
                displaced=bool(ticket.placed[-1].passed_over),
            )

    def copy_source(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bytes | None:
        """Returns the address from which cached prompt parts are copied."""
        if not ticket.need.parts or not self.headers.copy_from:
            return None
        source = self.cached.source(
            ticket.service,
            ticket.need.chat,
            ticket.need.parts,
            upstream,
            () if ticket.taken is None else ticket.taken.holders,
        )
        if source is None:
            return None
        found = source.upstream
        record = ticket.placed[-1]
        record.copied_from = f'{found.instance}: {source.reason}'
        return f'{found.vm.host}:{found.vm.port}'.encode()


def traced(
    headers: list[tuple[bytes, bytes]], hop: spans.Hop
) -> list[tuple[bytes, bytes]]:
    """Returns headers that name a span as the parent of the next hop."""
    own = {name.encode(): value.encode() for name, value in hop.headers.items()}
    return [item for item in headers if item[0] not in own] + [*own.items()]
