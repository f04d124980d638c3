"""Settings of admission."""

from __future__ import annotations

import attrs

from lavenderbend.coordination import cache_transfer


@attrs.frozen
class AdmissionSettings:
    """Times and sizes; the same on all routers.

    Attributes:
        answer_timeout: Seconds until an owner that does not answer counts as
            unreachable, in addition to the time it may hold its answer.
        hold: Seconds that an owner may hold its answer about a queued
            request.
        unreachable_backoff: Seconds that an unreachable owner is not used.
        heartbeat_interval: Seconds between an entry router's heartbeats to
            its owners.
        entry_timeout: Seconds without a message after which an entry router
            no longer counts as using this owner.
        tick_interval: Seconds between an owner's checks of its queued
            requests.
        degraded_poll: Seconds between attempts in degraded mode.
        chats: Most chats whose places an owner keeps for one group.
        suspect_interval: Seconds between two suspect requests on one
            upstream.
        locality_wait: Most seconds that a request of a returning chat waits
            for headroom at the upstream that holds its context.
        prefill_rate: Prompt tokens that an engine computes per second; a
            request does not wait longer than recomputing its context takes.
        first_hold: Seconds that an owner may hold its first answer.
        release_delay: Seconds from the end of a request until its release
            arrives at the owner.
        full_locality_wait: Most seconds that a request of a returning chat
            waits in a full pool for headroom at the upstream that holds its
            context.
        fair_reserve: Fraction of `max_load` reserved for customers below
            their fair share.
        instant_reserve: Fraction of `max_load` reserved for instant
            requests.
        transfer: Cost rule for moving contexts off engines that leave.
    """

    answer_timeout: float = 0.3
    hold: float = 10.0
    unreachable_backoff: float = 1.0
    heartbeat_interval: float = 2.0
    entry_timeout: float = 5.0
    tick_interval: float = 0.1
    degraded_poll: float = 0.1
    chats: int = 50_000
    suspect_interval: float = 1.0
    locality_wait: float = 0.1
    prefill_rate: float = 10_000.0
    first_hold: float = 0.3
    release_delay: float = 0.005
    full_locality_wait: float = 1.0
    fair_reserve: float = 0.1
    instant_reserve: float = 0.1
    transfer: cache_transfer.TransferSettings = (
        cache_transfer.TransferSettings()
    )
