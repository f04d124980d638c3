"""Seeded callers of a whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from tests.integration import callers
from tests.integration import documents

if TYPE_CHECKING:
    import random

    from tests.integration import fleet

RETRIES = 6
PAUSE_SECONDS = 0.15
CHECK_SECONDS = 0.05
FIRST_TRY_MISSED = (callers.Told.UNREACHABLE, callers.Told.NOT_RUN)


@attrs.frozen
class Mix:
    """How many callers of each kind work at once.

    Attributes:
        chats: Chats, each with one turn after another.
        once: Callers of non-idempotent requests.
        max_tokens: Longest answer of a chat.
        resend: Share of `once` requests that are sent again although the
            first copy was answered.
    """

    chats: int = 8
    once: int = 3
    max_tokens: int = 40
    resend: float = 0.3


class Balancer:
    """The platform's balancer: sends callers to routers that are ready."""

    def __init__(self, subject: fleet.Fleet) -> None:
        self.fleet = subject
        self.unready: set[str] = set()
        self.client = httpx.AsyncClient(timeout=1.0)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for router in self.fleet.routers:
                nursery.start_soon(self.check, router.url)

    async def check(self, url: str) -> None:
        while True:
            try:
                answer = await self.client.get(f'{url}/readyz')
                ready = answer.status_code == 200
            except httpx.HTTPError:
                ready = False
            if ready:
                self.unready.discard(url)
            else:
                self.unready.add(url)
            await trio.sleep(CHECK_SECONDS)


class Traffic:
    """Callers that work until told to stop.

    Attributes:
        balancer: Takes routers out that are not ready.
        caller: Sends and records.
        refused_twice: Requests that no second router served either.
    """

    def __init__(
        self, subject: fleet.Fleet, rng: random.Random, mix: Mix | None = None
    ) -> None:
        self.fleet = subject
        self.rng = rng
        self.mix = mix or Mix()
        self.caller = callers.Caller()
        self.stopping = False
        self.balancer = Balancer(subject)
        self.refused_twice: list[callers.Call] = []

    async def run(self) -> None:
        """Works until `stop`, then ends when every request has ended."""
        async with trio.open_nursery() as balancing:
            balancing.start_soon(self.balancer.run)
            async with trio.open_nursery() as nursery:
                for number in range(self.mix.chats):
                    nursery.start_soon(self.chat, number)
                for number in range(self.mix.once):
                    nursery.start_soon(self.once, number)
            balancing.cancel_scope.cancel()
        await self.balancer.client.aclose()
        await self.caller.client.aclose()

    def stop(self) -> None:
        self.stopping = True

    def pick_url(self, avoid: str = '') -> str:
        urls = [router.url for router in self.fleet.routers]
        others = [
            url
            for url in urls
            if url != avoid and url not in self.balancer.unready
        ]
        return self.rng.choice(others or urls)

    async def chat(self, number: int) -> None:
        """One chat after another, each a few turns long."""
        round_number = 0
        while not self.stopping:
            round_number += 1
            customer = self.rng.choice(documents.CUSTOMERS)
            opening = f'chat {number} round {round_number} of {customer}'
            messages = [{'role': 'user', 'content': opening}]
            for turn in range(self.rng.randint(1, 5)):
                call = await self.turn(customer, messages)
                if self.stopping or call.told is not callers.Told.COMPLETE:
                    break
                messages = [
                    *messages,
                    {'role': 'assistant', 'content': call.text},
                    {'role': 'user', 'content': f'and turn {turn}'},
                ]
                await trio.sleep(self.rng.uniform(0.01, 0.1))

    async def turn(
        self, customer: str, messages: list[dict[str, str]]
    ) -> callers.Call:
        """Sends one turn, to a second router if the first did not run it."""
        stream = self.rng.random() < 0.7
        tokens = self.rng.randint(4, self.mix.max_tokens)
        url = self.pick_url()
        for _ in range(2):
            call = await self.caller.chat(
                url, customer, messages, stream=stream, max_tokens=tokens
            )
            if call.told not in FIRST_TRY_MISSED:
                return call
            url = self.pick_url(avoid=url)
        self.refused_twice.append(call)
        await trio.sleep(PAUSE_SECONDS)
        return call

    async def once(self, number: int) -> None:
        """One non-idempotent request after another."""
        count = 0
        while not self.stopping:
            count += 1
            await self.run_key(f'key-{number}-{count}')
            await trio.sleep(self.rng.uniform(0.01, 0.1))

    async def run_key(self, key: str) -> None:
        """Sends a request again until its caller knows what became of it."""
        customer = self.rng.choice(documents.CUSTOMERS)
        body = {'letter': key}
        url = self.pick_url()
        for _ in range(RETRIES):
            call = await self.caller.once(url, customer, key, body)
            url = self.pick_url(avoid=url)
            if call.told in (callers.Told.COMPLETE, callers.Told.FAILED):
                break
            await trio.sleep(PAUSE_SECONDS)
        if self.rng.random() < self.mix.resend:
            await self.caller.once(url, customer, key, body)
