"""Reads the platform's VM list over HTTP."""

from __future__ import annotations

from typing import Any

import httpx

from lavenderbend.coordination import interfaces
from lavenderbend.state import upstreams
from lavenderbend.transport import vm_lists

MAX_LIST_BYTES = 16 * 1024 * 1024


@vm_lists.VM_LISTS.register('http')
class HttpVmList(interfaces.VmList):
    """Reads `{"vms": [...]}` by GET; an unchanged list is not sent again.

    Attributes:
        url: URL of the list.
        timeout: Timeout of one read in seconds.
    """

    def __init__(self, url: str, timeout: float = 2.0) -> None:
        self.url = url
        self.timeout = timeout
        self.client = httpx.AsyncClient(timeout=timeout)
        self.etag = ''
        self.last: tuple[upstreams.Vm, ...] = ()
        self.bytes_received = 0

    async def fetch(self) -> tuple[upstreams.Vm, ...]:
        """Returns the current list of the platform.

        Raises:
            OSError: The list cannot be read or is invalid.
        """
        headers = {'if-none-match': self.etag} if self.etag else {}
        try:
            answer = await self.client.get(self.url, headers=headers)
        except httpx.HTTPError as exc:
            raise ConnectionError(f'{self.url}: {exc!r}') from exc
        self.bytes_received += answer.num_bytes_downloaded
        if answer.status_code == httpx.codes.NOT_MODIFIED and self.etag:
            return self.last
        if answer.status_code != httpx.codes.OK:
            raise ConnectionError(f'{self.url}: HTTP {answer.status_code}')
        if len(answer.content) > MAX_LIST_BYTES:
            raise ConnectionError(
                f'{self.url}: list too large: {len(answer.content)} bytes'
            )
        try:
            vms = tuple(vm_from_json(entry) for entry in answer.json()['vms'])
        except (ValueError, KeyError, TypeError) as exc:
            raise ConnectionError(f'{self.url}: {exc!r}') from exc
        self.last = vms
        self.etag = answer.headers.get('etag', '')
        return vms


def vm_from_json(entry: dict[str, Any]) -> upstreams.Vm:
    """Returns the VM that an entry of the list describes.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: A field has an invalid value.
    """
    for name in ('id', 'host', 'availability_zone', 'service'):
        if not isinstance(entry[name], str) or not entry[name]:
            raise TypeError(f'{name} is {entry[name]!r}')
    # JSON true is a Python int (bool) and would pass as port 1
    port = entry['port']
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError(f'port is {port!r}')
    return upstreams.Vm(
        id=entry['id'],
        host=entry['host'],
        port=port,
        availability_zone=entry['availability_zone'],
        service=entry['service'],
        kind=upstreams.UpstreamKind(entry['kind']),
        region=str(entry.get('region', 'default')),
        state=upstreams.VmState(entry.get('state', 'live')),
    )


def vm_to_json(vm: upstreams.Vm) -> dict[str, Any]:
    """Returns the entry of a VM."""
    return {
        'id': vm.id,
        'host': vm.host,
        'port': vm.port,
        'availability_zone': vm.availability_zone,
        'region': vm.region,
        'service': vm.service,
        'kind': vm.kind.value,
        'state': vm.state.value,
    }
