"""Binary packing of gossiped rows, most of them with ages, for datagrams."""

from __future__ import annotations

import functools
import math
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

AGE_UNITS_PER_SECOND = 32
MAX_AGE = 255
MAX_COUNT = 255
HOST = struct.Struct('>4sB')
REPORT = struct.Struct('>IBB')
COUNT = struct.Struct('>IB')
HOLDER = struct.Struct('>IIB')
CAPACITY_BYTES = 3
MAX_PACKED_CAPACITY = 2 ** (8 * CAPACITY_BYTES) - 1
# More than the hosts that one router meets in its life; a message carries some
# forty, nearly always known ones.
CACHED_HOSTS = 2048
# Coarser for holders, whose entries live longer and need less precision.
HOLDER_AGE_UNITS_PER_SECOND = 8


def packed_age(seconds: float, per_second: int = AGE_UNITS_PER_SECOND) -> int:
    """Returns an age as one byte, in units of 1 / `per_second` seconds.

    Rounds up: the age is relayed from router to router, and with rounding down
    a router that died long ago would continue to count as alive.
    """
    return min(MAX_AGE, math.ceil(max(0.0, seconds) * per_second))


packed_host = functools.lru_cache(CACHED_HOSTS)(socket.inet_aton)
unpacked_host = functools.lru_cache(CACHED_HOSTS)(socket.inet_ntoa)


def pack_hosts(rows: Iterable[tuple[str, float]]) -> bytes:
    """Packs IPv4 addresses and the seconds since each was last seen."""
    return b''.join(
        [HOST.pack(packed_host(host), packed_age(age)) for host, age in rows]
    )


def unpack_hosts(data: bytes) -> Iterator[tuple[str, float]]:
    """Yields IPv4 addresses and seconds; drops a truncated row."""
    for address, age in HOST.iter_unpack(complete_rows(data, HOST)):
        yield unpacked_host(address), age / AGE_UNITS_PER_SECOND


def pack_capacities(capacities: Iterable[int]) -> bytes:
    """Packs capacities of routers, in hundredths of a core; 0 for unknown.

    Capacities over `MAX_PACKED_CAPACITY` are packed as that.
    """
    return b''.join(
        min(capacity, MAX_PACKED_CAPACITY).to_bytes(CAPACITY_BYTES, 'big')
        for capacity in capacities
    )


def unpack_capacities(data: bytes) -> Iterator[int]:
    """Yields capacities; drops a truncated one."""
    for begin in range(0, len(data) - CAPACITY_BYTES + 1, CAPACITY_BYTES):
        yield int.from_bytes(data[begin : begin + CAPACITY_BYTES], 'big')


def pack_reports(rows: Iterable[tuple[int, int, float]]) -> bytes:
    """Packs short ids of upstreams, loads, and ages in seconds.

    Loads over `MAX_COUNT` are packed as `MAX_COUNT`.
    """
    return b''.join(
        REPORT.pack(short_id, min(load, MAX_COUNT), packed_age(age))
        for short_id, load, age in rows
    )


def unpack_reports(data: bytes) -> Iterator[tuple[int, int, float]]:
    """Yields short ids, loads and ages; drops a truncated row."""
    for short_id, load, age in REPORT.iter_unpack(complete_rows(data, REPORT)):
        yield short_id, load, age / AGE_UNITS_PER_SECOND


def pack_counts(rows: Iterable[tuple[int, int]]) -> bytes:
    """Packs short ids of upstreams and counts of requests there.

    Counts over `MAX_COUNT` are packed as `MAX_COUNT`.
    """
    return b''.join(
        COUNT.pack(short_id, min(count, MAX_COUNT)) for short_id, count in rows
    )


def unpack_counts(data: bytes) -> Iterator[tuple[int, int]]:
    """Yields short ids and request counts; drops a truncated row."""
    return COUNT.iter_unpack(complete_rows(data, COUNT))


def pack_holders(rows: Iterable[tuple[int, int, float]]) -> bytes:
    """Packs short ids of prompt parts and of their holders, and ages."""
    return b''.join(
        HOLDER.pack(part, holder, packed_age(age, HOLDER_AGE_UNITS_PER_SECOND))
        for part, holder, age in rows
    )


def unpack_holders(data: bytes) -> Iterator[tuple[int, int, float]]:
    """Yields short ids of parts and holders, and ages.

    Drops a truncated row.
    """
    for part, holder, age in HOLDER.iter_unpack(complete_rows(data, HOLDER)):
        yield part, holder, age / HOLDER_AGE_UNITS_PER_SECOND


def complete_rows(data: bytes, row: struct.Struct) -> bytes:
    """Returns the data without a truncated row at its end."""
    return data[: len(data) // row.size * row.size]
