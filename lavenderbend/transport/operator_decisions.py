"""Decisions for operators: lookup, filtered lists and live streams."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING
from urllib import parse
import uuid

import attrs
import orjson
import quart
import trio

from lavenderbend.coordination import explain
from lavenderbend.protocol import chat_keys
from lavenderbend.protocol import documents_yaml
from lavenderbend.protocol import openai
from lavenderbend.protocol import structuring
from lavenderbend.protocol import yaml_nodes
from lavenderbend.state import requests
from lavenderbend.transport import operator_routes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from lavenderbend.state import decisions
    from lavenderbend.transport import forwarding_operators
    from lavenderbend.transport import operators

    AppWithDecisions = (
        operators.OperatorApp | forwarding_operators.ForwardingOperators
    )

DEFAULT_LIMIT = 100
MAX_LIMIT = 10_000
STREAM_POLL_SECONDS = 0.25
KEEP_ALIVE_POLLS = 60


@attrs.frozen
class Filter:
    """Selects decisions by their fields; an empty field matches all.

    Attributes:
        customer: The customer.
        rule: Name of the rule.
        pool: Name of the pool.
        upstream: An upstream that was tried.
        outcome: Outcome that the caller received.
        error: Error type that the caller received.
        path: Prefix of the path.
    """

    customer: str = ''
    rule: str = ''
    pool: str = ''
    upstream: str = ''
    outcome: str = ''
    error: str = ''
    path: str = ''

    def matches(self, decision: decisions.Decision) -> bool:
        """Returns whether the decision matches all fields."""
        for name in ('customer', 'rule', 'pool', 'outcome', 'error'):
            value = getattr(self, name)
            if value and getattr(decision, name) != value:
                return False
        if self.upstream and not any(
            attempt.upstream == self.upstream for attempt in decision.attempts
        ):
            return False
        return decision.path.startswith(self.path)

    def query(self) -> str:
        """Returns the nonempty fields as a URL query."""
        nonempty = {name: text for name, text in self.items() if text}
        return parse.urlencode(nonempty)

    def items(self) -> list[tuple[str, str]]:
        """Returns the fields and their values."""
        return list(attrs.asdict(self).items())


def read_filter() -> Filter:
    """Returns the filter from the query of the HTTP call."""
    names = [field.name for field in attrs.fields(Filter)]
    return Filter(**{n: quart.request.args.get(n, '') for n in names})


def select(
    store: decisions.DecisionStore, decision_filter: Filter, limit: int
) -> list[decisions.Decision]:
    """Returns the latest matching decisions, newest first."""
    matching = (
        decision for decision in store if decision_filter.matches(decision)
    )
    return list(itertools.islice(matching, limit))


def to_json(decision: decisions.Decision) -> dict[str, Any]:
    """Returns a decision as plain values."""
    return attrs.asdict(decision)


@operator_routes.route(
    'GET', '/v1/decisions', operator_routes.FORWARDING_ROUTES
)
@operator_routes.route('GET', '/v1/decisions')
async def recent(app: AppWithDecisions) -> quart.Response:
    """The latest decisions, newest first, or a live stream of them."""
    decision_filter = read_filter()
    accepts = quart.request.accept_mimetypes
    if accepts.best == 'text/event-stream':
        return stream_response(app.decisions, decision_filter)
    limit = min(operator_routes.integer('limit', DEFAULT_LIMIT), MAX_LIMIT)
    latest = select(app.decisions, decision_filter, limit)
    return operator_routes.as_json([to_json(decision) for decision in latest])


def stream_response(
    store: decisions.DecisionStore, decision_filter: Filter
) -> quart.Response:
    """Returns the live stream as server-sent events."""
    response = quart.Response(
        stream(store, decision_filter), content_type='text/event-stream'
    )
    response.timeout = None
    return response


async def stream(
    store: decisions.DecisionStore, decision_filter: Filter
) -> AsyncIterator[bytes]:
    """Yields each decision once it has an outcome, as server-sent events.

    The store is polled every `STREAM_POLL_SECONDS` while a stream is open, so
    that streams add no work to the request path.
    """
    sent_ids = {decision.id for decision in store if decision.outcome}
    yield b': open\n\n'
    for poll in itertools.count(1):
        await trio.sleep(STREAM_POLL_SECONDS)
        for decision in unsent_decisions(store, sent_ids):
            if decision_filter.matches(decision):
                data = orjson.dumps(to_json(decision))
                yield b'event: decision\ndata: ' + data + b'\n\n'
        if poll % KEEP_ALIVE_POLLS == 0:
            yield b': still here\n\n'


def unsent_decisions(
    store: decisions.DecisionStore, sent_ids: set[str]
) -> Iterator[decisions.Decision]:
    """Yields finished decisions that were not sent yet, oldest first."""
    unsent = [d for d in store if d.outcome and d.id not in sent_ids]
    # also drops the ids that the store no longer holds
    sent_ids.intersection_update(store.entries)
    for decision in reversed(unsent):
        sent_ids.add(decision.id)
        yield decision


@operator_routes.route(
    'GET', '/v1/decisions/<decision_id>', operator_routes.FORWARDING_ROUTES
)
@operator_routes.route('GET', '/v1/decisions/<decision_id>')
async def show(app: AppWithDecisions, decision_id: str) -> quart.Response:
    """One decision by its id."""
    decision = app.decisions.get(decision_id)
    if decision is None:
        return operator_routes.problem(
            404,
            'decision-unknown',
            f'router {app.name} has no decision {decision_id!r}; it keeps '
            f'the latest {app.decisions.capacity} of its own',
        )
    return operator_routes.as_json(to_json(decision))


@attrs.frozen
class Question:
    """The request that an operator asks to have explained.

    Attributes:
        customer: The customer.
        method: HTTP method.
        path: Path, including the query string if any.
        headers: Names in lower case.
        chat_key: Key of the chat; None to read it from headers or body.
        body: The body, as a JSON object.
    """

    customer: str
    method: str = 'POST'
    path: str = openai.CHAT_PATH
    headers: dict[str, str] = attrs.field(factory=dict)
    chat_key: str | None = None
    body: dict[str, Any] | None = None


def read_question(data: bytes) -> Question:
    """Returns the question in the body of a call.

    Raises:
        DocumentErrors: The body is not a valid question.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise yaml_nodes.unreadable('question', 1, str(exc), 'JSON') from exc
    document = yaml_nodes.Document('question', value, {})
    return documents_yaml.structure(document, Question)


def to_request(question: Question, availability_zone: str) -> requests.Request:
    """Returns the request that a question describes."""
    body = orjson.dumps(question.body) if question.body is not None else b''
    headers = {name.lower(): text for name, text in question.headers.items()}
    chat = None
    if question.path == openai.CHAT_PATH and body:
        chat = openai.parse(body)
    key = question.chat_key or chat_keys.read_key(chat, headers)
    return requests.Request(
        id=uuid.uuid4().hex,
        customer=question.customer,
        method=question.method,
        path=question.path,
        headers=headers,
        body=body,
        arrived=trio.current_time(),
        model=chat.model if chat else None,
        adapter=chat.adapter if chat else None,
        chat_key=key,
        prompt_tokens=chat.prompt_tokens if chat else 0,
        idempotency_key=headers.get('idempotency-key'),
        availability_zone=availability_zone,
    )


@operator_routes.route('POST', '/v1/explain')
async def explained(app: operators.OperatorApp) -> quart.Response:
    """How a request would be routed; nothing is sent."""
    question = read_question(await quart.request.get_data())
    request = to_request(question, app.settings.availability_zone)
    explanation = explain.explain(
        app.configurations.chain.current(), app.rules, app.membership, request
    )
    value = attrs.asdict(explanation, recurse=True)
    if explanation.then is not None:
        value['then'] = structuring.CONVERTER.unstructure(explanation.then)
    return operator_routes.as_json(value)
