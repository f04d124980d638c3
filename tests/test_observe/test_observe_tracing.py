from __future__ import annotations

import subprocess
import sys

import pytest

SCRIPT = """
import sys
from lavenderbend.observe import tracing
tracing.set_up('router-1', {endpoint!r})
span = tracing.tracer().start_span('hop')
print(span.is_recording(), 'opentelemetry.sdk' in sys.modules)
span.end()
"""


def run(endpoint):
    # the tracer provider can be set once in a process, so each case has one
    return subprocess.run(
        [sys.executable, '-c', SCRIPT.format(endpoint=endpoint)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )


def test_without_an_endpoint_spans_cost_nothing():
    assert run(None).stdout.split() == ['False', 'False']


@pytest.mark.parametrize('endpoint', ['http://127.0.0.1:1/v1/traces'])
def test_an_endpoint_that_is_down_does_not_fail_the_router(endpoint):
    # story: the collector is down while a router stops. The spans are lost;
    # the router still ends, and its exit code says that it stopped well.
    result = run(endpoint)

    assert result.stdout.split() == ['True', 'True']
    assert result.stderr == ''
