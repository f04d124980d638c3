"""Checks on upstream answers that are common to all clients."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import orjson

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.observe import metrics
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_ID = 'x-request-id'
INSTANCE = 'x-instance'
NOT_STARTED = 'x-not-started'
REPORT_PATH = '/v1/load'
REPORT_SECONDS = 1.0
MAX_AGE_SECONDS = 3600.0

# headers of an answer that apply to its connection only, or that the
# router's own server sets
HOP_HEADERS = frozenset(
    (
        'connection',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

mismatches = metrics.counter(
    'lavenderbend_answer_mismatches_total',
    'Answers that carried the id of another request.',
)


def read_start(
    status: int, raw: Iterable[tuple[bytes, bytes]]
) -> interfaces.AnswerStart:
    """Returns the head of an answer without hop-by-hop headers."""
    headers = {}
    for name, value in raw:
        key = name.decode('latin-1').lower()
        if key not in HOP_HEADERS:
            headers[key] = value.decode('latin-1')
    return interfaces.AnswerStart(status, headers, headers.get(INSTANCE, ''))


def check_start(start: interfaces.AnswerStart, request_id: str) -> None:
    """Checks that an answer belongs to a request that was started.

    Raises:
        AnswerMismatch: It is the answer to another request.
        UpstreamRefused: The upstream states that it did not start the request.
    """
    if start.headers.get(REQUEST_ID) != request_id:
        # a late answer to an earlier request on the connection would go to
        # the wrong caller; the connection is closed without reading the rest
        mismatches.inc({})
        raise errors.AnswerMismatch(
            'the answer does not carry the id of the request'
        )
    if start.status == 503 and start.headers.get(NOT_STARTED) == '1':
        raise errors.UpstreamRefused('the upstream did not start the request')


def read_count(document: dict[str, Any], key: str) -> int:
    """Returns a count from a load report.

    Raises:
        UpstreamBroke: It is not a non-negative integer.
    """
    value = document.get(key, 0)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.UpstreamBroke(f'`{key}` of the load report is not a count')
    return value


def read_names(document: dict[str, Any], key: str) -> tuple[str, ...]:
    """Returns a list of names from a load report.

    Raises:
        UpstreamBroke: It is not a list.
    """
    value = document.get(key, [])
    if not isinstance(value, list):
        raise errors.UpstreamBroke(f'`{key}` of the load report is not a list')
    return tuple(str(name) for name in value)


def read_report(
    upstream: str, status: int, data: bytes
) -> upstreams.LoadReport:
    """Returns the load report in the body of an answer.

    Raises:
        UpstreamBroke: The answer is not a valid load report.
    """
    if status != 200:
        raise errors.UpstreamBroke(
            'the upstream does not provide a load report'
        )
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise errors.UpstreamBroke('the load report is not JSON') from exc
    if not isinstance(document, dict):
        raise errors.UpstreamBroke('the load report is not a JSON object')
    age = document.get('age', 0.0)
    if not isinstance(age, int | float) or not 0 <= age < MAX_AGE_SECONDS:
        raise errors.UpstreamBroke(
            '`age` of the load report is not a valid duration'
        )
    return upstreams.LoadReport(
        upstream=upstream,
        instance=str(document.get('instance', '')),
        running=read_count(document, 'running'),
        waiting=read_count(document, 'waiting'),
        age=float(age),
        models=read_names(document, 'models'),
        adapters=read_names(document, 'adapters'),
        draining=document.get('draining') is True,
        max_running=read_count(document, 'max_running'),
    )
