from __future__ import annotations

import pytest

from tests.integration import documents
from tests.integration import fleet
from tests.integration import soak

PLAN = fleet.Plan(documents.document(), routers=4, engines=3, services=2)


@pytest.mark.parametrize('seed', [11, 12])
async def test_short_soak_finds_no_violation(tmp_path, seed):
    # faults alone and in pairs, under traffic: nothing that must always
    # hold is ever broken, whatever the callers had to be told
    result = await soak.soak(tmp_path, seed, 12.0, PLAN)

    assert result.violations == []
    assert result.told['chat: complete'] > 0
    assert result.told['once: complete'] > 0
