"""Read positions while a read of the log is still in progress."""

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


class HeldReplies:
    """A store that can hold back the replies to one kind of call.

    Attributes:
        store: The store that executes the calls.
        kind: Kind of call whose replies are held back, or None.
        reply_held: Set when a reply is held back.
        release: Releases the replies when set.
    """

    def __init__(self, store):
        self.store = store
        self.kind = None
        self.reply_held = trio.Event()
        self.release = trio.Event()

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def read(self, *args):
        return await self.hold_reply('read', await self.store.read(*args))

    async def create(self, *args, **guards):
        done = await self.store.create(*args, **guards)
        return await self.hold_reply('create', done)

    async def hold_reply(self, kind, value):
        if self.kind == kind:
            self.reply_held.set()
            await self.release.wait()
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
    # A claim is released by another router, and the caller claims the same key
    # again with another body. Guards against an answer "key in use" when the
    # claim arrives while a call of the shard is in transit that was executed
    # before the release: the claim requests a read of the log, and must not
    # be answered from the table that is older than this request.
    store = fakes.service()
    held_store = HeldReplies(store)
    first_shard, second_shard = (
        make_shard(held_store, 'one'),
        make_shard(store, 'two'),
    )
    nursery.start_soon(first_shard.run)
    nursery.start_soon(second_shard.run)
    deadline = trio.current_time() + 30.0
    first_claim = claim_line(KEY, 1)
    assert (
        await first_shard.claim(first_claim, deadline)
        is claims.ClaimState.CLAIMED
    )

    held_store.kind = kind
    if kind == 'read':
        first_shard.request_reading()
    else:
        nursery.start_soon(
            first_shard.claim, claim_line(OTHER_KEY, 3), deadline
        )
    await held_store.reply_held.wait()
    held_store.kind = None
    not_run = errors.Outcome.NOT_RUN
    release = claims.OutcomeLine(KEY, first_claim.token, not_run, None)
    second_shard.request_reading()
    assert await second_shard.record((release,), deadline)
    states = []

    async def claim_again():
        states.append(await first_shard.claim(claim_line(KEY, 2), deadline))

    async with trio.open_nursery() as claiming:
        claiming.start_soon(claim_again)
        await trio.sleep(0.01)
        assert not states
        held_store.release.set()
    assert states == [claims.ClaimState.CLAIMED]


async def test_reading_that_broke_off_leaves_no_gap_for_a_watch(
    monkeypatch, autojump_clock
):
    # A router catches up with the log in two pages, and the service fails
    # before the second. Guards against taking the store revision of the first
    # page as the position up to which the log was read: it is newer than the
    # changes of the second page, so that the next watch would not report them.
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
