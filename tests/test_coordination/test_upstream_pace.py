"""Reading rate, service time and pace of an upstream."""

from __future__ import annotations

import pytest

from lavenderbend.coordination.forwarding.admission import pace as paces


@pytest.fixture
def pace():
    return paces.UpstreamPace()


@pytest.mark.parametrize('percent', [-5, 0, 9, 10_001])
def test_pace_out_of_range_is_ignored(pace, percent):
    # One wrong header would close an upstream or attract all requests.
    pace.note_percent(percent, 1.0)
    assert pace.factor(1.0) == 1.0


def test_stated_pace_expires(pace):
    # Nothing is sent to a slow upstream, so that nothing newer is learned.
    pace.note_percent(250, 1.0)
    assert pace.factor(1.9) == 2.5
    assert pace.factor(2.0) == 1.0


def test_reading_rate_follows_measurements(pace):
    for number in range(30):
        pace.note_begun(9000, 0.45, number * 0.1)
    assert pace.reading_rate(3.0) == pytest.approx(20_000, rel=0.01)
    assert pace.reading_seconds(9000, 3.0) == pytest.approx(0.45, rel=0.01)


def test_short_prompt_measures_no_rate(pace):
    # It takes less time than the note that tells of its end.
    pace.note_begun(500, 0.06, 1.0)
    assert pace.reading_rate(1.0) == paces.USUAL_TOKENS_PER_SECOND


def test_measured_rate_expires(pace):
    # A backlog that nobody knew of made the upstream look slow. It might be
    # granted nothing, and measured no more.
    pace.note_begun(9000, 3.0, 1.0)
    assert pace.reading_rate(2.0) < paces.USUAL_TOKENS_PER_SECOND
    assert pace.reading_rate(7.0) == paces.USUAL_TOKENS_PER_SECOND


def test_pace_is_not_counted_twice(pace):
    # Measured while the upstream is slow, the rate is scaled to usual pace.
    pace.note_percent(200, 1.0)
    pace.note_begun(8000, 0.4, 1.0)
    assert pace.reading_rate(1.0) == paces.USUAL_TOKENS_PER_SECOND
    assert pace.reading_seconds(8000, 1.0) == pytest.approx(0.4)
    pace.note_ended(0.4, 1.0)
    assert pace.service_seconds == pytest.approx(0.2)


def test_released_offer_measures_no_service_time(pace):
    pace.note_ended(0.4, 1.0)
    pace.note_ended(0.004, 1.1)
    assert pace.service_seconds == 0.4


def test_no_slots_to_wait_for_take_no_time(pace):
    assert pace.slot_seconds(0, 9, 1.0) == 0.0
    assert pace.slot_seconds(5, 0, 1.0) == 0.0


def test_idle_upstream_is_forgotten(pace):
    assert pace.is_idle(1.0)
    pace.note_percent(100, 1.0)
    assert not pace.is_idle(1.0 + paces.IDLE_SECONDS / 2)
    assert pace.is_idle(1.0 + paces.IDLE_SECONDS)
