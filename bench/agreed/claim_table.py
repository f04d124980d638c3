"""Processor time and memory of a claims table, in real time."""

from __future__ import annotations

import random
import time
import tracemalloc

import attrs

from lavenderbend import errors
from lavenderbend.protocol import records_claims
from lavenderbend.state import claims

CLAIMS_A_BATCH = 10


@attrs.frozen
class Result:
    """What was measured.

    Attributes:
        load_microseconds_per_claim: Processor time to decode and apply.
        bytes_per_claim: Memory of the table.
        log_bytes_per_claim: Bytes in the key-value service.
    """

    load_microseconds_per_claim: float
    bytes_per_claim: float
    log_bytes_per_claim: float


def batches(count: int, rng: random.Random) -> list[bytes]:
    """Returns log entries that claim and record requests."""
    found = []
    before: tuple[claims.ClaimLine, ...] = ()
    for number in range(count // CLAIMS_A_BATCH):
        lines = tuple(
            claims.ClaimLine(
                rng.randbytes(claims.KEY_BYTES),
                rng.randbytes(claims.TOKEN_BYTES),
                rng.randbytes(claims.DIGEST_BYTES),
                f'router-{rng.randrange(7)}',
            )
            for _ in range(CLAIMS_A_BATCH)
        )
        outcomes = tuple(
            claims.OutcomeLine(
                line.key, line.token, errors.Outcome.COMPLETE, 200
            )
            for line in before
        )
        batch = claims.Batch(rng.randbytes(8), float(number), lines, outcomes)
        found.append(records_claims.encode(batch))
        before = lines
    return found


def run(count: int = 100_000) -> Result:
    """Loads a table twice, once for time and once for memory."""
    entries = batches(count, random.Random(1))
    began = time.process_time()
    load(entries)
    taken = time.process_time() - began
    tracemalloc.start()
    table = load(entries)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Result(
        load_microseconds_per_claim=1e6 * taken / count,
        bytes_per_claim=used / len(table.held),
        log_bytes_per_claim=sum(map(len, entries)) / count,
    )


def load(entries: list[bytes]) -> claims.ClaimTable:
    """Returns the table of some log entries."""
    table = claims.ClaimTable()
    for number, value in enumerate(entries, 1):
        table.apply(number, records_claims.decode(value))
    return table
