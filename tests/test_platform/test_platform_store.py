"""Tests of the client of the platform's store and of the decoded content."""

from __future__ import annotations

import functools
import json
import pathlib
import re

import orjson
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import store_reads
from lavenderbend.platform import store as platform_store
from lavenderbend.platform import store_answers
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from lavenderbend.transport import http_calls
from tests import platform_standins as standins

PACKAGE = pathlib.Path(__file__).parents[2] / 'lavenderbend'
# Names of the platform that must not occur outside its package.
PLATFORM_WORDS = re.compile(
    r'lavenderbend/(ready|kv-|report)|lavenderbend-(request|response|server|'
    r'prompt|token|tenant|expect|not-exec)|pathPrefix|storeRevision|'
    r'trafficSplit|apiKeys|targetLatencyMs|maxAttempts|non_idempotent|'
    r'op/config|servers/|coldLeftMs|seqNo|ifRev|router-zones'
)


@pytest.fixture
async def store(nursery):
    store = standins.Store()
    store.put('op/config', standins.configuration())
    worker = standins.Worker('i-1', 'engines')
    worker.port = 4000
    store.put('servers/i-1', worker.entry())
    store.put('servers/i-2', worker.entry('draining'))
    await nursery.start(store.serve)
    return store


@pytest.fixture
def client(store):
    return platform_store.PlatformStore(f'http://127.0.0.1:{store.port}', 0.3)


async def test_one_call_reads_configuration_and_upstreams(store, client):
    snapshot = client.decode(await client.read())
    assert len(store.received) == 1
    assert snapshot.revision == store.revision
    assert snapshot.table.version == 1
    assert snapshot.upstreams['i-1'].vm.port == 4000
    assert snapshot.upstreams['i-1'].vm.state is upstreams.VmState.LIVE
    assert snapshot.upstreams['i-2'].vm.state is upstreams.VmState.LEAVING


async def test_rules_are_ordered_by_prefix_length(store, client):
    table = client.decode(await client.read()).table
    assert [rule.name for rule in table.rules][0] == 'look'
    by_name = {rule.name: rule.then for rule in table.rules}
    assert by_name['look'].repeatable
    assert not by_name['desk'].repeatable
    assert by_name['desk'].attempts == 1
    assert by_name['chat'].streaming
    assert by_name['chat'].repeatable
    assert table.customers[0].rank == 1
    assert table.limits.header_seconds == 1.0


def changed(part, field, value):
    """Returns a configuration with one field of one part changed."""
    document = standins.configuration(2)
    parts = {
        'document': document,
        'route': document['routes'][0],
        'service': document['services'][0],
        'tenant': document['tenants'][0],
        'limits': document['limits'],
    }
    parts[part][field] = value
    return document


@pytest.mark.parametrize(
    ('part', 'field', 'values'),
    [
        ('document', 'version', ['2', 2.5, 2**64, None, True, []]),
        ('document', 'routes', [None, {}, 'x', [None], [[]], [5]]),
        ('document', 'services', [None, {}, 'x', [None], [[]], ['x']]),
        ('document', 'limits', [None, [], 'x']),
        ('document', 'tenants', ['x', {'a': 1}, [None], [[]]]),
        ('route', 'name', [3, None, []]),
        ('route', 'host', [3, None, []]),
        ('route', 'pathPrefix', [3, None, []]),
        ('route', 'kind', [3, None, []]),
        ('route', 'service', [3, None, []]),
        ('route', 'timeoutMs', ['5', None, [], True]),
        ('route', 'maxAttempts', ['5', 1.5, []]),
        ('route', 'priority', ['5', 1.5, []]),
        ('route', 'targetLatencyMs', ['5', []]),
        ('route', 'trafficSplit', ['x', {'a': 1}, [5], [{'service': 'a'}]]),
        ('service', 'name', [3, None, []]),
        ('service', 'maxConns', ['5', 1.5, []]),
        ('service', 'coldS', ['5', [1]]),
        ('service', 'warmupPerS', ['5', [1]]),
        ('tenant', 'name', [3, None, []]),
        ('tenant', 'priority', ['5', 1.5, []]),
        ('limits', 'maxHeaderBytes', ['5', 1.5, None, []]),
        ('limits', 'idleTimeoutMs', ['5', None, []]),
    ],
)
async def test_configuration_with_a_field_of_another_type_is_refused(
    store, client, part, field, values
):
    """Guards against a version that ends the router once it is in force."""
    first = client.decode(await client.read())
    for value in values:
        store.put('op/config', changed(part, field, value))
        raw = await client.read()
        with pytest.raises(errors.CodecError, match='op/config'):
            client.decode(raw)
    store.put('op/config', standins.configuration(2))
    again = client.decode(await client.read())
    assert again.upstreams == first.upstreams
    assert again.version == 2


async def test_optional_fields_without_a_value_take_their_defaults(
    store, client
):
    store.put('op/config', changed('route', 'priority', None))
    rules = client.decode(await client.read()).table.rules
    assert {rule.name: rule.then.rank for rule in rules}['chat'] == 5
    store.put('op/config', changed('service', 'maxConns', None))
    pools = client.decode(await client.read()).table.pools
    assert {pool.max_connections for pool in pools} == {100}


async def test_route_nested_too_deeply_is_refused(store, client):
    """Guards against a comparison of versions that ends the router."""
    document = json.dumps(changed('route', 'more', 0)).encode()
    nested = b'"more": ' + b'[' * 1015 + b']' * 1015
    store.put('op/config', {})
    store.items['op/config'] = (
        document.replace(b'"more": 0', nested),
        store.revision,
    )
    client.decode(await client.read())
    store.items['op/config'] = (
        document.replace(b'"more": 0', nested + b' '),
        store.revision + 1,
    )
    raw = await client.read()
    with pytest.raises(errors.CodecError, match='op/config'):
        client.decode(raw)


async def test_unchanged_routes_keep_their_rules(store, client):
    # Guards against a new version that blocks the router while all routes are
    # decoded again.
    first = client.decode(await client.read()).table
    routes = standins.configuration()['routes']
    routes[0]['timeoutMs'] = 7000
    store.put('op/config', standins.configuration(2, routes=routes[:2]))
    second = client.decode(await client.read()).table
    by_name = {rule.name: rule for rule in first.rules}
    same = {rule.name: by_name[rule.name] is rule for rule in second.rules}
    assert same == {'chat': False, 'desk': True}
    assert second.rules[0].then.timeout == 7.0


async def test_only_the_kind_determines_what_may_be_retried(store, client):
    # A route's name and its `sticky` flag have no influence.
    routes = [
        standins.route('safe-read', '/a/', 'desk', 'non_idempotent'),
        standins.route('once', '/b/', 'desk', 'streaming'),
    ]
    store.put('op/config', standins.configuration(2, routes=routes))
    table = client.decode(await client.read()).table
    assert not any(rule.then.repeatable for rule in table.rules)


async def test_large_store_is_read_page_by_page(store, client):
    store.page_size = 1
    snapshot = client.decode(await client.read())
    assert len(store.received) == 3
    assert sorted(snapshot.upstreams) == ['i-1', 'i-2']


def large_configuration(version):
    routes = [
        standins.route(f'r-{number}', f'/r-{number}/', 'desk', 'idempotent')
        for number in range(400)
    ]
    return standins.configuration(version, routes=routes)


async def read_after(store, client, change):
    """Returns the snapshot after a change, and the calls to read it."""
    store.put('op/config', large_configuration(2))
    previous = await client.read()
    change()
    store.received.clear()
    raw = await store_reads.read_changes(client, previous)
    calls = [request.target for request in store.received]
    full = await client.read()
    assert (raw, raw.digest) == (full, full.digest)
    return client.decode(raw), calls


async def test_unchanged_large_store_is_not_read_again(store, client):
    # A configuration of 400 routes is in force, and a router's link is slow.
    # Each full read occupied the link for a tenth of a second and delayed the
    # events of all streams, although the revision showed that nothing changed.
    snapshot, calls = await read_after(store, client, lambda: None)
    assert len(calls) == 1
    assert 'none' in calls[0]
    assert len(snapshot.table.rules) == 400


@pytest.mark.parametrize(
    'change',
    [
        lambda store: store.put('op/config', large_configuration(3)),
        lambda store: store.remove('servers/i-2'),
        lambda store: [
            store.remove('servers/i-1'),
            store.put('servers/i-1', standins.Worker('i-1', 'x').entry()),
            store.put('servers/i-3', standins.Worker('i-3', 'x').entry()),
            store.remove('servers/i-3'),
        ],
    ],
)
async def test_only_the_changes_of_a_large_store_are_read(
    store, client, change
):
    _, calls = await read_after(store, client, lambda: change(store))
    assert len(calls) == 2


def silence_watches(store):
    store.put('op/config', large_configuration(3))
    store.watches_silent = True


def lose_change(store):
    store.remove('servers/i-2')
    store.put('servers/i-1', standins.Worker('i-1', 'x').entry())
    del store.history[-2]


def compact_history(store):
    store.remove('servers/i-2')
    store.compacted_revision = store.revision


@pytest.mark.parametrize(
    'change',
    [
        pytest.param(silence_watches, id='deafen'),
        pytest.param(lose_change, id='lose_one'),
        pytest.param(compact_history, id='forget'),
    ],
)
async def test_changes_that_a_watch_does_not_report_are_read(
    store, client, change
):
    # A credential is revoked while the store's watches report no changes. A
    # router that relied on the watch would continue to accept it.
    _, calls = await read_after(store, client, lambda: change(store))
    assert len(calls) == 3


async def test_change_after_the_proved_revision_is_left_for_the_next_read(
    store, client
):
    # Between the two calls there are two changes, of which the watch reports
    # only the later. If that were applied, the snapshot would have a revision
    # at which the content of the store was different.
    store.put('op/config', large_configuration(2))
    previous = await client.read()
    store.put('servers/i-1', standins.Worker('i-1', 'x').entry())
    proved = store.revision
    changes = store_answers.decode_changes(
        previous.revision,
        previous.era,
        {
            'events': [
                {**store.item('servers/i-1')},
                {'key': 'servers/i-2', 'rev': proved + 2, 'deleted': True},
            ]
        },
    )
    assert changes.complete_to(proved)
    raw = changes.applied_to(previous, proved)
    assert raw.revision == proved
    assert 'servers/i-2' in raw.items


async def test_small_configuration_is_read_in_one_call(store, client):
    previous = await client.read()
    store.received.clear()
    await store_reads.read_changes(client, previous)
    assert len(store.received) == 1


async def test_store_of_too_many_pages_is_not_read_in_part(store, client):
    # Upstreams on pages that were not read would be treated as removed: their
    # service would get no requests, without any error.
    store.page_size = 1
    for number in range(platform_store.MAX_PAGES):
        store.put(f'servers/more-{number}', standins.Worker('m', 'x').entry())
    with pytest.raises(errors.KeyValueUnavailable, match='pages'):
        await client.read()


async def test_equal_contents_have_equal_digests(store, client):
    first = client.decode(await client.read())
    store.revision += 5
    second = client.decode(await client.read())
    assert first.digest == second.digest
    store.put('servers/i-1', {**standins.Worker('i-1', 'x').entry()})
    assert client.decode(await client.read()).digest != first.digest


@pytest.mark.parametrize('fault', ['busy', 'many', 'reset', 'silent', 'torn'])
async def test_failing_store_raises_a_typed_error_and_recovers(
    store, client, fault
):
    await client.read()
    store.fault = fault
    with trio.fail_after(2.0), pytest.raises(errors.KeyValueUnavailable):
        await client.read()
    store.fault = ''
    await client.read()


@pytest.mark.parametrize(
    ('key', 'value', 'named'),
    [
        ('op/config', {'version': 2}, 'routes'),
        ('op/config', [], 'op/config'),
    ],
)
async def test_error_names_the_invalid_field(store, client, key, value, named):
    store.put(key, value)
    raw = await client.read()
    with pytest.raises(errors.CodecError, match=named):
        client.decode(raw)


def test_names_of_the_platform_occur_only_in_its_package():
    occurrences = [
        (str(path), match.group())
        for path in PACKAGE.rglob('*.py')
        if path.parent.name != 'platform'
        for match in PLATFORM_WORDS.finditer(path.read_text())
    ]
    assert occurrences == []


@pytest.mark.parametrize('credentials', ['llave-1', [['llave-1']], [1], {}])
async def test_credentials_of_another_type_are_named_in_the_error(
    store, client, credentials
):
    # An operator writes credentials in another form. The version came into
    # force and each request failed; a single string was split, so that each of
    # its characters was a credential.
    tenants = [{'name': 'corte', 'apiKeys': credentials}]
    store.put('op/config', standins.configuration(tenants=tenants))
    raw = await client.read()
    with pytest.raises(errors.CodecError, match='apiKeys'):
        client.decode(raw)


@pytest.mark.parametrize('events', [['x'], [None], [[]], 'x', {}, None, [1]])
async def test_changes_of_another_type_raise_a_typed_error(client, events):
    # A change in the store's response is not a JSON object. The error was not
    # of a type that the reader of the store handles, and ended the router with
    # the requests of all its callers.
    answer = http_calls.CallAnswer(200, orjson.dumps({'events': events}))
    with pytest.raises(errors.KeyValueUnavailable):
        client.decoded_answer(
            answer, functools.partial(store_answers.decode_changes, 1)
        )


ITEM = {'key': 'servers/i-1', 'rev': 1, 'value': 'e30='}
PAGE = {'items': [ITEM], 'hasMore': False, 'storeRevision': 1}
UNFIT_KEYS = [5, None, [], {}, True]
UNFIT_REVISIONS = [1e300, -1, '1', None, [], True, 2**64]


def page_with(**item):
    return {**PAGE, 'items': [{**ITEM, **item}, ITEM]}


@pytest.mark.parametrize(
    'page',
    [
        *(page_with(key=key) for key in UNFIT_KEYS),
        *(page_with(rev=revision) for revision in UNFIT_REVISIONS),
        *({**PAGE, 'storeRevision': one} for one in UNFIT_REVISIONS),
        *({**PAGE, 'items': items} for items in (None, 'x', {'a': 1}, [[]])),
        {**PAGE, 'items': [], 'hasMore': True},
        [],
        None,
        5,
    ],
)
async def test_page_of_another_type_raises_a_typed_error(client, page):
    """Guards against a page that ends the router, now or in a message."""
    answer = http_calls.CallAnswer(200, json.dumps(page).encode())
    with pytest.raises(errors.KeyValueUnavailable):
        client.decoded_answer(answer, store_answers.decode_page)


@pytest.mark.parametrize(
    'change',
    [
        *({**ITEM, 'key': key} for key in UNFIT_KEYS),
        *({**ITEM, 'key': key, 'deleted': True} for key in UNFIT_KEYS),
        *({**ITEM, 'rev': revision} for revision in UNFIT_REVISIONS),
    ],
)
async def test_change_with_a_field_of_another_type_raises_a_typed_error(
    client, change
):
    """Guards against a change that ends the router when it is merged."""
    body = json.dumps({'events': [change]}).encode()
    with pytest.raises(errors.KeyValueUnavailable):
        client.decoded_answer(
            http_calls.CallAnswer(200, body),
            functools.partial(store_answers.decode_changes, 1),
        )


@pytest.mark.parametrize('depth', [500, 1020, 5000])
async def test_deeply_nested_answer_raises_a_typed_error(client, depth):
    """Guards against an answer whose depth ends the router."""
    body = b'{"items":' + b'[' * depth + b']' * depth + b'}'
    with pytest.raises(errors.KeyValueUnavailable):
        client.decoded_answer(
            http_calls.CallAnswer(200, body), store_answers.decode_page
        )


@pytest.mark.parametrize('era', [b'-1', b'9' * 30, b'9' * 5000, b'x', b''])
async def test_era_that_is_no_number_raises_a_typed_error(client, era):
    """Guards against an era that messages between routers cannot carry."""
    answer = http_calls.CallAnswer(
        200, orjson.dumps(PAGE), {store_answers.ERA_HEADER: era}
    )
    with pytest.raises(errors.KeyValueUnavailable):
        client.decoded_answer(answer, store_answers.decode_page)


async def test_drained_zones_are_read_with_their_revisions(store, client):
    store.put('op/evacuate/sala-b', {})
    store.put('op/evacuate/sala-c', {'unknown': 1})
    drained = client.decode(await client.read()).drained_zones
    assert drained == {'sala-b': store.revision - 1, 'sala-c': store.revision}
    store.remove('op/evacuate/sala-b')
    drained = client.decode(await client.read()).drained_zones
    assert list(drained) == ['sala-c']


async def test_regions_of_routes_and_tenants(store, client):
    confined = standins.route(
        'chat', '/chat/', 'engines', 'streaming', allowedRegions=['norte']
    )
    open_route = standins.route('look', '/look/', 'desk', 'idempotent')
    tenant = {'name': 'corte', 'apiKeys': ['k'], 'allowedRegions': ['sur']}
    configuration = standins.configuration(
        2, routes=[confined, open_route], tenants=[tenant]
    )
    store.put('op/config', configuration)
    table = client.decode(await client.read()).table
    by_name = {rule.name: rule.then.regions for rule in table.rules}
    assert by_name == {'chat': {'norte'}, 'look': None}
    assert table.customers[0].regions == {'sur'}


@pytest.mark.parametrize('names', ['norte', [1], {'norte': 1}])
async def test_regions_that_cannot_be_read_refuse_the_version(
    store, client, names
):
    # Guards against requests that leave their regions after a wrong edit.
    route = standins.route('chat', '/chat/', 'engines', 'streaming')
    route['allowedRegions'] = names
    store.put('op/config', standins.configuration(2, routes=[route]))
    with pytest.raises(errors.CodecError, match='allowedRegions'):
        client.decode(await client.read())


async def test_warm_up_of_services_and_upstreams(store, client):
    engines = {'name': 'engines', 'coldS': 3.0, 'warmupPerS': 10.0}
    desk = {'name': 'desk'}
    store.put('op/config', standins.configuration(2, services=[engines, desk]))
    worker = standins.Worker('i-1', 'engines')
    worker.port = 4000
    store.put('servers/i-1', {**worker.entry(), 'coldLeftMs': 1500})
    snapshot = client.decode(await client.read())
    pools = {pool.name: pool for pool in snapshot.table.pools}
    assert pools['engines'].warm_up_seconds == 3.0
    assert pools['engines'].warm_up_rate == 10.0
    assert pools['desk'].warm_up_rate == 0.0
    assert snapshot.upstreams['i-1'].cold_seconds == 1.5


def at(revision):
    return forwarding.StorePosition(0, revision)


NONE = at(0)


async def read_snapshot(client):
    return client.decode(await client.read())


async def test_records_of_zones_are_written_and_read(store, client):
    assert not (await read_snapshot(client)).zone_records
    assert await client.write_zone_record('sala-a', NONE, False)
    (record,) = (await read_snapshot(client)).zone_records.values()
    assert (record.revision, record.confirmed) == (store.revision, False)
    assert await client.write_zone_record('sala-a', at(record.revision), True)
    snapshot = await read_snapshot(client)
    assert snapshot.zone_records['sala-a'].confirmed
    assert snapshot.zone_records.keys() == {'sala-a'}
    assert sorted(snapshot.upstreams) == ['i-1', 'i-2']


async def test_records_of_parts_are_written_read_and_removed(store, client):
    assert not (await read_snapshot(client)).part_records
    assert await client.write_part_record(2**64 - 1, 0, 3, 600.0)
    assert store.leases == [600_000]
    records = (await read_snapshot(client)).part_records
    record = forwarding.PartRecord(store.revision, 3)
    assert records == {2**64 - 1: record}
    assert not await client.remove_part_record(2**64 - 1, 1)
    assert await client.remove_part_record(2**64 - 1, record.revision)
    assert not (await read_snapshot(client)).part_records


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('7', b'1'),
        ('x' * 16, b'1'),
        ('+' + '7' * 15, b'1'),
        ('7' * 16, b''),
        ('7' * 16, b'-1'),
        ('7' * 16, '²'.encode()),
        ('7' * 16, b'12345'),
        ('7' * 16, b'\xff'),
    ],
)
async def test_record_of_a_part_that_cannot_be_read_is_left_out(
    store, client, name, value
):
    store.put('crashing-parts/' + name, 1)
    store.items['crashing-parts/' + name] = (value, store.revision)
    assert not (await read_snapshot(client)).part_records


@pytest.mark.parametrize('answer', [{}, {'lease': 'x'}, {'lease': None}, []])
async def test_lease_that_cannot_be_read_is_an_error(
    store, client, monkeypatch, answer
):
    monkeypatch.setattr(store, 'response', lambda request: (200, answer))
    with pytest.raises(errors.KeyValueUnavailable):
        await client.write_part_record(7, 0, 1, 600.0)


async def test_writes_of_several_tasks_follow_each_other(store, client):
    """Guards against an answer to a write that another task takes for its."""
    zones = [f'sala-{number}' for number in range(8)]
    async with trio.open_nursery() as nursery:
        for zone in zones:
            nursery.start_soon(client.write_zone_record, zone, NONE, False)
    assert (await read_snapshot(client)).zone_records.keys() == set(zones)


@pytest.mark.parametrize('revision', [0, 1])
async def test_record_that_was_changed_meanwhile_is_not_replaced(
    store, client, revision
):
    # Guards against a confirmed record that a late router announces again.
    await client.write_zone_record('sala-a', NONE, False)
    before = dict(store.items)
    assert not await client.write_zone_record('sala-a', at(revision), True)
    assert store.items == before


async def test_record_of_another_program_is_not_confirmed(store, client):
    store.put('router-zones/sala-a', {'x': 1})
    snapshot = await read_snapshot(client)
    assert not snapshot.zone_records['sala-a'].confirmed


@pytest.mark.parametrize('fault', ['busy', 'many', 'reset', 'silent'])
async def test_store_that_takes_no_record_is_an_error(store, client, fault):
    store.fault = fault
    with pytest.raises(errors.KeyValueUnavailable):
        await client.write_zone_record('sala-a', NONE, False)


async def test_write_does_not_use_the_connection_of_reads(store, client):
    # Guards against an answer to a write that a read takes for its own.
    for _ in range(3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.read)
            nursery.start_soon(client.write_zone_record, 'sala-a', NONE, False)
    assert (await read_snapshot(client)).zone_records['sala-a']


async def test_software_version_of_an_upstream_is_read(store, client):
    """A version that is lost here lets streams go on at any other."""
    worker = standins.Worker('i-1', 'engines')
    worker.port = 4000
    store.put('servers/i-1', {**worker.entry(), 'version': 'v1.1'})
    snapshot = client.decode(await client.read())
    assert snapshot.upstreams['i-1'].software == 'v1.1'
