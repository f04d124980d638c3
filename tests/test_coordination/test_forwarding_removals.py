"""Changes of a large store sent between routers, and shared loads."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import removals
from lavenderbend.state import forwarding
from lavenderbend.transport import peer_datagrams


def raw_item(revision):
    return forwarding.RawItem(revision, b'v')


def raw_snapshot(revision, **items):
    return forwarding.RawSnapshot(
        revision, {key: raw_item(at) for key, at in items.items()}
    )


def test_digest_after_changes_equals_digest_of_all_items():
    before = raw_snapshot(3, a=1, b=2, c=3)
    after = before.with_changes(6, {'b': raw_item(5), 'd': raw_item(6)}, ['a'])
    assert after == raw_snapshot(6, b=5, c=3, d=6)
    assert after.digest == raw_snapshot(6, b=5, c=3, d=6).digest
    assert before.digest != after.digest


def test_only_changed_and_removed_items_are_sent():
    # Guards against sending all keys with each change: at a site with thousands
    # of upstreams, of which five change a second, this took 300 KB a second for
    # each router.
    old, new = raw_snapshot(3, a=1, b=2, c=3), raw_snapshot(5, b=4, c=3)
    removed = removals.Removals()
    removed.note(None, old)
    removed.note(old, new)
    content = peer_datagrams.changes_since(new, 3, removed.removed_since(3))
    assert content.keys is None
    assert (content.removed, len(content.changed)) == (['a'], 1)
    assert peer_datagrams.apply_changes(old, content) == new


def test_router_with_an_older_snapshot_gets_all_keys():
    removed = removals.Removals()
    removed.note(None, raw_snapshot(3, a=1))
    assert removed.removed_since(2) is None
    content = peer_datagrams.changes_since(
        raw_snapshot(3, a=1), 2, removed.removed_since(2)
    )
    assert content.keys == ['a']


def test_removals_are_bounded(monkeypatch):
    monkeypatch.setattr(removals, 'MAX_REMOVALS', 10)
    removed = removals.Removals()
    before = raw_snapshot(0)
    removed.note(None, before)
    for number in range(1, 40):
        after = raw_snapshot(number, **{f'k{number}': number})
        removed.note(before, after)
        before = after
    assert len(removed.entries) == 10
    assert removed.removed_since(1) is None
    assert removed.removed_since(39) == []


def test_changes_with_another_digest_are_rejected():
    # Guards against an entry that is kept for ever. A router read the store
    # page by page while an entry was removed, so its revision is one at which
    # the entry still existed. The next router would keep that entry.
    old, new = raw_snapshot(3, a=1, b=2, c=3), raw_snapshot(5, b=4, c=3)
    content = peer_datagrams.changes_since(new, 3, [])
    with pytest.raises(errors.CodecError, match='fit'):
        peer_datagrams.apply_changes(old, content)


async def test_total_is_the_sum_of_the_loads(autojump_clock):
    upstream_loads = loads.Loads()
    upstream_loads.begin('e1')
    upstream_loads.note_peer('r2', {'e1': 2, 'e2': 1})
    upstream_loads.note_peer('r3', {'e2': 4})
    upstream_loads.note_report('e3', b'5,1,8')
    names = ['e1', 'e2', 'e3', 'e4']
    counts = [upstream_loads.load(name) for name in names]
    assert counts == [3, 5, 6, 0]
    assert upstream_loads.total(set(names)) == sum(counts)
    assert upstream_loads.total({'e1', 'e4'}) == 3
    upstream_loads.note_peer('r2', {'e2': 1})
    assert [upstream_loads.load(name) for name in names] == [1, 5, 6, 0]


async def test_load_of_a_silent_peer_expires(autojump_clock):
    upstream_loads = loads.Loads()
    upstream_loads.note_peer('r2', {'e1': 2})
    await trio.sleep(2.0)
    upstream_loads.note_peer('r3', {'e1': 3})
    await trio.sleep(1.5)
    assert upstream_loads.load('e1') == 3
    await trio.sleep(2.0)
    assert upstream_loads.load('e1') == 0
    assert not upstream_loads.peer_totals


async def test_report_from_another_router_counts_with_own_requests(
    autojump_clock,
):
    # Another router received a report of 9 half a second ago; of this router's
    # own requests one began before that and two after it.
    upstream_loads = loads.Loads()
    upstream_loads.begin('e1')
    await trio.sleep(0.5)
    upstream_loads.begin('e1')
    upstream_loads.begin('e1')
    await trio.sleep(0.25)
    upstream_loads.note_peer_report('e1', 9, 0.5)
    assert upstream_loads.load('e1') == 11
    # One is older than the present report, one older than the age limit.
    upstream_loads.note_peer_report('e1', 3, 0.6)
    upstream_loads.note_peer_report(
        'e2', 3, loads.REPORT_LIFETIME_SECONDS + 0.1
    )
    assert [upstream_loads.load(name) for name in ('e1', 'e2')] == [11, 0]
    upstream_loads.note_peer_report('e1', 4, 0.1)
    assert upstream_loads.load('e1') == 4


async def test_late_report_expires_by_the_time_it_was_made(autojump_clock):
    upstream_loads = loads.Loads()
    upstream_loads.note_report('e1', b'5,0,8')
    upstream_loads.note_peer_report('e2', 7, 1.0)
    await trio.sleep(loads.REPORT_LIFETIME_SECONDS - 0.5)
    assert [upstream_loads.load(name) for name in ('e1', 'e2')] == [5, 0]
