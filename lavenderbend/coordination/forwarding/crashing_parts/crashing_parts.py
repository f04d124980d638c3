"""Finds prompt parts that crash upstreams, and refuses requests with them."""

from __future__ import annotations

import itertools
import math
import re
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import keepers as keepers_module
from lavenderbend.coordination.forwarding.crashing_parts import crash_counts
from lavenderbend.coordination.forwarding.crashing_parts import quarantines
from lavenderbend.coordination.forwarding.crashing_parts import (
    successes as successes_module,
)
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import peers as peers_module
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# Parts that many requests share are answered within this time of a crash; of
# these no other router is told.
ANSWERED_SECONDS = 0.3
# In this time every router has heard that a part is blamed, and every success
# has come back.
GRACE_SECONDS = 1.0
# The strike of a blamed part, and the part that was beside it, if any.
SOURCE = re.compile('([1-9][0-9]{0,3})(?: ([0-9a-f]{16}))?')
MAX_QUARANTINES = 256
MAX_ROWS = 24
# Other parts of a request that are reported with one of its parts.
MAX_BESIDE = 4
MILLISECONDS = 1000
# Kinds of facts that routers exchange by gossip.
BLAMED = 'part-blamed'
ANSWERED = 'part-answered'

QUARANTINED = metrics.gauge(
    'lavenderbend_forward_parts_quarantined',
    'Prompt parts that crashed upstreams; requests with them are refused.',
)
REFUSED = metrics.counter(
    'lavenderbend_forward_parts_refused_total',
    'Requests refused because a part of their prompt crashed upstreams.',
)
TRIALS = metrics.counter(
    'lavenderbend_forward_part_trials_total',
    'Requests that try whether a quarantined part still crashes upstreams.',
)
REPORTS = metrics.counter(
    'lavenderbend_forward_part_reports_total',
    'Messages that tell other routers which parts were at a crash.',
)


@facts_module.FACT_KINDS.register(BLAMED)
class BlamedFact(facts_module.FactKind):
    """A part that crashed upstreams.

    The source is the number of its strike, and the key of a part that was
    beside it at all crashes, if any.
    """

    max_seconds = quarantines.KEEP_SECONDS
    subject_form = facts_module.HASH_SUBJECT
    cleared_by = ANSWERED
    starting_first = True


@facts_module.FACT_KINDS.register(ANSWERED)
class AnsweredFact(facts_module.FactKind):
    """A blamed part that was answered completely since."""

    max_seconds = quarantines.KEEP_SECONDS
    subject_form = facts_module.HASH_SUBJECT
    starting_first = True


class CrashingParts:
    """Finds the prompt parts that crash upstreams.

    A crash accuses the shared parts of all requests that its upstream had not
    answered. Each router knows only its own: it reports them to the keepers of
    each part, which count. A part that was at the crashes of several upstreams
    is blamed, and every router is told. A router where it was answered since
    the first of these crashes says so, which ends the blame: a part that
    crashes upstreams does so whatever else the request holds. Otherwise the
    part is quarantined, until a trial is answered.

    Attributes:
        host: This router.
        facts: What all routers know.
        link: Sends messages to other routers.
        keepers: Finds the routers that count the crashes of a part.
        counts: The crashes that were reported to this router.
        successes: When parts were last answered at this router.
        quarantines: Parts that are refused, by their keys.
        on_cleared: Called with each part that is quarantined no more.
        numbers: Numbers for the facts of answers.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        link: interfaces.DatagramLink,
        rng: random.Random,
    ) -> None:
        self.host = peers.host
        self.facts = peers.facts
        self.link = link
        self.keepers = keepers_module.Keepers(
            peers.host, peers.zone, peers.members, peers.fleet, rng
        )
        self.counts = crash_counts.CrashCounts()
        self.successes = successes_module.Successes()
        self.quarantines: dict[int, quarantines.Quarantine] = {}
        self.on_cleared: Callable[[int], None] = lambda part: None
        self.numbers = itertools.count()
        peers.handlers[messages_forwarding.CrashReports] = self.on_reports

    def refusal(
        self, ticket: tickets.Ticket
    ) -> errors.RequestQuarantined | None:
        """Returns why a request is refused, None if it may be sent.

        A request that may be sent although a part is quarantined is its trial.
        """
        if not self.quarantines:
            return None
        trials = []
        named = keys_and_names(ticket)
        own = {part for part, _ in named}
        for part, name in named:
            quarantine = self.quarantines.get(part)
            if quarantine is None or part in ticket.trials:
                continue
            if not quarantine.in_force:
                continue
            other = quarantine.explained_by
            explained = other in self.quarantines and other not in own
            if not quarantine.admits_trial(explained):
                REFUSED.inc({})
                quarantine.note_refused()
                return errors.RequestQuarantined(
                    f'upstreams crashed on the prompt part {name!r}',
                    quarantine.opens_at - trio.current_time(),
                )
            trials.append(part)
        for part in trials:
            self.begin_trial(ticket, part)
        return None

    def begin_trial(self, ticket: tickets.Ticket, part: int) -> None:
        """Lets a request try a quarantined part."""
        quarantine = self.quarantines[part]
        quarantine.begin_trial()
        ticket.trials[part] = quarantine.strike
        TRIALS.inc({})
        logs.change(
            'part_trial',
            part=subject(part),
            request=ticket.id,
            strike=quarantine.strike,
        )

    def is_quarantined(self, ticket: tickets.Ticket) -> bool:
        """Returns whether any part of a request is blamed or quarantined."""
        return bool(self.quarantines) and any(
            part in self.quarantines for part in keys(ticket)
        )

    def note_answered(self, ticket: tickets.Ticket) -> None:
        """Records that a request was answered completely."""
        parts = keys(ticket)
        self.successes.note(parts)
        if not self.quarantines:
            return
        for part in parts:
            if part in self.quarantines:
                self.tell_answered(part, trio.current_time())

    def tell_answered(self, part: int, at: float) -> None:
        """Tells all routers that a part was answered."""
        source = f'{self.facts.origin} {next(self.numbers)}'
        self.facts.merge(
            facts_module.Fact(
                ANSWERED, subject(part), source, at, quarantines.KEEP_SECONDS
            )
        )

    async def note_crash(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream, at: float
    ) -> None:
        """Reports the parts of a request that was at a crash.

        Args:
            ticket: The request.
            upstream: The upstream.
            at: Router clock at which its connection was lost.
        """
        if self.explains(ticket, at):
            return
        await trio.sleep(ANSWERED_SECONDS)
        self.report(
            [
                part
                for part in keys(ticket)
                if self.successes.since(part, at) is None
            ],
            upstream,
            at,
        )

    def explains(self, ticket: tickets.Ticket, at: float) -> bool:
        """Returns whether a quarantined part explains a crash.

        The other parts of the request are not blamed for it then. If the
        request was the part's trial, the part is quarantined for longer.
        """
        explained = False
        for part in keys(ticket):
            quarantine = self.quarantines.get(part)
            if quarantine is None or not quarantine.in_force:
                continue
            explained = True
            if part in ticket.trials:
                self.blame(part, ticket.trials[part] + 1, at)
        return explained

    def report(
        self, parts: Iterable[int], upstream: forwarding.Upstream, at: float
    ) -> None:
        """Reports to the keepers of parts that these were at a crash."""
        name = hashing.short_id(upstream.instance)
        age = round((trio.current_time() - at) * MILLISECONDS)
        by_host: dict[str, list[list[int]]] = {}
        for part in parts:
            beside = [other for other in parts if other != part][:MAX_BESIDE]
            self.count(part, name, at, beside)
            for host in self.keepers.to_tell(part):
                row = [part, name, age, *beside]
                by_host.setdefault(host, []).append(row)
        self.send_reports(by_host, forwarded=False)

    def send_reports(
        self, by_host: dict[str, list[list[int]]], forwarded: bool
    ) -> None:
        """Sends rows of reports to their receivers."""
        for host, rows in by_host.items():
            for first in range(0, len(rows), MAX_ROWS):
                REPORTS.inc({})
                self.link.send(
                    host,
                    messages_forwarding.CrashReports(
                        rows[first : first + MAX_ROWS], forwarded
                    ),
                )

    def on_reports(self, message: messages_forwarding.CrashReports) -> None:
        """Counts reported crashes, and passes them on to other keepers."""
        now = trio.current_time()
        by_host: dict[str, list[list[int]]] = {}
        for row in message.rows:
            part, name, age, *beside = row
            self.count(part, name, now - age / MILLISECONDS, beside)
            if message.forwarded:
                continue
            for host in self.keepers.in_zone(part, keepers_module.ROUTERS_TOLD):
                by_host.setdefault(host, []).append(row)
        self.send_reports(by_host, forwarded=True)

    def count(
        self, part: int, upstream: int, at: float, beside: Iterable[int]
    ) -> None:
        """Counts a crash of a part, and blames the part if these suffice."""
        if part in self.quarantines:
            return
        self.counts.note(part, upstream, at, beside)
        since = self.counts.blamed_since(part)
        if since is None:
            return
        answered_at = self.successes.since(part, since)
        if answered_at is not None:
            self.counts.clear(part, answered_at)
            return
        self.blame(
            part,
            quarantines.FIRST_STRIKE,
            since,
            self.counts.explained_by(part),
        )

    def blame(
        self,
        part: int,
        strike: int,
        since: float,
        explained_by: int | None = None,
    ) -> None:
        """Tells all routers that a part crashed upstreams.

        Args:
            part: Key of the part.
            strike: How often it was found to do so.
            since: Router clock of the first crash.
            explained_by: A part that was beside it at all crashes.
        """
        source = str(strike)
        if explained_by is not None:
            source += f' {subject(explained_by)}'
        self.facts.merge(
            facts_module.Fact(
                BLAMED,
                subject(part),
                source,
                since,
                quarantines.KEEP_SECONDS,
            )
        )

    def apply_blamed(self, fact: facts_module.Fact) -> None:
        """Quarantines a part that this or another router blames."""
        part = int(fact.subject, 16)
        strike, explained_by = parse_source(fact.source)
        known = self.quarantines.get(part)
        if known is not None and known.strike >= strike:
            return
        answered_at = self.successes.since(part, fact.found_at)
        if answered_at is not None:
            self.tell_answered(part, answered_at)
            return
        first = strike == quarantines.FIRST_STRIKE
        self.quarantine(
            part,
            quarantines.make(
                part,
                self.host,
                strike,
                fact.found_at,
                GRACE_SECONDS if first else 0.0,
                answered_before=part in self.successes.latest,
                explained_by=explained_by,
            ),
        )

    def quarantine(self, part: int, entry: quarantines.Quarantine) -> None:
        """Quarantines a part, unless too many are."""
        full = len(self.quarantines) >= MAX_QUARANTINES
        logs.change(
            'part_quarantined',
            part=subject(part),
            strike=entry.strike,
            since=None
            if entry.recorded
            else round(trio.current_time() - entry.since, 3),
            crashes=len(self.counts.by_part.get(part, ())),
            recorded=entry.recorded,
            too_many=full,
        )
        if full and part not in self.quarantines:
            return
        self.quarantines[part] = entry
        QUARANTINED.set({}, len(self.quarantines))

    def apply_answered(self, fact: facts_module.Fact) -> None:
        """Ends the quarantine of a part that was answered."""
        part = int(fact.subject, 16)
        self.counts.clear(part, fact.found_at)
        quarantine = self.quarantines.get(part)
        if quarantine is None or fact.found_at < quarantine.since:
            return
        self.release(part, 'answered')
        self.on_cleared(part)

    def was_answered(self, part: int) -> bool:
        """Returns whether a part was answered after it was last blamed."""
        name = subject(part)
        return bool(
            self.facts.current(ANSWERED, name)
            and not self.facts.current(BLAMED, name)
        )

    def note_recorded(self, part: int, strike: int) -> None:
        """Quarantines a part that the store names."""
        now = trio.current_time()
        known = self.quarantines.get(part)
        if known is not None and known.strike >= strike:
            # What is recorded is refused already by the router that wrote it.
            known.in_force_at = min(known.in_force_at, now)
            return
        self.quarantine(
            part,
            quarantines.make(
                part,
                self.host,
                strike,
                # any answer of which this router hears ends it
                -math.inf,
                answered_before=part in self.successes.latest,
                recorded=True,
            ),
        )

    def note_unrecorded(self, part: int) -> None:
        """Releases a part that is known only from a record that is gone."""
        quarantine = self.quarantines.get(part)
        if quarantine is not None and quarantine.recorded:
            self.release(part, 'record gone')

    def release(self, part: int, cause: str) -> None:
        """Refuses requests with a part no more."""
        quarantine = self.quarantines.pop(part)
        QUARANTINED.set({}, len(self.quarantines))
        logs.change(
            'part_released',
            part=subject(part),
            strike=quarantine.strike,
            cause=cause,
        )

    def remove_expired(self) -> None:
        """Removes counts and quarantines that are too old."""
        self.counts.remove_expired()
        now = trio.current_time()
        for part, quarantine in list(self.quarantines.items()):
            if quarantine.forgotten_at <= now:
                self.release(part, 'expired')


def keys_and_names(ticket: tickets.Ticket) -> list[tuple[int, str]]:
    """Returns the keys and ids of the parts that other requests may share.

    The service belongs to the key: other software may stand the same text.
    """
    return [
        (hashing.hash64(ticket.service, name), name)
        for name in ticket.prompt.shared_ids
    ]


def keys(ticket: tickets.Ticket) -> list[int]:
    """Returns the keys of the parts that other requests may share."""
    return [key for key, _ in keys_and_names(ticket)]


def subject(part: int) -> str:
    """Returns the subject under which facts name a part."""
    return f'{part:016x}'


def parse_source(source: str) -> tuple[int, int | None]:
    """Returns the strike in a fact's source, and the part that explains it.

    Unreadable text counts as the first strike, which nothing explains.
    """
    match = SOURCE.fullmatch(source)
    if match is None:
        return quarantines.FIRST_STRIKE, None
    strike, explained_by = match.groups()
    return int(strike), None if explained_by is None else int(explained_by, 16)
