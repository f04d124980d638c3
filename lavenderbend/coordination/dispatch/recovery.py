"""Recovery from a failed attempt: retry, resume or error."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import retries
from lavenderbend.coordination.dispatch import attempts
from lavenderbend.coordination.dispatch import bodies
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination.dispatch import components as component_types
    from lavenderbend.coordination.dispatch import exchange as exchange_module
    from lavenderbend.state import upstreams

# errors after which the request cannot have run
NOT_STARTED = (errors.UpstreamUnreachable, errors.UpstreamRefused)

retries_counter = metrics.counter(
    'lavenderbend_retries_total',
    'Further attempts, by the error of the one before.',
)


async def note_failure(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> None:
    """Updates the outcome and the quarantine after a failed attempt."""
    if not isinstance(error, NOT_STARTED):
        exchange.dispatched = True
    quarantine = exchange.components.quarantine
    if quarantine is None or not isinstance(error, errors.UpstreamLost):
        return
    attempt = exchange.attempt
    upstream = attempt.permit.upstream
    lost_at = trio.current_time()
    if await crashed(exchange.components, upstream, attempt.instance):
        await quarantine.crashed(
            exchange.fingerprint,
            upstream.id,
            attempt.instance,
            exchange.components.in_progress(upstream.id),
            lost_at - attempt.record.started,
        )
        await quarantine.wait_notices(exchange.fingerprint)


async def crashed(
    components: component_types.Components,
    upstream: upstreams.Vm,
    instance: str,
) -> bool:
    """Returns whether the upstream that lost a request has crashed.

    A connection may be lost for other reasons. A process that still has the
    same instance id has not crashed, and the request is not the cause.
    """
    with trio.move_on_after(components.settings.crash_check_seconds):
        try:
            report = await components.upstream_client.report(upstream)
        except errors.UpstreamBroke as exc:
            return isinstance(exc, errors.UpstreamLost | errors.UpstreamStalled)
        except errors.UpstreamError:
            return True
        return not instance or report.instance != instance
    return True


def may_retry_now(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> bool:
    """Returns whether another attempt is allowed."""
    then = exchange.rule.then
    if exchange.attempt_count > then.retries:
        return False
    # no byte was sent, so another attempt is the first one that is; it loads
    # no upstream twice and needs no budget
    if isinstance(error, errors.UpstreamUnreachable):
        return True
    if not then.idempotent or not retries.may_retry(exchange.request.headers):
        return False
    quarantine = exchange.components.quarantine
    if quarantine is not None and not quarantine.may_retry(
        exchange.fingerprint
    ):
        return False
    budget = exchange.components.budget(exchange.decision.pool)
    return budget is None or budget.try_take()


def final_error(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> errors.RequestError:
    """Returns the error for the caller when no attempt is left."""
    retry_after = exchange.components.settings.retry_after_seconds
    if exchange.dispatched:
        return errors.OutcomeUnknown(f'the answer is incomplete: {error}')
    return errors.NoUpstream(
        f'no upstream accepted the request: {error}', retry_after
    )


async def prepare_retry(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> None:
    """Waits for the backoff before another attempt.

    Raises:
        RequestError: No other attempt is allowed.
    """
    await note_failure(exchange, error)
    if not may_retry_now(exchange, error):
        raise final_error(exchange, error) from error
    components = exchange.components
    pause = retries.backoff(
        exchange.attempt_count,
        components.rng,
        exchange.deadline,
        components.settings.retries,
    )
    if pause is None:
        raise final_error(exchange, error) from error
    retries_counter.inc({'error': type(error).__name__})
    await trio.sleep(pause)


async def continue_answer(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> bytes | None:
    """Continues an answer of which the caller already has a part.

    Returns:
        The next piece, None when the answer is complete.

    Raises:
        RequestError: The answer cannot be completed.
    """
    while True:
        if not can_continue(exchange, error):
            await note_failure(exchange, error)
            raise final_error(exchange, error) from error
        stall_seconds = exchange.components.settings.answers.stall_seconds
        exchange.deadline = max(
            exchange.deadline, trio.current_time() + stall_seconds
        )
        await prepare_retry(exchange, error)
        allow_same_upstream(exchange, error)
        try:
            return await exchange.make_attempt(resume_headers(exchange))
        except errors.UpstreamError as exc:
            error = exc


def can_continue(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> bool:
    """Returns whether the answer can be continued at all."""
    if isinstance(error, errors.AnswerContradicts):
        return False
    stream = exchange.request.stream and exchange.check.events > 0
    return stream and (exchange.check.numbered or exchange.check.comparable)


def resume_headers(exchange: exchange_module.Exchange) -> dict[str, str]:
    """Returns the headers that ask an upstream to resume."""
    if not exchange.check.numbered:
        return {}
    return {attempts.RESUME_OFFSET: str(exchange.check.next_offset)}


def allow_same_upstream(
    exchange: exchange_module.Exchange, error: errors.UpstreamError
) -> None:
    """Allows the upstream that ran the request to be chosen again."""
    broke_off = isinstance(error, errors.UpstreamBroke)
    if broke_off and exchange.check.numbered and exchange.avoid:
        exchange.avoid.pop()


def prepare_check(
    exchange: exchange_module.Exchange, attempt: attempts.Attempt
) -> None:
    """Prepares the checks for the answer of a new attempt.

    Raises:
        UpstreamBroke: The answer does not continue the one so far.
        AnswerContradicts: The answer cannot be compared with the one so far.
    """
    if not exchange.answer_begun:
        exchange.check.continue_from_start()
        return
    if not isinstance(attempt.body, bodies.StreamBody):
        raise errors.UpstreamBroke('the upstream did not resume the stream')
    echo = attempt.answer.start.headers.get(attempts.RESUME_OFFSET)
    if exchange.check.numbered and echo == str(exchange.check.next_offset):
        exchange.check.continue_at_offset()
        return
    if not exchange.check.comparable:
        raise errors.AnswerContradicts(
            'the answer cannot be compared with the relayed part'
        )
    exchange.check.continue_from_start()
