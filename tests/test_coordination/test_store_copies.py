"""A store that comes back from an older copy misleads no router."""

from __future__ import annotations

import pytest

from tests import store_copy_plays

SEED = 1
MIN_SERVED = 0.9
# A router reads each 0.8 s at most often; each read makes up to three calls.
MAX_CALLS = 150


@pytest.mark.parametrize('play', store_copy_plays.PLAYS.entries)
async def test_store_back_from_an_older_copy_misleads_no_router(
    autojump_clock, play
):
    """Guards against beliefs that revisions which were given again confirm."""
    fleet = await store_copy_plays.run(play, SEED)
    assert fleet.late() == []
    assert fleet.served_revoked() == []
    assert fleet.reverted() == []
    assert fleet.differing() == []
    _, after = store_copy_plays.worst(fleet)
    assert after >= MIN_SERVED
    assert max(fleet.reads.values()) <= MAX_CALLS
