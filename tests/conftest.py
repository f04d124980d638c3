"""Fixtures and hooks for all tests.

Tasks are scheduled in the same order in each run, and tests that are listed
in KNOWN-RED.txt are not run unless they are named on the command line.
"""

from __future__ import annotations

import inspect
import pathlib

import eliot
import pytest
import trio

from lavenderbend.observe import log_writer
from lavenderbend.observe import logs

SCHEDULER_SEED = 1
CLOCK = 'autojump_clock'
KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red():
    """Returns the lines of KNOWN-RED.txt by test id."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    return {line.partition(' | ')[0]: line for line in lines if line}


def pytest_report_header():
    return [f'known red, not run: {line}' for line in known_red().values()]


def reject_real_time(items):
    """Rejects tests that get the virtual clock only through a fixture.

    Only a test that names the virtual clock as a parameter of its own runs on
    it. With the clock in a fixture only, the test would run in real time and
    fail on a busy machine.

    Raises:
        pytest.UsageError: There are such tests.
    """
    real_time = [
        item.nodeid
        for item in items
        if CLOCK in item.fixturenames
        and CLOCK not in inspect.signature(item.function).parameters
    ]
    if real_time:
        raise pytest.UsageError(f'name {CLOCK} in: {", ".join(real_time)}')


def pytest_runtest_logreport(report):
    # A run that is killed prints no summary, so failures are printed at once.
    if report.failed:
        print(f'\nfailed in {report.when}: {report.nodeid}', flush=True)


def pytest_collection_modifyitems(config, items):
    reject_real_time(items)
    # Tests of open faults stay listed and printed in the report header. CI
    # skips only these; one named on the command line does run.
    listed = known_red().keys() - set(config.args)
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]


@pytest.fixture(autouse=True)
def deterministic_scheduling():
    # trio runs tasks that are ready at the same time in random order, to show
    # where code relies on it. Results that change from run to run would hide
    # faults instead, so the seed is fixed.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(SCHEDULER_SEED)


def ignore(message):
    """Discards a log message."""


@pytest.fixture
def lines(monkeypatch):
    """The log lines that a test causes."""
    budget = log_writer.LineBudget(1000.0, 1000.0)
    monkeypatch.setattr(logs, 'SUCCESS_BUDGET', budget)
    # Messages that other tests in this process logged without a destination
    # are delivered to the first one added: keep them out of this test's list.
    eliot.add_destinations(ignore)
    eliot.remove_destination(ignore)
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)
