"""Marks of what was read, while the reading is still in progress."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.claims import commit_queue
from lavenderbend.coordination.claims import shards
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.state import claims
from tests.test_coordination import agreed_fakes as fakes

KEY = b'k' * claims.KEY_BYTES
OTHER_KEY = b'o' * claims.KEY_BYTES


def claim_line(key, number):
    """Returns a claim with the token and the body of a number."""
    token = bytes([number]) * claims.TOKEN_BYTES
    digest = bytes([number]) * claims.DIGEST_BYTES
    return claims.ClaimLine(key, token, digest, 'r0')


class HeldAnswers:
    """A store whose answers to one kind of call wait, once told to.

    Attributes:
        store: The store.
        kind: The kind, None for none.
        held: Set when an answer waits.
        go: Lets the answers go.
    """

    def __init__(self, store):
        self.store = store
        self.kind = None
        self.held = trio.Event()
        self.go = trio.Event()

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def read(self, *args):
        return await self.answer('read', await self.store.read(*args))

    async def create(self, *args, **guards):
        done = await self.store.create(*args, **guards)
        return await self.answer('create', done)

    async def answer(self, kind, value):
        if self.kind == kind:
            self.held.set()
            await self.go.wait()
        return value


def make_shard(store, name):
    return shards.Shard(
        0,
        store,
        '/claims/',
        random.Random(name),
        commit_queue.ShardPolicy(),
        clock=trio.current_time,
    )


@pytest.mark.parametrize('kind', ['read', 'create'])
async def test_claim_that_finds_its_key_in_use_has_the_log_read_after_it(
    nursery, autojump_clock, kind
):
    # A citizen's reply was claimed and given up; another router wrote that
    # down. The text is changed and sent under the same key. Its claim comes
    # while a call of the shard is on its way, carried out before the release:
    # it asks for a reading of the log, and was answered from the table of
    # before as the call ended. The caller was told that the key was in use.
    store = fakes.service()
    held = HeldAnswers(store)
    one, two = make_shard(held, 'one'), make_shard(store, 'two')
    nursery.start_soon(one.run)
    nursery.start_soon(two.run)
    deadline = trio.current_time() + 30.0
    first = claim_line(KEY, 1)
    assert await one.claim(first, deadline) is claims.ClaimState.CLAIMED

    held.kind = kind
    if kind == 'read':
        one.request_reading()
    else:
        nursery.start_soon(one.claim, claim_line(OTHER_KEY, 3), deadline)
    await held.held.wait()
    held.kind = None
    not_run = errors.Outcome.NOT_RUN
    release = claims.OutcomeLine(KEY, first.token, not_run, None)
    two.request_reading()
    assert await two.record((release,), deadline)
    states = []

    async def claim_again():
        states.append(await one.claim(claim_line(KEY, 2), deadline))

    async with trio.open_nursery() as claiming:
        claiming.start_soon(claim_again)
        await trio.sleep(0.01)
        assert not states
        held.go.set()
    assert states == [claims.ClaimState.CLAIMED]


async def test_reading_that_broke_off_leaves_no_gap_for_a_watch(
    monkeypatch, autojump_clock
):
    # A router that was away reads now and then what was accepted, here in
    # two pages, and the service goes down before the second. Then it begins
    # to watch. The store revision of the first page was noted as read up to;
    # it is newer than the changes of the second, which no watch showed.
    store = fakes.service()
    author = configuration_log.ConfigurationLog(store)
    follower = configuration_follower.ConfigurationFollower(
        'r0',
        store,
        fakes.Link('r0', fakes.Network()),
        fakes.Membership(['r0']),
        random.Random(1),
    )
    await author.accept(fakes.document('r 0'), 0, 'ana', '')
    await follower.log.catch_up()
    for number in range(1, 5):
        document = fakes.document(f'r {number}')
        await author.accept(document, number, 'ana', '')
    read = follower.log.log.read
    pages = iter((True, False))

    async def read_two(first):
        if not next(pages):
            raise errors.KeyValueUnavailable('down')
        return await read(first, 2)

    with monkeypatch.context() as patch:
        patch.setattr(follower.log.log, 'read', read_two)
        with pytest.raises(errors.KeyValueUnavailable):
            await follower.log.catch_up()
    assert follower.chain.number == 3
    with trio.move_on_after(5.0):
        await follower.service.watch()
    assert follower.chain.number == 5
