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

SMALL = """
id: router-1
availability_zone: sala-a
key_value: {endpoints: ['http://127.0.0.1:2379']}
"""
TOLD = (
    SMALL
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


def parse(text):
    return documents_yaml.parse_settings(text, 's.yaml')


def test_defaults_of_the_file_are_those_of_the_parts():
    # a router without these keys must run as it did before they were there
    item = parse(SMALL)

    assert adapters.admission_settings(item.admission) == (
        admission.AdmissionSettings()
    )
    assert adapters.claim_policy(item.claims) == claims.ClaimPolicy()
    assert adapters.order_policy(item.orders) == orders.OrderPolicy()
    assert adapters.answer_limits(item.answers) == http_limits.AnswerLimits()
    assert adapters.dispatch_settings(item) == dispatch.DispatchSettings()


def test_router_runs_by_what_the_file_says():
    one = router.RouterDaemon(parse(TOLD))

    assert one.admission.settings.chats == 700
    policy = one.claims.policy
    assert (policy.shards, policy.retention) == (8, 7200.0)
    assert policy.shard.batch_interval == 0.02
    assert one.orders.policy == orders.OrderPolicy(
        interval=3.0,
        loads_at_once=5,
        load_interval=6.0,
        unavailable=0.5,
        settle_seconds=420.0,
        bake_seconds=8.0,
        engine_read_seconds=9.0,
    )
    path = one.dispatcher.components.settings
    assert path.answers == one.upstream_client.limits
    assert path.answers == http_limits.AnswerLimits(
        event_bytes=2048, whole_bytes=3 * 1024 * 1024, stall_seconds=5.0
    )
    assert (path.held_bytes, path.retry_after_seconds) == (4096, 6.0)
    assert path.retries.share == 0.2
    assert not path.answer_ids_contain_request_id
    assert not path.require_idempotency_key


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
def test_what_would_break_a_router_is_refused(line):
    with pytest.raises(errors.DocumentErrors) as caught:
        parse(f'{SMALL}{line}\n')

    section, _, rest = line.partition(': {')
    key = rest.partition(':')[0]
    fault = caught.value.exceptions[0]
    assert (fault.key, fault.line) == (f'{section}.{key}', 5)


def test_an_answer_that_is_held_is_never_too_large_to_be_whole():
    bounds = attrs.fields_dict(settings.AnswerSettings)

    most_held = bounds['held_bytes'].metadata['bounds'].most
    assert most_held <= bounds['max_whole_bytes'].metadata['bounds'].least
