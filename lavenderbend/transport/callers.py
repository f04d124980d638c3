"""The ASGI application for callers: OpenAI-compatible chats and services."""

from __future__ import annotations

import traceback
from typing import Any
from typing import TYPE_CHECKING
import uuid

from opentelemetry import trace
import quart
import quart_trio
import trio
from werkzeug import exceptions

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.observe import spans
from lavenderbend.protocol import chat_keys
from lavenderbend.protocol import http_limits
from lavenderbend.protocol import openai
from lavenderbend.protocol import problems
from lavenderbend.state import requests
from lavenderbend.transport import answer_bodies
from lavenderbend.transport import body_memory
from lavenderbend.transport import caller_credentials

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination import dispatch
    from lavenderbend.coordination import interfaces

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
IDEMPOTENCY_KEY = 'idempotency-key'
# key in the ASGI scope of a request: the body that relays its answer
ANSWER_BODY = 'lavenderbend.answer_body'

# not forwarded: headers of the connection, the credential, and headers that
# the router sets itself and that a caller must not be able to forge
DROPPED_HEADERS = frozenset(
    (
        'accept-encoding',
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
        'x-resume-offset',
    )
)

internal_errors = metrics.counter(
    'lavenderbend_internal_errors_total',
    'Requests that ended by a fault of the router itself.',
)


class InternalError(errors.RequestError):
    """The router failed; the request may have been executed."""

    outcome = errors.Outcome.UNKNOWN
    status = 500
    kind = 'internal-error'


def read_headers(scope: Mapping[str, Any]) -> dict[str, str]:
    """Returns the caller's headers with lower-case names."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in scope['headers']:
        name = raw_name.decode('latin-1').lower()
        value = raw_value.decode('latin-1')
        headers[name] = (
            f'{headers[name]}, {value}' if name in headers else value
        )
    return headers


def read_path(scope: Mapping[str, Any]) -> str:
    """Returns the path with the query string, as the caller sent it."""
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


class CallerApp:
    """The ASGI application that serves callers.

    Attributes:
        dispatcher: Answers requests.
        configurations: Provides the configuration with the customers.
        limits: Limits on requests.
        availability_zone: Availability zone of this router.
        credentials: Finds the customer of a credential.
        membership_ready: Set once the VMs are known; the router is not ready
            before that.
        stopping: Whether the router is stopping.
        app: The quart application.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        configurations: interfaces.Configurations,
        limits: http_limits.HttpLimits | None = None,
        availability_zone: str = '',
        membership_ready: trio.Event | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.configurations = configurations
        self.limits = limits or http_limits.HttpLimits()
        self.availability_zone = availability_zone
        self.credentials = caller_credentials.Credentials()
        self.membership_ready = membership_ready
        self.stopping = False
        self.app = self.make_app()

    def make_app(self) -> quart_trio.QuartTrio:
        """Returns the quart application."""
        app = quart_trio.QuartTrio('lavenderbend', static_folder=None)
        app.config['MAX_CONTENT_LENGTH'] = self.limits.body_bytes
        app.config['BODY_TIMEOUT'] = self.limits.body_seconds
        app.config['RESPONSE_TIMEOUT'] = None
        app.config['PROVIDE_AUTOMATIC_OPTIONS'] = False
        app.add_url_rule('/healthz', view_func=self.healthz)
        app.add_url_rule('/readyz', view_func=self.readyz)
        for rule in ('/', '/<path:path>'):
            app.add_url_rule(
                rule, rule, view_func=self.forward, methods=METHODS
            )
        app.register_error_handler(exceptions.HTTPException, self.refuse)
        app.register_error_handler(Exception, self.fail)
        return app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope['type'] != 'http':
            return
        try:
            await self.app(scope, receive, send)
        except* answer_bodies.BrokenOff:
            # the answer is left incomplete on purpose: returning without the
            # last body message makes hypercorn close the connection, and the
            # caller sees that the answer is incomplete
            pass
        finally:
            # quart enters the body after it has sent the head. If the request
            # is cancelled in between because its caller disconnected, it would
            # keep its permit and its upstream would continue to work
            body = scope.get(ANSWER_BODY)
            if body is not None:
                await body.close(errors.CallerGone.__name__)

    def begin_stop(self) -> None:
        """Reports not ready and asks callers to close their connections."""
        self.stopping = True

    async def healthz(self) -> quart.Response:
        """Answers the liveness check."""
        return quart.Response('ok\n', content_type='text/plain')

    async def readyz(self) -> quart.Response:
        """Answers the readiness check of the load balancer."""
        if self.stopping:
            return self.problem(errors.RouterStopping('stopping'), '')
        try:
            self.configurations.current()
        except errors.NoConfiguration as exc:
            return self.problem(exc, '')
        ready = self.membership_ready
        if ready is not None and not ready.is_set():
            return self.problem(errors.NoUpstream('VMs not yet known'), '')
        return quart.Response('ready\n', content_type='text/plain')

    async def forward(self, path: str = '') -> quart.Response:
        """Answers a request through the dispatcher."""
        request_id = uuid.uuid4().hex
        scope = quart.request.scope
        headers = read_headers(scope)
        hop = spans.Hop('request', headers, trace.SpanKind.SERVER)
        hop.set_attribute('request.id', request_id)
        try:
            request = await self.read_request(scope, headers, request_id, hop)
            answer = await self.dispatcher.dispatch(request)
        except errors.RequestError as exc:
            hop.end(type(exc).__name__)
            return self.problem(exc, request_id)
        except Exception as exc:
            hop.end(type(exc).__name__)
            return self.internal_problem(exc, request_id)
        except BaseException as exc:
            hop.end(type(exc).__name__)
            raise
        return self.respond(answer, request_id, hop)

    async def read_request(
        self,
        scope: Mapping[str, Any],
        headers: dict[str, str],
        request_id: str,
        hop: spans.Hop,
    ) -> requests.Request:
        """Reads the complete request; the credential is checked first."""
        arrived = trio.current_time()
        customer = self.credentials.customer(
            self.configurations.current(), headers.get('authorization')
        )
        counted = scope.get('state', {}).get(body_memory.COUNTED)
        if counted is not None:
            counted.join(customer)
        body = await self.read_body()
        path = read_path(scope)
        chat = None
        if path == openai.CHAT_PATH and scope['method'] == 'POST':
            chat = openai.parse(body)
        forwarded = {
            name: value
            for name, value in headers.items()
            if name not in DROPPED_HEADERS
        }
        forwarded.update(hop.headers)
        return requests.Request(
            id=request_id,
            customer=customer,
            method=scope['method'],
            path=path,
            headers=forwarded,
            body=body,
            arrived=arrived,
            model=chat.model if chat else None,
            adapter=chat.adapter if chat else None,
            chat_key=chat_keys.read_key(chat, headers),
            prompt_tokens=chat.prompt_tokens if chat else 0,
            stream=chat.stream if chat else False,
            idempotency_key=headers.get(IDEMPOTENCY_KEY),
            availability_zone=self.availability_zone,
            reserve=None if counted is None else counted.reserve,
        )

    async def read_body(self) -> bytes:
        """Returns the body of the current request."""
        try:
            return await quart.request.get_data(cache=False)
        except exceptions.RequestEntityTooLarge as exc:
            raise errors.RequestTooLarge(
                f'the body is over {self.limits.body_bytes} bytes'
            ) from exc
        except exceptions.RequestTimeout as exc:
            raise errors.RequestInvalid(
                'the body did not arrive in time'
            ) from exc

    def respond(
        self, answer: dispatch.Answer, request_id: str, hop: spans.Hop
    ) -> quart.Response:
        """Returns the response that relays an answer."""
        body = answer_bodies.AnswerBody(answer, request_id, hop)
        quart.request.scope[ANSWER_BODY] = body
        response = quart.Response(body, status=answer.status)
        # otherwise quart would end the response after its own timeout
        response.timeout = None
        response.headers.clear()
        for name, value in answer.headers.items():
            response.headers.add(name, value)
        response.headers['x-request-id'] = request_id
        response.headers['x-decision-id'] = answer.decision_id
        return self.finish_headers(response)

    def problem(
        self, error: errors.RequestError, request_id: str
    ) -> quart.Response:
        """Returns the response that reports an error as problem details."""
        response = quart.Response(
            problems.to_body(error, request_id), status=error.status
        )
        for name, value in problems.to_headers(error, request_id).items():
            response.headers[name] = value
        if isinstance(error, errors.NotAuthenticated):
            response.headers['www-authenticate'] = 'Bearer'
        return self.finish_headers(response)

    def finish_headers(self, response: quart.Response) -> quart.Response:
        """Asks the caller to close its connection if the router stops."""
        # if the router closes an idle connection while the caller sends its
        # next request, that request is lost; callers that got this header
        # have closed the connection by then
        if self.stopping:
            response.headers['connection'] = 'close'
        return response

    async def refuse(self, error: exceptions.HTTPException) -> quart.Response:
        """Answers a request that quart itself rejects."""
        refusal = errors.RequestInvalid(error.name)
        refusal.status = error.code or refusal.status
        return self.problem(refusal, '')

    async def fail(self, error: Exception) -> quart.Response:
        """Answers an unexpected error outside the handling of a request."""
        return self.internal_problem(error, '')

    def internal_problem(
        self, error: Exception, request_id: str
    ) -> quart.Response:
        """Answers an unexpected error without exposing internal details."""
        internal_errors.inc({'error': type(error).__name__})
        # a bug in the router: a counter does not explain it, so the traceback
        # is logged
        lines = traceback.format_exception(error)
        logs.change('internal_error', id=request_id, traceback=''.join(lines))
        return self.problem(InternalError('the router failed'), request_id)
