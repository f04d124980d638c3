"""Tests of the decoding of valid and invalid entries of upstreams."""

from __future__ import annotations

import base64
import json

from hypothesis import given
from hypothesis import strategies as st
import orjson
import pytest

from lavenderbend.coordination.forwarding.admission import crowding
from lavenderbend.observe import logs
from lavenderbend.platform import configuration_document
from lavenderbend.platform import snapshot_decoding
from lavenderbend.platform import store_answers
from lavenderbend.protocol import messages_forwarding
from lavenderbend.protocol import peer
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
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:' + '9' * 5000),
        ('address', '10.0.0.1:²'),
        ('address', 'host:80'),
        ('address', '10.0.0.1:80\r\nx: y'),
        ('slots', 0),
        ('slots', -4),
    ],
)
def test_entry_with_an_invalid_value_is_ignored(field, value):
    snapshot, _ = decode(orjson.dumps({**ENTRY, field: value}), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize(
    'host', ['0.0.0.0', '255.255.255.255', '224.0.0.1', '240.0.0.1']
)
def test_address_of_no_process_is_ignored(host):
    """Guards against requests that are placed where none can be served."""
    entry = {**ENTRY, 'address': f'{host}:8080'}
    snapshot, _ = decode(orjson.dumps(entry), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize('slots', [65536, 10**19, 2**64 - 1, 2**64, 10**400])
def test_slots_that_no_upstream_has_are_ignored(slots):
    """Guards against a number that ends the request that asks an owner."""
    data = json.dumps({**ENTRY, 'slots': slots}).encode()
    snapshot, _ = decode(data, VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize('slots', [1, 65535, 10**19, 2**64 - 1])
def test_slots_of_every_upstream_fit_into_a_message(slots):
    """Guards against requests that end where the slots are sent to an owner."""
    snapshot, _ = decode(orjson.dumps({**ENTRY, 'slots': slots}), VALID)
    for upstream in snapshot.upstreams.values():
        limit = crowding.max_load(upstream.slots)
        request = messages_forwarding.ReservationRequest(
            1, '10.0.0.1', 2, 'sala-a', 3, 4, 5, 6, max_load=limit
        )
        assert peer.decode(peer.encode(request)) == request


@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
@pytest.mark.parametrize('name', ['v1\nera 1', 'v\r', 'v\0', 'v' * 201])
def test_name_that_no_line_holds_is_ignored(field, name):
    """Guards against a version that reads as another one with its era."""
    snapshot, _ = decode(orjson.dumps({**ENTRY, field: name}), VALID)
    assert names(snapshot) == ['s1']


@pytest.mark.parametrize('name', ['a', '', 'ñandú 2.0', 'v' * 200])
def test_other_names_are_taken_over(name):
    snapshot, _ = decode(orjson.dumps({**ENTRY, 'version': name}))
    (upstream,) = snapshot.upstreams.values()
    assert upstream.software == name


def test_unfit_entry_in_the_place_of_a_good_one_lists_no_upstream():
    """Guards against requests to an upstream that may be leaving by now."""
    good = orjson.dumps(ENTRY)
    before, decoded = decode(good, VALID)
    unfit = orjson.dumps({**ENTRY, 'slots': 10**19})
    after, decoded = decode(unfit, VALID, before=decoded)
    again, _ = decode(good, VALID, before=decoded)
    assert names(before) == names(again) == ['s0', 's1']
    assert names(after) == ['s1']


def test_cause_of_a_long_entry_is_cut(monkeypatch):
    """Guards against log lines as long as another program likes."""
    logged = []
    monkeypatch.setattr(
        logs, 'change', lambda kind, **fields: logged.append(fields)
    )
    decode(orjson.dumps({**ENTRY, 'address': '1' * 100_000 + ':80'}))
    (line,) = logged
    assert line['cause'].startswith('servers/s0: field')
    assert len(line['cause']) < 400


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
