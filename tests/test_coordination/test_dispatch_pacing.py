"""Streams give way to short calls when the process is busy."""

from __future__ import annotations

import random

from lavenderbend.coordination.dispatch import pacing


class Machine:
    """A clock and a processor that tests set."""

    def __init__(self):
        self.now = 100.0
        self.cpu_seconds = 0.0

    def run(self, pacer, share, seconds=1.0):
        for _ in range(int(seconds * 10)):
            self.now += 0.11
            self.cpu_seconds += 0.11 * share
            pacer.pause_seconds(0.0)


def make(**fields):
    machine = Machine()
    settings = pacing.PacingSettings(low=0.3, high=0.5, **fields)
    pacer = pacing.RelayPacer(
        random.Random(1),
        settings,
        lambda: machine.now,
        lambda: machine.cpu_seconds,
    )
    return machine, pacer


def test_interval_grows_while_busy_up_to_its_bound():
    # Sixty streams bring a token every 4 ms and fill the process; an
    # office's alert would wait behind a chunk of each.
    machine, pacer = make()
    machine.run(pacer, 0.9)
    assert pacer.interval == pacer.settings.max_seconds


def test_interval_vanishes_when_there_is_room():
    machine, pacer = make()
    machine.run(pacer, 0.9)
    machine.run(pacer, 0.1, seconds=3.0)
    assert pacer.interval == 0.0
    assert pacer.pause_seconds(machine.now) == 0.0


def test_interval_holds_between_the_bounds():
    machine, pacer = make()
    machine.run(pacer, 0.9)
    machine.run(pacer, 0.4)
    assert pacer.interval == pacer.settings.max_seconds


def test_slow_streams_never_wait():
    # A stream whose last piece is longer ago than the interval passes its
    # token on at once.
    machine, pacer = make()
    machine.run(pacer, 0.9)
    assert pacer.pause_seconds(machine.now - 0.1) <= 0.0


def test_waits_of_streams_differ():
    # Streams that wait equally long would go on in step, all at once.
    machine, pacer = make()
    machine.run(pacer, 0.9)
    waits = {pacer.pause_seconds(machine.now) for _ in range(20)}
    longest = pacer.settings.max_seconds * (1 + pacing.JITTER_FRACTION)
    assert len(waits) > 10
    assert max(waits) <= longest


def test_pacing_can_be_switched_off():
    machine, pacer = make(enabled=False)
    machine.run(pacer, 0.9)
    assert pacer.interval == 0.0
