"""Tests of problem details and of the error event."""

from __future__ import annotations

import orjson
import pytest

from lavenderbend import errors
from lavenderbend.protocol import problems
from lavenderbend.protocol import sse

ERRORS = [
    errors.PoolFull('full', 1.2),
    errors.OutcomeUnknown('lost "half" \n way'),
    errors.RequestFailed('failed'),
    errors.NotAuthenticated('wrong'),
]


@pytest.mark.parametrize('error', ERRORS)
def test_problem_states_status_outcome_and_request(error):
    document = orjson.loads(problems.to_body(error, 'r1'))
    assert document['status'] == error.status
    assert document['outcome'] == error.outcome.value
    assert document['type'].endswith(':' + error.kind)
    assert document['request_id'] == document['decision_id'] == 'r1'


def test_retry_after_is_rounded_up_to_whole_seconds():
    # A client that retries before the time is rejected again.
    headers = problems.to_headers(errors.PoolFull('full', 1.2), 'r1')
    assert headers['retry-after'] == '2'
    assert 'retry-after' not in problems.to_headers(ERRORS[1], 'r1')


@pytest.mark.parametrize('error', ERRORS)
def test_error_event_is_parsed_as_one_event(error):
    raw = problems.to_event(error, 'r1')
    (event,) = sse.Parser(10_000).feed(raw)
    assert event.name == b'error'
    assert orjson.loads(event.data)['error']['detail'] == error.detail
