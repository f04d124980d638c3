"""Registries of the operators' routes, and helpers for views."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import quart

from lavenderbend import errors
from lavenderbend import registry

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    View = Callable[..., Awaitable[quart.Response]]

PROBLEM_TYPE = 'application/problem+json'
PROBLEM_PREFIX = 'urn:lavenderbend:problem:'


@attrs.frozen
class Route:
    """An HTTP method and path with its view.

    Attributes:
        method: HTTP method.
        path: Path in the route syntax of Quart.
        view: Called with the interface and the variables of the path.
    """

    method: str
    path: str
    view: View

    @property
    def doc(self) -> str:
        """First line of the docstring of the view."""
        return (self.view.__doc__ or '').partition('\n')[0]


ROUTES: registry.Registry[Route] = registry.Registry('route')
FORWARDING_ROUTES: registry.Registry[Route] = registry.Registry(
    'route of forwarding routers'
)


def route(
    method: str, path: str, routes: registry.Registry[Route] = ROUTES
) -> Callable[[View], View]:
    """Returns a decorator that registers a view under method and path.

    Args:
        method: HTTP method.
        path: Path in the route syntax of Quart.
        routes: Registry of the interface that the view belongs to.
    """

    def decorate(view: View) -> View:
        routes.register(f'{path} {method}')(Route(method, path, view))
        return view

    return decorate


def as_json(value: Any, status: int = 200) -> quart.Response:
    """Returns a JSON response."""
    response = quart.jsonify(value)
    response.status_code = status
    return response


def problem(
    status: int, kind: str, detail: str, **members: Any
) -> quart.Response:
    """Returns problem details (RFC 9457)."""
    response = as_json(
        {
            'type': PROBLEM_PREFIX + kind,
            'title': kind.replace('-', ' '),
            'status': status,
            'detail': detail,
            **members,
        },
        status,
    )
    response.content_type = PROBLEM_TYPE
    return response


def integer(name: str, default: int) -> int:
    """Returns a nonnegative integer from the query.

    Raises:
        RequestInvalid: The value is not a nonnegative integer.
    """
    text = quart.request.args.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise errors.RequestInvalid(f'{name} must be a whole number')
    return int(text)


def seconds(name: str, default: float, maximum: float) -> float:
    """Returns a number of seconds from the query.

    Raises:
        RequestInvalid: The value is not a number from 0 to `maximum`.
    """
    text = quart.request.args.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise errors.RequestInvalid(f'{name} must be seconds') from exc
    if not 0 <= value <= maximum:
        raise errors.RequestInvalid(f'{name} must be 0 to {maximum:g} seconds')
    return value
