"""Pacing of streams in favour of short calls when the process is busy."""

from __future__ import annotations

import random

from lavenderbend.coordination.dispatch import pacing


class Machine:
    """A simulated clock and processor."""

    def __init__(self):
        self.now = 100.0
        self.cpu_seconds = 0.0

    def run(self, pacer, share, seconds=1.0):
        for _ in range(int(seconds * 10)):
            self.now += 0.11
            self.cpu_seconds += 0.11 * share
            pacer.pause_seconds(0.0)


def make_pacer(**fields):
    machine = Machine()
    settings = pacing.PacingSettings(low=0.3, high=0.5, **fields)
    pacer = pacing.RelayPacer(
        random.Random(1),
        settings,
        lambda: machine.now,
        lambda: machine.cpu_seconds,
    )
    return machine, pacer


def test_interval_grows_to_its_limit_while_busy():
    # Sixty streams with a token every 4 ms saturate the process. Without
    # pacing a short call would wait for a chunk of each.
    machine, pacer = make_pacer()
    machine.run(pacer, 0.9)
    assert pacer.interval == pacer.settings.max_seconds


def test_interval_drops_to_zero_at_low_usage():
    machine, pacer = make_pacer()
    machine.run(pacer, 0.9)
    machine.run(pacer, 0.1, seconds=3.0)
    assert pacer.interval == 0.0
    assert pacer.pause_seconds(machine.now) == 0.0


def test_interval_is_unchanged_between_the_thresholds():
    machine, pacer = make_pacer()
    machine.run(pacer, 0.9)
    machine.run(pacer, 0.4)
    assert pacer.interval == pacer.settings.max_seconds


def test_slow_streams_do_not_wait():
    # A stream whose last piece is older than the interval relays its token
    # at once.
    machine, pacer = make_pacer()
    machine.run(pacer, 0.9)
    assert pacer.pause_seconds(machine.now - 0.1) <= 0.0


def test_pauses_of_streams_are_jittered():
    # Streams with equal pauses would stay synchronized and relay together.
    machine, pacer = make_pacer()
    machine.run(pacer, 0.9)
    pauses = {pacer.pause_seconds(machine.now) for _ in range(20)}
    longest = pacer.settings.max_seconds * (1 + pacing.JITTER_FRACTION)
    assert len(pauses) > 10
    assert max(pauses) <= longest


def test_pacing_can_be_disabled():
    machine, pacer = make_pacer(enabled=False)
    machine.run(pacer, 0.9)
    assert pacer.interval == 0.0
