from __future__ import annotations

import pathlib
from typing import get_args

import attrs
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest
import yaml

from lavenderbend import errors
from lavenderbend.protocol import documents_yaml
from lavenderbend.protocol import structuring
from lavenderbend.state import configuration
from lavenderbend.state import settings

ROOTS = pathlib.Path(__file__).parents[1] / 'roots'
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
SMALL = """
id: router-1
availability_zone: sala-a
key_value: {endpoints: ['http://127.0.0.1:2379']}
"""


def faults_of(path):
    with pytest.raises(errors.DocumentErrors) as caught:
        documents_yaml.load_settings(path)
    return {fault.key: fault for fault in caught.value.exceptions}


def parse_fault(text):
    with pytest.raises(errors.DocumentErrors) as caught:
        documents_yaml.parse_settings(text, 's.yaml')
    return caught.value.exceptions[0]


@pytest.mark.parametrize('name', ['correo', 'rutaclara'])
def test_examples_can_be_used(name):
    item = documents_yaml.load_settings(EXAMPLES / name / 'settings.yaml')

    assert item.callers.max_body_bytes == 1024 * 1024
    assert item.stop.stream_seconds == 900.0


def test_defaults_are_taken():
    item = documents_yaml.parse_settings(SMALL, 's.yaml')

    assert item.peers.link is settings.LinkKind.FRAMES
    assert item.configuration.when_cut_off is settings.CutOffPolicy.SERVE
    assert item.seed is None


def test_every_fault_is_told_at_once_with_line_key_and_what_is_allowed():
    path = ROOTS / 'test-settings-wrong' / 'settings.yaml'

    faults = faults_of(path)

    lines = {key: fault.line for key, fault in faults.items()}
    assert lines == {
        'id': 1,
        'key_value.endpoints': 3,
        'key_value.timeout_seconds': 4,
        'callers.port': 7,
        'callers.idle_seconds': 8,
        'callers.max_body_byte': 9,
        'vm_list.adapter': 11,
        'vm_list.vms[0].port': 15,
        'vm_list.vms[0].kind': 18,
        'stop': 19,
    }
    assert all(fault.file == str(path) for fault in faults.values())
    assert faults['callers.port'].allowed == '0 to 65535'
    assert 'max_body_bytes' in faults['callers.max_body_byte'].allowed
    assert faults['vm_list.adapter'].allowed == 'http | static'
    assert '30s' in faults['callers.idle_seconds'].allowed


def test_what_does_not_fit_together_is_told():
    faults = faults_of(ROOTS / 'test-settings-unsafe' / 'settings.yaml')

    assert set(faults) == {
        'callers.host',
        'operators.credential',
        'peers.host',
        'key_value.endpoints[0]',
        'vm_list.url',
    }


def test_two_listeners_on_one_port_are_told():
    text = SMALL + 'callers: {port: 8081}\n'

    assert parse_fault(text).key == 'operators.port'


def test_plain_peers_beyond_loopback_need_a_word_by_name():
    # story: an operator binds peers to the VM's own address and forgets
    # TLS. Anybody on that network could then pass off messages of routers.
    plain = SMALL + 'peers: {host: 10.0.0.1}\n'
    allowed = SMALL + (
        'peers: {host: 10.0.0.1, allow_plain_beyond_loopback: true}\n'
    )

    assert parse_fault(plain).key == 'peers.host'
    assert documents_yaml.parse_settings(allowed, 's').peers.host == '10.0.0.1'


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('500ms', 0.5), ('30s', 30.0), ('1.5m', 90.0), ('2h', 7200.0)],
)
def test_durations_have_units(text, seconds):
    item = documents_yaml.parse_settings(
        SMALL + f'stop: {{stream_seconds: {text}}}\n', 's'
    )

    assert item.stop.stream_seconds == seconds


@pytest.mark.parametrize(
    'value', ['30', '-5s', '1e9s', '.inf', '5 parsecs', '30KiB', '', '[]']
)
def test_wrong_durations_are_told(value):
    fault = parse_fault(SMALL + f'stop: {{stream_seconds: {value}}}\n')

    assert fault.key == 'stop.stream_seconds'
    assert fault.line == 5


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('a: &x [1]\nb: *x\n', 'an alias'),
        ('a: !!python/object:os.system {}\n', 'tag'),
        ('a: 1\n---\nb: 2\n', 'a second document'),
        ('a: ' + '[' * 500, 'nested too deep'),
        ('a: 1\na: 2\n', 'given twice'),
        ('a: [1\n', 'expected'),
        ('[1]: 2\n', 'a key that is a list'),
        ('\x00', 'character'),
        ('x' * (1 << 20) + 'x', 'too long'),
        ('', 'is not a map'),
    ],
)
def test_what_is_no_plain_yaml_is_told(text, fault):
    assert fault in str(parse_fault(text))


def test_missing_file_is_told():
    with pytest.raises(errors.DocumentErrors, match='cannot be used'):
        documents_yaml.load_settings(ROOTS / 'nowhere.yaml')


# texts that YAML or a careless reader would take for something else
ODD = st.sampled_from(
    ['no', '010', '12:30', '1e5', 'null', '~', '30s', '.nan', '<<', '=', '%']
)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | ODD,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.text()
            | st.sampled_from(
                ['id', 'callers', 'port', 'rules', 'then', 'vms']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(value=PLAIN)
def test_any_document_is_read_or_told(value):
    text = yaml.safe_dump(value, allow_unicode=True)
    for parse in (
        documents_yaml.parse_settings,
        documents_yaml.parse_configuration,
    ):
        try:
            parse(text, 'f')
        except errors.DocumentErrors as exc:
            assert exc.exceptions


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(data=st.binary(max_size=200))
def test_any_bytes_are_read_or_told(data):
    try:
        documents_yaml.parse_settings(data, 'f')
    except errors.DocumentErrors as exc:
        assert exc.exceptions


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(data=st.data())
def test_any_change_of_an_example_is_read_or_told(data):
    text = (EXAMPLES / 'correo' / 'settings.yaml').read_bytes()
    start = data.draw(st.integers(0, len(text)))
    end = data.draw(st.integers(start, min(len(text), start + 20)))
    changed = text[:start] + data.draw(st.binary(max_size=8)) + text[end:]
    try:
        documents_yaml.parse_settings(changed, 'f')
    except errors.DocumentErrors as exc:
        assert exc.exceptions


def numbers_of(cls):
    for part in reference_classes(cls, []):
        for field in attrs.fields(part):
            kinds = (int, float, settings.Seconds, settings.ByteCount)
            if field.type in kinds:
                yield part, field


def reference_classes(cls, found):
    found.append(cls)
    for field in attrs.fields(attrs.resolve_types(cls)):
        for part in (field.type, *get_args(field.type)):
            if attrs.has(part) and part not in found:
                reference_classes(part, found)
    return found


@pytest.mark.parametrize(
    'cls', [settings.RouterSettings, configuration.Configuration]
)
def test_every_number_has_bounds(cls):
    # a new number without bounds could be set to -1 and break a router only
    # once it is under load
    for part, field in numbers_of(cls):
        key = (part, field.name)
        known = 'bounds' in field.metadata or key in structuring.FIELD_BOUNDS
        assert known, key
