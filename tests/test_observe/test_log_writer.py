"""Log lines that never make the router wait."""

from __future__ import annotations

import json
import os

import pytest

from lavenderbend.observe import log_writer


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def drain(reader):
    os.set_blocking(reader, False)
    data = b''
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_are_json(pipe):
    reader, writer = pipe
    log = log_writer.LogWriter(writer)
    log({'message_type': 'a', 'n': 1})
    assert json.loads(drain(reader)) == {'message_type': 'a', 'n': 1}


def test_reader_that_stops_holds_nothing_up(pipe):
    # The collector of the logs hangs and its pipe is full. Each request
    # would wait for it; instead lines are dropped, and counted in the next.
    reader, writer = pipe
    log = log_writer.LogWriter(writer, max_waiting_bytes=2000)
    log.lines.tokens = log.lines.burst = 1e6
    for number in range(20_000):
        log({'n': number, 'text': 'x' * 100})
    assert log.waiting_bytes <= 2000
    assert log.dropped > 0
    left_out = log.dropped
    drain(reader)
    log({'n': 'after'})
    lines = drain(reader).splitlines()
    assert json.loads(lines[-1])['lines_left_out'] >= left_out


def test_no_line_is_torn(pipe):
    reader, writer = pipe
    log = log_writer.LogWriter(writer, max_waiting_bytes=200_000)
    log.lines.tokens = log.lines.burst = 1e6
    got = b''
    for number in range(3000):
        log({'n': number, 'text': 'x' * 150})
        if number % 500 == 0:
            got += drain(reader)
    log.flush()
    got += drain(reader)
    log.flush()
    got += drain(reader)
    for line in got.splitlines():
        json.loads(line)


def test_volume_is_bounded():
    now = [0.0]
    budget = log_writer.LineBudget(10.0, 20.0, lambda: now[0])
    taken = 0
    for _ in range(1000):
        now[0] += 0.01
        taken += budget.try_take()
    assert taken <= 10.0 * 10 + 20


def test_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    log = log_writer.LogWriter(writer)
    log({'n': 1})
    assert log.dropped == 1
    os.close(writer)
