"""The platform's VM list over HTTP."""

from __future__ import annotations

from typing import Any

import httpx

from lavenderbend.coordination import interfaces
from lavenderbend.state import upstreams
from lavenderbend.transport import vm_lists

MAX_LIST_BYTES = 16 * 1024 * 1024


@vm_lists.VM_LISTS.register('http')
class HttpVmList(interfaces.VmList):
    """Reads `{"vms": [...]}` by GET; unchanged lists cost no body.

    Attributes:
        url: Where the list is.
        timeout: Seconds for one read.
    """

    def __init__(self, url: str, timeout: float = 2.0) -> None:
        self.url = url
        self.timeout = timeout
        self.client = httpx.AsyncClient(timeout=timeout)
        self.etag = ''
        self.last: tuple[upstreams.Vm, ...] = ()
        self.bytes_received = 0

    async def fetch(self) -> tuple[upstreams.Vm, ...]:
        """Returns the list as the platform now gives it.

        Raises:
            OSError: The list cannot be had, or is no such list.
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
            raise ConnectionError(f'{self.url}: the list is too long')
        try:
            vms = tuple(read_vm(line) for line in answer.json()['vms'])
        except (ValueError, KeyError, TypeError) as exc:
            raise ConnectionError(f'{self.url}: {exc!r}') from exc
        self.last = vms
        self.etag = answer.headers.get('etag', '')
        return vms


def read_vm(line: dict[str, Any]) -> upstreams.Vm:
    """Returns the VM of one line.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: A field has an impossible value.
    """
    for name in ('id', 'host', 'availability_zone', 'service'):
        if not isinstance(line[name], str) or not line[name]:
            raise TypeError(f'{name} is {line[name]!r}')
    # a JSON true is an int here, and would be port 1
    port = line['port']
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError(f'port is {port!r}')
    return upstreams.Vm(
        id=line['id'],
        host=line['host'],
        port=port,
        availability_zone=line['availability_zone'],
        service=line['service'],
        kind=upstreams.UpstreamKind(line['kind']),
        region=str(line.get('region', 'default')),
        state=upstreams.VmState(line.get('state', 'live')),
    )


def write_vm(vm: upstreams.Vm) -> dict[str, Any]:
    """Returns the line of a VM."""
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
