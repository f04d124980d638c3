from __future__ import annotations

import attrs
import pytest

from lavenderbend import errors
from lavenderbend.coordination import admission
from lavenderbend.coordination import dispatch
from lavenderbend.coordination.claims import claims
from lavenderbend.coordination.orders import orders
from lavenderbend.daemon import adapters
from lavenderbend.daemon import router
from lavenderbend.protocol import documents_yaml
from lavenderbend.protocol import http_limits
from lavenderbend.state import settings

REQUIRED_SETTINGS = """
id: router-1
availability_zone: sala-a
key_value: {endpoints: ['http://127.0.0.1:2379']}
"""
ALL_SETTINGS = (
    REQUIRED_SETTINGS
    + """
admission: {chats: 700}
claims: {shards: 8, retention_seconds: 2h, write_gap_seconds: 20ms}
orders:
  interval_seconds: 3s
  loads_at_once: 5
  load_gap_seconds: 6s
  unavailable: 50%
  settle_seconds: 7m
  bake_seconds: 8s
  engine_read_seconds: 9s
answers:
  max_event_bytes: 2KiB
  max_whole_bytes: 3MiB
  held_bytes: 4KiB
  stall_seconds: 5s
  named_by_request: false
attempts:
  retry_share: 20%
  retry_after_seconds: 6s
  require_idempotency_key: false
"""
)


def parse_settings(text):
    return documents_yaml.parse_settings(text, 's.yaml')


def test_file_defaults_equal_component_defaults():
    # A router whose settings file predates these keys must behave as before:
    # without them the file must give the default settings of the components.
    router_settings = parse_settings(REQUIRED_SETTINGS)

    assert adapters.admission_settings(router_settings.admission) == (
        admission.AdmissionSettings()
    )
    assert adapters.claim_policy(router_settings.claims) == claims.ClaimPolicy()
    assert adapters.order_policy(router_settings.orders) == orders.OrderPolicy()
    assert (
        adapters.answer_limits(router_settings.answers)
        == http_limits.AnswerLimits()
    )
    assert (
        adapters.dispatch_settings(router_settings)
        == dispatch.DispatchSettings()
    )


def test_settings_of_the_file_reach_the_components():
    daemon = router.RouterDaemon(parse_settings(ALL_SETTINGS))

    assert daemon.admission.settings.chats == 700
    policy = daemon.claims.policy
    assert (policy.shards, policy.retention) == (8, 7200.0)
    assert policy.shard.batch_interval == 0.02
    assert daemon.orders.policy == orders.OrderPolicy(
        interval=3.0,
        loads_at_once=5,
        load_interval=6.0,
        unavailable=0.5,
        settle_seconds=420.0,
        bake_seconds=8.0,
        engine_read_seconds=9.0,
    )
    dispatch_settings = daemon.dispatcher.components.settings
    assert dispatch_settings.answers == daemon.upstream_client.limits
    assert dispatch_settings.answers == http_limits.AnswerLimits(
        event_bytes=2048, answer_bytes=3 * 1024 * 1024, stall_seconds=5.0
    )
    assert (
        dispatch_settings.held_bytes,
        dispatch_settings.retry_after_seconds,
    ) == (4096, 6.0)
    assert dispatch_settings.retries.share == 0.2
    assert not dispatch_settings.answer_ids_contain_request_id
    assert not dispatch_settings.require_idempotency_key


@pytest.mark.parametrize(
    'line',
    [
        'admission: {chats: 0}',
        'claims: {shards: 0}',
        'claims: {retention_seconds: 10s}',
        'claims: {retention_seconds: 3600}',
        'orders: {interval_seconds: 0s}',
        'orders: {unavailable: 0.25}',
        'orders: {unavailable: 101%}',
        'answers: {stall_seconds: 0s}',
        'answers: {held_bytes: 2MiB}',
        'attempts: {retry_share: 200%}',
    ],
)
def test_settings_out_of_bounds_are_refused(line):
    with pytest.raises(errors.DocumentErrors) as caught:
        parse_settings(f'{REQUIRED_SETTINGS}{line}\n')

    section, _, rest = line.partition(': {')
    key = rest.partition(':')[0]
    fault = caught.value.exceptions[0]
    assert (fault.key, fault.line) == (f'{section}.{key}', 5)


def test_buffered_answer_never_exceeds_the_answer_limit():
    bounds = attrs.fields_dict(settings.AnswerSettings)

    max_held = bounds['held_bytes'].metadata['bounds'].maximum
    assert max_held <= bounds['max_whole_bytes'].metadata['bounds'].minimum
