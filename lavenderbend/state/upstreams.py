"""VMs, upstreams and load reports."""

from __future__ import annotations

import enum

import attrs


class UpstreamKind(enum.Enum):
    """Kind of process that runs on a VM."""

    ENGINE = 'engine'
    SERVICE = 'service'
    ROUTER = 'router'


class VmState(enum.Enum):
    """State of a VM in the platform's VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Vm:
    """One entry of the platform's VM list.

    Attributes:
        id: Name of the VM, never reused.
        host: IP address.
        port: Port of the process on it (for routers, the peer port).
        availability_zone: Zone of the VM.
        region: Region of the VM.
        service: Service that the VM belongs to; pools select upstreams by
            it.
        kind: Engine, plain service or router.
        state: Live or leaving.
    """

    id: str
    host: str
    port: int
    availability_zone: str
    service: str
    kind: UpstreamKind
    region: str = 'default'
    state: VmState = VmState.LIVE


@attrs.frozen
class LoadReport:
    """Load of an engine as reported by itself, with a delay of `age`.

    Attributes:
        upstream: VM id of the engine.
        instance: Id of the engine's process; changes with each restart.
        running: Requests in progress.
        waiting: Requests accepted but not started.
        age: Seconds between measuring the figures and receiving them, as
            the engine states it.
        models: Models being served.
        adapters: Adapters that are loaded.
        draining: Whether the engine reports that it is leaving.
        max_running: Batch size limit of the engine, 0 if unknown.
    """

    upstream: str
    instance: str
    running: int
    waiting: int
    age: float = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    draining: bool = False
    max_running: int = 0

    @property
    def load(self) -> int:
        """Requests accepted by the engine and not finished."""
        return self.running + self.waiting
