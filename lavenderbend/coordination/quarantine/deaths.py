"""Deaths of upstreams, and which request that was there is the cause."""

from __future__ import annotations

import attrs
import trio

SUSPECT_SECONDS = 600.0
# further upstreams that died within this time without the request speak for
# a fault of the machines, such as a rack, and one more crash is asked for
OTHER_CRASHES_SECONDS = 30.0
CRASHES_TO_QUARANTINE = 2


@attrs.frozen
class Crash:
    """The death of one process of an upstream.

    Attributes:
        upstream: Short id of the upstream.
        instance: Short id of its instance.
    """

    upstream: int
    instance: int


class Deaths:
    """Keeps which requests were on the upstreams that died.

    Attributes:
        present: Fingerprints on each upstream that died, and whether each
            had only just been sent there.
        told_at: Router clock at which each death was first told of.
        suspects: Deaths that each suspect was there at.
    """

    def __init__(self) -> None:
        self.present: dict[Crash, dict[int, bool]] = {}
        self.told_at: dict[Crash, float] = {}
        self.suspects: dict[int, set[Crash]] = {}

    def note(self, crash: Crash, fingerprints: dict[int, bool]) -> bool:
        """Adds requests to those that were there at a death.

        Returns:
            Whether the death was not known before.
        """
        new = crash not in self.told_at
        if new:
            self.told_at[crash] = trio.current_time()
        self.present.setdefault(crash, {}).update(fingerprints)
        for fingerprint in fingerprints:
            self.suspects.setdefault(fingerprint, set()).add(crash)
        return new

    def clear(self, fingerprint: int) -> bool:
        """Takes a request off the suspects; returns whether it was one."""
        return self.suspects.pop(fingerprint, None) is not None

    def is_cause(self, fingerprint: int, crash: Crash) -> bool:
        """Returns whether a request is the cause of a death.

        It must have been on enough upstreams that died, and no other of
        those that were there may be as suspect. One that had only just been
        sent there is more suspect than those that had run for a while, and
        admission sends suspects one at a time.
        """
        if self.count(fingerprint) < self.needed(fingerprint):
            return False
        present = self.present[crash]
        only_fresh = present.get(fingerprint, False)
        return not any(
            other != fingerprint
            and (fresh or not only_fresh)
            and self.count(other) >= CRASHES_TO_QUARANTINE
            for other, fresh in present.items()
        )

    def count(self, fingerprint: int) -> int:
        """Returns how many upstreams died with the request on them."""
        crashes = self.suspects.get(fingerprint, ())
        return len({crash.upstream for crash in crashes})

    def needed(self, fingerprint: int) -> int:
        """Returns how many deaths it takes.

        Upstreams that die without the request at the same time speak for a
        fault of the machines: a rack that goes takes an innocent request
        with it twice.
        """
        since = trio.current_time() - OTHER_CRASHES_SECONDS
        # by upstream, not by death: whoever got no byte of its answer does
        # not know the instance, and tells of the same death by another name
        mine = {crash.upstream for crash in self.suspects.get(fingerprint, ())}
        others = {
            crash.upstream
            for crash, at in self.told_at.items()
            if at > since and crash.upstream not in mine
        }
        return CRASHES_TO_QUARANTINE + bool(others)

    def expire(self) -> None:
        """Forgets deaths and suspects after a time."""
        since = trio.current_time() - SUSPECT_SECONDS
        for crash, at in list(self.told_at.items()):
            if at > since:
                continue
            del self.told_at[crash]
            for fingerprint in self.present.pop(crash):
                crashes = self.suspects.get(fingerprint, set())
                crashes.discard(crash)
                if not crashes:
                    self.suspects.pop(fingerprint, None)
