"""The stand-ins by kind, each with its settings, for the command line."""

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
        summary: One line for the list of kinds.
        default_port: Port that the examples expect.
        settings: The attrs class of its settings file.
    """

    summary: str
    default_port: int
    settings: type[S]

    @abc.abstractmethod
    async def serve(
        self, host: str, port: int, item: S, task_status: trio.TaskStatus[Any]
    ) -> None:
        """Serves until cancelled; starts when the port is bound."""


STANDINS: registry.Registry[type[StandIn]] = registry.Registry('stand-in')


def load(kind: type[StandIn], path: str | pathlib.Path | None) -> Any:
    """Returns the settings of a stand-in, the defaults without a file.

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
        item: engine_core.EngineSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        await engine.serve(
            host, port, engine_core.Engine(item), task_status=task_status
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
        item: plain_service.PlainSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        await plain_service.serve(
            host,
            port,
            plain_service.PlainService(item),
            task_status=task_status,
        )


@attrs.frozen
class KeyValueStandInSettings:
    """How the stand-in of the key-value service behaves.

    Attributes:
        seed: Seed of its faults.
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
        item: KeyValueStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        store = key_value.MemoryStore(random.Random(item.seed))
        await key_value.serve(host, port, store, task_status=task_status)


@attrs.frozen
class VmListStandInSettings:
    """What the stand-in of the VM list says.

    Attributes:
        vms: The VMs.
        lag_seconds: Time until a change shows.
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
        item: VmListStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        served = vm_list.VmListStandIn(item.vms, item.lag_seconds)
        await vm_list.serve(host, port, served, task_status=task_status)


@attrs.frozen
class WeightStoreStandInSettings:
    """How the stand-in of the weight store behaves.

    Attributes:
        rate: Fetches a second that it allows.
        burst: Fetches that may come at once.
        fetch_seconds: Time that one fetch takes.
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
        item: WeightStoreStandInSettings,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        """Serves until cancelled."""
        store = weight_store.WeightStore(
            item.rate, item.burst, item.fetch_seconds
        )
        await weight_store.serve(host, port, store, task_status=task_status)
