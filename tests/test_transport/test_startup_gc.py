"""The garbage collector during the start of a router."""

from __future__ import annotations

import gc

import pytest

from lavenderbend.transport import startup_gc


@pytest.fixture
def collector():
    yield
    gc.unfreeze()
    gc.enable()


def test_nothing_is_collected_until_the_router_runs(collector):
    # A thousand routers that start at once must not spend their start on
    # garbage collection of imported libraries. Collection must be enabled
    # afterwards, or the memory of a router would grow.
    startup_gc.disable()
    assert not gc.isenabled()
    startup_gc.enable()
    assert gc.isenabled()
    assert gc.get_freeze_count() > 0
