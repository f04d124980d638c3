"""Short runs of the benchmarks, and tests that their checks can fail."""

from __future__ import annotations

import attrs
import pytest

from bench.agreed import at_most_once
from bench.agreed import claim_rate
from bench.agreed import claim_table
from bench.agreed import measures
from bench.agreed import operators
from bench.agreed import outage_spread
from bench.agreed import spread
from lavenderbend.coordination import log
from lavenderbend.coordination.claims import requester as claim_requester
from lavenderbend.coordination.claims import shards as claim_shards
from lavenderbend.coordination.configuration import chain as configuration_chain
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log


def check_measures(lines):
    exceeded = [line for line in lines if not line.holds]
    assert not exceeded


def test_non_idempotent_requests_run_at_most_once():
    result = at_most_once.run(1500, seed=5, rate=15.0)
    assert result.ran > 1400
    assert min(result.kills, result.outages, result.lost_answers) > 0
    check_measures(measures.of_at_most_once(result))


class UnconfirmedShard(claim_shards.Shard):
    """Assumes exclusive ownership: answers without appending to the log."""

    async def append_confirmed(self, number, value):
        return log.Entry(number, value)


def test_at_most_once_check_detects_claims_granted_without_the_log(monkeypatch):
    monkeypatch.setattr(claim_shards, 'Shard', UnconfirmedShard)
    result = at_most_once.run(1500, seed=5, rate=15.0)
    assert result.ran_twice > 0


class ImpatientRequester(claim_requester.ClaimRequester):
    """Treats every undecided reply as an outage of the service."""

    async def query_owner(self, claim_request):
        reply = await super().query_owner(claim_request)
        if reply.state == 'undecided':
            raise self.unavailable_error('undecided')
        return reply

    async def query_former_owners(self, claim_request):
        return None


def test_at_most_once_check_detects_refused_unrun_requests(monkeypatch):
    monkeypatch.setattr(claim_requester, 'ClaimRequester', ImpatientRequester)
    result = at_most_once.run(1500, seed=5, rate=15.0)
    assert result.innocent_refused > 0


def test_claims_stay_within_writes_and_latency():
    result = claim_rate.run(seconds=3.0)
    assert result.claims_per_second > 900
    check_measures(measures.of_claim_rate(result))


def test_claim_table_stays_within_its_size():
    check_measures(measures.of_claim_table(claim_table.run(5000)))


def test_concurrent_operators_lose_no_change():
    result = operators.run(150)
    assert result.accepted >= 150
    assert min(result.conflicts, result.restarts, result.outages) > 0
    check_measures(measures.of_operators(result))


class LastWriterWins(configuration_log.ConfigurationLog):
    """Accepts a document whatever revision it is based on."""

    async def accept(self, document, base_number, author, reason):
        await self.catch_up()
        return await super().accept(document, self.chain.number, author, reason)


def test_operator_check_detects_lost_changes(monkeypatch):
    monkeypatch.setattr(configuration_log, 'ConfigurationLog', LastWriterWins)
    assert operators.run(150).lost > 0


class UncheckedChain(configuration_chain.Chain):
    """Applies every complete revision that it gets."""

    def install_snapshot(self, snapshot):
        self.install(snapshot)
        return True


class UncheckedFollower(configuration_follower.ConfigurationFollower):
    """Fetches complete revisions from peers without comparing numbers."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.chain = UncheckedChain()
        self.log.chain = self.chain

    def note_peer_revision(self, router, message):
        super().note_peer_revision(router, message)
        if message.number < self.chain.number:
            self.fetch_from = router
            self.fetch_needed.set()

    async def on_entries_request(self, router, request):
        return await super().on_entries_request(
            router, attrs.evolve(request, after=-1)
        )


def test_operator_check_detects_revisions_that_go_back():
    result = operators.run(150, follower_class=UncheckedFollower)
    assert result.went_back > 0


def test_following_a_large_configuration_is_cheap():
    check_measures(measures.of_spread(spread.run(seconds=120.0)))


def test_change_spreads_when_the_service_fails_after_accepting_it():
    check_measures(measures.of_outage_spread(outage_spread.run(changes=10)))


@pytest.mark.parametrize('routers', [70])
def test_calls_to_the_service_do_not_grow_with_a_large_fleet(routers):
    result = spread.run(routers, 20.0)
    assert result.watches_per_router * routers <= 64
