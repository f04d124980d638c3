"""Tests of whole numbers in headers that other programs write."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from lavenderbend.protocol import counts


@pytest.mark.parametrize(
    ('text', 'count'),
    [
        ('0', 0),
        ('0042', 42),
        (b'31', 31),
        ('9' * 18, 10**18 - 1),
        ('9' * 19, None),
        ('9' * 5000, None),
        (b'9' * 5000, None),
        ('\u00b2', None),
        ('\u0663', None),
        (b'\xb2', None),
        ('', None),
        (b'', None),
        ('-1', None),
        ('+1', None),
        ('1_0', None),
        (' 1', None),
        ('1.0', None),
    ],
)
def test_only_digits_in_number_are_a_count(text, count):
    assert counts.parse_count(text) == count


def test_longer_text_than_allowed_is_no_count():
    assert counts.parse_count('100', 3) == 100
    assert counts.parse_count('100', 2) is None


@given(st.text() | st.binary() | st.integers(0).map(str))
def test_any_text_is_a_number_that_messages_carry_or_none(text):
    count = counts.parse_count(text)
    assert count is None or msgpack.unpackb(msgpack.packb(count)) == count
