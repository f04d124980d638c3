"""Encoding of batches of claims and outcomes."""

from __future__ import annotations

import msgpack

from lavenderbend import errors
from lavenderbend.state import claims

OUTCOMES = tuple(errors.Outcome)
CLAIM_BYTES = claims.KEY_BYTES + claims.TOKEN_BYTES + claims.DIGEST_BYTES
OUTCOME_BYTES = claims.KEY_BYTES + claims.TOKEN_BYTES
TOKEN_END = claims.KEY_BYTES + claims.TOKEN_BYTES


def encode(batch: claims.Batch) -> bytes:
    """Returns a batch as bytes.

    Hashes have fixed sizes and are concatenated without framing.
    """
    names = sorted({line.entry for line in batch.claims})
    indices = {name: index for index, name in enumerate(names)}
    lines = batch.claims
    outcomes = batch.outcomes
    return msgpack.packb(
        [
            batch.id,
            batch.at,
            names,
            b''.join(line.key + line.token + line.digest for line in lines),
            [indices[line.entry] for line in lines],
            b''.join(line.key + line.token for line in outcomes),
            [OUTCOMES.index(line.outcome) for line in outcomes],
            [line.status for line in outcomes],
        ]
    )


def decode(data: bytes) -> claims.Batch:
    """Returns the batch of bytes made by `encode`.

    Raises:
        CodecError: The bytes are not a batch.
    """
    try:
        (
            id_,
            at,
            names,
            claim_hashes,
            name_indices,
            outcome_hashes,
            codes,
            statuses,
        ) = msgpack.unpackb(data)
        return claims.Batch(
            id_,
            at,
            tuple(
                claim_line(claim_hashes, index, names[name_index])
                for index, name_index in enumerate(name_indices)
            ),
            tuple(
                outcome_line(
                    outcome_hashes, index, OUTCOMES[code], statuses[index]
                )
                for index, code in enumerate(codes)
            ),
        )
    except (ValueError, TypeError, IndexError) as exc:
        raise errors.CodecError(f'not a batch of claims: {exc!r}') from exc


def claim_line(hashes: bytes, index: int, entry: str) -> claims.ClaimLine:
    """Returns the claim at an index of the concatenated hashes."""
    start = index * CLAIM_BYTES
    record = hashes[start : start + CLAIM_BYTES]
    return claims.ClaimLine(
        record[: claims.KEY_BYTES],
        record[claims.KEY_BYTES : TOKEN_END],
        record[TOKEN_END:],
        entry,
    )


def outcome_line(
    hashes: bytes, index: int, outcome: errors.Outcome, status: int | None
) -> claims.OutcomeLine:
    """Returns the outcome at an index of the concatenated hashes."""
    start = index * OUTCOME_BYTES
    record = hashes[start : start + OUTCOME_BYTES]
    return claims.OutcomeLine(
        record[: claims.KEY_BYTES],
        record[claims.KEY_BYTES :],
        outcome,
        status,
    )
