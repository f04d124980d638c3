"""What every client checks in the answers of upstreams."""

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

# parts of an answer's head that belong to the connection, or that the
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
    """Returns the head of an answer, without what is the connection's."""
    headers = {}
    for name, value in raw:
        key = name.decode('latin-1').lower()
        if key not in HOP_HEADERS:
            headers[key] = value.decode('latin-1')
    return interfaces.AnswerStart(status, headers, headers.get(INSTANCE, ''))


def check_start(start: interfaces.AnswerStart, request_id: str) -> None:
    """Checks that an answer is one to this request, which was started.

    Raises:
        AnswerMismatch: It is the answer to another request.
        UpstreamRefused: The upstream says that it did not start.
    """
    if start.headers.get(REQUEST_ID) != request_id:
        # a late answer to the connection's earlier request would go to the
        # wrong caller; the connection is closed with the rest of it unread
        mismatches.inc({})
        raise errors.AnswerMismatch(
            'the answer does not carry the id of the request'
        )
    if start.status == 503 and start.headers.get(NOT_STARTED) == '1':
        raise errors.UpstreamRefused('the upstream did not start it')


def read_count(document: dict[str, Any], key: str) -> int:
    """Returns a count of a load report."""
    value = document.get(key, 0)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.UpstreamBroke(f'`{key}` of the load report is no count')
    return value


def read_names(document: dict[str, Any], key: str) -> tuple[str, ...]:
    """Returns a list of names of a load report."""
    value = document.get(key, [])
    if not isinstance(value, list):
        raise errors.UpstreamBroke(f'`{key}` of the load report is no list')
    return tuple(str(item) for item in value)


def read_report(
    upstream: str, status: int, data: bytes
) -> upstreams.LoadReport:
    """Returns the load report in a body.

    Raises:
        UpstreamBroke: It is none.
    """
    if status != 200:
        raise errors.UpstreamBroke('the upstream gives no load report')
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise errors.UpstreamBroke('the load report is not JSON') from exc
    if not isinstance(document, dict):
        raise errors.UpstreamBroke('the load report is no object')
    age = document.get('age', 0.0)
    if not isinstance(age, int | float) or not 0 <= age < MAX_AGE_SECONDS:
        raise errors.UpstreamBroke('`age` of the load report is no time')
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
