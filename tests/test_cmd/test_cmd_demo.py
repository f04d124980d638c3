from __future__ import annotations

import io
import json

import pytest

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import main
from lavenderbend.daemon import demo_report
from lavenderbend.daemon import demo_sites
from lavenderbend.load import results


def test_demo_ends_by_itself_with_a_report_and_nothing_cut_off():
    # real sockets and real time: the only test that runs the whole demo
    out = io.StringIO()
    output = base.Output(out=out, err=io.StringIO())

    code = main.run(
        ['demo', '--seconds', '5', '--deployment', 'correo', '--json'], output
    )

    found = json.loads(out.getvalue())
    load = found['loads']['correo']
    assert (load['wrong'], load['cut']) == (0, 0), load['examples']
    assert code is exit_codes.ExitCode.OK
    assert load['whole'] > 10
    assert set(found['control']['peer_bytes']) == {
        'router-1',
        'router-2',
        'router-3',
    }
    assert found['in_force_seconds'] is not None
    assert found['router_stop_seconds'] is not None
    assert found['decision']['attempts']


@pytest.fixture
def report():
    """A report of a demo in which all was well."""
    item = demo_report.DemoReport(demo_report.DemoPlan())
    result = results.LoadResult()
    result.note(results.Verdict.WHOLE)
    item.loads['correo'] = result
    item.once_runs[1] = 3
    return item


def test_report_of_a_good_demo_passes(report):
    assert not report.failed


@pytest.mark.parametrize('verdict', ['WRONG', 'CUT'])
def test_one_wrong_or_cut_answer_fails_the_demo(report, verdict):
    report.loads['correo'].note(results.Verdict[verdict])

    assert report.failed


def test_a_second_run_of_a_non_idempotent_call_fails_the_demo(report):
    report.once_runs[2] = 1

    assert report.failed


def test_a_call_told_not_run_that_ran_fails_the_demo(report):
    report.told_not_run = 1

    assert report.failed


def test_a_demo_without_answers_fails():
    assert demo_report.DemoReport(demo_report.DemoPlan()).failed


def test_joined_configuration_keeps_the_deployments_apart():
    # story: both examples have a rule for /alerts/*. Joined as they are,
    # Rutaclara's alerts would go to Correo's mailbox.
    sites = demo_sites.chosen('both')
    documents = [demo_sites.load_document(site) for site in sites]

    joined = demo_sites.join(documents)

    for document in documents:
        names = {customer.name for customer in document.customers}
        pools = {pool.name for pool in document.pools}
        for rule in joined.rules:
            if rule.then.pool in pools:
                texts = rule.when.customer
                assert all(
                    t in names or any(n.startswith(t[:-1]) for n in names)
                    for t in texts
                )
                assert texts


def test_sites_have_the_sizes_of_today():
    sizes = {
        site.name: (site.engines, site.services, len(site.availability_zones))
        for site in demo_sites.chosen('both')
    }

    assert sizes == {'correo': (5, 3, 3), 'rutaclara': (9, 3, 3)}


def test_plan_of_a_site_surges_in_the_middle():
    site = demo_sites.SITES.get('correo')
    document = demo_sites.load_document(site)

    plan = demo_sites.load_plan(site, document, 20.0, 1)

    index = [c.name for c in plan.customers].index(site.surge[0])
    assert plan.rate_of(index, 10.0) > 2 * plan.rate_of(index, 1.0)
