"""The configuration document, the same on every router."""

from __future__ import annotations

import attrs

from lavenderbend.state import requests
from lavenderbend.state import upstreams


@attrs.frozen
class When:
    """Conditions of a rule; all conditions that are given must match.

    A text must match completely; with a trailing `*` it matches as a prefix.
    A tuple matches if one of its members does; an empty tuple always matches.

    Attributes:
        customer: Customer names.
        method: HTTP methods.
        path: Paths without the query string.
        header: Texts by header name, in lower case.
        model: Models named in the body.
        adapter: Adapters named in the body.
        availability_zone: Zones of the entry router.
        priority: Values of the header `x-priority`.
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
    """Action of a rule; exactly one of `pool` and `reject` is given.

    Attributes:
        pool: Name of the pool that requests are sent to.
        reject: Refuses requests, with this reason for the caller.
        model: Replaces the model in the body.
        adapter: Replaces the adapter in the body.
        priority: Priority of the request.
        timeout: Seconds from arrival to the deadline.
        retries: Maximum number of retries of an idempotent request.
        idempotent: False for requests that may run at most once.
        limit: Requests per second of each customer under this rule, 0 for
            no limit.
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
    """A rule with conditions and an action.

    Attributes:
        name: Unique within the configuration.
        when: The conditions.
        then: Action if this is the first rule that matches.
    """

    name: str
    then: Then
    when: When = attrs.field(factory=When)


@attrs.frozen
class Pool:
    """Upstreams of a service and the limits of their load.

    Attributes:
        name: Unique within the configuration.
        service: The pool consists of the upstreams of this service in the VM
            list.
        kind: Engine or plain service.
        bound: Factor c of bounded loads: no engine is loaded above c times
            the mean load.
        floor: Load that is always allowed, whatever the mean.
        max_load: Maximum number of requests on one upstream; further ones
            wait.
        max_waiting: Maximum number of requests that wait for the pool;
            further ones are refused.
        groups: Number of groups of upstreams, each with its own owner.
        checks_fencing: Whether its engines refuse outdated fencing tokens.
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
        credentials: `salt$sha256(salt + credential)` in hex, for each
            credential.
        weight: Weight against other customers when a full pool is shared.
        requests_per_second: Fleet-wide limit, 0 for no limit.
        burst: Requests above the rate that are allowed at once.
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
        model: Model to serve.
        version: Version of the model's weights.
        replicas: Number of engines in each region that serve the model.
        adapters: Adapters to load in addition to the model.
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
    """The complete configuration document.

    Attributes:
        rules: Rules in order of precedence; the first match applies.
        pools: Pools, in any order.
        customers: Customers, in any order.
        orders: Desired state of engines.
    """

    rules: tuple[Rule, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    orders: tuple[Order, ...] = ()

    def pool(self, name: str) -> Pool | None:
        """Returns the pool with a name, or None if there is none."""
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
        author: Name of whoever applied the configuration.
        reason: Reason given for the change.
        accepted_at: Seconds since the epoch, by the operator's clock.
    """

    number: int
    digest: str
    document: Configuration
    author: str = ''
    reason: str = ''
    accepted_at: float = 0.0
