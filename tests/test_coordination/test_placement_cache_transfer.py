from __future__ import annotations

import trio

from lavenderbend import errors
from lavenderbend.coordination import cache_transfer
from lavenderbend.state import configuration
from tests import fakes

FAST = cache_transfer.TransferSettings(bytes_per_second=12.5e9)


class Client(cache_transfer.CacheClient):
    def __init__(self, error=None):
        self.error = error
        self.exports = 0
        self.imports = []

    async def export_chat(self, upstream, chat):
        self.exports += 1
        if self.error is not None:
            raise self.error
        await trio.sleep(0.01)
        return b'cache'

    async def import_chat(self, upstream, chat, data):
        self.imports.append((upstream, chat, data))


def test_transfer_is_not_worthwhile_on_a_slow_link():
    context = cache_transfer.Context(1, 4000, 1.0)
    slow = cache_transfer.TransferSettings(bytes_per_second=1.25e9)

    assert cache_transfer.is_worthwhile(context, FAST)
    assert not cache_transfer.is_worthwhile(context, slow)


def test_context_of_a_long_idle_chat_is_not_moved():
    assert not cache_transfer.is_worthwhile(
        cache_transfer.Context(1, 4000, 3600.0), FAST
    )


def test_moves_are_spread_and_fit_the_time_limit():
    contexts = [
        cache_transfer.Context(chat, 100_000, 1.0) for chat in range(20)
    ]

    moves = cache_transfer.plan_moves(contexts, {'a': 1, 'b': 1}, FAST)

    assert sum(move.seconds for move in moves) <= FAST.seconds
    assert {move.target for move in moves} == {'a', 'b'}
    assert 0 < len(moves) < 20


async def test_transfers_stop_soon_after_the_engine_crashed(autojump_clock):
    # The engine has crashed instead of leaving: trying all its chats would
    # take one connection timeout for each.
    client = Client(errors.UpstreamUnreachable('gone'))
    contexts = [cache_transfer.Context(chat, 1000, 1.0) for chat in range(50)]
    moves = cache_transfer.plan_moves(contexts, {'a': 1}, FAST)

    done = [
        move
        async for move in cache_transfer.execute_moves(client, 'x', moves, 10.0)
    ]

    assert done == []
    assert client.exports == cache_transfer.MAX_FAILURES


async def test_chats_follow_their_moved_contexts(nursery, autojump_clock):
    # An engine leaves and the contexts of its chats are moved. The next turn
    # of each chat must go to the engine that now has the context.
    pool = configuration.Pool('chat', 'model', exports_cache=True)
    fleet = fakes.Fleet(nursery, routers=2, engines=3, pool=pool)
    fleet.report({vm.id: 0 for vm in fleet.vms})
    client = Client()
    owner = fleet.admissions[fleet.owner()]
    owner.owner.cache_client = client
    owner.owner.owned.clear()
    settings = cache_transfer.TransferSettings(bytes_per_second=12.5e9)
    for number in range(1, 31):
        entry = fleet.admissions[fleet.names[number % 2]]
        permit_request = fleet.permit_request(number, prompt_tokens=5000)
        entry.release(await entry.acquire(permit_request), 'complete')
    group = next(iter(owner.owner.owned.values()))
    group.context_mover.settings = settings
    await trio.sleep(1)
    for view in fleet.views.values():
        view.set_upstreams(fleet.vms[1:])
    await trio.sleep(5)

    assert client.imports
    for target, chat, _ in client.imports:
        assert group.places.get(chat)[0].upstream == target
