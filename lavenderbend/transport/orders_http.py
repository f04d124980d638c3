"""Orders to engines over HTTP."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import httpx
import trio

from lavenderbend import errors
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.state import orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from lavenderbend.state import upstreams

PATH = '/v1/orders'
HTTP_OK = 200
HTTP_CONFLICT = 409
# the engine is busy, or loading would exceed the rate of the weight store;
# the order was not started
RETRYABLE_STATUSES = (429, 503)


class HttpOrderer(orders_module.Orderer):
    """Sends each order on a connection of its own.

    The head of the request is sent first, then the lease is checked, then
    the body is sent. If the router is paused for long after the check, the
    engine has dropped the request by its own timeout.

    Attributes:
        client: HTTP client for orders and for reading engine states.
    """

    def __init__(self) -> None:
        self.client = httpx.AsyncClient(verify=False, trust_env=False)  # noqa: S501

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    async def send(
        self,
        vm: upstreams.Vm,
        order: orders.EngineOrder,
        timeout: float,
        check: Callable[[], None],
    ) -> None:
        """Sends an order; see the base class."""
        body = order_body(order)

        async def body_after_check() -> AsyncIterator[bytes]:
            check()
            yield body

        headers = {
            'content-type': 'application/json',
            'content-length': str(len(body)),
            'connection': 'close',
        }
        response = await self.exchange(
            'POST', vm, timeout, content=body_after_check(), headers=headers
        )
        if response.status_code == HTTP_CONFLICT:
            raise errors.OrderRefused(highest_fencing_token(response))
        if response.status_code in RETRYABLE_STATUSES:
            raise errors.UpstreamRefused(f'{vm.id}: {response.status_code}')
        if response.status_code != HTTP_OK:
            raise errors.OrderError(
                f'{vm.id}: {response.status_code} {response.text[:200]}'
            )

    async def read(
        self, vm: upstreams.Vm, timeout: float
    ) -> orders.EngineState:
        """Reads the state of an engine; see the base class."""
        response = await self.exchange('GET', vm, timeout)
        if response.status_code != HTTP_OK:
            raise errors.UpstreamBroke(f'{vm.id}: {response.status_code}')
        return read_state(vm.id, response)

    async def exchange(
        self, method: str, vm: upstreams.Vm, timeout: float, **options: Any
    ) -> httpx.Response:
        """Makes one request.

        Raises:
            UpstreamUnreachable: The connection could not be opened.
            UpstreamBroke: There was no complete answer in time.
        """
        url = f'http://{vm.host}:{vm.port}{PATH}'
        try:
            with trio.fail_after(timeout):
                return await self.client.request(
                    method, url, timeout=timeout, **options
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.UpstreamUnreachable(f'{vm.id}: {exc!r}') from exc
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            raise errors.UpstreamBroke(f'{vm.id}: {exc!r}') from exc


def order_body(order: orders.EngineOrder) -> bytes:
    """Returns the JSON form of an order."""
    target = order.target
    value = {
        'fencing': order.fencing,
        'model': target.model,
        'version': target.version,
        'adapters': list(target.adapters),
        'role': target.role,
    }
    return json.dumps(value).encode()


def highest_fencing_token(response: httpx.Response) -> int:
    """Returns the highest fencing token that an engine has seen."""
    try:
        return int(response.json().get('fencing', 0))
    except (ValueError, AttributeError, TypeError):
        return 0


def read_state(engine: str, response: httpx.Response) -> orders.EngineState:
    """Returns the state in an engine's answer.

    Raises:
        UpstreamBroke: The answer contains no valid state.
    """
    try:
        value = response.json()
        value = value.get('state', value)
        target = orders.Target(
            str(value['model']),
            str(value['version']),
            tuple(str(adapter) for adapter in value.get('adapters', ())),
            str(value.get('role', 'serve')),
        )
        return orders.EngineState(
            int(value['fencing']), target, bool(value['healthy'])
        )
    except (KeyError, ValueError, TypeError, AttributeError) as exc:
        raise errors.UpstreamBroke(f'{engine}: {exc!r}') from exc
