"""The status page for browsers, rendered by the router."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import quart

from lavenderbend.transport import operator_decisions
from lavenderbend.transport import operator_routes
from lavenderbend.transport import operator_status

if TYPE_CHECKING:
    from lavenderbend.transport import operators

SHOWN_DECISIONS = 50
REFRESH_SECONDS = 5


def format_time(at: float) -> str:
    """Formats seconds since the epoch as UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S.%f')[:-3]


def format_milliseconds(seconds: float | None) -> str:
    """Formats a duration in milliseconds, None as an empty text."""
    return '' if seconds is None else f'{seconds * 1000:.1f} ms'


def format_number(value: float | None) -> str:
    """Formats a number with two decimals, None as a dash."""
    return '-' if value is None else f'{value:.2f}'


HELPERS = {
    'clock': format_time,
    'ms': format_milliseconds,
    'figure': format_number,
}


@operator_routes.route('GET', '/')
async def overview(app: operators.OperatorApp) -> quart.Response:
    """The status page: routers, upstreams, rules, recent decisions."""
    decision_filter = operator_decisions.read_filter()
    text = await quart.render_template(
        'status.html',
        status=operator_status.status_json(app),
        wanted=decision_filter,
        decisions=operator_decisions.select(
            app.decisions, decision_filter, SHOWN_DECISIONS
        ),
        refresh=REFRESH_SECONDS,
        live='live' in quart.request.args,
        live_url=f'/?{decision_filter.query()}&live=1',
        still_url=f'/?{decision_filter.query()}',
        **HELPERS,
    )
    return quart.Response(text, content_type='text/html; charset=utf-8')


@operator_routes.route('GET', '/decisions/<decision_id>')
async def decision(
    app: operators.OperatorApp, decision_id: str
) -> quart.Response:
    """The page of one decision, with its attempts and candidates."""
    record = app.decisions.get(decision_id)
    text = await quart.render_template(
        'decision.html',
        router=app.name,
        decision=record,
        decision_id=decision_id,
        capacity=app.decisions.capacity,
        **HELPERS,
    )
    return quart.Response(
        text,
        status=200 if record else 404,
        content_type='text/html; charset=utf-8',
    )
