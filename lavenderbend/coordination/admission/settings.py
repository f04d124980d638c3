"""Settings of admission."""

from __future__ import annotations

import attrs

from lavenderbend.coordination import cache_transfer


@attrs.frozen
class AdmissionSettings:
    """Times and sizes; the same on all routers.

    Attributes:
        ask_timeout: Seconds until an owner without an answer counts as
            unreachable, above what it may hold its answer.
        hold: Seconds that an owner holds the answer to one that waits.
        suspect: Seconds that an unreachable owner is left out.
        beat: Seconds between an entry's heartbeats to its owners.
        heard: Seconds after which an entry without a sign is not counted
            as asking this owner.
        tick: Seconds between an owner's looks at those that wait.
        degraded_poll: Seconds between tries in degraded mode.
        chats: Chats whose places an owner remembers for one group.
        probation: Seconds between two suspect requests on one upstream.
        patience: Most seconds that a returning chat waits for room where
            its context is.
        recompute: Prompt tokens a second that an engine computes; a chat
            does not wait longer than computing its context anew takes.
        first_hold: Seconds that an owner holds its first answer.
        flight: Seconds from the end of a request to its release here.
        full_patience: Most seconds that a returning chat waits in a full
            pool for room where its context is.
        fair_reserve: Part of `max_load` only for customers below their
            fair share.
        instant_reserve: Part of `max_load` only for instant requests.
        transfer: Cost rule for contexts on engines that leave.
    """

    ask_timeout: float = 0.3
    hold: float = 10.0
    suspect: float = 1.0
    beat: float = 2.0
    heard: float = 5.0
    tick: float = 0.1
    degraded_poll: float = 0.1
    chats: int = 50_000
    probation: float = 1.0
    patience: float = 0.1
    recompute: float = 10_000.0
    first_hold: float = 0.3
    flight: float = 0.005
    full_patience: float = 1.0
    fair_reserve: float = 0.1
    instant_reserve: float = 0.1
    transfer: cache_transfer.TransferSettings = (
        cache_transfer.TransferSettings()
    )
