"""A stand-in's own record of what it ran, for invariant checkers."""

from __future__ import annotations

from typing import Any

import attrs
import trio

COMPLETE = 'complete'
CANCELLED = 'cancelled'
CRASHED = 'crashed'


@attrs.define
class RunRecord:
    """One request that was started.

    Attributes:
        request_id: Id that the router gave it.
        idempotency_key: The caller's key, if any.
        digest: Hash of the body.
        instance: Instance id of the process that ran it.
        started: Clock of the stand-in, in seconds.
        ended: The same, None while it runs.
        result: How it ended, empty while it runs.
    """

    request_id: str
    idempotency_key: str
    digest: str
    instance: str
    started: float
    ended: float | None = None
    result: str = ''


class RunLog:
    """The runs of a stand-in; it outlives the crashes that it plays.

    Attributes:
        records: In order of their start.
    """

    def __init__(self) -> None:
        self.records: list[RunRecord] = []

    def begin(self, record: RunRecord) -> RunRecord:
        """Adds a run."""
        self.records.append(record)
        return record

    def end(self, record: RunRecord, now: float, result: str) -> None:
        """Notes the end of a run; one that was cancelled may be resumed."""
        if record.result in ('', CANCELLED):
            record.ended = now
            record.result = result

    def to_document(self) -> dict[str, Any]:
        """Returns the runs as a JSON object, with the clock they are on."""
        return {
            'now': trio.current_time(),
            'runs': [attrs.asdict(item) for item in self.records],
        }
