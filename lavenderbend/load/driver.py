"""Sends a load to routers and checks every answer."""

from __future__ import annotations

import functools
import random
from typing import Any
from typing import TYPE_CHECKING

import orjson
import trio

from lavenderbend.load import calls
from lavenderbend.load import chats
from lavenderbend.load import plans
from lavenderbend.load import results
from lavenderbend.protocol import openai

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    Expected = Callable[[str, dict[str, Any]], str]

CHAT = 'chat'
INSTANT = 'instant'
ONCE = 'once'
REST_SECONDS = 0.05


class Driver:
    """One load in progress.

    Attributes:
        plan: The load.
        mix: Its mix.
        rng: Source of everything random.
        callers: One for each address.
        chats: Chats that may return.
        result: What became of the calls so far.
        expected: Returns the one right text of a chat answer, or None if
            only its wholeness can be checked.
        open: Calls in progress.
    """

    def __init__(
        self,
        plan: plans.LoadPlan,
        addresses: Sequence[str],
        expected: Expected | None,
    ) -> None:
        self.plan = plan
        self.mix = plans.MIXES.get(plan.mix)
        self.rng = random.Random(plan.seed)
        self.callers = [
            calls.Caller(address, plan.call_seconds) for address in addresses
        ]
        self.chats = chats.ChatPool(plan, self.mix, self.rng)
        self.result = results.LoadResult()
        self.expected = expected
        self.open = trio.CapacityLimiter(plan.max_open)
        self.numbers = 0

    async def run(self) -> results.LoadResult:
        """Sends all calls and returns when the last has ended."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for index in range(len(self.plan.customers)):
                nursery.start_soon(self.send_calls, nursery, index, started)
        for caller in self.callers:
            await caller.aclose()
        self.result.elapsed = trio.current_time() - started
        return self.result

    async def send_calls(
        self, nursery: trio.Nursery, customer: int, started: float
    ) -> None:
        """Begins the calls of one customer, in a Poisson process."""
        rng = random.Random(f'{self.plan.seed}/{customer}')
        due = started
        while True:
            rate = self.plan.rate_of(customer, due - started)
            due += rng.expovariate(rate)
            if due >= started + self.plan.seconds:
                return
            await trio.sleep_until(due)
            kind = self.choose_kind(rng)
            nursery.start_soon(self.one_call, kind, customer, rng)

    def choose_kind(self, rng: random.Random) -> str:
        """Returns what the next call is."""
        value = rng.random()
        if value < self.mix.chat_share:
            return CHAT
        if value < self.mix.chat_share + self.mix.instant_share:
            return INSTANT
        return ONCE

    async def one_call(
        self, kind: str, customer: int, rng: random.Random
    ) -> None:
        """Makes one call and counts what became of it."""
        self.numbers += 1
        send = {CHAT: self.chat, INSTANT: self.instant, ONCE: self.once}[kind]
        async with self.open:
            try:
                with trio.fail_after(self.plan.call_seconds):
                    verdict, detail = await send(customer, self.numbers, rng)
            except calls.NotServed as exc:
                verdict, detail = results.Verdict.REFUSED, exc.kind
            except (calls.CutOff, trio.TooSlowError) as exc:
                verdict, detail = results.Verdict.CUT, f'{kind}: {exc}'
        self.result.note(verdict, detail)

    async def send(
        self, customer: int, send: Callable[[calls.Caller, dict], Any]
    ) -> calls.Reply:
        """Sends a call, to another address as long as it was not run."""
        credential = self.plan.customers[customer].credential
        headers = {'authorization': f'Bearer {credential}'}
        first = self.rng.randrange(len(self.callers))
        for number in range(self.plan.tries):
            caller = self.callers[(first + number) % len(self.callers)]
            try:
                reply = await send(caller, headers)
            except calls.NotServed as exc:
                if not exc.retry or number + 1 == self.plan.tries:
                    raise
                await trio.sleep(REST_SECONDS)
            else:
                self.result.retried += number > 0
                return reply
        raise calls.NotServed('no tries', False)

    async def chat(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Makes one turn of a chat."""
        chat = self.chats.next_turn(customer)
        body = self.chats.body(chat)
        content = orjson.dumps(body)

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            return await caller.call('POST', openai.CHAT_PATH, headers, content)

        reply = await self.send(customer, send)
        if reply.status != 200:
            return results.Verdict.CUT, f'chat: status {reply.status}'
        if reply.body:
            calls.read_chat(reply)
        self.result.time(results.Timing.CHAT, reply.seconds)
        if body['stream']:
            self.result.time(results.Timing.FIRST_BYTE, reply.first_byte)
        self.note_usage(reply.usage, chat.turns > 0)
        if not self.right(reply, body):
            return results.Verdict.WRONG, f'chat {chat.key}: {reply.text!r}'
        self.chats.put_back(chat, reply.text)
        return results.Verdict.WHOLE, ''

    def right(self, reply: calls.Reply, body: dict[str, Any]) -> bool:
        """Returns whether the text is the answer to this very body."""
        if self.expected is None:
            return True
        return reply.text == self.expected(reply.request_id, body)

    def note_usage(self, usage: dict[str, Any], returning: bool) -> None:
        """Adds up prompt tokens and those that were cached."""
        details = usage.get('prompt_tokens_details') or {}
        cached = details.get('cached_tokens') or 0
        total = usage.get('prompt_tokens') or 0
        self.result.cached_tokens += cached
        self.result.prompt_tokens += total
        if returning:
            self.result.returning_cached_tokens += cached
            self.result.returning_prompt_tokens += total

    async def instant(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Makes one instant call."""
        path = f'{rng.choice(self.mix.instant_paths)}office-{number}'

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            return await caller.call('GET', path, headers)

        reply = await self.send(customer, send)
        self.result.time(results.Timing.INSTANT, reply.seconds)
        if reply.status != 200:
            return results.Verdict.CUT, f'instant: status {reply.status}'
        if path.encode() not in reply.body:
            return results.Verdict.WRONG, f'instant {path}: {reply.body!r}'
        return results.Verdict.WHOLE, ''

    async def once(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Makes one non-idempotent call, now and then twice."""
        name = self.plan.customers[customer].name
        key = f'{name}-{self.plan.seed}-{number}'
        content = orjson.dumps({'to': f'citizen-{number}', 'key': key})
        resend = rng.random() < self.mix.resend_share

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            named = {**headers, 'idempotency-key': key}
            return await caller.call('POST', self.mix.once_path, named, content)

        self.result.once_keys[key] = None
        try:
            reply = await self.send(customer, send)
        except calls.NotServed:
            self.result.once_keys[key] = False
            raise
        self.result.time(results.Timing.ONCE, reply.seconds)
        if not 200 <= reply.status < 300:
            return results.Verdict.CUT, f'once: status {reply.status}'
        self.result.once_keys[key] = True
        if resend:
            self.result.resent += 1
            again = await self.send(customer, send)
            if again.status != reply.status:
                return results.Verdict.WRONG, f'once {key}: {again.status}'
        return results.Verdict.WHOLE, ''


async def run_load(
    plan: plans.LoadPlan,
    addresses: Sequence[str],
    expected: Expected | None = None,
    progress: Callable[[results.LoadResult], None] | None = None,
    progress_seconds: float = 1.0,
) -> results.LoadResult:
    """Sends a load and returns what became of it.

    Args:
        plan: The load.
        addresses: Base URLs of the routers.
        expected: Returns the one right text of the answer to a request, by
            its id and body; without it only wholeness is checked.
        progress: Called with the result so far, now and then.
        progress_seconds: How often.
    """
    driver = Driver(plan, addresses, expected)
    async with trio.open_nursery() as nursery:
        if progress is not None:
            nursery.start_soon(
                functools.partial(
                    report, driver.result, progress, progress_seconds
                )
            )
        result = await driver.run()
        nursery.cancel_scope.cancel()
    return result


async def report(
    result: results.LoadResult,
    progress: Callable[[results.LoadResult], None],
    seconds: float,
) -> None:
    """Shows progress until cancelled."""
    while True:
        await trio.sleep(seconds)
        progress(result)
