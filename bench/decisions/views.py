"""What each router sees: other routers, upstreams and late reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination import interfaces
from lavenderbend.state import configuration
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class Taken:
    """A report and the time it was taken.

    Attributes:
        report: The report.
        at: Virtual clock.
    """

    report: upstreams.LoadReport
    at: float


class ReportBoard:
    """The last reports that have arrived, the same for all routers."""

    def __init__(self) -> None:
        self.reports: dict[str, Taken] = {}

    def put(self, report: upstreams.LoadReport, at: float) -> None:
        """Replaces the last report of an upstream."""
        self.reports[report.upstream] = Taken(report, at)


class View(interfaces.Membership):
    """One router's view, set by the bench or the test."""

    def __init__(
        self,
        routers: Iterable[str],
        vms: Iterable[upstreams.Vm],
        board: ReportBoard,
    ) -> None:
        self.names = tuple(routers)
        self.vms = tuple(vms)
        self.board = board
        self.changed = trio.Event()

    def set_routers(self, routers: Iterable[str]) -> None:
        """Changes the live routers."""
        self.names = tuple(routers)
        self.wake()

    def set_upstreams(self, vms: Iterable[upstreams.Vm]) -> None:
        """Changes the upstreams that may get new work."""
        self.vms = tuple(vms)
        self.wake()

    def wake(self) -> None:
        """Wakes who waits for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def routers(self) -> tuple[str, ...]:
        """Returns the live routers."""
        return self.names

    def upstreams(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service."""
        return tuple(vm for vm in self.vms if vm.service == service)

    def report(self, upstream: str) -> upstreams.LoadReport | None:
        """Returns the last report that has arrived."""
        taken = self.board.reports.get(upstream)
        return taken.report if taken is not None else None

    def report_at(self, upstream: str) -> float:
        """Returns when it was taken."""
        taken = self.board.reports.get(upstream)
        return taken.at if taken is not None else 0.0

    async def wait_changed(self) -> None:
        """Waits until the view changes."""
        await self.changed.wait()


class FixedConfiguration(interfaces.Configurations):
    """A configuration that does not change by itself."""

    def __init__(self, document: configuration.Configuration) -> None:
        self.revision = configuration.Revision(1, '', document)
        self.changed = trio.Event()

    def set(self, document: configuration.Configuration) -> None:
        """Puts another configuration in force."""
        number = self.revision.number + 1
        self.revision = configuration.Revision(number, '', document)
        self.changed.set()
        self.changed = trio.Event()

    def current(self) -> configuration.Revision:
        """Returns the configuration."""
        return self.revision

    async def wait_beyond(self, number: int) -> configuration.Revision:
        """Waits for a later revision."""
        while self.revision.number <= number:
            await self.changed.wait()
        return self.revision


def engine_vm(name: str, service: str = 'model') -> upstreams.Vm:
    """Returns the VM of an engine."""
    kind = upstreams.UpstreamKind.ENGINE
    return upstreams.Vm(name, '127.0.0.1', 1, 'zone-a', service, kind)
