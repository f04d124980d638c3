"""Sources of the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import registry
from lavenderbend.coordination import interfaces

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderbend.state import upstreams

VM_LISTS: registry.Registry[type[interfaces.VmList]] = registry.Registry(
    'VM list'
)


@VM_LISTS.register('static')
class StaticVmList(interfaces.VmList):
    """A fixed list.

    Attributes:
        vms: The list; tests may replace it.
    """

    def __init__(self, vms: Iterable[upstreams.Vm]) -> None:
        self.vms = tuple(vms)

    async def fetch(self) -> tuple[upstreams.Vm, ...]:
        """Returns the list."""
        return self.vms
