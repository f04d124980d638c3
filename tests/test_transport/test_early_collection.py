"""The garbage collector while a router starts."""

from __future__ import annotations

import gc

import pytest

from lavenderbend.transport import early_collection


@pytest.fixture
def collector():
    yield
    gc.unfreeze()
    gc.enable()


def test_nothing_is_collected_until_the_router_runs(collector):
    # A thousand routers started at once looked through their libraries again
    # and again before they served. A router that never collects would grow.
    early_collection.hold()
    assert not gc.isenabled()
    early_collection.begin()
    assert gc.isenabled()
    assert gc.get_freeze_count() > 0
