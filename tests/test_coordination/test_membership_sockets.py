"""Membership over peer links on loopback sockets with mutual TLS."""

from __future__ import annotations

import random

import pytest
import trio

from bench.peers import certificates
from bench.peers import network
from lavenderbend.coordination import membership
from lavenderbend.state import upstreams
from lavenderbend.transport import links
from lavenderbend.transport import peer_frames  # noqa: F401 (registers)
from lavenderbend.transport import peer_grpc  # noqa: F401 (registers)
from lavenderbend.transport import vm_lists

SETTINGS = membership.MembershipSettings(
    probe_period=0.05,
    probe_timeout=0.5,
    indirect_timeout=0.5,
    suspicion_timeout=0.5,
    report_period=0.1,
)


def router_vm(link):
    return upstreams.Vm(
        link.name,
        '127.0.0.1',
        link.port,
        'zone-a',
        'router',
        upstreams.UpstreamKind.ROUTER,
    )


async def wait_until(member, condition):
    with trio.fail_after(20):
        while not condition():
            await member.wait_changed()


@pytest.mark.parametrize('kind', ['frames', 'grpc'])
async def test_routers_discover_each_other_and_announce_a_drain(
    nursery, tmp_path, kind
):
    # Guards against faults that only real links show: three routers with
    # certificates discover each other, learn of an engine's drain, and remove
    # a router whose process ends.
    names = ['r1', 'r2', 'r3']
    issued = certificates.issue(str(tmp_path), names)
    engine = upstreams.Vm(
        'e1', '127.0.0.1', 1, 'zone-a', 'm', upstreams.UpstreamKind.ENGINE
    )
    engines = {'e1': network.Engine()}
    vm_list = vm_lists.StaticVmList([engine])
    members = {}
    scopes = {}
    peer_links = []
    for name in names:
        link = links.LINKS.get(kind)(name, '127.0.0.1', 0, issued[name])
        scopes[name] = [trio.CancelScope(), trio.CancelScope()]
        nursery.start_soon(run_within, scopes[name][0], link.run)
        await link.started.wait()
        peer_links.append(link)
    vm_list.vms = (engine, *(router_vm(link) for link in peer_links))
    for link in peer_links:
        members[link.name] = membership.FleetMembership(
            router_vm(link),
            vm_list,
            link,
            network.MemoryUpstreams(link.name, engines),
            random.Random(link.name),
            SETTINGS,
        )
        nursery.start_soon(
            run_within, scopes[link.name][1], members[link.name].run
        )
    for member in members.values():
        await wait_until(member, lambda m=member: len(m.routers()) == 3)
        assert [vm.id for vm in member.upstreams('m')] == ['e1']

    engines['e1'].draining = True
    for member in members.values():
        await wait_until(member, lambda m=member: not m.upstreams('m'))

    for scope in scopes['r3']:
        scope.cancel()
    for name in ('r1', 'r2'):
        member = members[name]
        await wait_until(member, lambda m=member: m.routers() == ('r1', 'r2'))


async def run_within(scope, function):
    with scope:
        await function()
