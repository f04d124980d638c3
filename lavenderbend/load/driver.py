"""Sends a load to routers and checks every reply."""

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

    ExpectedText = Callable[[str, dict[str, Any]], str]

CHAT = 'chat'
INSTANT = 'instant'
ONCE = 'once'
RETRY_DELAY_SECONDS = 0.05


class Driver:
    """One load in progress.

    Attributes:
        plan: The load plan.
        mix: The mix that the plan names.
        rng: Source of all random choices.
        callers: One for each address.
        chats: Chats that may have further turns.
        result: Outcomes of the calls so far.
        expected: Returns the only correct text of a chat answer; None if
            only completeness can be checked.
        open_calls: Limits the number of calls in progress.
    """

    def __init__(
        self,
        plan: plans.LoadPlan,
        addresses: Sequence[str],
        expected: ExpectedText | None,
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
        self.open_calls = trio.CapacityLimiter(plan.max_open)
        self.call_count = 0

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
        """Starts the calls of one customer as a Poisson process."""
        rng = random.Random(f'{self.plan.seed}/{customer}')
        due = started
        while True:
            rate = self.plan.customer_rate(customer, due - started)
            due += rng.expovariate(rate)
            if due >= started + self.plan.seconds:
                return
            await trio.sleep_until(due)
            kind = self.choose_kind(rng)
            nursery.start_soon(self.run_call, kind, customer, rng)

    def choose_kind(self, rng: random.Random) -> str:
        """Returns the kind of the next call."""
        value = rng.random()
        if value < self.mix.chat_share:
            return CHAT
        if value < self.mix.chat_share + self.mix.instant_share:
            return INSTANT
        return ONCE

    async def run_call(
        self, kind: str, customer: int, rng: random.Random
    ) -> None:
        """Sends one call and records its outcome."""
        self.call_count += 1
        send = {
            CHAT: self.send_chat,
            INSTANT: self.send_instant,
            ONCE: self.send_once,
        }[kind]
        async with self.open_calls:
            try:
                with trio.fail_after(self.plan.call_seconds):
                    verdict, detail = await send(customer, self.call_count, rng)
            except calls.NotServed as exc:
                verdict, detail = results.Verdict.REFUSED, exc.kind
            except (calls.CutOff, trio.TooSlowError) as exc:
                verdict, detail = results.Verdict.CUT, f'{kind}: {exc}'
        self.result.record_call(verdict, detail)

    async def send_with_retries(
        self, customer: int, send: Callable[[calls.Caller, dict], Any]
    ) -> calls.Reply:
        """Sends a call; retries at another address while it was not run.

        Raises:
            NotServed: The call was not run in any try.
            CutOff: The reply is incomplete.
        """
        credential = self.plan.customers[customer].credential
        headers = {'authorization': f'Bearer {credential}'}
        first_index = self.rng.randrange(len(self.callers))
        for attempt in range(self.plan.tries):
            caller = self.callers[(first_index + attempt) % len(self.callers)]
            try:
                reply = await send(caller, headers)
            except calls.NotServed as exc:
                if not exc.retry or attempt + 1 == self.plan.tries:
                    raise
                await trio.sleep(RETRY_DELAY_SECONDS)
            else:
                self.result.retried += attempt > 0
                return reply
        raise calls.NotServed('no tries', False)

    async def send_chat(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Sends one turn of a chat."""
        chat = self.chats.next_turn(customer)
        body = self.chats.request_body(chat)
        content = orjson.dumps(body)

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            return await caller.call('POST', openai.CHAT_PATH, headers, content)

        reply = await self.send_with_retries(customer, send)
        if reply.status != 200:
            return results.Verdict.CUT, f'chat: status {reply.status}'
        if reply.body:
            calls.read_chat_answer(reply)
        self.result.record_latency(results.Timing.CHAT, reply.seconds)
        if body['stream']:
            self.result.record_latency(
                results.Timing.FIRST_BYTE, reply.first_byte
            )
        self.note_usage(reply.usage, chat.turns > 0)
        if not self.right(reply, body):
            return results.Verdict.WRONG, f'chat {chat.key}: {reply.text!r}'
        self.chats.complete_turn(chat, reply.text)
        return results.Verdict.WHOLE, ''

    def right(self, reply: calls.Reply, body: dict[str, Any]) -> bool:
        """Returns whether the text is the answer to this very body."""
        if self.expected is None:
            return True
        return reply.text == self.expected(reply.request_id, body)

    def note_usage(self, usage: dict[str, Any], returning: bool) -> None:
        """Adds the prompt tokens, and the cached ones, to the result."""
        details = usage.get('prompt_tokens_details') or {}
        cached = details.get('cached_tokens') or 0
        total = usage.get('prompt_tokens') or 0
        self.result.cached_tokens += cached
        self.result.prompt_tokens += total
        if returning:
            self.result.returning_cached_tokens += cached
            self.result.returning_prompt_tokens += total

    async def send_instant(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Sends one instant call."""
        path = f'{rng.choice(self.mix.instant_paths)}office-{number}'

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            return await caller.call('GET', path, headers)

        reply = await self.send_with_retries(customer, send)
        self.result.record_latency(results.Timing.INSTANT, reply.seconds)
        if reply.status != 200:
            return results.Verdict.CUT, f'instant: status {reply.status}'
        if path.encode() not in reply.body:
            return results.Verdict.WRONG, f'instant {path}: {reply.body!r}'
        return results.Verdict.WHOLE, ''

    async def send_once(
        self, customer: int, number: int, rng: random.Random
    ) -> tuple[results.Verdict, str]:
        """Sends one non-idempotent call, and a share of them twice."""
        name = self.plan.customers[customer].name
        key = f'{name}-{self.plan.seed}-{number}'
        content = orjson.dumps({'to': f'citizen-{number}', 'key': key})
        resend = rng.random() < self.mix.resend_share

        async def send(caller: calls.Caller, headers: dict) -> calls.Reply:
            keyed_headers = {**headers, 'idempotency-key': key}
            return await caller.call(
                'POST', self.mix.once_path, keyed_headers, content
            )

        self.result.once_keys[key] = None
        try:
            reply = await self.send_with_retries(customer, send)
        except calls.NotServed:
            self.result.once_keys[key] = False
            raise
        self.result.record_latency(results.Timing.ONCE, reply.seconds)
        if not 200 <= reply.status < 300:
            return results.Verdict.CUT, f'once: status {reply.status}'
        self.result.once_keys[key] = True
        if resend:
            self.result.resent += 1
            second_reply = await self.send_with_retries(customer, send)
            if second_reply.status != reply.status:
                return (
                    results.Verdict.WRONG,
                    f'once {key}: {second_reply.status}',
                )
        return results.Verdict.WHOLE, ''


async def run_load(
    plan: plans.LoadPlan,
    addresses: Sequence[str],
    expected: ExpectedText | None = None,
    progress: Callable[[results.LoadResult], None] | None = None,
    progress_seconds: float = 1.0,
) -> results.LoadResult:
    """Sends a load and returns its result.

    Args:
        plan: The load plan.
        addresses: Base URLs of the routers.
        expected: Returns the only correct text of the answer to a request,
            given its id and body; without it only completeness is checked.
        progress: Called repeatedly with the result so far.
        progress_seconds: Interval between these calls.
    """
    driver = Driver(plan, addresses, expected)
    async with trio.open_nursery() as nursery:
        if progress is not None:
            nursery.start_soon(
                functools.partial(
                    report_progress, driver.result, progress, progress_seconds
                )
            )
        result = await driver.run()
        nursery.cancel_scope.cancel()
    return result


async def report_progress(
    result: results.LoadResult,
    progress: Callable[[results.LoadResult], None],
    seconds: float,
) -> None:
    """Calls `progress` at an interval until cancelled."""
    while True:
        await trio.sleep(seconds)
        progress(result)
