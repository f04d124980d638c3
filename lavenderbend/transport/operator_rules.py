"""The operators' views of the rules: show, compare and apply."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

import attrs
import quart
import trio

from lavenderbend import errors
from lavenderbend.coordination.rules import checks as rule_checks
from lavenderbend.coordination.rules import differences as rule_differences
from lavenderbend.observe import logs
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration
from lavenderbend.transport import operator_routes

if TYPE_CHECKING:
    from lavenderbend.coordination.configuration import log as configuration_log
    from lavenderbend.transport import operators

DEFAULT_HISTORY = 20
MAX_HISTORY = 1000
IN_FORCE_TIMEOUT_SECONDS = 10.0
MAX_IN_FORCE_TIMEOUT_SECONDS = 60.0


def revision_json(
    revision: configuration.Revision | configuration_log.HistoryEntry,
) -> dict[str, Any]:
    """Returns the number, digest, author, reason and time of a revision."""
    return {
        'number': revision.number,
        'digest': revision.digest,
        'author': revision.author,
        'reason': revision.reason,
        'accepted_at': revision.accepted_at,
    }


async def parse(text: bytes) -> configuration.Configuration:
    """Returns the configuration in the body of a call.

    Parses in a thread, as a large document takes a second and requests of
    callers are served meanwhile.

    Raises:
        DocumentErrors: The document is invalid; contains all its faults.
    """
    return await trio.to_thread.run_sync(
        documents_yaml.parse_configuration, text, 'rules'
    )


@operator_routes.route('GET', '/v1/rules')
async def show(app: operators.OperatorApp) -> quart.Response:
    """The configuration in force on this router, as editable YAML."""
    revision = app.configurations.chain.current()
    return operator_routes.as_json(
        {
            **revision_json(revision),
            'document': documents_yaml.dump_configuration(revision.document),
        }
    )


@operator_routes.route('GET', '/v1/rules/history')
async def history(app: operators.OperatorApp) -> quart.Response:
    """The latest revisions, newest first, with author, time and reason."""
    limit = min(operator_routes.integer('limit', DEFAULT_HISTORY), MAX_HISTORY)
    revisions = await app.configuration_log.history(limit)
    newest_first = reversed(revisions)
    return operator_routes.as_json([revision_json(r) for r in newest_first])


@operator_routes.route('POST', '/v1/rules/apply')
async def apply(app: operators.OperatorApp) -> quart.Response:
    """Accepts a configuration that was edited from the revision seen.

    Responds when the configuration is in force on every live router, or names
    the routers that did not report this in time.
    """
    args = quart.request.args
    text = await quart.request.get_data()
    document = await parse(text)
    if 'seen' not in args:
        raise errors.RequestInvalid('seen must give the revision seen')
    seen = operator_routes.integer('seen', 0)
    wait = operator_routes.seconds(
        'wait', IN_FORCE_TIMEOUT_SECONDS, MAX_IN_FORCE_TIMEOUT_SECONDS
    )
    started = trio.current_time()
    accepted = await app.configuration_log.accept(
        document, seen, args.get('author', ''), args.get('reason', '')
    )
    logs.change(
        'configuration_accepted',
        number=accepted.number,
        author=accepted.author,
        reason=accepted.reason,
    )
    missing = await app.configurations.wait_in_force(accepted.number, wait)
    warnings = await trio.to_thread.run_sync(rule_checks.warnings, document)
    return operator_routes.as_json(
        {
            **revision_json(accepted),
            'in_force': not missing,
            'missing': list(missing),
            'seconds': round(trio.current_time() - started, 3),
            'warnings': [warning.text for warning in warnings],
        }
    )


@operator_routes.route('POST', '/v1/rules/diff')
async def diff(app: operators.OperatorApp) -> quart.Response:
    """Recorded decisions that would be different under other rules."""
    text = await quart.request.get_data()
    document = await parse(text)
    current = app.configurations.chain.current()
    candidate = configuration.Revision(current.number + 1, '', document)
    limit = operator_routes.integer('limit', app.decisions.capacity)
    recorded = list(itertools.islice(app.decisions, limit))
    # in a thread: thousands of decisions take a while, and requests of callers
    # are served meanwhile
    comparison = await trio.to_thread.run_sync(
        rule_differences.differences, recorded, current, candidate
    )
    return operator_routes.as_json(
        {'seen': current.number, **attrs.asdict(comparison)}
    )
