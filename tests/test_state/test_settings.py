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
MINIMAL_SETTINGS = """
id: router-1
availability_zone: sala-a
key_value: {endpoints: ['http://127.0.0.1:2379']}
"""


def load_faults(path):
    with pytest.raises(errors.DocumentErrors) as exc_info:
        documents_yaml.load_settings(path)
    return {fault.key: fault for fault in exc_info.value.exceptions}


def parse_fault(text):
    with pytest.raises(errors.DocumentErrors) as exc_info:
        documents_yaml.parse_settings(text, 's.yaml')
    return exc_info.value.exceptions[0]


@pytest.mark.parametrize('name', ['correo', 'rutaclara'])
def test_examples_are_valid(name):
    router_settings = documents_yaml.load_settings(
        EXAMPLES / name / 'settings.yaml'
    )

    assert router_settings.callers.max_body_bytes == 1024 * 1024
    assert router_settings.stop.stream_seconds == 900.0


def test_defaults_apply():
    router_settings = documents_yaml.parse_settings(MINIMAL_SETTINGS, 's.yaml')

    assert router_settings.peers.link is settings.LinkKind.FRAMES
    assert (
        router_settings.configuration.when_cut_off
        is settings.CutOffPolicy.SERVE
    )
    assert router_settings.seed is None


def test_all_faults_are_reported_with_line_key_and_allowed_values():
    path = ROOTS / 'test-settings-wrong' / 'settings.yaml'

    faults = load_faults(path)

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


def test_conflicting_and_malformed_values_are_reported():
    faults = load_faults(ROOTS / 'test-settings-unsafe' / 'settings.yaml')

    assert set(faults) == {
        'callers.host',
        'operators.credential',
        'peers.host',
        'key_value.endpoints[0]',
        'vm_list.url',
    }


def test_two_listeners_on_one_port_are_rejected():
    text = MINIMAL_SETTINGS + 'callers: {port: 8081}\n'

    assert parse_fault(text).key == 'operators.port'


def test_plain_peers_beyond_loopback_must_be_allowed_explicitly():
    # An operator binds the peer listener to the VM's own address and forgets
    # TLS: anyone on that network could send forged router messages.
    plain = MINIMAL_SETTINGS + 'peers: {host: 10.0.0.1}\n'
    allowed = MINIMAL_SETTINGS + (
        'peers: {host: 10.0.0.1, allow_plain_beyond_loopback: true}\n'
    )

    assert parse_fault(plain).key == 'peers.host'
    assert documents_yaml.parse_settings(allowed, 's').peers.host == '10.0.0.1'


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('500ms', 0.5), ('30s', 30.0), ('1.5m', 90.0), ('2h', 7200.0)],
)
def test_durations_with_units_are_parsed(text, seconds):
    router_settings = documents_yaml.parse_settings(
        MINIMAL_SETTINGS + f'stop: {{stream_seconds: {text}}}\n', 's'
    )

    assert router_settings.stop.stream_seconds == seconds


@pytest.mark.parametrize(
    'value', ['30', '-5s', '1e9s', '.inf', '5 parsecs', '30KiB', '', '[]']
)
def test_invalid_durations_are_rejected(value):
    fault = parse_fault(
        MINIMAL_SETTINGS + f'stop: {{stream_seconds: {value}}}\n'
    )

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
def test_invalid_yaml_is_rejected(text, fault):
    assert fault in str(parse_fault(text))


def test_missing_file_is_reported():
    with pytest.raises(errors.DocumentErrors, match='cannot be used'):
        documents_yaml.load_settings(ROOTS / 'nowhere.yaml')


# texts that YAML parsers may read as a type other than string
AMBIGUOUS_TEXTS = st.sampled_from(
    ['no', '010', '12:30', '1e5', 'null', '~', '30s', '.nan', '<<', '=', '%']
)
DOCUMENT_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | AMBIGUOUS_TEXTS,
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
@given(value=DOCUMENT_VALUES)
def test_any_document_is_parsed_or_rejected(value):
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
def test_any_bytes_are_parsed_or_rejected(data):
    try:
        documents_yaml.parse_settings(data, 'f')
    except errors.DocumentErrors as exc:
        assert exc.exceptions


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(data=st.data())
def test_any_change_of_an_example_is_parsed_or_rejected(data):
    text = (EXAMPLES / 'correo' / 'settings.yaml').read_bytes()
    start = data.draw(st.integers(0, len(text)))
    end = data.draw(st.integers(start, min(len(text), start + 20)))
    changed = text[:start] + data.draw(st.binary(max_size=8)) + text[end:]
    try:
        documents_yaml.parse_settings(changed, 'f')
    except errors.DocumentErrors as exc:
        assert exc.exceptions


def numeric_fields(cls):
    for nested in nested_classes(cls, []):
        for field in attrs.fields(nested):
            number_types = (int, float, settings.Seconds, settings.ByteCount)
            if field.type in number_types:
                yield nested, field


def nested_classes(cls, classes):
    classes.append(cls)
    for field in attrs.fields(attrs.resolve_types(cls)):
        for nested in (field.type, *get_args(field.type)):
            if attrs.has(nested) and nested not in classes:
                nested_classes(nested, classes)
    return classes


@pytest.mark.parametrize(
    'cls', [settings.RouterSettings, configuration.Configuration]
)
def test_every_number_has_bounds(cls):
    # A numeric field without bounds accepts values such as -1, which break a
    # router only once it is under load.
    for nested, field in numeric_fields(cls):
        key = (nested, field.name)
        bounded = 'bounds' in field.metadata or key in structuring.FIELD_BOUNDS
        assert bounded, key
