"""Tests of the decoding of valid and invalid entries of upstreams."""

from __future__ import annotations

import base64

from hypothesis import given
from hypothesis import strategies as st
import orjson
import pytest

from lavenderbend.observe import logs
from lavenderbend.platform import configuration_document
from lavenderbend.platform import snapshot_decoding
from lavenderbend.platform import store_answers
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

ENTRY = {
    'service': 'chat',
    'address': '10.0.0.1:8080',
    'zone': 'sala-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'coldLeftMs': 0,
    'seqNo': 4,
    'born': 1_796_256_000_000,
}
VALID = orjson.dumps({**ENTRY, 'address': '10.0.0.2:8080'})


def decode(*values, before=None):
    """Returns the snapshot of entries s0, s1, ... and the decoded items."""
    items = {
        f'servers/s{number}': forwarding.RawItem(number + 1, value)
        for number, value in enumerate(values)
    }
    return decode_raw(forwarding.RawSnapshot(9, items), before)


def decode_raw(raw, before=None):
    """Returns the snapshot of a read and the decoded items."""
    decoded = snapshot_decoding.decode_items(
        raw, before or {}, configuration_document.TableDecoder()
    )
    return snapshot_decoding.snapshot(raw, decoded), decoded


def names(snapshot):
    return sorted(upstream.vm.id for upstream in snapshot.upstreams.values())


def test_valid_entry_is_decoded_as_an_upstream():
    snapshot, _ = decode(orjson.dumps({**ENTRY, 'more': [1]}))
    (upstream,) = snapshot.upstreams.values()
    assert (
        upstream.vm.id,
        upstream.vm.host,
        upstream.vm.port,
        upstream.slots,
    ) == (
        's0',
        '10.0.0.1',
        8080,
        64,
    )
    assert upstream.vm.state is upstreams.VmState.LIVE


def test_later_start_under_the_same_id_is_another_upstream():
    # An engine crashes and restarts with the same id between two reads. Load,
    # health and cached chats of the old process were attributed to the new one.
    before, _ = decode(orjson.dumps(ENTRY))
    later, _ = decode(orjson.dumps({**ENTRY, 'born': ENTRY['born'] + 9}))
    same, _ = decode(orjson.dumps({**ENTRY, 'seqNo': 5}))
    assert before.upstreams.keys() == same.upstreams.keys()
    assert before.upstreams.keys().isdisjoint(later.upstreams)
    assert names(before) == names(later) == ['s0']


@pytest.mark.parametrize('field', sorted(set(ENTRY) - {'born'}))
def test_entry_without_a_field_is_ignored(field):
    broken = {name: ENTRY[name] for name in ENTRY if name != field}
    snapshot, _ = decode(orjson.dumps(broken), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize('field', sorted(ENTRY))
@pytest.mark.parametrize('value', [True, [], {}, [1], None, 'x', '', -1.5, '7'])
def test_entry_with_a_field_of_another_type_is_ignored(field, value):
    if isinstance(ENTRY[field], str) and isinstance(value, str):
        value = 3
    if field in ('coldLeftMs', 'born') and value in (-1.5, None):
        value = 'x'
    snapshot, _ = decode(orjson.dumps({**ENTRY, field: value}), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('state', 'READY'),
        ('state', 'warming'),
        ('address', '10.0.0.1'),
        ('address', '10.0.0.1:70000'),
        ('address', '10.0.0.1:-1'),
        ('address', 'host:80'),
        ('address', '10.0.0.1:80\r\nx: y'),
        ('slots', 0),
        ('slots', -4),
    ],
)
def test_entry_with_an_invalid_value_is_ignored(field, value):
    snapshot, _ = decode(orjson.dumps({**ENTRY, field: value}), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize('name', ['', 'a\r\nx-rank: 0', 'ñ', 'a b', 'x' * 300])
def test_entry_with_an_id_invalid_in_headers_is_ignored(name):
    items = {
        f'servers/{name}': forwarding.RawItem(1, VALID),
        'servers/s1': forwarding.RawItem(2, VALID),
    }
    raw = forwarding.RawSnapshot(9, items)
    snapshot, _ = decode_raw(raw)
    assert names(snapshot) == ['s1']


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
# Valid entries with some fields replaced or removed, and arbitrary bytes.
mutated = st.tuples(
    st.dictionaries(st.sampled_from(sorted(ENTRY)), json_values),
    st.sets(st.sampled_from(sorted(ENTRY))),
).map(
    lambda drawn: orjson.dumps(
        {
            name: value
            for name, value in {**ENTRY, **drawn[0]}.items()
            if name not in drawn[1]
        }
    )
)
arbitrary = st.binary() | json_values.map(orjson.dumps) | mutated


@given(st.lists(arbitrary, max_size=4))
def test_invalid_entry_does_not_affect_the_others(values):
    # One entry that could not be decoded made the whole snapshot unusable:
    # every router kept its outdated configuration and upstreams.
    snapshot, _ = decode(*values, VALID)
    assert f's{len(values)}' in names(snapshot)
    for upstream in snapshot.upstreams.values():
        assert isinstance(upstream.slots, int)
        assert upstream.vm.state in (
            upstreams.VmState.LIVE,
            upstreams.VmState.LEAVING,
        )


@pytest.mark.parametrize('value', [5, None, 'abc', '*'])
def test_value_that_is_not_base64_does_not_affect_other_items(value):
    page = store_answers.decode_page(
        0,
        {
            'items': [
                {'key': 'servers/s0', 'rev': 1, 'value': value},
                {
                    'key': 'servers/s1',
                    'rev': 2,
                    'value': base64.b64encode(VALID).decode(),
                },
            ],
            'hasMore': False,
            'storeRevision': 3,
        },
    )
    raw = forwarding.RawSnapshot(page.revision, page.items)
    snapshot, _ = decode_raw(raw)
    assert names(snapshot) == ['s1']


def test_id_with_a_slash_does_not_replace_another_instance():
    # An entry with the key ID/START replaced the upstream with that instance
    # id.
    items = {
        'servers/s0': forwarding.RawItem(1, orjson.dumps(ENTRY)),
        f'servers/s0/{ENTRY["born"]}': forwarding.RawItem(
            2, orjson.dumps({**ENTRY, 'address': '10.9.9.9:1', 'born': None})
        ),
    }
    raw = forwarding.RawSnapshot(9, items)
    snapshot, _ = decode_raw(raw)
    (upstream,) = snapshot.upstreams.values()
    assert upstream.vm.host == '10.0.0.1'


def test_invalid_entry_is_logged_once_for_each_change(monkeypatch):
    logged = []
    monkeypatch.setattr(
        logs, 'change', lambda kind, **fields: logged.append((kind, fields))
    )
    _, decoded = decode(b'{', VALID)
    _, decoded = decode(b'{', VALID, before=decoded)
    assert [kind for kind, _ in logged] == ['entry_unreadable']
    assert 'servers/s0' in logged[0][1]['cause']
