"""Waiting a moment for room where a chat's context is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import waiter as waiter_
    from lavenderbend.coordination.admission import waiting

MIN_PATIENCE_SECONDS = 0.01
SAME_TIME_SECONDS = 0.001


class Patience:
    """Requests whose place has no room, though other upstreams have.

    Attributes:
        waiters: Those that wait for their place.
    """

    def __init__(self, room: waiting.WaitingRoom) -> None:
        self.room = room
        self.waiters: list[waiter_.Waiter] = []
        self.changed = trio.Event()

    def held_but_full(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> bool:
        """Returns whether its context is at an upstream without room."""
        if choice.reason == placement.HELD_CHAT or not waiter.ask.chat:
            return False
        held = {
            place.upstream for place in self.room.places.get(waiter.ask.chat)
        }
        return any(
            upstream in held and reason in placement.MAY_PASS
            for upstream, reason in choice.passed_over
        )

    def take(self, waiter: waiter_.Waiter, choice: placement.Choice) -> bool:
        """Lets a request wait a moment for room where its context is.

        It waits only if that may be shorter than computing the context
        anew: another place would cost the time and the other's cache too.
        """
        if not self.held_but_full(waiter, choice):
            return False
        settings = self.room.settings
        cost = waiter.ask.prompt_tokens / settings.recompute
        left = waiter.deadline - waiter.since
        seconds = min(settings.patience, cost, left / 2)
        if seconds < MIN_PATIENCE_SECONDS:
            return False
        waiter.patient_until = waiter.since + seconds
        self.waiters.append(waiter)
        self.room.add(waiter)
        self.changed.set()
        return True

    def serve(self) -> None:
        """Grants to those that wait for their place what is free now."""
        now = trio.current_time()
        for waiter in list(self.waiters):
            try:
                choice = self.room.place(waiter.ask)
            except errors.RequestError as exc:
                self.room.forget(waiter)
                self.room.refuse(waiter, exc)
                continue
            held = choice.reason == placement.HELD_CHAT
            if not held and now < waiter.patient_until - SAME_TIME_SECONDS:
                continue
            self.room.forget(waiter)
            if choice.upstream is None:
                self.room.enqueue(waiter)
            else:
                self.room.grant(waiter, choice)

    async def run(self) -> None:
        """Ends each patient wait in time."""
        while True:
            if not self.waiters:
                self.changed = trio.Event()
                await self.changed.wait()
                continue
            await trio.sleep_until(
                min(waiter.patient_until for waiter in self.waiters)
            )
            self.serve()
