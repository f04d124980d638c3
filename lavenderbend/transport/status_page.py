"""The status page in the browser, rendered on the router."""

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


def clock(at: float) -> str:
    """Returns a time since the epoch as UTC."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S.%f')[:-3]


def milliseconds(seconds: float | None) -> str:
    """Returns a duration as people compare them."""
    return '' if seconds is None else f'{seconds * 1000:.1f} ms'


def figure(value: float | None) -> str:
    """Returns a number with two decimals, a dash for none."""
    return '-' if value is None else f'{value:.2f}'


HELPERS = {'clock': clock, 'ms': milliseconds, 'figure': figure}


@operator_routes.route('GET', '/')
async def overview(app: operators.OperatorApp) -> quart.Response:
    """The status page: routers, upstreams, rules, recent decisions."""
    wanted = operator_decisions.read_filter()
    text = await quart.render_template(
        'status.html',
        status=operator_status.status_json(app),
        wanted=wanted,
        decisions=operator_decisions.select(
            app.decisions, wanted, SHOWN_DECISIONS
        ),
        refresh=REFRESH_SECONDS,
        live='live' in quart.request.args,
        live_url=f'/?{wanted.query()}&live=1',
        still_url=f'/?{wanted.query()}',
        **HELPERS,
    )
    return quart.Response(text, content_type='text/html; charset=utf-8')


@operator_routes.route('GET', '/decisions/<decision_id>')
async def decision(
    app: operators.OperatorApp, decision_id: str
) -> quart.Response:
    """The page of one decision, down to the candidates."""
    found = app.decisions.get(decision_id)
    text = await quart.render_template(
        'decision.html',
        router=app.name,
        decision=found,
        decision_id=decision_id,
        capacity=app.decisions.capacity,
        **HELPERS,
    )
    return quart.Response(
        text,
        status=200 if found else 404,
        content_type='text/html; charset=utf-8',
    )
