"""Batches of claims, as bytes."""

from __future__ import annotations

import msgpack

from lavenderbend import errors
from lavenderbend.state import claims

OUTCOMES = tuple(errors.Outcome)
CLAIM_BYTES = claims.KEY_BYTES + claims.TOKEN_BYTES + claims.DIGEST_BYTES
OUTCOME_BYTES = claims.KEY_BYTES + claims.TOKEN_BYTES
TOKEN_END = claims.KEY_BYTES + claims.TOKEN_BYTES


def encode(batch: claims.Batch) -> bytes:
    """Returns a batch as bytes; hashes lie side by side without frames."""
    names = sorted({line.entry for line in batch.claims})
    places = {name: index for index, name in enumerate(names)}
    lines = batch.claims
    outcomes = batch.outcomes
    return msgpack.packb(
        [
            batch.id,
            batch.at,
            names,
            b''.join(line.key + line.token + line.digest for line in lines),
            [places[line.entry] for line in lines],
            b''.join(line.key + line.token for line in outcomes),
            [OUTCOMES.index(line.outcome) for line in outcomes],
            [line.status for line in outcomes],
        ]
    )


def decode(data: bytes) -> claims.Batch:
    """Returns the batch of bytes made by `encode`.

    Raises:
        CodecError: The bytes are no batch.
    """
    try:
        id_, at, names, blob, places, said, codes, statuses = msgpack.unpackb(
            data
        )
        return claims.Batch(
            id_,
            at,
            tuple(
                claim_line(blob, index, names[place])
                for index, place in enumerate(places)
            ),
            tuple(
                outcome_line(said, index, OUTCOMES[code], statuses[index])
                for index, code in enumerate(codes)
            ),
        )
    except (ValueError, TypeError, IndexError) as exc:
        raise errors.CodecError(f'no batch of claims: {exc!r}') from exc


def claim_line(blob: bytes, index: int, entry: str) -> claims.ClaimLine:
    """Returns the claim at a place of the hashes."""
    start = index * CLAIM_BYTES
    text = blob[start : start + CLAIM_BYTES]
    return claims.ClaimLine(
        text[: claims.KEY_BYTES],
        text[claims.KEY_BYTES : TOKEN_END],
        text[TOKEN_END:],
        entry,
    )


def outcome_line(
    blob: bytes, index: int, outcome: errors.Outcome, status: int | None
) -> claims.OutcomeLine:
    """Returns the outcome at a place of the hashes."""
    start = index * OUTCOME_BYTES
    text = blob[start : start + OUTCOME_BYTES]
    return claims.OutcomeLine(
        text[: claims.KEY_BYTES],
        text[claims.KEY_BYTES :],
        outcome,
        status,
    )
