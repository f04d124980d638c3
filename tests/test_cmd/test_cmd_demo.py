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


def test_demo_completes_without_wrong_or_cut_answers():
    # The only test that runs the complete demo, on real sockets in real time.
    out = io.StringIO()
    output = base.Output(out=out, err=io.StringIO())

    code = main.run(
        ['demo', '--seconds', '5', '--deployment', 'correo', '--json'], output
    )

    document = json.loads(out.getvalue())
    load = document['loads']['correo']
    assert (load['wrong'], load['cut']) == (0, 0), load['examples']
    assert code is exit_codes.ExitCode.OK
    assert load['whole'] > 10
    assert set(document['control']['peer_bytes']) == {
        'router-1',
        'router-2',
        'router-3',
    }
    assert document['in_force_seconds'] is not None
    assert document['router_stop_seconds'] is not None
    assert document['decision']['attempts']


@pytest.fixture
def report():
    """The report of a successful demo."""
    good_report = demo_report.DemoReport(demo_report.DemoPlan())
    result = results.LoadResult()
    result.record_call(results.Verdict.WHOLE)
    good_report.loads['correo'] = result
    good_report.once_runs[1] = 3
    return good_report


def test_report_of_a_good_demo_passes(report):
    assert not report.failed


@pytest.mark.parametrize('verdict', ['WRONG', 'CUT'])
def test_one_wrong_or_cut_answer_fails_the_demo(report, verdict):
    report.loads['correo'].record_call(results.Verdict[verdict])

    assert report.failed


def test_a_second_run_of_a_non_idempotent_call_fails_the_demo(report):
    report.once_runs[2] = 1

    assert report.failed


def test_a_run_of_a_call_reported_as_not_run_fails_the_demo(report):
    report.told_not_run = 1

    assert report.failed


def test_a_demo_without_answers_fails():
    assert demo_report.DemoReport(demo_report.DemoPlan()).failed


def test_merged_rules_match_customers_of_their_own_deployment_only():
    # Guards against cross-deployment matches: both examples have a rule for
    # /alerts/*, and without the customers of each deployment in its rules,
    # Rutaclara's alerts would go to Correo's mailbox.
    sites = demo_sites.select_sites('both')
    documents = [demo_sites.load_document(site) for site in sites]

    merged = demo_sites.merge_configurations(documents)

    for document in documents:
        names = {customer.name for customer in document.customers}
        pools = {pool.name for pool in document.pools}
        for rule in merged.rules:
            if rule.then.pool in pools:
                customer_patterns = rule.when.customer
                assert all(
                    p in names or any(n.startswith(p[:-1]) for n in names)
                    for p in customer_patterns
                )
                assert customer_patterns


def test_sites_have_their_current_sizes():
    sizes = {
        site.name: (site.engines, site.services, len(site.availability_zones))
        for site in demo_sites.select_sites('both')
    }

    assert sizes == {'correo': (5, 3, 3), 'rutaclara': (9, 3, 3)}


def test_load_plan_of_a_site_surges_in_the_middle():
    site = demo_sites.SITES.get('correo')
    document = demo_sites.load_document(site)

    plan = demo_sites.load_plan(site, document, 20.0, 1)

    index = [c.name for c in plan.customers].index(site.surge[0])
    assert plan.customer_rate(index, 10.0) > 2 * plan.customer_rate(index, 1.0)
