"""Errors as problem details (RFC 9457) and as events in a stream."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import orjson

from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from lavenderbend import errors

CONTENT_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:lavenderbend:problem:'
EVENT_NAME = 'error'


def to_document(error: errors.RequestError, request_id: str) -> dict[str, Any]:
    """Returns the problem details of an error as a JSON object."""
    document = {
        'type': TYPE_PREFIX + error.kind,
        'title': error.kind.replace('-', ' '),
        'status': error.status,
        'detail': error.detail,
        'outcome': error.outcome.value,
        'request_id': request_id,
        'decision_id': request_id,
    }
    if error.retry_after is not None:
        document['retry_after'] = error.retry_after
    return document


def to_body(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the problem details of an error as a response body."""
    return orjson.dumps(to_document(error, request_id))


def to_headers(error: errors.RequestError, request_id: str) -> dict[str, str]:
    """Returns the headers of an error response.

    `retry-after` is rounded up to whole seconds, and is at least 1.
    """
    headers = {
        'content-type': CONTENT_TYPE,
        'x-request-id': request_id,
        'x-decision-id': request_id,
    }
    if error.retry_after is not None:
        headers['retry-after'] = str(max(1, math.ceil(error.retry_after)))
    return headers


def to_event(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the event that reports an error within a stream."""
    # Clients of the API expect an `error` object in the data.
    document = {'error': to_document(error, request_id)}
    return sse.encode(orjson.dumps(document), EVENT_NAME)
