"""The registry of stand-ins, each with its settings class."""

from __future__ import annotations

import abc
import random
from typing import Any
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from lavenderbend import registry
from lavenderbend.protocol import documents_yaml
from lavenderbend.protocol import yaml_nodes
from lavenderbend.standin import engine
from lavenderbend.standin import engine_core
from lavenderbend.standin import key_value
from lavenderbend.standin import plain_service
from lavenderbend.standin import vm_list
from lavenderbend.standin import weight_store
from lavenderbend.state import settings as settings_module
from lavenderbend.state import upstreams  # noqa: TC001 - read by cattrs

if TYPE_CHECKING:
    import pathlib

    import trio

S = TypeVar('S')


class StandIn(abc.ABC, Generic[S]):
    """One kind of stand-in.

    Attributes:
        summary: Description in one line, for the command's usage text.
        default_port: Port that the examples use.
        settings: The attrs class of its settings.
    """

    summary: str
    default_port: int
    settings: type[S]

    @abc.abstractmethod
    async def serve(
        self,
        host: str,
        port: int,
        settings: S,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled.

        Args:
            host: IP address to bind.
            port: Port to bind, 0 for any.
            settings: Settings of the stand-in.
            task_status: Started when the port is bound.
        """


STANDINS: registry.Registry[type[StandIn]] = registry.Registry('stand-in')


def load_settings(kind: type[StandIn], path: str | pathlib.Path | None) -> Any:
    """Returns the settings of a stand-in; the defaults if `path` is None.

    Raises:
        DocumentErrors: All faults of the file.
    """
    if path is None:
        return kind.settings()
    document = yaml_nodes.parse(documents_yaml.read_file(path), str(path))
    return documents_yaml.structure(document, kind.settings)


@STANDINS.register('engine')
class EngineStandIn(StandIn[engine_core.EngineSettings]):
    """A model engine."""

    summary = 'a model engine that batches, caches prefixes and reports load'
    default_port = 9001
    settings = engine_core.EngineSettings

    async def serve(
        self,
        host: str,
        port: int,
        settings: engine_core.EngineSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        await engine.serve(
            host, port, engine_core.Engine(settings), task_status=task_status
        )


@STANDINS.register('plain-service')
class PlainServiceStandIn(StandIn[plain_service.PlainSettings]):
    """A plain service."""

    summary = 'a plain service with instant and non-idempotent calls'
    default_port = 9101
    settings = plain_service.PlainSettings

    async def serve(
        self,
        host: str,
        port: int,
        settings: plain_service.PlainSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        await plain_service.serve(
            host,
            port,
            plain_service.PlainService(settings),
            task_status=task_status,
        )


@attrs.frozen
class KeyValueStandInSettings:
    """Settings of the key-value service stand-in.

    Attributes:
        seed: Seed of its injected faults.
    """

    seed: int = 1


@STANDINS.register('key-value')
class KeyValueStandIn(StandIn[KeyValueStandInSettings]):
    """The key-value service."""

    summary = 'the key-value service, etcd v3 over HTTP/JSON, in memory'
    default_port = 2379
    settings = KeyValueStandInSettings

    async def serve(
        self,
        host: str,
        port: int,
        settings: KeyValueStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        store = key_value.MemoryStore(random.Random(settings.seed))
        await key_value.serve(host, port, store, task_status=task_status)


@attrs.frozen
class VmListStandInSettings:
    """Settings of the VM list stand-in.

    Attributes:
        vms: The VMs.
        lag_seconds: Delay until a change is visible to readers.
    """

    vms: tuple[upstreams.Vm, ...] = ()
    lag_seconds: settings_module.Seconds = settings_module.bounded(
        2.0, 0.0, 600.0
    )


@STANDINS.register('vm-list')
class VmListStandInKind(StandIn[VmListStandInSettings]):
    """The VM list."""

    summary = 'the VM list, late by a set time'
    default_port = 2390
    settings = VmListStandInSettings

    async def serve(
        self,
        host: str,
        port: int,
        settings: VmListStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        standin = vm_list.VmListStandIn(settings.vms, settings.lag_seconds)
        await vm_list.serve(host, port, standin, task_status=task_status)


@attrs.frozen
class WeightStoreStandInSettings:
    """Settings of the weight store stand-in.

    Attributes:
        rate: Fetches a second that it allows.
        burst: Fetches that it allows at once.
        fetch_seconds: Duration of one fetch.
    """

    rate: float = settings_module.bounded(1.0, 0.001, 1_000_000.0)
    burst: float = settings_module.bounded(2.0, 1.0, 1_000_000.0)
    fetch_seconds: settings_module.Seconds = settings_module.bounded(
        0.0, 0.0, 600.0
    )


@STANDINS.register('weight-store')
class WeightStoreStandIn(StandIn[WeightStoreStandInSettings]):
    """The weight store."""

    summary = 'the store of model weights, with its rate limit'
    default_port = 2391
    settings = WeightStoreStandInSettings

    async def serve(
        self,
        host: str,
        port: int,
        settings: WeightStoreStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        store = weight_store.WeightStore(
            settings.rate, settings.burst, settings.fetch_seconds
        )
        await weight_store.serve(host, port, store, task_status=task_status)
