"""Request limits of customers that hold over the whole fleet."""

from __future__ import annotations

from lavenderbend.coordination.limits.customers import CustomerLimits

__all__ = ['CustomerLimits']
