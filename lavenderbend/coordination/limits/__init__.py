"""Fleet-wide request limits of customers."""

from __future__ import annotations

from lavenderbend.coordination.limits.customers import CustomerLimits

__all__ = ['CustomerLimits']
