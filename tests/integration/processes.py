"""Processes of the product under test."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import httpx
import trio

if TYPE_CHECKING:
    import pathlib

READY_SECONDS = 60.0
STOP_SECONDS = 60.0


class NotReady(Exception):
    """A process did not become ready; its output is the text."""


class Process:
    """One process of the product, ended by its own id alone.

    Attributes:
        variables: What its environment has beside the test's own.
    """

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.variables: dict[str, str] = {}
        self.process: trio.Process | None = None
        self.starting = trio.Lock()

    async def start(self) -> None:
        """Starts the process, unless it runs.

        Faults overlap: of two that start it again the second would lose
        hold of the first one's process, which then went on for ever.
        """
        async with self.starting:
            if not self.running:
                await self.open()

    async def open(self) -> None:
        with self.log.open('ab') as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, '-m', 'lavenderbend', *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.variables},
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.running:
            self.process.send_signal(number)

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> int:
        """Ends the process by SIGTERM and returns its exit code."""
        self.signal(signal.SIGTERM)
        with trio.fail_after(STOP_SECONDS):
            return await self.process.wait()

    async def end(self) -> None:
        """Ends the process in any way, paused or not."""
        if not self.running:
            return
        self.resume()
        self.process.terminate()
        with trio.move_on_after(3):
            await self.process.wait()
            return
        await self.kill()

    async def wait_ready(self, url: str) -> None:
        """Waits until a GET of the URL gives 200."""
        async with httpx.AsyncClient(timeout=2.0) as client:
            with trio.move_on_after(READY_SECONDS):
                while self.running:
                    with contextlib.suppress(httpx.HTTPError):
                        if (await client.get(url)).status_code == 200:
                            return
                    await trio.sleep(0.05)
        raise NotReady(f'{self.name}: {self.log.read_text()[-2000:]}')
