"""What routers tell each other of a store of thousands of entries."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import removals
from lavenderbend.state import forwarding
from lavenderbend.transport import peer_datagrams


def item(revision):
    return forwarding.RawItem(revision, b'v')


def raw(revision, **items):
    return forwarding.RawSnapshot(
        revision, {key: item(at) for key, at in items.items()}
    )


def test_digest_of_changes_is_that_of_all_items():
    before = raw(3, a=1, b=2, c=3)
    after = before.with_changes(6, {'b': item(5), 'd': item(6)}, ['a'])
    assert after == raw(6, b=5, c=3, d=6)
    assert after.digest == raw(6, b=5, c=3, d=6).digest
    assert before.digest != after.digest


def test_only_what_changed_and_what_is_gone_is_told():
    # Upstreams come and go five times a second at a site of thousands. All
    # keys were sent with each change: 300 KB a second and router.
    old, new = raw(3, a=1, b=2, c=3), raw(5, b=4, c=3)
    kept = removals.Removals()
    kept.note(None, old)
    kept.note(old, new)
    content = peer_datagrams.changes_of(new, 3, kept.removed_since(3))
    assert content.keys is None
    assert (content.removed, len(content.changed)) == (['a'], 1)
    assert peer_datagrams.merged(old, content) == new


def test_router_that_knows_an_older_store_is_told_all_keys():
    kept = removals.Removals()
    kept.note(None, raw(3, a=1))
    assert kept.removed_since(2) is None
    content = peer_datagrams.changes_of(raw(3, a=1), 2, kept.removed_since(2))
    assert content.keys == ['a']


def test_removals_are_bounded(monkeypatch):
    monkeypatch.setattr(removals, 'MAX_REMOVALS', 10)
    kept = removals.Removals()
    before = raw(0)
    kept.note(None, before)
    for number in range(1, 40):
        after = raw(number, **{f'k{number}': number})
        kept.note(before, after)
        before = after
    assert len(kept.entries) == 10
    assert kept.removed_since(1) is None
    assert kept.removed_since(39) == []


def test_changes_that_do_not_fit_are_refused():
    # A router read its pages while an entry went, and bears a revision at
    # which it was still there. The next one would keep that entry for ever.
    old, new = raw(3, a=1, b=2, c=3), raw(5, b=4, c=3)
    content = peer_datagrams.changes_of(new, 3, [])
    with pytest.raises(errors.CodecError, match='fit'):
        peer_datagrams.merged(old, content)


async def test_total_is_the_sum_of_the_loads(autojump_clock):
    known = loads.Loads()
    known.begin('e1')
    known.note_peer('r2', {'e1': 2, 'e2': 1})
    known.note_peer('r3', {'e2': 4})
    known.note_report('e3', b'5,1,8')
    names = ['e1', 'e2', 'e3', 'e4']
    found = [known.load(name) for name in names]
    assert found == [3, 5, 6, 0]
    assert known.total(set(names)) == sum(found)
    assert known.total({'e1', 'e4'}) == 3
    known.note_peer('r2', {'e2': 1})
    assert [known.load(name) for name in names] == [1, 5, 6, 0]


async def test_peer_that_is_not_heard_counts_no_more(autojump_clock):
    known = loads.Loads()
    known.note_peer('r2', {'e1': 2})
    await trio.sleep(2.0)
    known.note_peer('r3', {'e1': 3})
    await trio.sleep(1.5)
    assert known.load('e1') == 3
    await trio.sleep(2.0)
    assert known.load('e1') == 0
    assert not known.told


async def test_report_told_by_another_router_counts_with_own_requests(
    autojump_clock,
):
    # Another router's answer said 9, half a second ago; of this router's own
    # requests one began before that and two after it.
    known = loads.Loads()
    known.begin('e1')
    await trio.sleep(0.5)
    known.begin('e1')
    known.begin('e1')
    await trio.sleep(0.25)
    known.note_told('e1', 9, 0.5)
    assert known.load('e1') == 11
    # older than what is known, and too old
    known.note_told('e1', 3, 0.6)
    known.note_told('e2', 3, loads.REPORT_SECONDS + 0.1)
    assert [known.load(name) for name in ('e1', 'e2')] == [11, 0]
    known.note_told('e1', 4, 0.1)
    assert known.load('e1') == 4


async def test_report_that_came_late_ends_with_its_own_time(autojump_clock):
    known = loads.Loads()
    known.note_report('e1', b'5,0,8')
    known.note_told('e2', 7, 1.0)
    await trio.sleep(loads.REPORT_SECONDS - 0.5)
    assert [known.load(name) for name in ('e1', 'e2')] == [5, 0]
