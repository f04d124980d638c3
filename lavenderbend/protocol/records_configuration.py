"""Encoding of configuration changes and of whole revisions."""

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
    """One accepted change, as it is stored in the log.

    Attributes:
        id: Unique id of the change.
        author: Author that the operator gave.
        reason: Reason that the operator gave.
        accepted_at: Seconds since the epoch, by the clock of the router that
            accepted the change.
        digest: Digest of the document after the change.
        splices: The edits to the document.
    """

    id: bytes
    author: str
    reason: str
    accepted_at: float
    digest: str
    splices: tuple[documents.Splice, ...]


@attrs.frozen
class StoredRevision:
    """A revision with its document.

    Attributes:
        number: Number of the revision, 0 before the first accepted change.
        document: The document.
        author: Author of the last change.
        reason: Reason for the last change.
        accepted_at: Seconds since the epoch, by the clock of the router that
            accepted the last change.
    """

    number: int
    document: documents.Document
    author: str = ''
    reason: str = ''
    accepted_at: float = 0.0


EMPTY_REVISION = StoredRevision(0, documents.EMPTY)


def compress(data: bytes) -> bytes:
    """Returns the bytes, compressed from `COMPRESS_BYTES` on."""
    if len(data) < COMPRESS_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, 6)


def decompress(data: bytes) -> bytes:
    """Returns the bytes given to `compress`.

    Raises:
        CodecError: The bytes were not made by `compress`.
    """
    kind, rest = data[:1], data[1:]
    if kind == PLAIN:
        return rest
    if kind != COMPRESSED:
        raise errors.CodecError(f'not a record: begins with {kind!r}')
    try:
        return zlib.decompress(rest)
    except zlib.error as exc:
        raise errors.CodecError(f'not a record: {exc}') from exc


def encode(record: Record) -> bytes:
    """Returns a change as bytes."""
    return compress(msgpack.packb(attrs.astuple(record)))


def decode(data: bytes) -> Record:
    """Returns the change of bytes made by `encode`.

    Raises:
        CodecError: The bytes are not a change.
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
        raise errors.CodecError(f'not a change: {exc!r}') from exc


def advance(revision: StoredRevision, record: Record) -> StoredRevision:
    """Returns the revision that results from a change.

    Raises:
        CodecError: The resulting document does not have the change's digest.
    """
    document = documents.apply(revision.document, record.splices)
    if document.digest != record.digest:
        raise errors.CodecError(
            f'change {revision.number + 1} does not produce its digest'
        )
    return StoredRevision(
        revision.number + 1,
        document,
        record.author,
        record.reason,
        record.accepted_at,
    )


def encode_revision(revision: StoredRevision) -> bytes:
    """Returns a whole revision as bytes."""
    return msgpack.packb(
        [
            revision.number,
            documents.pack(revision.document),
            revision.document.digest,
            revision.author,
            revision.reason,
            revision.accepted_at,
        ]
    )


def decode_revision(data: bytes) -> StoredRevision:
    """Returns the revision of bytes made by `encode_revision`.

    Raises:
        CodecError: The bytes are not a revision.
    """
    try:
        number, packed, digest, *rest = msgpack.unpackb(data)
        revision = StoredRevision(number, documents.unpack(packed), *rest)
    except (ValueError, TypeError) as exc:
        raise errors.CodecError(f'not a revision: {exc!r}') from exc
    if revision.document.digest != digest:
        raise errors.CodecError(f'revision {number} does not have its digest')
    return revision


def to_revision(revision: StoredRevision) -> configuration.Revision:
    """Returns a revision in the form that the rest of the router uses."""
    return configuration.Revision(
        number=revision.number,
        digest=revision.document.digest,
        document=documents.to_configuration(revision.document),
        author=revision.author,
        reason=revision.reason,
        accepted_at=revision.accepted_at,
    )
