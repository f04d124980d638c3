"""Workers that answer without end, with real processes of routers."""

from __future__ import annotations

import pytest

from tests.integration import endless_answers

SECONDS = 4.0
MAX_GROWN_MB = 64.0


@pytest.mark.parametrize('name', ['without_id_chunks', 'signed_chunks'])
async def test_endless_answers_harm_no_request_that_may_be_retried(name):
    """Guards against callers of a worker that is asked again and again."""
    fleet, grown = await endless_answers.play(name, False, SECONDS)
    failed = {path for path, outcome in fleet.outcomes if outcome != 200}
    # What may run once cannot be tried elsewhere.
    assert failed <= {'/desk/{}'}
    assert grown < MAX_GROWN_MB
    assert sum(one.open_connections for one in fleet.endless()) == 0
