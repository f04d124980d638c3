"""The errors of lavenderbend; each failure has its own type."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What a caller may conclude about its request.

    `NOT_RUN` is a promise: nothing of the request can have run.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class EndedBy(enum.Enum):
    """Who ended an attempt at an upstream."""

    UPSTREAM = 'upstream'
    ROUTER = 'router'
    CALLER = 'caller'


class LavenderbendError(Exception):
    """Base of every error of this package.

    Attributes:
        category: One word group that operators see before the message.
    """

    category = 'error'


class RegistrationError(LavenderbendError):
    """A name was registered twice, or looked up and not found."""

    category = 'registration error'


class SettingsError(LavenderbendError):
    """A settings or rules file cannot be used."""

    category = 'settings error'


class PeerError(LavenderbendError):
    """A peer router did not do what it was asked."""

    category = 'peer error'


class PeerUnreachable(PeerError):
    """No answer came from the peer in time; it may have acted."""


class PeerRefused(PeerError):
    """The peer answered with an error; it has not acted."""


class CodecError(LavenderbendError):
    """Bytes that are no message of ours."""

    category = 'codec error'


class KeyValueError(LavenderbendError):
    """The key-value service did not do what it was asked."""

    category = 'key-value error'


class KeyValueUnavailable(KeyValueError):
    """The call did not reach the service, or the service refused it.

    Nothing was written.
    """


class KeyValueUncertain(KeyValueError):
    """The answer to a call was lost; a write may have taken effect."""


class UpstreamError(LavenderbendError):
    """An upstream did not answer as it should.

    Attributes:
        ended_by: Who ended the attempt.
    """

    category = 'upstream error'
    ended_by = EndedBy.UPSTREAM


class UpstreamUnreachable(UpstreamError):
    """No connection; no byte of the request has left."""


class UpstreamWithdrawn(UpstreamUnreachable):
    """It left, or asked for no requests, before this one was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream refused the request before it started it."""


class UpstreamReplaced(UpstreamRefused):
    """Another process answered at the upstream's address; it has gone."""


class UpstreamBroke(UpstreamError):
    """The connection or the answer broke after the request was sent."""

    ended_by = EndedBy.ROUTER


class UpstreamLost(UpstreamBroke):
    """The connection was lost; the upstream may have crashed."""

    ended_by = EndedBy.UPSTREAM


class UpstreamStalled(UpstreamBroke):
    """No byte came within the time allowed."""


class AnswerMismatch(UpstreamError):
    """The answer carries the id of another request."""

    ended_by = EndedBy.ROUTER


class AnswerContradicts(UpstreamError):
    """A further attempt answers something else than the caller has."""

    ended_by = EndedBy.ROUTER


class RequestError(LavenderbendError):
    """A request that ends without its whole answer.

    Attributes:
        outcome: What the caller may conclude.
        status: The HTTP status code.
        kind: The last part of the problem type (RFC 9457).
        retry_after: Seconds after which another try makes sense, if any.
    """

    category = 'request error'
    outcome = Outcome.NOT_RUN
    status = 503
    kind = 'not-run'

    def __init__(self, detail: str, retry_after: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after


class NotAuthenticated(RequestError):
    """The credential is missing or wrong."""

    status = 401
    kind = 'not-authenticated'


class RequestInvalid(RequestError):
    """The request cannot be read."""

    status = 400
    kind = 'request-invalid'


class RequestTooLarge(RequestError):
    """Header or body are over the limit."""

    status = 413
    kind = 'request-too-large'


class NoRuleMatched(RequestError):
    """No rule matches the request."""

    status = 404
    kind = 'no-rule-matched'


class RejectedByRule(RequestError):
    """The first matching rule rejects the request."""

    status = 403
    kind = 'rejected-by-rule'


class CustomerOverLimit(RequestError):
    """The customer is over its limit."""

    status = 429
    kind = 'customer-over-limit'


class NoUpstream(RequestError):
    """No upstream of the pool may take the request."""

    kind = 'no-upstream'


class PoolFull(RequestError):
    """Every upstream of the pool is at its limit until the deadline."""

    kind = 'pool-full'


class NotWaiting(RequestError):
    """An owner does not know of the request that is said to wait there."""

    kind = 'not-waiting'


class RouterStopping(RequestError):
    """The router is stopping; another router takes the request."""

    kind = 'router-stopping'


class NoConfiguration(RequestError):
    """The router has no accepted configuration yet."""

    kind = 'no-configuration'


class ClaimUnavailable(RequestError):
    """The claim of a non-idempotent request cannot be committed now."""

    kind = 'claim-unavailable'


class IdempotencyKeyMissing(RequestError):
    """A non-idempotent request without an Idempotency-Key."""

    status = 400
    kind = 'idempotency-key-missing'


class IdempotencyKeyReused(RequestError):
    """The same Idempotency-Key with another body."""

    status = 422
    kind = 'idempotency-key-reused'


class RequestQuarantined(RequestError):
    """The same request has crashed upstreams before."""

    status = 422
    kind = 'request-quarantined'


class RequestFailed(RequestError):
    """The request ran and did not succeed."""

    outcome = Outcome.FAILED
    status = 502
    kind = 'failed'


class OutcomeUnknown(RequestError):
    """The request may have run; nobody can tell."""

    outcome = Outcome.UNKNOWN
    status = 504
    kind = 'unknown'


class DocumentError(SettingsError):
    """One fault of a settings or rules file.

    Attributes:
        file: Name of the file.
        line: Line, counted from 1.
        key: Path of the key, such as `rules[2].then.timeout`.
        fault: What is wrong.
        allowed: What may stand there.
    """

    def __init__(
        self, file: str, line: int, key: str, fault: str, allowed: str
    ) -> None:
        super().__init__(f'{file}:{line}: {key}: {fault}; allowed: {allowed}')
        self.file = file
        self.line = line
        self.key = key
        self.fault = fault
        self.allowed = allowed


class DocumentErrors(ExceptionGroup, SettingsError):
    """All faults of a settings or rules file; nothing of it is used."""

    def derive(self, excs: list[Exception]) -> DocumentErrors:
        """Returns a group of the same type over other errors."""
        return DocumentErrors(self.message, excs)


class OperatorError(LavenderbendError):
    """The operators' interface did not do what it was asked."""

    category = 'operator error'


class OperatorUnreachable(OperatorError):
    """The operators' interface cannot be reached."""


class OperatorRefused(OperatorError):
    """The operators' interface refused a call.

    Attributes:
        status: The HTTP status code.
        kind: The last part of the problem type (RFC 9457).
    """

    def __init__(self, status: int, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind


class PeerTlsRequired(SettingsError):
    """Peers would be served beyond loopback without mutual TLS."""


class TlsFilesInvalid(SettingsError):
    """Certificate, key or authorities of peer links cannot be used."""


class PeerProtocolError(PeerError):
    """A peer broke the protocol, or is not who it says it is."""


class LogCompacted(KeyValueError):
    """Entries of a log that were asked for have been deleted."""


class ClaimLayoutDiffers(KeyValueError):
    """The claims are spread over another number of shards than here."""


class LeaseLost(KeyValueError):
    """The lease is no longer surely held."""


class ConfigurationError(LavenderbendError):
    """A configuration was not accepted."""

    category = 'configuration error'


class ConfigurationInvalid(ConfigurationError):
    """The document breaks its own terms; nothing was accepted."""


class ConfigurationTooLarge(ConfigurationError):
    """The document does not fit a value of the key-value service."""


class ConfigurationConflict(ConfigurationError):
    """Another change was accepted since the revision that was seen.

    Attributes:
        seen: Revision that the document was made from.
        newest: Newest accepted revision.
        difference: What changed between the two, one line each.
    """

    def __init__(
        self, seen: int, newest: int, difference: tuple[str, ...]
    ) -> None:
        super().__init__(
            f'made from revision {seen}, but {newest} is accepted: '
            + '; '.join(difference)
        )
        self.seen = seen
        self.newest = newest
        self.difference = difference


class ConfigurationStale(NoConfiguration):
    """The router is cut off and its policy is to refuse requests."""

    kind = 'configuration-stale'


class OrderError(UpstreamError):
    """An engine did not carry out an order."""


class OrderRefused(OrderError):
    """The engine has seen a higher fencing number.

    Attributes:
        highest: That number.
    """

    def __init__(self, highest: int) -> None:
        super().__init__(f'the engine has seen fencing number {highest}')
        self.highest = highest


class AnswerInterrupted(LavenderbendError):
    """A write to a caller would follow one that was cut half done."""

    category = 'answer interrupted'


class CallerGone(RequestError):
    """The caller went away before its answer was whole."""

    outcome = Outcome.UNKNOWN
    status = 499
    kind = 'caller-gone'
