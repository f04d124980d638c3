"""Tests that writing log lines never blocks the router."""

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


def test_stopped_reader_does_not_block_the_writer(pipe):
    # A log collector that hangs leaves the pipe full, and each request would
    # block on its log line. Lines are dropped instead, and the next line that
    # is accepted carries their number.
    reader, writer = pipe
    log = log_writer.LogWriter(writer, max_buffered_bytes=2000)
    log.line_budget.tokens = log.line_budget.burst = 1e6
    for number in range(20_000):
        log({'n': number, 'text': 'x' * 100})
    assert log.buffered_bytes <= 2000
    assert log.dropped > 0
    dropped = log.dropped
    drain(reader)
    log({'n': 'after'})
    lines = drain(reader).splitlines()
    assert json.loads(lines[-1])['lines_left_out'] >= dropped


def test_partial_writes_keep_lines_intact(pipe):
    reader, writer = pipe
    log = log_writer.LogWriter(writer, max_buffered_bytes=200_000)
    log.line_budget.tokens = log.line_budget.burst = 1e6
    output = b''
    for number in range(3000):
        log({'n': number, 'text': 'x' * 150})
        if number % 500 == 0:
            output += drain(reader)
    log.flush()
    output += drain(reader)
    log.flush()
    output += drain(reader)
    for line in output.splitlines():
        json.loads(line)


def test_volume_is_bounded():
    now = [0.0]
    budget = log_writer.LineBudget(10.0, 20.0, lambda: now[0])
    written = 0
    for _ in range(1000):
        now[0] += 0.01
        written += budget.try_take()
    assert written <= 10.0 * 10 + 20


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    log = log_writer.LogWriter(writer)
    log({'n': 1})
    assert log.dropped == 1
    os.close(writer)
