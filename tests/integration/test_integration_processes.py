"""Processes under test are ended, whatever overlaps."""

from __future__ import annotations

import trio

from tests.integration import processes


class Child:
    """A child process that runs until it is killed."""

    def __init__(self):
        self.ended = False

    def poll(self):
        return 0 if self.ended else None

    def send_signal(self, number):
        self.ended = True

    def terminate(self):
        self.ended = True

    async def wait(self):
        await trio.lowlevel.checkpoint()


async def test_two_starts_at_once_leave_one_process(
    tmp_path, monkeypatch, autojump_clock
):
    # A soak killed all routers while it stopped one, and both faults started
    # that one again. The first of its two processes was nobody's any more: it
    # kept its ports, answered callers, and outlived the soak.
    children = []

    async def open_process(*args, **kwargs):
        await trio.sleep(0.1)
        children.append(Child())
        return children[-1]

    monkeypatch.setattr(trio.lowlevel, 'open_process', open_process)
    process = processes.Process('r', [], tmp_path / 'log')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.start)
        nursery.start_soon(process.start)
    await process.end()
    assert [child.ended for child in children] == [True]
    await process.start()
    assert len(children) == 2
