"""Tests of the packing of rows in datagrams."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from lavenderbend.protocol import packed_rows

AGES = strategies.floats(0.0, 7.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.ip_addresses(v=4).map(str),
            AGES,
        ),
        max_size=20,
    )
)
def test_unpacked_hosts_are_never_younger(rows):
    unpacked = list(packed_rows.unpack_hosts(packed_rows.pack_hosts(rows)))
    assert [host for host, _ in unpacked] == [host for host, _ in rows]
    for (_, before), (_, after) in zip(rows, unpacked, strict=True):
        assert (
            before <= after <= before + 1.0 / packed_rows.AGE_UNITS_PER_SECOND
        )


def test_values_larger_than_a_byte_are_capped():
    packed = packed_rows.pack_reports([(7, 3000, 60.0)])
    ((short_id, load, age),) = packed_rows.unpack_reports(packed)
    assert (short_id, load) == (7, packed_rows.MAX_COUNT)
    assert age > 7.0


def test_negative_age_is_packed_as_zero():
    assert packed_rows.packed_age(-1.0) == 0


@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_can_be_unpacked(data):
    list(packed_rows.unpack_hosts(data))
    list(packed_rows.unpack_reports(data))
    list(packed_rows.unpack_counts(data))
