"""Locality wait: a short wait for the upstream that holds a chat's context."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import request_queue
    from lavenderbend.coordination.admission import waiter as waiter_

MIN_WAIT_SECONDS = 0.01
# a wait that ends within this time counts as over
CLOCK_TOLERANCE_SECONDS = 0.001


class LocalityWait:
    """Requests that wait for the upstream that holds their context.

    That upstream has no headroom although others do.

    Attributes:
        waiters: The waiting requests.
        changed: Set when a request begins to wait.
    """

    def __init__(self, queue: request_queue.RequestQueue) -> None:
        self.queue = queue
        self.waiters: list[waiter_.Waiter] = []
        self.changed = trio.Event()

    def context_upstream_full(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> bool:
        """Returns whether the context is at an upstream without headroom."""
        if choice.reason == placement.HELD_CHAT or not waiter.request.chat:
            return False
        holders = {
            place.upstream
            for place in self.queue.places.get(waiter.request.chat)
        }
        return any(
            upstream in holders and reason in placement.TEMPORARY_REASONS
            for upstream, reason in choice.passed_over
        )

    def start(self, waiter: waiter_.Waiter, choice: placement.Choice) -> bool:
        """Makes a request wait for the upstream that holds its context.

        It waits only if that may take less time than recomputing the
        context: another upstream would have to recompute it and would lose
        cache space of its own chats too.

        Args:
            waiter: The request.
            choice: The upstream that it would get now.

        Returns:
            Whether the request waits.
        """
        if not self.context_upstream_full(waiter, choice):
            return False
        settings = self.queue.settings
        recompute_seconds = waiter.request.prompt_tokens / settings.prefill_rate
        left = waiter.deadline - waiter.arrived_at
        seconds = min(settings.locality_wait, recompute_seconds, left / 2)
        if seconds < MIN_WAIT_SECONDS:
            return False
        waiter.locality_wait_until = waiter.arrived_at + seconds
        self.waiters.append(waiter)
        self.queue.add(waiter)
        self.changed.set()
        return True

    def serve(self) -> None:
        """Grants permits to requests whose upstream or wait time is due."""
        now = trio.current_time()
        for waiter in list(self.waiters):
            try:
                choice = self.queue.place(waiter.request)
            except errors.RequestError as exc:
                self.queue.remove(waiter)
                self.queue.refuse(waiter, exc)
                continue
            held = choice.reason == placement.HELD_CHAT
            if (
                not held
                and now < waiter.locality_wait_until - CLOCK_TOLERANCE_SECONDS
            ):
                continue
            self.queue.remove(waiter)
            if choice.upstream is None:
                self.queue.enqueue(waiter)
            else:
                self.queue.grant(waiter, choice)

    async def run(self) -> None:
        """Serves each waiting request when its wait time is over."""
        while True:
            if not self.waiters:
                self.changed = trio.Event()
                await self.changed.wait()
                continue
            await trio.sleep_until(
                min(waiter.locality_wait_until for waiter in self.waiters)
            )
            self.serve()
