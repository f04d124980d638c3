"""Exceptions of lavenderbend; each kind of failure has its own class."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What a caller may conclude about its request.

    `NOT_RUN` is a guarantee: no part of the request can have run.
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
        category: Kind of error, shown to operators before the message.
    """

    category = 'error'


class RegistrationError(LavenderbendError):
    """A name is registered twice, or is not registered."""

    category = 'registration error'


class SettingsError(LavenderbendError):
    """A settings or rules file cannot be used."""

    category = 'settings error'


class PeerError(LavenderbendError):
    """A call to a peer router failed."""

    category = 'peer error'


class PeerUnreachable(PeerError):
    """No reply from the peer in time; it may have acted on the message."""


class PeerRefused(PeerError):
    """The peer replied with an error; it has not acted on the message."""


class CodecError(LavenderbendError):
    """Data cannot be encoded or decoded."""

    category = 'codec error'


class KeyValueError(LavenderbendError):
    """A call to the key-value service failed."""

    category = 'key-value error'


class KeyValueUnavailable(KeyValueError):
    """The call did not reach the service, or was refused by it.

    Nothing was written.
    """


class KeyValueUncertain(KeyValueError):
    """The reply to a call was lost; a write may have taken effect."""


class UpstreamError(LavenderbendError):
    """A request to an upstream failed.

    Attributes:
        ended_by: Who ended the attempt.
    """

    category = 'upstream error'
    ended_by = EndedBy.UPSTREAM


class ConnectFailure(enum.Enum):
    """How the opening of a connection failed."""

    UNKNOWN = 'unknown'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'


class UpstreamUnreachable(UpstreamError):
    """No connection to the upstream; no byte of the request was sent.

    Attributes:
        failure: How the opening of the connection failed.
    """

    def __init__(
        self, detail: str, failure: ConnectFailure = ConnectFailure.UNKNOWN
    ) -> None:
        super().__init__(detail)
        self.failure = failure


class UpstreamWithdrawn(UpstreamUnreachable):
    """The upstream left or paused before the request was sent."""


class RelayUnavailable(UpstreamUnreachable):
    """A router did not say whether it reaches the upstream."""


class UpstreamRefused(UpstreamError):
    """The upstream refused the request without starting it."""


class UpstreamReplaced(UpstreamRefused):
    """The upstream has gone; another process answered at its address."""


class UpstreamBroke(UpstreamError):
    """The connection or the answer failed after the request was sent."""

    ended_by = EndedBy.ROUTER


class UpstreamLost(UpstreamBroke):
    """The connection was lost; the upstream may have crashed."""

    ended_by = EndedBy.UPSTREAM


class RelayLost(UpstreamBroke):
    """The connection to the router that relays the exchange was lost.

    It says nothing about the upstream.
    """


class UpstreamStalled(UpstreamBroke):
    """The upstream sent no byte within the time allowed."""


class AnswerMismatch(UpstreamError):
    """The answer carries the id of another request."""

    ended_by = EndedBy.ROUTER


class AnswerContradicts(UpstreamError):
    """The answer of a retry contradicts what the caller has received."""

    ended_by = EndedBy.ROUTER


class RequestError(LavenderbendError):
    """A request ended without a complete answer.

    Attributes:
        outcome: What the caller may conclude.
        status: The HTTP status code.
        kind: The last part of the problem type (RFC 9457).
        detail: What went wrong, for the caller.
        retry_after: Seconds after which the caller may retry, if known.
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
    """The request is malformed."""

    status = 400
    kind = 'request-invalid'


class RequestTooLarge(RequestError):
    """The header or the body of the request exceeds its size limit."""

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
    """The customer exceeds its limit."""

    status = 429
    kind = 'customer-over-limit'


class NoUpstream(RequestError):
    """No upstream of the pool is eligible for the request."""

    kind = 'no-upstream'


class BeginsTooLate(RequestError):
    """No upstream could begin the request in time."""

    kind = 'begins-too-late'


class StreamVersionUnknown(RequestError):
    """No router knows the software version that alone may go on."""

    kind = 'stream-version-unknown'


class PoolFull(RequestError):
    """All upstreams of the pool were at their limits until the deadline."""

    kind = 'pool-full'


class NotWaiting(RequestError):
    """The request is not in the queue of the owner that was polled."""

    kind = 'not-waiting'


class RouterStopping(RequestError):
    """The router is stopping; another router can accept the request."""

    kind = 'router-stopping'


class RouterOverloaded(RequestError):
    """The router has no room for the request; another one may have."""

    kind = 'router-overloaded'


class NoConfiguration(RequestError):
    """The router has no accepted configuration yet."""

    kind = 'no-configuration'


class ClaimUnavailable(RequestError):
    """The claim of a non-idempotent request cannot be committed at present."""

    kind = 'claim-unavailable'


class IdempotencyKeyMissing(RequestError):
    """A non-idempotent request has no Idempotency-Key."""

    status = 400
    kind = 'idempotency-key-missing'


class IdempotencyKeyReused(RequestError):
    """The Idempotency-Key was already used with a different body."""

    status = 422
    kind = 'idempotency-key-reused'


class RequestQuarantined(RequestError):
    """The request is quarantined because it has crashed upstreams."""

    status = 422
    kind = 'request-quarantined'


class RequestFailed(RequestError):
    """The request ran and failed."""

    outcome = Outcome.FAILED
    status = 502
    kind = 'failed'


class OutcomeUnknown(RequestError):
    """The request may have run; the router cannot determine whether it did."""

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
        allowed: Which values are allowed.
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
    """All faults of a settings or rules file, which is rejected as a whole."""

    def derive(self, excs: list[Exception]) -> DocumentErrors:
        """Returns a group of the same type with other errors."""
        return DocumentErrors(self.message, excs)


class OperatorError(LavenderbendError):
    """A call to the operators' interface failed."""

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
    """Peer links on addresses other than loopback require mutual TLS."""


class TlsFilesInvalid(SettingsError):
    """The certificate, key or CA file of peer links cannot be used."""


class PeerProtocolError(PeerError):
    """A peer violated the protocol or failed authentication."""


class LogCompacted(KeyValueError):
    """The requested log entries have been deleted."""


class ClaimLayoutDiffers(KeyValueError):
    """The stored claims use a different number of shards than this router."""


class LeaseLost(KeyValueError):
    """It is no longer certain that the lease is held."""


class ConfigurationError(LavenderbendError):
    """A configuration was not accepted."""

    category = 'configuration error'


class ConfigurationInvalid(ConfigurationError):
    """The document is inconsistent; no revision was accepted."""


class ConfigurationTooLarge(ConfigurationError):
    """The document exceeds the value size of the key-value service."""


class ConfigurationConflict(ConfigurationError):
    """Another change was accepted since the revision that was edited.

    Attributes:
        seen: Revision that the document is based on.
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
    """The configuration may be outdated, and the request is refused.

    Either the router is cut off from the key-value service and all peers and
    its policy is to refuse requests, or the request requires a more recent
    configuration.
    """

    kind = 'configuration-stale'


class OrderError(UpstreamError):
    """An engine did not execute an order."""


class OrderRefused(OrderError):
    """The engine has seen a higher fencing number.

    Attributes:
        highest: The highest fencing number that the engine has seen.
    """

    def __init__(self, highest: int) -> None:
        super().__init__(f'the engine has seen fencing number {highest}')
        self.highest = highest


class AnswerInterrupted(LavenderbendError):
    """A write to a caller would follow an interrupted write."""

    category = 'answer interrupted'


class CallerGone(RequestError):
    """The caller disconnected before its answer was complete."""

    outcome = Outcome.UNKNOWN
    status = 499
    kind = 'caller-gone'
