"""How routers learn which software began a stream, at its bounds."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend.coordination.forwarding.stream_versions import origins
from lavenderbend.protocol import messages_forwarding
from tests import forwarding_fakes as fakes
from tests import version_fleet
from tests import version_plays

V1 = fakes.upstream('e1').software_id


async def test_earliest_stream_is_forgotten_at_the_bound(
    autojump_clock, monkeypatch
):
    """Guards against memory that grows with the streams of the fleet."""
    monkeypatch.setattr(origins, 'MAX_STREAMS', 3)
    memory = origins.Origins()
    for stream in range(4):
        memory.remember(stream, V1, told=True)
    assert [memory.software_id(stream) for stream in range(4)] == [
        None,
        V1,
        V1,
        V1,
    ]


async def test_stream_is_forgotten_after_its_time(autojump_clock):
    """Guards against memory of streams that are long over."""
    memory = origins.Origins()
    memory.remember(1, V1, told=True, age=origins.KEEP_SECONDS - 1.0)
    await trio.sleep(0.5)
    assert memory.software_id(1) == V1
    await trio.sleep(1.0)
    assert memory.software_id(1) is None
    memory.remove_expired()
    assert not memory.by_stream


def test_id_of_another_customer_names_another_stream():
    """Guards against a caller that moves the stream of another customer."""
    assert origins.stream_key('a', 'r1') != origins.stream_key('b', 'r1')


@pytest.fixture
def fleet_of_two_versions():
    """Returns a fleet with one engine of each version, once its routers run."""

    async def start(nursery, routers=6, rules=(), **changes):
        fleet = version_fleet.Fleet(nursery, routers, rules=rules)
        for name, value in changes.items():
            setattr(fleet, name, value)
        fleet.add_engine('e1', 'v1')
        fleet.add_engine('e2', 'v2')
        fleet.start_routers()
        await fleet.ready()
        return fleet

    return start


async def begin(fleet, host, request_id, leave_after=2):
    """Begins a stream that its caller leaves; returns its events' version."""
    stream = version_fleet.Stream()
    fleet.leave_fraction = 1.0
    fleet.leave_at_most = leave_after
    await fleet.attempt(stream, host, request_id, '', '', 5.0)
    fleet.leave_fraction = 0.0
    (version,) = stream.versions
    return stream, version


async def test_unknown_and_forged_names_are_refused_and_mix_nothing(
    autojump_clock, fleet_of_two_versions
):
    """Guards against a name that nobody knows standing for any version."""
    async with trio.open_nursery() as nursery:
        fleet = await fleet_of_two_versions(nursery)
        # a router that has just started waits longer, and takes what nobody
        # knows for forgotten
        await trio.sleep(15.0)
        hosts = list(fleet.routers)
        for number in range(6):
            stream, _ = await begin(fleet, hosts[0], f'{number:016x}')
            began = trio.current_time()
            await fleet.attempt(stream, hosts[1], 'x', 'ffff', '', 5.0)
            assert stream.tries[-1].status == 'stream-version-unknown'
            assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()
    assert not fleet.mixed()


async def test_stream_of_another_name_goes_on_at_its_version(
    autojump_clock, fleet_of_two_versions
):
    """Guards against a name whose stream is not the caller's being ignored."""
    async with trio.open_nursery() as nursery:
        fleet = await fleet_of_two_versions(nursery)
        hosts = list(fleet.routers)
        versions = {}
        for number in range(8):
            _, version = await begin(fleet, hosts[0], f'{number:016x}')
            versions[version] = f'{number:016x}'
        assert len(versions) == 2
        for version, name in versions.items():
            stream = version_fleet.Stream(events=[(1, version)])
            await fleet.attempt(stream, hosts[2], 'x', name, '', 5.0)
            assert stream.versions == {version}
        nursery.cancel_scope.cancel()


# Hosts of routers of the build before.
EARLIER = {'10.0.0.1', '10.0.0.2'}


class EarlierRouter(version_fleet.Router):
    """A router of a build that knows nothing of versions."""

    def make_request_path(self):
        super().make_request_path()
        for kind in (
            messages_forwarding.StreamsBegun,
            messages_forwarding.StreamQuestion,
            messages_forwarding.StreamReply,
        ):
            del self.peers.handlers[kind]
        self.forwarder.attempts.stream_versions = None
        self.peers.draws_versions = False


@pytest.mark.parametrize('fault', ['leave_often', 'kill_routers'])
async def test_streams_of_routers_of_this_build_survive_earlier_ones(
    autojump_clock, fault
):
    """Guards against keepers of the build before, which remember nothing."""

    def make(host):
        return EarlierRouter if host in EARLIER else version_fleet.Router

    gone_on = []
    for seed in range(1, 4):
        fleet = await version_plays.run(fault, seed, make=make)
        ours = [
            stream
            for stream in fleet.streams
            if not EARLIER & {one.host for one in stream.tries}
        ]
        assert not any(len(stream.versions) > 1 for stream in ours)
        gone_on += [
            one.went_on
            for stream in ours
            for one in stream.tries
            if one.takes_up
        ]
    assert len(gone_on) >= 12
    assert sum(gone_on) / len(gone_on) >= 0.5


SPLIT = fakes.rule(
    streaming=True,
    resumable=True,
    public=True,
    attempts=3,
    timeout=8.0,
    pools=(
        version_fleet.forwarding.PoolShare('chat', 1.0),
        version_fleet.forwarding.PoolShare('other', 1.0),
    ),
)


async def test_taken_up_stream_stays_with_its_service(autojump_clock):
    """Guards against split traffic that takes a stream to another service."""
    async with trio.open_nursery() as nursery:
        fleet = await version_fleet.start_two_services(nursery, SPLIT)
        fleet.leave_fraction = 0.5
        await fleet.load(10.0)
        nursery.cancel_scope.cancel()
    assert not fleet.mixed()
    begun = {one for stream in fleet.streams for one in stream.versions}
    assert begun == {'v1', 'v1 of the other'}
    taken_up = fleet.tries(takes_up=True)
    assert taken_up.count >= 12
    assert taken_up.share == 1.0


async def test_unnamed_stream_goes_on_at_no_other_service(autojump_clock):
    """Guards against events of two services where nobody knows the pool."""
    async with trio.open_nursery() as nursery:
        fleet = await version_fleet.start_two_services(nursery, SPLIT)
        fleet.leave_fraction = 0.5
        fleet.names_first_try = False
        await fleet.load(5.0)
        nursery.cancel_scope.cancel()
    assert fleet.tries(takes_up=True).count >= 12
    assert not fleet.mixed()


async def test_stream_whose_route_has_moved_goes_on_at_no_other_service(
    autojump_clock,
):
    """Guards against events of two services after a new configuration."""
    moved = fakes.rule(
        streaming=True,
        resumable=True,
        public=True,
        attempts=3,
        timeout=8.0,
        pools=(version_fleet.forwarding.PoolShare('other', 1.0),),
    )

    async def move(fleet):
        await trio.sleep(5.0)
        fleet.store.table = fakes.table(2, (moved,), ())
        fleet.store.refresh()

    async with trio.open_nursery() as nursery:
        fleet = await version_fleet.start_two_services(nursery)
        await trio.sleep(4.0)
        fleet.leave_fraction = 0.5
        nursery.start_soon(move, fleet)
        await fleet.load(10.0)
        nursery.cancel_scope.cancel()
    assert not fleet.mixed()


async def test_version_without_upstreams_is_refused_with_the_reason(
    autojump_clock, fleet_of_two_versions
):
    """Guards against a stream that goes on because its version is gone."""
    async with trio.open_nursery() as nursery:
        fleet = await fleet_of_two_versions(nursery)
        hosts = list(fleet.routers)
        stream, version = await begin(fleet, hosts[0], '1')
        name = 'e1' if version == 'v1' else 'e2'
        fleet.crash_engine(name)
        await trio.sleep(3.0)
        await fleet.attempt(stream, hosts[1], '2', '1', '', 5.0)
        assert stream.tries[-1].status == 'no-upstream'
        nursery.cancel_scope.cancel()
    assert stream.versions == {version}


async def test_entry_at_the_same_version_in_two_services_differs():
    """Guards against versions of two services taken for one software."""
    chat = attrs.evolve(fakes.upstream('e1'), software='v1')
    other = attrs.evolve(fakes.upstream('e1', 'other'), software='v1')
    assert chat.software_id != other.software_id
