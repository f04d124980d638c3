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
    # The tracer provider can be set only once in a process, so each test
    # case runs in a process of its own.
    return subprocess.run(
        [sys.executable, '-c', SCRIPT.format(endpoint=endpoint)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )


def test_without_an_endpoint_the_sdk_is_not_loaded():
    assert run(None).stdout.split() == ['False', 'False']


@pytest.mark.parametrize('endpoint', ['http://127.0.0.1:1/v1/traces'])
def test_unreachable_endpoint_does_not_fail_the_router(endpoint):
    # The collector is unreachable while a router stops. The spans are lost,
    # but the router must still exit, with an exit code of 0.
    result = run(endpoint)

    assert result.stdout.split() == ['True', 'True']
    assert result.stderr == ''
