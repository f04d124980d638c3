"""Hop-by-hop headers, which apply to a single connection."""

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
    """Returns the end-to-end headers, which are forwarded.

    Drops the standard hop-by-hop headers and those that `Connection` lists.
    """
    dropped = HOP_HEADERS
    for name, value in headers:
        if name == b'connection':
            listed = {token.strip().lower() for token in value.split(b',')}
            dropped = dropped | listed
    return tuple(header for header in headers if header[0] not in dropped)
