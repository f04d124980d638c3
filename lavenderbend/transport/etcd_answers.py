"""Answers of the etcd gateway: what they hold, or which error they are."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import etcd

if TYPE_CHECKING:
    import httpx

TOO_MANY_STATUS = 429


def json_body(kind: str, content: bytes) -> dict[str, Any]:
    """Returns the answer's body.

    Raises:
        KeyValueUncertain: It cannot be read, so nobody knows what was done.
    """
    try:
        # the first line only: keepalive answers are a stream
        body = json.loads(content.split(b'\n', 1)[0] or b'{}')
    except ValueError as exc:
        raise errors.KeyValueUncertain(f'{kind}: {exc}') from exc
    if not isinstance(body, dict):
        raise errors.KeyValueUncertain(f'{kind}: the answer is no object')
    return body


def refusal(kind: str, response: httpx.Response) -> errors.KeyValueError:
    """Returns the error for an answer that is no success."""
    text = response.text[:200]
    try:
        code = int(response.json().get('code', 0))
    except (ValueError, AttributeError, TypeError):
        code = 0
    # these are sent before the call is proposed to the service's members;
    # any other, such as a timeout inside the service, may have taken effect
    if response.status_code == TOO_MANY_STATUS:
        return errors.KeyValueUnavailable(f'{kind}: {text}')
    if code in (etcd.CODE_RESOURCE_EXHAUSTED, etcd.CODE_NOT_FOUND):
        return errors.KeyValueUnavailable(f'{kind}: {text}')
    return errors.KeyValueUncertain(f'{kind}: {text}')


def watch_changes(line: str) -> tuple[interfaces.Change, ...]:
    """Returns the changes in one line of a watch.

    Raises:
        KeyValueUnavailable: The watch was ended by the service.
    """
    if not line.strip():
        return ()
    try:
        result = json.loads(line).get('result', {})
    except (ValueError, AttributeError) as exc:
        raise errors.KeyValueUnavailable(f'watch: {exc}') from exc
    if result.get('canceled'):
        raise errors.KeyValueUnavailable('watch: ended by the service')
    return tuple(
        interfaces.Change(
            etcd.key_value_from_wire(event['kv']),
            deleted=event.get('type') == 'DELETE',
        )
        for event in result.get('events', ())
    )
