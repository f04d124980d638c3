"""What follows when an attempt fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import retries
from lavenderbend.coordination.dispatch import attempts
from lavenderbend.coordination.dispatch import bodies
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination.dispatch import exchange
    from lavenderbend.coordination.dispatch import parts as parts_module
    from lavenderbend.state import upstreams

# nothing of the request can have run
NOT_STARTED = (errors.UpstreamUnreachable, errors.UpstreamRefused)

further_attempts = metrics.counter(
    'lavenderbend_retries_total',
    'Further attempts, by the error of the one before.',
)


async def note_failure(
    run: exchange.Exchange, error: errors.UpstreamError
) -> None:
    """Notes what a failed attempt means for the outcome."""
    if not isinstance(error, NOT_STARTED):
        run.dispatched = True
    quarantine = run.parts.quarantine
    if quarantine is None or not isinstance(error, errors.UpstreamLost):
        return
    attempt = run.attempt
    upstream = attempt.permit.upstream
    lost_at = trio.current_time()
    if await crashed(run.parts, upstream, attempt.instance):
        await quarantine.crashed(
            run.fingerprint,
            upstream.id,
            attempt.instance,
            run.parts.in_progress(upstream.id),
            lost_at - attempt.record.started,
        )
        await quarantine.wait_notices(run.fingerprint)


async def crashed(
    parts: parts_module.Parts, upstream: upstreams.Vm, instance: str
) -> bool:
    """Returns whether the upstream that lost a request has crashed.

    A connection may be lost for other reasons; a process that still goes by
    the same instance id has not crashed, and its request is not to blame.
    """
    with trio.move_on_after(parts.settings.crash_check_seconds):
        try:
            report = await parts.upstream_client.report(upstream)
        except errors.UpstreamBroke as exc:
            return isinstance(exc, errors.UpstreamLost | errors.UpstreamStalled)
        except errors.UpstreamError:
            return True
        return not instance or report.instance != instance
    return True


def may_try_again(run: exchange.Exchange, error: errors.UpstreamError) -> bool:
    """Returns whether one more attempt is allowed."""
    then = run.rule.then
    if run.tries > then.retries:
        return False
    # no byte has left, so that another attempt is the first to be sent; it
    # loads no upstream twice and needs no budget
    if isinstance(error, errors.UpstreamUnreachable):
        return True
    if not then.idempotent or not retries.may_retry(run.request.headers):
        return False
    quarantine = run.parts.quarantine
    if quarantine is not None and not quarantine.may_retry(run.fingerprint):
        return False
    budget = run.parts.budget(run.decision.pool)
    return budget is None or budget.try_take()


def final_error(
    run: exchange.Exchange, error: errors.UpstreamError
) -> errors.RequestError:
    """Returns what the caller is told when no attempt is left."""
    wait = run.parts.settings.retry_after_seconds
    if run.dispatched:
        return errors.OutcomeUnknown(f'the answer is not whole: {error}')
    return errors.NoUpstream(f'no upstream took it: {error}', wait)


async def prepare_retry(
    run: exchange.Exchange, error: errors.UpstreamError
) -> None:
    """Returns when another attempt may be made.

    Raises:
        RequestError: No other attempt is allowed.
    """
    await note_failure(run, error)
    if not may_try_again(run, error):
        raise final_error(run, error) from error
    parts = run.parts
    pause = retries.backoff(
        run.tries, parts.rng, run.deadline, parts.settings.retries
    )
    if pause is None:
        raise final_error(run, error) from error
    further_attempts.inc({'error': type(error).__name__})
    await trio.sleep(pause)


async def recover(
    run: exchange.Exchange, error: errors.UpstreamError
) -> bytes | None:
    """Goes on with an answer of which the caller already has a part.

    Returns:
        The next piece, None when the answer is whole.

    Raises:
        RequestError: It cannot be completed.
    """
    while True:
        if not can_continue(run, error):
            await note_failure(run, error)
            raise final_error(run, error) from error
        stall = run.parts.settings.answers.stall_seconds
        run.deadline = max(run.deadline, trio.current_time() + stall)
        await prepare_retry(run, error)
        allow_same_upstream(run, error)
        try:
            return await run.try_once(resume_headers(run))
        except errors.UpstreamError as exc:
            error = exc


def can_continue(run: exchange.Exchange, error: errors.UpstreamError) -> bool:
    """Returns whether the answer can be continued at all."""
    if isinstance(error, errors.AnswerContradicts):
        return False
    stream = run.request.stream and run.check.events > 0
    return stream and (run.check.numbered or run.check.comparable)


def resume_headers(run: exchange.Exchange) -> dict[str, str]:
    """Returns the headers that ask an upstream to go on."""
    if not run.check.numbered:
        return {}
    return {attempts.RESUME_OFFSET: str(run.check.next_offset)}


def allow_same_upstream(
    run: exchange.Exchange, error: errors.UpstreamError
) -> None:
    """Lets the upstream that holds the run be chosen again."""
    broke_off = isinstance(error, errors.UpstreamBroke)
    if broke_off and run.check.numbered and run.avoid:
        run.avoid.pop()


def align(run: exchange.Exchange, attempt: attempts.Attempt) -> None:
    """Prepares the checks for the answer of a new attempt.

    Raises:
        UpstreamBroke: The answer does not continue the one so far.
        AnswerContradicts: It cannot be compared with the one so far.
    """
    if not run.passed_on:
        run.check.continue_from_start()
        return
    if not isinstance(attempt.body, bodies.StreamBody):
        raise errors.UpstreamBroke('the upstream did not go on')
    echo = attempt.answer.start.headers.get(attempts.RESUME_OFFSET)
    if run.check.numbered and echo == str(run.check.next_offset):
        run.check.continue_at_offset()
        return
    if not run.check.comparable:
        raise errors.AnswerContradicts('the answer cannot be compared')
    run.check.continue_from_start()
