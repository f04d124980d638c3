"""Base of the operators' interfaces: authentication, errors, headers."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import quart
import quart_trio
import trio
from werkzeug import exceptions

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import http_limits
from lavenderbend.transport import operator_routes
from lavenderbend.transport import serving

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend import registry
    from lavenderbend.state import settings as settings_module

CALLS = metrics.counter(
    'lavenderbend_operator_calls_total',
    "Calls of the operators' interface, by status code.",
)


class OperatorInterface:
    """Serves the operators' views on a separate address.

    Attributes:
        name: Id of this router.
        settings: Settings of this router.
        routes: The views.
        app: The HTTP application.
    """

    def __init__(
        self,
        name: str,
        settings: settings_module.RouterSettings,
        routes: registry.Registry[operator_routes.Route],
    ) -> None:
        self.name = name
        self.settings = settings
        self.routes = routes
        self.app = self.make_app()

    def make_app(self) -> quart_trio.QuartTrio:
        """Returns the application with all routes."""
        app = quart_trio.QuartTrio(__name__)
        limits = http_limits.OPERATOR_LIMITS
        app.config['MAX_CONTENT_LENGTH'] = limits.body_bytes
        app.config['PROVIDE_AUTOMATIC_OPTIONS'] = False
        app.before_request(self.authenticate)
        app.after_request(self.set_headers)
        app.register_error_handler(Exception, error_response)
        for key in self.routes:
            entry = self.routes.get(key)
            app.add_url_rule(
                entry.path,
                endpoint=key.replace('.', '-'),
                view_func=self.bind(entry.view),
                methods=[entry.method],
            )
        return app

    def bind(
        self, view: operator_routes.View
    ) -> Callable[..., Awaitable[quart.Response]]:
        """Returns the view with this interface as its first argument."""

        async def bound(**path_values: str) -> quart.Response:
            try:
                return await view(self, **path_values)
            except Exception as exc:
                # quart-trio unwraps an exception group and answers for one of
                # its members; an operator needs all faults of a document
                return await error_response(exc)

        return bound

    async def authenticate(self) -> quart.Response | None:
        """Refuses calls without the operators' credential.

        Browsers send a Basic password automatically, also with requests that
        the pages of other sites cause. Basic authentication is therefore
        accepted only for reading, which protects changes against cross-site
        request forgery.
        """
        authorization = quart.request.authorization
        if authorization is None:
            return self.refuse('give the operators credential')
        if authorization.type == 'bearer':
            secret = authorization.token or ''
        elif authorization.type == 'basic' and quart.request.method == 'GET':
            secret = authorization.password or ''
        else:
            return self.refuse('changes need a bearer credential')
        if not secret_matches(self.settings.operators.credential, secret):
            return self.refuse('the operators credential is wrong')
        return None

    def refuse(self, detail: str) -> quart.Response:
        """Returns the response to a call without a valid credential."""
        response = operator_routes.problem(401, 'not-authenticated', detail)
        response.headers['www-authenticate'] = 'Basic realm="lavenderbend"'
        return response

    async def set_headers(self, response: quart.Response) -> quart.Response:
        """Counts the call and sets headers against caching and embedding."""
        CALLS.inc({'status': str(response.status_code)})
        response.headers['cache-control'] = 'no-store'
        response.headers['x-frame-options'] = 'DENY'
        response.headers['x-content-type-options'] = 'nosniff'
        response.headers['content-security-policy'] = (
            "default-src 'none'; style-src 'self' 'unsafe-inline'; "
            "form-action 'self'"
        )
        return response

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves operators until cancelled; reports the bound port at start."""
        await serving.serve(
            self.app,
            host,
            port,
            shutdown=trio.Event(),
            limits=http_limits.OPERATOR_LIMITS,
            task_status=task_status,
        )


def secret_matches(salted: str, secret: str) -> bool:
    """Returns whether a secret has the hash `salt$sha256(salt + secret)`."""
    salt, separator, expected = salted.partition('$')
    if not separator or not secret:
        return False
    digest = hashlib.sha256((salt + secret).encode()).hexdigest()
    return hmac.compare_digest(digest, expected)


async def error_response(error: Exception) -> quart.Response:
    """Returns the problem details for an error, without a traceback."""
    problem = operator_routes.problem
    if isinstance(error, errors.DocumentErrors):
        faults = [
            {
                'line': fault.line,
                'key': fault.key,
                'fault': fault.fault,
                'allowed': fault.allowed,
            }
            for fault in error.exceptions
        ]
        return problem(422, 'document-invalid', error.message, faults=faults)
    if isinstance(error, errors.ConfigurationConflict):
        return problem(
            409,
            'configuration-conflict',
            str(error),
            seen=error.seen,
            newest=error.newest,
            difference=list(error.difference),
        )
    if isinstance(error, errors.ConfigurationError):
        return problem(422, 'configuration-refused', str(error))
    if isinstance(error, errors.KeyValueUncertain):
        return problem(504, 'key-value-uncertain', str(error))
    if isinstance(error, errors.KeyValueError):
        return problem(503, 'key-value-unavailable', str(error))
    if isinstance(error, errors.RequestError):
        return problem(error.status, error.kind, error.detail)
    if isinstance(error, exceptions.HTTPException):
        kind = (error.name or 'error').lower().replace(' ', '-')
        return problem(error.code or 500, kind, error.description or kind)
    logs.change('operator_call_failed', error=repr(error))
    return problem(500, 'internal-error', type(error).__name__)
