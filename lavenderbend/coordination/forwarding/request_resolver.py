"""Resolves a caller's request to its rule, customer, pool and deadline."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import events
from lavenderbend.coordination.forwarding import tickets
from lavenderbend.coordination.rules import rules as rules_module
from lavenderbend.protocol import counts
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

SCHEME = 'bearer '
LAST_EVENT_ID = 'last-event-id'
MAX_DEADLINE_MILLISECONDS = 24 * 3600 * 1000
# A router that has just started, or was suspended, is up to date after one
# read of the store; requests wait this long for it.
FRESH_WAIT_SECONDS = 0.3
# Callers are asked to retry within a third of the time that they have left.
RETRY_AFTER_FRACTION = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 1.0
POOL_SHARE_STEPS = 1_000_000


def retry_after_seconds(left: float) -> float:
    """Returns the Retry-After for a caller with `left` seconds left."""
    seconds = left * RETRY_AFTER_FRACTION
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


class RequestResolver:
    """Finds the rule and the customer of each request.

    Attributes:
        snapshots: The snapshots of this router.
        headers: Names of the headers.
        apply_seconds: Age of the configuration up to which an unknown route
            or credential is refused without a new read.
        compiled: The compiled rules of the version in force.
        customers: Customers of that version by credential.
        version: The configuration version in force.
        table: That version as it was read.
        hits: How often each rule was the first match, by name.
        unmatched: How many requests no rule matched.
    """

    def __init__(
        self,
        snapshots: snapshots_module.Snapshots,
        headers: forwarding_settings.ForwardHeaders,
        apply_seconds: float,
    ) -> None:
        self.snapshots = snapshots
        self.headers = headers
        self.apply_seconds = apply_seconds
        self.version = -1
        self.table: forwarding.ForwardingTable | None = None
        self.compiled = rules_module.CompiledRules(())
        self.customers: dict[str, forwarding.ForwardCustomer] = {}
        self.hits: collections.Counter[str] = collections.Counter()
        self.unmatched = 0

    async def admit(self, request: interfaces.CallerRequest) -> tickets.Ticket:
        """Returns the ticket of a request.

        Raises:
            RequestError: The request is refused.
        """
        rule, customer = await self.find(request, self.hits)
        return self.make_ticket(request, rule, customer)

    async def check(
        self, request: interfaces.CallerRequest
    ) -> tuple[caller_memory.Group, ...]:
        """Checks a request by its head, before its body is awaited.

        By the end of the body another configuration may be in force: `admit`
        decides by that one.

        Returns:
            The groups that its body is counted in.

        Raises:
            RequestError: The request is refused.
        """
        rule, customer = await self.find(request, collections.Counter())
        name = '' if customer is None else customer.name
        return caller_memory.body_groups(rule.name, name)

    async def find(
        self, request: interfaces.CallerRequest, hits: collections.Counter[str]
    ) -> tuple[forwarding.ForwardRule, forwarding.ForwardCustomer | None]:
        """Returns the rule and the customer of a request.

        Args:
            request: The request.
            hits: Where its first match is counted.

        Raises:
            RequestError: The request is refused.
        """
        try:
            return await self.resolve(request, hits)
        except (errors.NoRuleMatched, errors.NotAuthenticated):
            # A router that was cut off or suspended may lack a new route or
            # credential. It must not tell callers that there is none.
            if self.snapshots.age < self.apply_seconds:
                raise
            await self.require_fresh(self.apply_seconds, request)
            return await self.resolve(request, hits)

    async def resolve(
        self, request: interfaces.CallerRequest, hits: collections.Counter[str]
    ) -> tuple[forwarding.ForwardRule, forwarding.ForwardCustomer | None]:
        """Returns rule and customer by the configuration in force.

        Raises:
            RequestError: The request is refused.
        """
        table = self.snapshots.table
        if table is None:
            await self.require_fresh(self.apply_seconds, request)
            table = self.snapshots.table
        if table is None:
            raise errors.NoConfiguration(
                'no configuration was read yet', FRESH_WAIT_SECONDS
            )
        self.compile(table)
        rule = self.compiled.find(self.request_attributes(request))
        if rule is None:
            self.unmatched += 1
            raise errors.NoRuleMatched('no rule matches')
        hits[rule.name] += 1
        customer = None
        if table.customers and not rule.then.public:
            customer = await self.authenticate(request)
        return rule, customer

    def compile(self, table: forwarding.ForwardingTable) -> None:
        """Compiles the rules and credentials of a version, once."""
        if table is self.table:
            return
        compiled = rules_module.CompiledRules(table.rules, self.compiled)
        customers = {
            credential: customer
            for customer in table.customers
            for credential in customer.credentials
        }
        # Assigned together at the end: an error above must not leave
        # credentials of the previous version under the new version number.
        self.compiled = compiled
        self.customers = customers
        self.version = table.version
        self.table = table

    def request_attributes(
        self, request: interfaces.CallerRequest
    ) -> rules_module.RequestAttributes:
        """Returns the properties of a request that rules match."""
        host = (request.header('host') or '').lower()
        return rules_module.RequestAttributes(
            customer='',
            method=request.method.decode('latin-1'),
            path=request.target.decode('latin-1').partition('?')[0],
            headers={'host': host.partition(':')[0]},
        )

    async def authenticate(
        self, request: interfaces.CallerRequest
    ) -> forwarding.ForwardCustomer:
        """Returns the customer of a request's credential.

        Raises:
            ConfigurationStale: The credential may have been revoked.
            NotAuthenticated: There is no such credential.
        """
        if not self.snapshots.may_serve_credentials():
            await self.require_fresh(
                self.snapshots.settings.revocation_seconds / 2, request
            )
            return self.find_customer(request)
        return self.find_customer(request)

    def find_customer(
        self, request: interfaces.CallerRequest
    ) -> forwarding.ForwardCustomer:
        """Returns the customer by the configuration in force.

        Raises:
            NotAuthenticated: There is no such credential.
        """
        table = self.snapshots.table
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
        """Waits up to FRESH_WAIT_SECONDS for a recent snapshot.

        Args:
            seconds: Largest age that the configuration may have.
            request: The request that needs it.

        Raises:
            ConfigurationStale: The configuration is still older.
        """
        if await self.snapshots.wait_fresh(seconds, FRESH_WAIT_SECONDS):
            return
        left = self.caller_deadline(request, 1.0) - trio.current_time()
        raise errors.ConfigurationStale(
            f'the configuration was last confirmed {self.snapshots.age:.1f} s '
            'ago',
            retry_after_seconds(left),
        )

    def caller_deadline(
        self, request: interfaces.CallerRequest, timeout: float
    ) -> float:
        """Returns the deadline of the caller, in the router's clock."""
        text = request.header(self.headers.deadline) or ''
        seconds = timeout
        milliseconds = counts.parse_count(text)
        if milliseconds is not None:
            stated = min(milliseconds, MAX_DEADLINE_MILLISECONDS) / 1000
            seconds = min(seconds, stated)
        return request.arrived + seconds

    def output_tokens(self, request: interfaces.CallerRequest) -> int:
        """Returns the expected length of an output, 0 if callers state none.

        It is the caller's estimate, but not more than the most that the caller
        allows.
        """
        names = self.headers
        usage = request.header(names.tokens) if names.tokens else None
        hint = request.header(names.length_hint) if names.length_hint else None
        _, _, most = (usage or '').partition(',')
        return expected_output(parse_tokens(most), parse_tokens(hint or ''))

    def make_ticket(
        self,
        request: interfaces.CallerRequest,
        rule: forwarding.ForwardRule,
        customer: forwarding.ForwardCustomer | None,
    ) -> tickets.Ticket:
        """Returns a new ticket for an admitted request."""
        then = rule.then
        request_id = request.header(self.headers.request_id) or ''
        rank = then.rank
        if customer is not None and customer.rank is not None:
            rank = customer.rank
        last = request.header(LAST_EVENT_ID) or ''
        resumes = request.header(self.headers.resumes) or ''
        return tickets.Ticket(
            id=request_id,
            request=request,
            rule=rule,
            # a stream that is taken up stays with the pool of its first try
            service=weighted_pool(then, resumes or request_id),
            customer='' if customer is None else customer.name,
            rank=rank,
            deadline=self.caller_deadline(request, then.timeout),
            prompt=choice.RequestPrompt(
                choice.parse_parts(request.header(self.headers.prompt_parts))
            ),
            target_at=request.arrived + then.target,
            output_tokens=self.output_tokens(request),
            regions=allowed_regions(then, customer),
            splitter=events.EventSplitter(
                events.parse_event_number(last.encode('latin-1'))
            ),
            resumes=resumes,
        )


def parse_tokens(text: str) -> int:
    """Returns a number of tokens, 0 for text that is not one."""
    return counts.parse_count(text.strip(), choice.MAX_TOKEN_DIGITS) or 0


def expected_output(most: int, hint: int) -> int:
    """Returns the expected length of an output in tokens, 0 if unknown.

    Args:
        most: The most that the caller allows, 0 if it states none.
        hint: The caller's estimate, 0 if it states none.
    """
    if most and hint:
        return min(most, hint)
    return most or hint


def allowed_regions(
    then: forwarding.Forward, customer: forwarding.ForwardCustomer | None
) -> frozenset[str] | None:
    """Returns the regions that rule and customer both allow, None for all."""
    by_customer = None if customer is None else customer.regions
    if then.regions is None or by_customer is None:
        return by_customer if then.regions is None else then.regions
    return then.regions & by_customer


def weighted_pool(then: forwarding.Forward, request_id: str) -> str:
    """Returns the pool of a request, chosen by the weights of its rule.

    The choice depends only on the request id.
    """
    if len(then.pools) == 1:
        return then.pools[0].pool
    total = sum(share.weight for share in then.pools)
    unit = hashing.hash64(request_id) % POOL_SHARE_STEPS / POOL_SHARE_STEPS
    point = unit * total
    for share in then.pools:
        point -= share.weight
        if point < 0:
            return share.pool
    return then.pools[-1].pool
