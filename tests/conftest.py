"""Makes every run of a test schedule its tasks in the same order."""

from __future__ import annotations

import inspect
import pathlib

import pytest
import trio

SCHEDULER_SEED = 1
CLOCK = 'autojump_clock'
KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red():
    """Returns the tests of known open faults, with their lines."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    return {line.partition(' | ')[0]: line for line in lines if line}


def pytest_report_header():
    return [f'known red, not run: {line}' for line in known_red().values()]


def refuse_real_time(items):
    """Refuses tests that would run in real time and seem not to.

    Only a test that names the virtual clock itself runs on it; by a fixture
    that does it would run in real time, and fail on a busy machine.
    """
    slow = [
        item.nodeid
        for item in items
        if CLOCK in item.fixturenames
        and CLOCK not in inspect.signature(item.function).parameters
    ]
    if slow:
        raise pytest.UsageError(f'name {CLOCK} in: {", ".join(slow)}')


def pytest_runtest_logreport(report):
    # a run that is ended has no summary: who failed must stand there before
    if report.failed:
        print(f'\nfailed in {report.when}: {report.nodeid}', flush=True)


def pytest_collection_modifyitems(config, items):
    refuse_real_time(items)
    # a real fault that is open stays listed and printed; CI passes over
    # just the tests that are named, and whoever asks for one gets it
    listed = known_red().keys() - set(config.args)
    left_out = [item for item in items if item.nodeid in listed]
    if left_out:
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if item.nodeid not in listed]


@pytest.fixture(autouse=True)
def same_scheduling():
    # trio draws the order of tasks that are ready together at random, to
    # show where code relies on it; a verdict that changes from run to run
    # hides faults instead
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(SCHEDULER_SEED)
