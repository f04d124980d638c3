"""Accepted changes and whole revisions, as bytes."""

from __future__ import annotations

import zlib

import attrs
import msgpack

from lavenderbend import errors
from lavenderbend.state import configuration
from lavenderbend.state import documents

COMPRESS_BYTES = 400
PLAIN = b'p'
COMPRESSED = b'z'


@attrs.frozen
class Record:
    """One accepted change.

    Attributes:
        id: Unlike that of any other change.
        author: Who had it accepted.
        reason: Why.
        accepted_at: Seconds since the epoch, by the acceptor's clock.
        digest: Digest of the document after the change.
        splices: The change.
    """

    id: bytes
    author: str
    reason: str
    accepted_at: float
    digest: str
    splices: tuple[documents.Splice, ...]


@attrs.frozen
class Known:
    """A revision with its document.

    Attributes:
        number: Its number, 0 before anything is accepted.
        document: The document.
        author: Who had it accepted.
        reason: Why.
        accepted_at: Seconds since the epoch, by the acceptor's clock.
    """

    number: int
    document: documents.Document
    author: str = ''
    reason: str = ''
    accepted_at: float = 0.0


NOTHING = Known(0, documents.EMPTY)


def compress(data: bytes) -> bytes:
    """Returns the bytes, compressed if that is worth while."""
    if len(data) < COMPRESS_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, 6)


def decompress(data: bytes) -> bytes:
    """Returns the bytes given to `compress`.

    Raises:
        CodecError: They were not made by it.
    """
    kind, rest = data[:1], data[1:]
    if kind == PLAIN:
        return rest
    if kind != COMPRESSED:
        raise errors.CodecError(f'no record begins with {kind!r}')
    try:
        return zlib.decompress(rest)
    except zlib.error as exc:
        raise errors.CodecError(f'no record: {exc}') from exc


def encode(record: Record) -> bytes:
    """Returns a change as bytes."""
    return compress(msgpack.packb(attrs.astuple(record)))


def decode(data: bytes) -> Record:
    """Returns the change of bytes made by `encode`.

    Raises:
        CodecError: The bytes are no change.
    """
    try:
        *fields, splices = msgpack.unpackb(decompress(data))
        return Record(
            *fields,
            tuple(
                documents.Splice(section, first, last, tuple(items))
                for section, first, last, items in splices
            ),
        )
    except (ValueError, TypeError) as exc:
        raise errors.CodecError(f'no change: {exc!r}') from exc


def advance(known: Known, record: Record) -> Known:
    """Returns the revision after a change.

    Raises:
        CodecError: The change does not lead to its digest from there.
    """
    document = documents.apply(known.document, record.splices)
    if document.digest != record.digest:
        raise errors.CodecError(
            f'change {known.number + 1} does not lead to its digest'
        )
    return Known(
        known.number + 1,
        document,
        record.author,
        record.reason,
        record.accepted_at,
    )


def encode_known(known: Known) -> bytes:
    """Returns a whole revision as bytes."""
    return msgpack.packb(
        [
            known.number,
            documents.pack(known.document),
            known.document.digest,
            known.author,
            known.reason,
            known.accepted_at,
        ]
    )


def decode_known(data: bytes) -> Known:
    """Returns the revision of bytes made by `encode_known`.

    Raises:
        CodecError: The bytes are no revision.
    """
    try:
        number, packed, digest, *rest = msgpack.unpackb(data)
        known = Known(number, documents.unpack(packed), *rest)
    except (ValueError, TypeError) as exc:
        raise errors.CodecError(f'no revision: {exc!r}') from exc
    if known.document.digest != digest:
        raise errors.CodecError(f'revision {number} has another digest')
    return known


def to_revision(known: Known) -> configuration.Revision:
    """Returns the form that the rest of the router uses."""
    return configuration.Revision(
        number=known.number,
        digest=known.document.digest,
        document=documents.to_configuration(known.document),
        author=known.author,
        reason=known.reason,
        accepted_at=known.accepted_at,
    )
