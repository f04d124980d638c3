"""Metrics of the process, collected with aioprometheus."""

from __future__ import annotations

import aioprometheus
from aioprometheus import collectors

REGISTRY = collectors.Registry()


def counter(name: str, doc: str) -> aioprometheus.Counter:
    """Returns a new counter; its name ends in `_total`."""
    return aioprometheus.Counter(name, doc, registry=REGISTRY)


def gauge(name: str, doc: str) -> aioprometheus.Gauge:
    """Returns a new gauge; its name ends in its unit."""
    return aioprometheus.Gauge(name, doc, registry=REGISTRY)


def histogram(
    name: str, doc: str, buckets: tuple[float, ...]
) -> aioprometheus.Histogram:
    """Returns a new histogram; its name ends in its unit."""
    return aioprometheus.Histogram(
        name, doc, registry=REGISTRY, buckets=list(buckets)
    )


def render() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    content, _ = aioprometheus.render(REGISTRY, ['text/plain'])
    return content
