"""Headers that concern only one connection."""

from __future__ import annotations

HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

Headers = tuple[tuple[bytes, bytes], ...]


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that are passed on.

    Beside the well-known ones, those that `Connection` names stay out.
    """
    dropped = HOP_HEADERS
    for name, value in headers:
        if name == b'connection':
            named = {part.strip().lower() for part in value.split(b',')}
            dropped = dropped | named
    return tuple(item for item in headers if item[0] not in dropped)
