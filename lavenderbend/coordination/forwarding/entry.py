"""From a caller's request to what may be done with it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import events
from lavenderbend.coordination.forwarding import tickets
from lavenderbend.coordination.rules import rules as rules_module
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

SCHEME = 'bearer '
LAST_EVENT_ID = 'last-event-id'
MAX_DEADLINE_MILLISECONDS = 24 * 3600 * 1000
# a router that has just started or woken knows better after one read
WAIT_FRESH_SECONDS = 0.3
# callers come back at most after a third of the time that they have left
COME_BACK_PART = 0.3
MIN_COME_BACK_SECONDS = 0.05
MAX_COME_BACK_SECONDS = 1.0
SHARE_STEPS = 1_000_000


def come_back_seconds(left: float) -> float:
    """Returns when a caller should ask again, by the time it has left."""
    seconds = left * COME_BACK_PART
    return min(max(seconds, MIN_COME_BACK_SECONDS), MAX_COME_BACK_SECONDS)


class Entry:
    """Finds the rule and the customer of each request.

    Attributes:
        compiled: The rules of the version in force.
        customers: Customers by credential, of that version.
        version: That version.
        hits: How often each rule was the first match, by name.
        unmatched: How many requests no rule matched.
    """

    def __init__(
        self,
        followed: snapshots.Snapshots,
        headers: forwarding_settings.ForwardHeaders,
        apply_seconds: float,
    ) -> None:
        self.followed = followed
        self.headers = headers
        self.apply_seconds = apply_seconds
        self.version = -1
        self.compiled = rules_module.CompiledRules(())
        self.customers: dict[str, forwarding.ForwardCustomer] = {}
        self.hits: collections.Counter[str] = collections.Counter()
        self.unmatched = 0

    async def admit(self, request: interfaces.CallerRequest) -> tickets.Ticket:
        """Returns the ticket of a request.

        Raises:
            RequestError: It is refused.
        """
        try:
            return await self.decide(request)
        except (errors.NoRuleMatched, errors.NotAuthenticated):
            # a router that was cut off or asleep may lack a route or a
            # credential: its caller must not be told that there is none
            if self.followed.age < self.apply_seconds:
                raise
            await self.require_fresh(self.apply_seconds, request)
            return await self.decide(request)

    async def decide(self, request: interfaces.CallerRequest) -> tickets.Ticket:
        """Returns the ticket by the version in force.

        Raises:
            RequestError: It is refused.
        """
        table = self.followed.table
        if table is None:
            await self.require_fresh(self.apply_seconds, request)
            table = self.followed.table
        if table is None:
            raise errors.NoConfiguration(
                'no configuration was read yet', WAIT_FRESH_SECONDS
            )
        self.compile(table)
        rule = self.compiled.find(self.facts(request))
        if rule is None:
            self.unmatched += 1
            raise errors.NoRuleMatched('no rule matches')
        self.hits[rule.name] += 1
        customer = None
        if table.customers and not rule.then.public:
            customer = await self.customer(request)
        return self.ticket(request, rule, customer)

    def compile(self, table: forwarding.ForwardingTable) -> None:
        """Prepares the rules and credentials of a version, once."""
        if table.version == self.version:
            return
        compiled = rules_module.CompiledRules(table.rules, self.compiled)
        customers = {
            credential: customer
            for customer in table.customers
            for credential in customer.credentials
        }
        # all or nothing: a fault on the way must not leave credentials of the
        # version before under the number of this one
        self.compiled = compiled
        self.customers = customers
        self.version = table.version

    def facts(self, request: interfaces.CallerRequest) -> rules_module.Facts:
        """Returns what rules look at."""
        host = (request.header('host') or '').lower()
        return rules_module.Facts(
            customer='',
            method=request.method.decode('latin-1'),
            path=request.target.decode('latin-1').partition('?')[0],
            headers={'host': host.partition(':')[0]},
        )

    async def customer(
        self, request: interfaces.CallerRequest
    ) -> forwarding.ForwardCustomer:
        """Returns the customer of a request's credential.

        Raises:
            ConfigurationStale: The credential may have been taken away.
            NotAuthenticated: There is no such credential.
        """
        if not self.followed.may_serve_credentials():
            await self.require_fresh(
                self.followed.settings.revocation_seconds / 2, request
            )
            return self.find_customer(request)
        return self.find_customer(request)

    def find_customer(
        self, request: interfaces.CallerRequest
    ) -> forwarding.ForwardCustomer:
        """Returns the customer by the version in force.

        Raises:
            NotAuthenticated: There is no such credential.
        """
        table = self.followed.table
        self.compile(table)
        value = request.header('authorization') or ''
        if value[: len(SCHEME)].lower() != SCHEME:
            raise errors.NotAuthenticated('the credential is missing')
        customer = self.customers.get(value[len(SCHEME) :].strip())
        if customer is None:
            raise errors.NotAuthenticated('the credential is wrong')
        return customer

    async def require_fresh(
        self, seconds: float, request: interfaces.CallerRequest
    ) -> None:
        """Waits a moment for a fresh snapshot.

        Raises:
            ConfigurationStale: None came.
        """
        if await self.followed.wait_fresh(seconds, WAIT_FRESH_SECONDS):
            return
        left = self.caller_deadline(request, 1.0) - trio.current_time()
        raise errors.ConfigurationStale(
            f'the configuration was last confirmed {self.followed.age:.1f} s '
            'ago',
            come_back_seconds(left),
        )

    def caller_deadline(
        self, request: interfaces.CallerRequest, timeout: float
    ) -> float:
        """Returns the router clock at which the caller gives up."""
        text = request.header(self.headers.deadline) or ''
        seconds = timeout
        if text.isdigit():
            stated = min(int(text), MAX_DEADLINE_MILLISECONDS) / 1000
            seconds = min(seconds, stated)
        return request.arrived + seconds

    def ticket(
        self,
        request: interfaces.CallerRequest,
        rule: forwarding.ForwardRule,
        customer: forwarding.ForwardCustomer | None,
    ) -> tickets.Ticket:
        """Returns the ticket of an admitted request."""
        then = rule.then
        request_id = request.header(self.headers.request_id) or ''
        rank = then.rank
        if customer is not None and customer.rank is not None:
            rank = customer.rank
        last = request.header(LAST_EVENT_ID) or ''
        return tickets.Ticket(
            id=request_id,
            request=request,
            rule=rule,
            service=pool_of(then, request_id),
            customer='' if customer is None else customer.name,
            rank=rank,
            deadline=self.caller_deadline(request, then.timeout),
            need=choice.RequestPrompt(
                choice.parse_parts(request.header(self.headers.prompt_parts))
            ),
            cutter=events.EventCutter(
                events.parse_number(last.encode('latin-1'))
            ),
        )


def pool_of(then: forwarding.Forward, request_id: str) -> str:
    """Returns the pool of a request, by the weights of its rule."""
    if len(then.pools) == 1:
        return then.pools[0].pool
    total = sum(share.weight for share in then.pools)
    unit = hashing.hash64(request_id) % SHARE_STEPS / SHARE_STEPS
    point = unit * total
    for share in then.pools:
        point -= share.weight
        if point < 0:
            return share.pool
    return then.pools[-1].pool
