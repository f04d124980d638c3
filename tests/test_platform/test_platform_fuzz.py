"""Whatever other programs leave in the store, a router follows the rest."""

from __future__ import annotations

import copy
import json
import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.daemon import forwarding as daemon_module
from lavenderbend.platform import snapshot_decoding
from lavenderbend.protocol import peer
from lavenderbend.state import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import settings as settings_module
from lavenderbend.transport import peer_datagrams
from tests import forwarding_fakes as fakes
from tests import platform_standins as standins

ROUNDS = 150
LISTEN = forwarding_settings.ForwardListen(
    '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'
)
GOOD = {'servers/good-e': 'engines', 'servers/good-d': 'desk'}
PREFIXES = (
    'servers/',
    'op/evacuate/',
    'op/other/',
    'router-zones/',
    'stream-versions/',
    'crashing-parts/',
    '',
)
NAMES = ('x', '', 'a/b', 'sala-a', 'engines', '7' * 16, 'n' * 180, 'l\nm', 'ñ')
NUMBERS = (0, -1, 2**63, 2**64 - 1, 10**19, 10**400, 1e308, -1e308, 0.5)
VALUES = (None, True, '', 'x', 'a\nb', '\u00b2', [], {}, [[]], 'v' * 9000)
# Parsers of JSON differ in what they do with these.
TEXTS = (
    b'',
    b'{',
    b'\xff\xfe',
    b'NaN',
    b'[Infinity]',
    b'"\\ud800"',
    b'{"slots":1,"slots":"x"}',
    b'9' * 5000,
    b'[' * 1000 + b']' * 1000,
    b'[' * 100_000,
    b'confirmed 1',
    b'only v1\nera 1',
    b'9999',
)


def odd_value(rng):
    kind = rng.randrange(4)
    if kind == 0:
        return rng.choice(NUMBERS)
    if kind == 1:
        return copy.deepcopy(rng.choice(VALUES))
    if kind == 2:
        return rng.choice(['0.0.0.0:1', '127.0.0.1:0', '1.2.3.4:' + '9' * 5000])
    nested = 0
    for _ in range(rng.choice([3, 300, 900])):
        nested = [nested]
    return nested


def odd_document(rng, document):
    """Returns a document with odd values in some places, at any depth."""
    odd = json.loads(json.dumps(document))
    for _ in range(rng.randint(1, 3)):
        part = odd
        while True:
            if not part:
                break
            key = rng.choice(
                list(part) if isinstance(part, dict) else range(len(part))
            )
            if isinstance(part[key], (dict, list)) and rng.random() < 0.8:
                part = part[key]
                continue
            part[key] = odd_value(rng)
            break
    return json.dumps(odd).encode()


class FedRouter:
    """A router, without its sockets, that is given the store's content.

    Attributes:
        daemon: The router.
        items: The content of the store.
    """

    def __init__(self, rng):
        self.rng = rng
        settings = settings_module.RouterSettings(
            'router-1',
            'sala-a',
            settings_module.KeyValueSettings(['http://127.0.0.1:4']),
            forwarding=forwarding_settings.ForwardingSettings(
                LISTEN, headers=fakes.HEADERS
            ),
        )
        self.daemon = daemon_module.ForwardingDaemon(settings)
        self.daemon.forwarder.attempts.exchanges = Exchanges()
        self.revision = 1
        self.version = 1
        self.items = {}
        self.put('op/config', json.dumps(standins.configuration()).encode())
        for key, service in GOOD.items():
            self.put(key, json.dumps(entry(service)).encode())

    def put(self, key, value):
        self.revision += 1
        self.items[key] = forwarding.RawItem(self.revision, value)

    def write(self):
        """Writes, replaces or removes one odd item, or the configuration."""
        key = self.rng.choice(PREFIXES) + self.rng.choice(NAMES)
        kind = self.rng.randrange(6)
        if kind == 0:
            self.items.pop(key, None)
            self.revision += 1
        elif kind == 1:
            self.version += 1
            document = standins.configuration(self.version)
            odd = json.loads(odd_document(self.rng, document))
            if isinstance(odd['version'], int):
                # A higher one would rightly stay in force.
                odd['version'] = self.version
            self.put('op/config', json.dumps(odd).encode())
        elif kind == 2:
            self.put(key, self.rng.choice(TEXTS))
        elif kind == 3:
            odd = odd_value(self.rng)
            self.put(key, json.dumps(odd).encode())
        else:
            odd = odd_document(self.rng, entry('engines'))
            self.put('servers/' + self.rng.choice(NAMES), odd)

    def read(self):
        """Takes the content over as a read does."""
        raw = forwarding.RawSnapshot(self.revision, dict(self.items))
        snapshot = self.daemon.store.decode(raw)
        self.daemon.snapshots.accept(snapshot, self.daemon.clock())

    def restore(self):
        self.version += 1
        document = standins.configuration(self.version)
        self.put('op/config', json.dumps(document).encode())

    async def call(self, path):
        answer = fakes.Answer()
        request = fakes.request(path, key=standins.KEY)
        try:
            await self.daemon.forwarder.forward(request, answer)
        except errors.RequestError as exc:
            return type(exc)
        return answer.body


class Exchanges(fakes.Exchanges):
    """The good upstreams answer, and there are no others."""

    def __init__(self):
        super().__init__(**{'good-e': [], 'good-d': []})

    async def open(self, target, repeatable):
        if target.instance not in self.steps:
            raise errors.UpstreamUnreachable('no such upstream')
        await trio.lowlevel.checkpoint()
        return fakes.Exchange(self, target.instance, fakes.reply())


def entry(service):
    worker = standins.Worker('w', service)
    worker.port = 8080
    return worker.entry()


def check_messages(router):
    """Checks that other routers can be told what this one knows."""
    state = router.daemon.peers.full_state('127.0.0.9')
    assert peer.decode(peer.encode(state)) == state
    raw = router.daemon.snapshots.current.raw
    content = peer.decode(peer.encode(peer_datagrams.changes_since(raw, 0)))
    received = peer_datagrams.apply_changes(None, content)
    assert (received.items, received.revision) == (raw.items, raw.revision)


@pytest.mark.parametrize('seed', range(4))
async def test_odd_items_do_not_keep_a_router_from_following(
    autojump_clock, seed
):
    """Guards against an item that ends the routers that read it."""
    rng = random.Random(seed)
    router = FedRouter(rng)
    router.read()
    refused = 0
    for _ in range(ROUNDS):
        for _ in range(rng.randint(1, 4)):
            router.write()
        try:
            router.read()
        except errors.CodecError as exc:
            # only the configuration may be refused
            assert str(exc).startswith(snapshot_decoding.CONFIGURATION_KEY)
            refused += 1
            router.restore()
            router.read()
        upstreams = router.daemon.snapshots.current.upstreams
        assert {'good-e', 'good-d'} <= upstreams.keys()
        check_messages(router)
        router.daemon.settled_versions.due()
        assert await router.call('/chat/1') is not None
        await trio.sleep(rng.random())
    router.restore()
    drained = [key for key in router.items if key.startswith('op/evacuate/')]
    for key in drained:
        del router.items[key]
    router.read()
    assert 0 < refused < ROUNDS
    upstreams = router.daemon.snapshots.current.upstreams.values()
    for upstream in upstreams:
        assert 1 <= upstream.slots <= 65535
        assert 1 <= upstream.vm.port <= 65535
    assert await router.call('/desk/1') == b'done'
