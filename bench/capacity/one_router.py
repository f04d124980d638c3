"""Memory and processor time of one idle router process, by what it knows.

The other routers and the engines of the list are not there: the router asks
for reports at the rate it would, and each ends as a refused connection.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import yaml

from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = '127.0.0.1'
SECRET = 'capacity'  # noqa: S105 - of a router that lives for a minute
SALTED = (
    'beefbeef$7f4631679280c2e184a646ac53627e5443244df6f7af8f27ddc0bf4b373f9cf5'
)
TICKS = os.sysconf('SC_CLK_TCK')
KIB = 1024
MODELS = 14
REGIONS = 5
ZONES = 12
START_SECONDS = 30.0
SETTLE_SECONDS = 10.0
MEASURED_SECONDS = 20.0


@attrs.frozen
class Size:
    """What the router knows.

    Attributes:
        routers: In the VM list.
        engines: In the VM list.
        customers: In the configuration.
        rules: In the configuration.
        region_engines: Engines of its region. It is alone, so it owns all
            of them and polls their reports.
    """

    routers: int
    engines: int
    customers: int
    rules: int
    region_engines: int


SIZES = {
    'today': Size(7, 14, 10, 10, 14),
    'a part of the target': Size(330, 3050, 900, 500, 19),
    'the target, its share of the engines': Size(330, 6100, 1800, 1000, 19),
    'the target, alone in its region': Size(330, 6100, 1800, 1000, 1220),
}


@attrs.frozen
class Result:
    """What the process took.

    Attributes:
        size: What it knew.
        memory_mib: Resident, after some time.
        cpu_percent: Of a core, with no request.
        document_kb: Size of the configuration file.
    """

    size: Size
    memory_mib: float
    cpu_percent: float
    document_kb: float


def document(size: Size) -> str:
    """Returns the configuration file."""
    rules = tuple(
        configuration.Rule(
            f'rule-{number}',
            configuration.Then(pool=f'model-{number % MODELS}'),
            configuration.When(customer=(f'customer-{number}',)),
        )
        for number in range(size.rules)
    )
    customers = tuple(
        configuration.Customer(
            f'customer-{number}',
            (f'beef{number:04x}$' + 64 * 'a',),
            requests_per_second=50.0,
        )
        for number in range(size.customers)
    )
    pools = tuple(
        configuration.Pool(f'model-{number}', f'model-{number}', groups=5)
        for number in range(MODELS)
    )
    return documents_yaml.dump_configuration(
        configuration.Configuration(rules, pools, customers)
    )


def vms(size: Size) -> list[dict[str, Any]]:
    """Returns the VM list; nothing listens at its addresses."""
    lines = []
    for number in range(size.routers + size.engines):
        router = number < size.routers
        region = number % REGIONS
        if not router:
            here = number - size.routers < size.region_engines
            region = 0 if here else 1 + number % (REGIONS - 1)
        lines.append(
            {
                'id': f'{"router" if router else "engine"}-{number:05d}',
                'host': HOST,
                'port': 1,
                'availability_zone': f'zone-{number % ZONES}',
                'region': f'region-{region}',
                'service': 'router' if router else f'model-{number % MODELS}',
                'kind': 'router' if router else 'engine',
            }
        )
    return lines


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody uses now."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((HOST, 0)))
            for _ in range(count)
        ]
        return [item.getsockname()[1] for item in sockets]


@contextlib.contextmanager
def process(folder: pathlib.Path, *arguments: str) -> Iterator[int]:
    """Runs a command of the product; yields its process id."""
    command = [sys.executable, '-m', 'lavenderbend', *arguments]
    with (folder / f'{arguments[0]}.log').open('ab') as log:
        child = subprocess.Popen(command, stdout=log, stderr=log)  # noqa: S603
    try:
        yield child.pid
    finally:
        child.terminate()
        try:
            child.wait(10)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait(10)


def write(path: pathlib.Path, content: Any) -> str:
    """Writes a YAML file; returns its path."""
    path.write_text(yaml.safe_dump(content), encoding='utf-8')
    return str(path)


def settings(ports: list[int]) -> dict[str, Any]:
    """Returns the settings of the router."""
    callers, operators, peers, key_value, vm_list = ports
    return {
        'id': 'router-00000',
        'availability_zone': 'zone-0',
        'region': 'region-0',
        'callers': {'port': callers},
        'operators': {'port': operators, 'credential': SALTED},
        'peers': {'port': peers},
        'key_value': {'endpoints': [f'http://{HOST}:{key_value}']},
        'vm_list': {'adapter': 'http', 'url': f'http://{HOST}:{vm_list}/vms'},
        'stop': {'balancer_grace_seconds': '0s'},
    }


def wait_for(url: str) -> None:
    """Waits until something answers there."""
    end = time.monotonic() + START_SECONDS
    while True:
        try:
            httpx.get(url)
        except httpx.TransportError:
            if time.monotonic() > end:
                raise
            time.sleep(0.1)
        else:
            return


def accept(port: int, text: str) -> None:
    """Has the configuration accepted."""
    answer = httpx.post(
        f'http://{HOST}:{port}/v1/rules/apply',
        content=text,
        params={'seen': 0, 'author': 'bench', 'reason': 'capacity'},
        headers={'authorization': f'Bearer {SECRET}'},
        timeout=60.0,
    )
    answer.raise_for_status()


def cpu(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def memory(pid: int) -> float:
    """Returns the resident MiB of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KIB
    raise AssertionError('no VmRSS')


def measure(size: Size) -> Result:
    """Runs a router that knows so much; returns what it took."""
    text = document(size)
    ports = free_ports(5)
    with tempfile.TemporaryDirectory() as directory:
        folder = pathlib.Path(directory)
        listed = write(folder / 'vms.yaml', {'vms': vms(size)})
        own = write(folder / 'router.yaml', settings(ports))
        with contextlib.ExitStack() as stack:
            for kind, port, extra in (
                ('key-value', ports[3], ()),
                ('vm-list', ports[4], ('--settings', listed)),
            ):
                stack.enter_context(
                    process(
                        folder, 'standin', kind, '--port', str(port), *extra
                    )
                )
            wait_for(f'http://{HOST}:{ports[4]}/vms')
            pid = stack.enter_context(
                process(folder, 'router', '--settings', own)
            )
            wait_for(f'http://{HOST}:{ports[1]}/')
            accept(ports[1], text)
            time.sleep(SETTLE_SECONDS)
            before = cpu(pid)
            time.sleep(MEASURED_SECONDS)
            spent = cpu(pid) - before
            return Result(
                size,
                round(memory(pid), 1),
                round(100 * spent / MEASURED_SECONDS, 2),
                round(len(text) / 1000, 1),
            )
