"""Fixtures of tests with real processes."""

from __future__ import annotations

import pytest

from tests.integration import documents
from tests.integration import fleet


@pytest.fixture
async def small_fleet(tmp_path, nursery):
    """Three routers, three engines and a plain service."""
    subject = fleet.Fleet(fleet.Plan(documents.document()), tmp_path)
    try:
        await subject.start(nursery)
        yield subject
    finally:
        await subject.end()
