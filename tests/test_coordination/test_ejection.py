from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.upstream_health import ejection


@pytest.fixture
async def ejector():
    return ejection.Ejector()


def eject(ejector, name):
    for _ in range(ejector.settings.failures):
        ejector.note_failure(name)


async def test_failures_in_a_row_eject(ejector, autojump_clock):
    for _ in range(4):
        assert not ejector.note_failure('e1')
    assert ejector.why('e1') is None

    assert ejector.note_failure('e1')
    assert ejector.why('e1').startswith('ejected')


async def test_success_ends_the_row(ejector, autojump_clock):
    for _ in range(4):
        ejector.note_failure('e1')
    ejector.note_success('e1')

    assert not ejector.note_failure('e1')


async def test_share_of_failures_ejects(ejector, autojump_clock):
    # every second request fails: never five in a row, and yet half of the
    # callers get an error.
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


async def test_hold_grows_and_fades(ejector, autojump_clock):
    holds = []
    for _ in range(4):
        eject(ejector, 'e1')
        holds.append(ejector.state('e1').ejected_until - trio.current_time())
        await trio.sleep(holds[-1])
        assert ejector.why('e1') is None
    assert holds[0] == pytest.approx(2.0)
    assert holds[3] > 3 * holds[0]
    assert holds == sorted(holds)

    await trio.sleep(1200)
    eject(ejector, 'e1')
    state = ejector.state('e1')
    assert state.ejected_until - trio.current_time() < 2.1


async def test_hold_has_a_bound(ejector, autojump_clock):
    for _ in range(60):
        eject(ejector, 'e1')
        state = ejector.state('e1')
        hold = state.ejected_until - trio.current_time()
        assert hold <= ejector.settings.max_hold
        await trio.sleep(hold + 0.1)


async def test_no_more_than_the_share_is_held(ejector, autojump_clock):
    # a bad release makes all engines of a pool fail at once. With all of
    # them ejected there would be nothing left; with most of them, the rest
    # would break under the load.
    names = [f'e{number}' for number in range(9)]
    eject(ejector, 'e4')
    await trio.sleep(3)
    for name in names:
        eject(ejector, name)

    held = ejector.held(names)

    assert len(held) == 3
    assert 'e4' in held


@pytest.mark.parametrize(
    ('count', 'most'), [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2)]
)
async def test_small_pools_keep_most_upstreams(
    ejector, autojump_clock, count, most
):
    names = [f'e{number}' for number in range(count)]
    for name in names:
        eject(ejector, name)

    assert len(ejector.held(names)) == most


async def test_returns_damp_and_fade(ejector, autojump_clock):
    ejector.note_return('e1')
    assert ejector.why('e1') is None
    await trio.sleep(10)
    ejector.note_return('e1')
    ejector.note_return('e1')
    assert ejector.why('e1').startswith('flapping')

    await trio.sleep(200)

    assert ejector.why('e1') is None


async def test_seldom_returns_do_not_damp(ejector, autojump_clock):
    for _ in range(20):
        ejector.note_return('e1')
        assert ejector.why('e1') is None
        await trio.sleep(120)


async def test_long_flapping_does_not_hold_for_ever(ejector, autojump_clock):
    for _ in range(1000):
        ejector.note_return('e1')

    await trio.sleep(240)

    assert ejector.why('e1') is None


async def test_unknown_upstreams_are_forgotten(ejector, autojump_clock):
    eject(ejector, 'e1')
    eject(ejector, 'e2')

    ejector.forget(['e2'])

    assert set(ejector.states) == {'e2'}
    assert ejector.suspects == {'e2'}
