"""Measures what issues ask of real processes; prints JSON."""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
from typing import Any

import httpx
import trio

from tests.integration import documents
from tests.integration import fleet

PLAN = fleet.Plan(documents.document(), routers=7, engines=1, services=1)
CHANGES = 20
SECRET = documents.SECRETS[documents.CUSTOMERS[0]]
POLL_SECONDS = 0.005


async def seen(
    client: httpx.AsyncClient, router: fleet.Router, marker: str
) -> None:
    """Waits until callers of a router meet a revision."""
    headers = {'authorization': f'Bearer {SECRET}'}
    while True:
        answer = await client.get(f'{router.url}/marker', headers=headers)
        if answer.json().get('detail') == marker:
            return
        await trio.sleep(POLL_SECONDS)


async def change(
    subject: fleet.Fleet, client: httpx.AsyncClient, number: int, outage: bool
) -> float:
    """Accepts a change; returns seconds until all routers' callers meet it."""
    marker = f'change {number}'
    first, *others = subject.routers
    if outage:
        for router in others:
            router.key_value_proxy.faults.refuse = True
            await router.key_value_proxy.reset()
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            subject.accept, documents.document(marker), number, first
        )
        for router in subject.routers:
            nursery.start_soon(seen, client, router, marker)
        if outage:
            await seen(client, first, marker)
            first.key_value_proxy.faults.refuse = True
            await first.key_value_proxy.reset()
    took = trio.current_time() - began
    for router in subject.routers:
        router.key_value_proxy.heal()
    return took


def summary(values: list[float]) -> dict[str, Any]:
    ordered = sorted(values)
    return {
        'changes': len(ordered),
        'median_seconds': round(ordered[len(ordered) // 2], 3),
        'most_seconds': round(ordered[-1], 3),
    }


async def measure(folder: pathlib.Path) -> dict[str, Any]:
    """Returns the times of changes with and without the service."""
    with_service = []
    without = []
    async with fleet.running(PLAN, folder) as subject:
        async with httpx.AsyncClient() as client:
            for number in range(1, CHANGES + 1):
                with_service.append(
                    await change(subject, client, number, False)
                )
            for number in range(CHANGES + 1, CHANGES + 6):
                without.append(await change(subject, client, number, True))
                await trio.sleep(3)
    return {
        'in force on 7 routers': summary(with_service),
        'service down just after acceptance': summary(without),
    }


def main() -> None:
    """Prints the figures."""
    with tempfile.TemporaryDirectory() as folder:
        json.dump(trio.run(measure, pathlib.Path(folder)), sys.stdout, indent=2)
    print()


if __name__ == '__main__':
    main()
