"""VMs, upstreams and what they report."""

from __future__ import annotations

import enum

import attrs


class UpstreamKind(enum.Enum):
    """What stands behind an address."""

    ENGINE = 'engine'
    SERVICE = 'service'
    ROUTER = 'router'


class VmState(enum.Enum):
    """What the platform's VM list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Vm:
    """One line of the platform's VM list.

    Attributes:
        id: The VM's name, unique for ever.
        host: IP number.
        port: Port of the process on it (for routers, the peer port).
        availability_zone: Its zone.
        region: Its region.
        service: The service it belongs to; pools select upstreams by it.
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
    """What an engine says of itself, some time late.

    Attributes:
        upstream: VM id of the engine.
        instance: Changes whenever the process starts anew.
        running: Requests in progress.
        waiting: Requests accepted but not started.
        age: Seconds between the taking of the figures and their arrival,
            as the engine states it.
        models: Models now serving.
        adapters: Adapters now loaded.
        draining: The engine says that it is leaving.
        max_running: Batch size limit of the engine, 0 for unknown.
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
        """Requests that the engine has taken and not finished."""
        return self.running + self.waiting
