from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.upstream_health import ejection


@pytest.fixture
async def ejector():
    return ejection.Ejector()


def eject(ejector, name):
    for _ in range(ejector.settings.consecutive_failures):
        ejector.note_failure(name)


async def test_consecutive_failures_eject(ejector, autojump_clock):
    for _ in range(4):
        assert not ejector.note_failure('e1')
    assert ejector.reason('e1') is None

    assert ejector.note_failure('e1')
    assert ejector.reason('e1').startswith('ejected')


async def test_success_resets_consecutive_failures(ejector, autojump_clock):
    for _ in range(4):
        ejector.note_failure('e1')
    ejector.note_success('e1')

    assert not ejector.note_failure('e1')


async def test_fraction_of_failures_ejects(ejector, autojump_clock):
    # Guards against an upstream that is never ejected although every second
    # request fails: there are never five consecutive failures.
    ejected = False
    for _ in range(20):
        ejector.note_success('e1')
        ejected = ejected or ejector.note_failure('e1')

    assert ejected


async def test_few_failures_among_many_requests_do_not_eject(
    ejector, autojump_clock
):
    for _ in range(100):
        for _ in range(4):
            ejector.note_success('e1')
        assert not ejector.note_failure('e1')


async def test_ejection_time_grows_and_decays(ejector, autojump_clock):
    durations = []
    for _ in range(4):
        eject(ejector, 'e1')
        durations.append(
            ejector.state('e1').ejected_until - trio.current_time()
        )
        await trio.sleep(durations[-1])
        assert ejector.reason('e1') is None
    assert durations[0] == pytest.approx(2.0)
    assert durations[3] > 3 * durations[0]
    assert durations == sorted(durations)

    await trio.sleep(1200)
    eject(ejector, 'e1')
    state = ejector.state('e1')
    assert state.ejected_until - trio.current_time() < 2.1


async def test_ejection_time_is_limited(ejector, autojump_clock):
    for _ in range(60):
        eject(ejector, 'e1')
        state = ejector.state('e1')
        seconds = state.ejected_until - trio.current_time()
        assert seconds <= ejector.settings.max_ejection_seconds
        await trio.sleep(seconds + 0.1)


async def test_excluded_fraction_is_limited(ejector, autojump_clock):
    # Guards against an outage of a whole pool when a bad release makes all
    # its engines fail at once: with all ejected none is left, and with most
    # ejected the rest is overloaded.
    names = [f'e{number}' for number in range(9)]
    eject(ejector, 'e4')
    await trio.sleep(3)
    for name in names:
        eject(ejector, name)

    excluded = ejector.excluded(names)

    assert len(excluded) == 3
    assert 'e4' in excluded


@pytest.mark.parametrize(
    ('count', 'most'), [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2)]
)
async def test_small_pools_keep_most_upstreams(
    ejector, autojump_clock, count, most
):
    names = [f'e{number}' for number in range(count)]
    for name in names:
        eject(ejector, name)

    assert len(ejector.excluded(names)) == most


async def test_returns_damp_and_decay(ejector, autojump_clock):
    ejector.note_return('e1')
    assert ejector.reason('e1') is None
    await trio.sleep(10)
    ejector.note_return('e1')
    ejector.note_return('e1')
    assert ejector.reason('e1').startswith('flapping')

    await trio.sleep(200)

    assert ejector.reason('e1') is None


async def test_rare_returns_do_not_damp(ejector, autojump_clock):
    for _ in range(20):
        ejector.note_return('e1')
        assert ejector.reason('e1') is None
        await trio.sleep(120)


async def test_long_flapping_does_not_damp_for_ever(ejector, autojump_clock):
    for _ in range(1000):
        ejector.note_return('e1')

    await trio.sleep(240)

    assert ejector.reason('e1') is None


async def test_states_of_unlisted_upstreams_are_removed(
    ejector, autojump_clock
):
    eject(ejector, 'e1')
    eject(ejector, 'e2')

    ejector.remove_unlisted(['e2'])

    assert set(ejector.states) == {'e2'}
    assert ejector.excludable == {'e2'}
