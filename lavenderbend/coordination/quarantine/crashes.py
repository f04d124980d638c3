"""Crashes of upstreams, and detection of the request that caused one."""

from __future__ import annotations

import attrs
import trio

# time for which a crash and its requests are kept
SUSPECT_SECONDS = 600.0
# if other upstreams crashed within this time without the request, a fault of
# the machines, such as a rack, is likely, and one more crash is required
OTHER_CRASHES_SECONDS = 30.0
CRASHES_TO_QUARANTINE = 2


@attrs.frozen
class Crash:
    """A crash of one process of an upstream.

    Attributes:
        upstream: Short id of the upstream.
        instance: Short id of its instance.
    """

    upstream: int
    instance: int


class CrashLog:
    """Records which requests were running on upstreams that crashed.

    Attributes:
        requests_by_crash: Fingerprints of the requests that ran on the
            upstream at each crash, and whether each was fresh, that is sent
            there only shortly before.
        first_reported_at: Router clock of the first report of each crash.
        suspects: By fingerprint, the crashes at which the request was
            running.
    """

    def __init__(self) -> None:
        self.requests_by_crash: dict[Crash, dict[int, bool]] = {}
        self.first_reported_at: dict[Crash, float] = {}
        self.suspects: dict[int, set[Crash]] = {}

    def record(self, crash: Crash, fingerprints: dict[int, bool]) -> bool:
        """Records requests that were running at a crash.

        Returns:
            Whether the crash was not known before.
        """
        new = crash not in self.first_reported_at
        if new:
            self.first_reported_at[crash] = trio.current_time()
        self.requests_by_crash.setdefault(crash, {}).update(fingerprints)
        for fingerprint in fingerprints:
            self.suspects.setdefault(fingerprint, set()).add(crash)
        return new

    def clear(self, fingerprint: int) -> bool:
        """Clears a request of suspicion; returns whether it was suspect."""
        return self.suspects.pop(fingerprint, None) is not None

    def is_cause(self, fingerprint: int, crash: Crash) -> bool:
        """Returns whether a request is taken as the cause of a crash.

        It must have been running on enough upstreams that crashed, and no
        other request at this crash may be as suspect. A fresh request is
        more suspect than one that had run for a while. Admission sends
        suspects out one at a time, so a fresh suspect is usually the only
        one.
        """
        if self.crash_count(fingerprint) < self.required_crashes(fingerprint):
            return False
        requests = self.requests_by_crash[crash]
        is_fresh = requests.get(fingerprint, False)
        return not any(
            other != fingerprint
            and (fresh or not is_fresh)
            and self.crash_count(other) >= CRASHES_TO_QUARANTINE
            for other, fresh in requests.items()
        )

    def crash_count(self, fingerprint: int) -> int:
        """Returns on how many crashed upstreams the request was running."""
        crashes = self.suspects.get(fingerprint, ())
        return len({crash.upstream for crash in crashes})

    def required_crashes(self, fingerprint: int) -> int:
        """Returns how many crashes are required to blame a request.

        If other upstreams crash at the same time without the request, a
        fault of the machines is likely. The loss of a rack can hit the same
        innocent request twice.
        """
        since = trio.current_time() - OTHER_CRASHES_SECONDS
        # compared by upstream, not by crash: a router that received no byte of
        # an answer does not know the instance, and reports the same crash
        # without it
        own_upstreams = {
            crash.upstream for crash in self.suspects.get(fingerprint, ())
        }
        other_upstreams = {
            crash.upstream
            for crash, at in self.first_reported_at.items()
            if at > since and crash.upstream not in own_upstreams
        }
        return CRASHES_TO_QUARANTINE + bool(other_upstreams)

    def remove_expired(self) -> None:
        """Removes crashes, and their suspects, after `SUSPECT_SECONDS`."""
        since = trio.current_time() - SUSPECT_SECONDS
        for crash, at in list(self.first_reported_at.items()):
            if at > since:
                continue
            del self.first_reported_at[crash]
            for fingerprint in self.requests_by_crash.pop(crash):
                crashes = self.suspects.get(fingerprint, set())
                crashes.discard(crash)
                if not crashes:
                    self.suspects.pop(fingerprint, None)
