"""Routers as processes, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shlex
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING

from harness import store as stores
from harness import template
from harness import wire
from harness import worker as workers

if TYPE_CHECKING:
    import signal

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'clients.example'
KEY = 'key-of-tenant-one'
START_SECONDS = 20.0
# loopback addresses of its own for each script that runs
NETWORK = f'127.0.{os.getpid() % 250 + 1}'
READY_SECONDS = 0.1
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 3000,
    'ackTimeoutMs': 4000,
    'catchupS': 4,
    'drainTimeoutMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'strictRevoke': True,
    'revokeTimeoutMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtra': 54,
    'recoveryS': 12,
    'passMs': 120,
    'reuseWindowS': 10,
    'capFactor': 2,
}
LIMITS = {
    'cpuShare': 0.537,
    'cpuCores': 2,
    'memoryMb': 300,
    'maxFds': 4100,
    'linkMbps': 1000.0,
    'diskMb': 0,
}


def route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Returns a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'service': 'service-one',
        'kind': kind,
        'maxAttempts': 1,
        'timeoutMs': 15000,
        'targetLatencyMs': 1000,
        'priority': 2,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, object]], keys: list[str]
) -> dict[str, object]:
    """Returns a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'service-one',
                'healthPath': '/health',
                'maxConns': 360,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant-one', 'apiKeys': keys}],
    }


def free_port(host: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Router:
    """One router process.

    Attributes:
        host: Its address.
        front: Its port for clients.
        ready: Its port for the balancer.
        seeds: The machines that its settings name, None for the first three.
        process: The process, None if it does not run.
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.host = f'{NETWORK}.{number + 2}'
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.seeds: list[Router] | None = None
        self.process: subprocess.Popen | None = None

    def fields(self) -> dict[str, object]:
        """Returns the fields of the platform's settings file."""
        known = self.seeds or self.fleet.routers[:3]
        seeds = [f'{router.host}:1' for router in known]
        port = self.fleet.peer_port
        return {
            'node': f'edge-{self.host}',
            'role': 'router',
            'ip': self.host,
            'zone': 'sala-a',
            'region': 'stgo',
            'portRange': [port, port],
            'seedNodes': seeds,
            'zones': {'sala-a': 'stgo'},
            'listen': {
                'front': f'{self.host}:{self.front}',
                'ready': f'{self.host}:{self.ready}',
            },
            'limits': LIMITS,
            'bounds': self.fleet.bounds,
            'platform': {'address': f'127.0.0.1:{self.fleet.store.port}'},
        }

    def role(self) -> dict[str, object]:
        """Returns the role of the deploy file."""
        document = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        return document['roles']['router']

    def write_settings(self) -> pathlib.Path:
        """Writes the settings file anew; returns its path."""
        path = self.fleet.folder / f'{self.host}.yaml'
        template_path = ROOT / self.role()['template']
        path.write_text(template.render_file(template_path, self.fields()))
        return path

    def start(self) -> None:
        """Starts the process as the deploy file says."""
        role = self.role()
        fields = self.fields()
        path = self.write_settings()
        variables = {
            name: template.render(text, fields)
            for name, text in role['env'].items()
        }
        log = self.fleet.folder / f'{self.host}.log'
        with log.open('ab') as stream:
            self.process = subprocess.Popen(
                shlex.split(role['run']),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'LAVENDERBEND_SETTINGS': str(path),
                    **variables,
                },
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready
            )
        except OSError:
            return False
        start = 'GET /lavenderbend/ready HTTP/1.1'
        writer.write(wire.encode(start, {'Host': self.host}))
        answer = await wire.read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def wait_ready(self) -> None:
        """Waits until it says that it is ready."""
        if not await self.is_ready():
            await asyncio.sleep(READY_SECONDS)
            await self.wait_ready()


class Fleet:
    """Routers, the store and the workers of one script.

    Attributes:
        folder: Temporary folder for settings and logs.
        store: The platform's store.
        workers: The workers.
        routers: The routers.
        bounds: The bounds in the settings of the routers.
        rows: Lines of the record.
    """

    def __init__(self, routers: int, servers: int) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = stores.Store()
        self.workers = [
            workers.Worker(f'i-worker{number}', 'service-one')
            for number in range(servers)
        ]
        self.peer_port = free_port(f'{NETWORK}.2')
        self.routers: list[Router] = []
        for number in range(routers):
            self.routers.append(Router(self, number))
        self.bounds: dict[str, object] = dict(BOUNDS)
        self.rows: list[str] = []
        self.began = time.monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Adds a line to the record."""
        seconds = round(time.monotonic() - self.began, 3)
        self.rows.append(json.dumps({'at': seconds, 'event': event, **fields}))

    async def start(self, table: dict[str, object]) -> None:
        """Starts all, and waits until the routers are ready.

        Raises:
            TimeoutError: They do not become ready.
        """
        await self.store.start()
        self.store.put('op/config', table)
        for worker in self.workers:
            await worker.start()
            self.store.put(f'servers/{worker.id}', worker.entry())
        for router in self.routers:
            router.start()
        async with asyncio.timeout(START_SECONDS):
            for router in self.routers:
                await router.wait_ready()

    def end_routers(self) -> None:
        """Ends all processes that were started."""
        for router in self.routers:
            router.end()

    def close(self, record: pathlib.Path) -> None:
        """Ends all processes and writes the record."""
        self.end_routers()
        for worker in self.workers:
            for run in worker.runs:
                ended = run['ended']
                fields = {
                    'request': run['id'],
                    'began': round(run['at'] - self.began, 3),
                    'ended': ended and round(ended - self.began, 3),
                }
                self.rows.append(
                    json.dumps({'event': 'run', 'at': worker.id, **fields})
                )
        record.write_text('\n'.join(self.rows) + '\n')
        self.temporary.cleanup()
