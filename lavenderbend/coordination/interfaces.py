"""Abstract interfaces through which decisions reach the outside.

The transport layer implements them over sockets, the tests in memory.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration
    from lavenderbend.state import decisions
    from lavenderbend.state import key_values
    from lavenderbend.state import requests
    from lavenderbend.state import upstreams

    Handler = Callable[[str, peer.Message], Awaitable[peer.Message | None]]


@attrs.frozen
class ReadResult:
    """Result of a read from the key-value store.

    Attributes:
        revision: Store revision at the time of the read.
        items: The key-value pairs, sorted by key.
    """

    revision: int
    items: tuple[key_values.KeyValue, ...]


@attrs.frozen
class Change:
    """One change reported by a watch.

    Attributes:
        item: The key-value pair after the change.
        deleted: Whether the key was deleted.
    """

    item: key_values.KeyValue
    deleted: bool = False


class KeyValueStore(abc.ABC):
    """Client of the platform's key-value service.

    Every call raises `KeyValueUnavailable` if it failed and nothing was
    written, and `KeyValueUncertain` if a write may have taken effect.
    """

    @abc.abstractmethod
    async def read(
        self, key: str, end: str | None = None, limit: int = 0
    ) -> ReadResult:
        """Reads one key, or the keys from `key` up to `end` (exclusive)."""

    @abc.abstractmethod
    async def create(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        present: str | None = None,
        absent: str | None = None,
    ) -> bool:
        """Writes the key only if it is absent; returns whether it was written.

        `present` names another key that must exist at the time of the write,
        `absent` one that must not exist.
        """

    @abc.abstractmethod
    async def replace(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Writes the key only if it is unchanged since `mod_revision`.

        Returns whether it was written.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, end: str | None = None, mod_revision: int | None = None
    ) -> int:
        """Deletes one key, or the keys from `key` up to `end` (exclusive).

        With `mod_revision`, a key is deleted only if that is its revision.
        Returns the number of deleted keys.
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Returns the id of a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> float:
        """Renews a lease.

        Returns the seconds until it expires, 0 if it no longer exists.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""

    @abc.abstractmethod
    def watch(
        self, key: str, end: str | None, start_revision: int
    ) -> AsyncIterator[tuple[Change, ...]]:
        """Yields batches of changes from `start_revision` on, in order.

        Raises:
            KeyValueUnavailable: The connection was lost, or the revision has
                been compacted.
        """


class VmList(abc.ABC):
    """The platform's list of live and leaving VMs, which lags behind."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[upstreams.Vm, ...]:
        """Fetches the current list from the platform.

        Raises:
            OSError: The list cannot be fetched now.
        """


class PeerLink(abc.ABC):
    """Exchanges messages with other routers.

    Peers are identified by router id; membership passes their addresses to
    `set_peers`. Handlers are registered by message class before `run`.

    Attributes:
        name: Id of this router.
        handlers: By message class. A handler gets the peer's id and the
            message, and returns the reply, or None for a one-way message.
            A `RequestError` or `PeerError` that it raises is sent as
            `Failure`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.handlers: dict[type[peer.Message], Handler] = {}

    def handle(self, cls: type[peer.Message], handler: Handler) -> None:
        """Registers the handler of a message class."""
        self.handlers[cls] = handler

    @abc.abstractmethod
    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Sets the addresses of the peers, by router id."""

    @abc.abstractmethod
    async def request(
        self, peer_id: str, message: peer.Message, timeout: float
    ) -> peer.Message:
        """Sends a request and returns the reply.

        A request to this router itself calls the handler directly.

        Raises:
            PeerUnreachable: No reply within `timeout` seconds; the peer may
                have handled the request.
            PeerRefused: The peer replied with `Failure`; its kind is
                in `args[0]`, the message itself in `args[1]`.
        """

    @abc.abstractmethod
    def notify(self, peer_id: str, message: peer.Message) -> None:
        """Queues a one-way message, which is sent with the next batch.

        It may be dropped. The messages that one peer receives arrive in
        order.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Sends and receives messages until cancelled."""


@attrs.frozen
class AnswerStart:
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status.
        headers: Values by header name in lower case.
        instance: Instance id from the response, empty if there is none.
    """

    status: int
    headers: Mapping[str, str]
    instance: str = ''


class Configurations(abc.ABC):
    """Gives access to the configuration in force on this router."""

    @abc.abstractmethod
    def current(self) -> configuration.Revision:
        """Returns the revision in force.

        Raises:
            NoConfiguration: This router has not received any yet.
        """

    @abc.abstractmethod
    async def wait_beyond(self, number: int) -> configuration.Revision:
        """Waits for a revision newer than `number` and returns it."""


class Membership(abc.ABC):
    """Live routers, and upstreams that may get new requests."""

    @abc.abstractmethod
    def routers(self) -> tuple[str, ...]:
        """Returns the ids of the live routers, including this one."""

    def region_routers(self) -> tuple[str, ...]:
        """Returns the live routers of this router's region, including this one.

        Owners are chosen from these, so that a permit is never granted by a
        router of another region.
        """
        return self.routers()

    @abc.abstractmethod
    def upstreams(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service that may get new requests."""

    @abc.abstractmethod
    def report(self, upstream: str) -> upstreams.LoadReport | None:
        """Returns the latest load report of an upstream, None without one."""

    @abc.abstractmethod
    def report_at(self, upstream: str) -> float:
        """Returns this router's clock when the latest load report was taken.

        Minus infinity while there is no report.
        """

    @abc.abstractmethod
    async def wait_changed(self) -> None:
        """Waits until the live routers or the upstreams change."""


@attrs.frozen
class PermitRequest:
    """Request of an entry router for a permit.

    Attributes:
        request_id: Id of the request that the permit is for.
        pool: Name of the pool.
        customer: Name of the customer.
        chat: 64-bit hash of customer and chat key; 0 without a chat.
        model: Model that the upstream must serve, None for plain services.
        adapter: Adapter that the upstream should preferably have loaded.
        priority: Priority of the request.
        prompt_tokens: Estimated size of the prompt in tokens.
        deadline: Router clock at which the caller gets an error.
        avoid: Upstreams that earlier attempts of this request used.
        suspect: Whether an upstream crashed while it ran this request; see
            `quarantine.Quarantine.suspect`.
    """

    request_id: str
    pool: str
    customer: str
    chat: int
    model: str | None
    adapter: str | None
    priority: requests.Priority
    prompt_tokens: int
    deadline: float
    avoid: tuple[str, ...] = ()
    suspect: bool = False


@attrs.frozen
class Permit:
    """Permission to send one request to one upstream.

    Attributes:
        id: Unique id.
        upstream: The VM to send the request to.
        owner: Router that granted it, this router itself in degraded mode.
        reason: Why this upstream was chosen.
        passed_over: Candidates that were not chosen, and why.
        waited: Seconds that admission took.
        degraded: Whether it was granted without an owner.
    """

    id: str
    upstream: upstreams.Vm
    owner: str
    reason: str
    passed_over: tuple[decisions.PassedOver, ...] = ()
    waited: float = 0.0
    degraded: bool = False


class Admission(abc.ABC):
    """Grants permits so that no upstream is overloaded."""

    @abc.abstractmethod
    async def acquire(self, permit_request: PermitRequest) -> Permit:
        """Returns a permit, waiting for one until the deadline.

        Raises:
            NoUpstream: The pool has no upstream that could run the request.
            PoolFull: No upstream had room by the deadline, or too many
                requests are waiting.
            CustomerOverLimit: The customer is over its limit.
        """

    @abc.abstractmethod
    def release(self, permit: Permit, result: str) -> None:
        """Releases the permit; `result` is a value of `Attempt.result`."""


class UpstreamAnswer(abc.ABC):
    """Response of an upstream, read as it arrives.

    Attributes:
        start: Status and headers.
        detects_stalls: Whether `chunks` itself raises `UpstreamStalled`
            when no bytes arrive for too long.
        wait_to_read: Set by the reader. Returns the seconds to wait after
            bytes have arrived, so that more are read together with them.
    """

    start: AnswerStart
    detects_stalls = False
    wait_to_read: Callable[[], float] | None = None

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamBroke: The connection ended before the end of the body.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Ends the exchange; the upstream sees a disconnected caller."""


class UpstreamClient(abc.ABC):
    """Sends requests to upstreams."""

    @abc.abstractmethod
    async def open(
        self,
        vm: upstreams.Vm,
        request: requests.Request,
        headers: Mapping[str, str],
        timeout: float,
    ) -> UpstreamAnswer:
        """Sends a request; returns once the response headers have arrived.

        Raises:
            UpstreamUnreachable: No byte of the request was sent.
            UpstreamRefused: The upstream states that it did not start the
                request.
            UpstreamBroke: Any other failure.
        """

    @abc.abstractmethod
    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Fetches an engine's load report.

        Raises:
            UpstreamError: The report cannot be fetched now.
        """
