"""The paths from this router to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import (
        reachability as reachability_module,
    )
    from lavenderbend.state import forwarding


class UpstreamPaths(interfaces.Exchanges):
    """Opens connections to upstreams, and records which it cannot open.

    Attributes:
        direct: Connections that this router itself opens.
        reachability: Whether it can open any.
    """

    def __init__(
        self,
        direct: interfaces.DirectExchanges,
        reachability: reachability_module.Reachability,
    ) -> None:
        self.direct = direct
        self.reachability = reachability

    async def accepts(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream accepts a connection now."""
        return await self.direct.accepts(upstream)

    async def open(
        self, upstream: forwarding.Upstream, repeatable: bool
    ) -> interfaces.Exchange:
        """Returns a connection that no other request uses.

        Raises:
            UpstreamUnreachable: The upstream accepts none; nothing was sent.
        """
        idle = self.direct.reuse(upstream, repeatable)
        if idle is not None:
            return idle
        return await self.connect(upstream)

    async def connect(
        self, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a new connection of this router's own.

        Raises:
            UpstreamUnreachable: The upstream accepts none; nothing was sent.
        """
        try:
            exchange = await self.direct.connect(upstream)
        except errors.UpstreamUnreachable as exc:
            self.reachability.note_failed(upstream.instance, type(exc).__name__)
            raise
        self.reachability.note_connected()
        return exchange
