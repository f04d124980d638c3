"""The accepted configuration: the same document on every router."""

from __future__ import annotations

import attrs

from lavenderbend.state import requests
from lavenderbend.state import upstreams


@attrs.frozen
class When:
    """Conditions of a rule; all that are given must hold.

    Texts are compared whole; a trailing `*` makes it a prefix. A tuple holds
    when one of its members does; an empty tuple always holds.

    Attributes:
        customer: Customer names.
        method: HTTP methods.
        path: Paths without query.
        header: Header name (lower case) to text.
        model: Models named in the body.
        adapter: Adapters named in the body.
        availability_zone: Zones of the entry router.
        priority: Value of the header `x-priority`.
        share: Percentage of chats, chosen by a hash of the chat.
    """

    customer: tuple[str, ...] = ()
    method: tuple[str, ...] = ()
    path: tuple[str, ...] = ()
    header: dict[str, str] = attrs.field(factory=dict)
    model: tuple[str, ...] = ()
    adapter: tuple[str, ...] = ()
    availability_zone: tuple[str, ...] = ()
    priority: tuple[str, ...] = ()
    share: float = 100.0


@attrs.frozen
class Then:
    """Where a matched request goes; either `pool` or `reject` is given.

    Attributes:
        pool: Name of the pool.
        reject: Reason shown to the caller instead of routing.
        model: Replaces the model in the body.
        adapter: Replaces the adapter in the body.
        priority: Priority of the request.
        timeout: Seconds from arrival to the deadline.
        retries: Further attempts allowed for an idempotent request.
        idempotent: False for requests that may run at most once.
        limit: Requests a second for each customer under this rule, 0 for
            none.
    """

    pool: str | None = None
    reject: str | None = None
    model: str | None = None
    adapter: str | None = None
    priority: requests.Priority = requests.Priority.NORMAL
    timeout: float = 120.0
    retries: int = 2
    idempotent: bool = True
    limit: float = 0.0


@attrs.frozen
class Rule:
    """One when-then rule.

    Attributes:
        name: Unique within the configuration.
        when: The conditions.
        then: What happens if this is the first rule that matches.
    """

    name: str
    then: Then
    when: When = attrs.field(factory=When)


@attrs.frozen
class Pool:
    """Upstreams of one service and how they are loaded.

    Attributes:
        name: Unique within the configuration.
        service: Upstreams of this service (in the VM list) belong to it.
        kind: Engine or plain service.
        bound: c; no engine is loaded above c times the mean load.
        floor: Loads up to this are always allowed.
        max_load: Hard limit of requests on one upstream; more wait.
        max_waiting: Requests that may wait for the pool; more are refused.
        groups: Parts of the pool that have owners of their own.
        checks_fencing: Whether its engines refuse old fencing numbers.
        exports_cache: Whether its engines export and import KV cache.
    """

    name: str
    service: str
    kind: upstreams.UpstreamKind = upstreams.UpstreamKind.ENGINE
    bound: float = 1.25
    floor: int = 2
    max_load: int = 64
    max_waiting: int = 1000
    groups: int = 1
    checks_fencing: bool = True
    exports_cache: bool = False


@attrs.frozen
class Customer:
    """A customer and its credentials.

    Attributes:
        name: Unique within the configuration.
        credentials: `salt$sha256(salt + credential)` in hex, each.
        weight: Share of a full pool against other customers.
        requests_per_second: Fleet-wide limit, 0 for none.
        burst: Requests above the rate that may come at once.
    """

    name: str
    credentials: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_second: float = 0.0
    burst: float = 0.0


@attrs.frozen
class Order:
    """Desired state of some engines of a pool.

    Attributes:
        pool: Name of the pool.
        model: Model that `replicas` engines serve.
        version: Version of its weights.
        replicas: How many engines of each region serve it.
        adapters: Adapters loaded beside it.
        role: Role of those engines.
    """

    pool: str
    model: str
    version: str
    replicas: int
    adapters: tuple[str, ...] = ()
    role: str = 'serve'


@attrs.frozen
class Configuration:
    """The whole accepted document.

    Attributes:
        rules: In order; the first match counts.
        pools: In any order.
        customers: In any order.
        orders: Desired state of engines.
    """

    rules: tuple[Rule, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    orders: tuple[Order, ...] = ()

    def pool(self, name: str) -> Pool | None:
        """Returns the pool of that name, if there is one."""
        for pool in self.pools:
            if pool.name == name:
                return pool
        return None


@attrs.frozen
class Revision:
    """A configuration and its place in the order of acceptance.

    Attributes:
        number: 1, 2, 3, ...; 0 before anything is accepted.
        digest: Hash of the document, equal on all routers.
        document: The configuration.
        author: Who had it accepted.
        reason: Why.
        accepted_at: Seconds since the epoch, by the operator's clock.
    """

    number: int
    digest: str
    document: Configuration
    author: str = ''
    reason: str = ''
    accepted_at: float = 0.0
