"""The first rule that matches a request, the same on every router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lavenderbend.state import configuration
    from lavenderbend.state import decisions
    from lavenderbend.state import requests

    Check = Callable[['Facts'], bool]

SHARE_STEPS = 10_000
# what a decision keeps of the headers, so that rules can be tried on it later
KEPT_HEADER_PREFIX = 'x-'
MAX_KEPT_HEADERS = 16
MAX_KEPT_HEADER_CHARACTERS = 128
# few revisions are alive at once: the one in force, and one being compared
MAX_COMPILED = 4
MAX_CUSTOMERS = 4096
HEADER_LABEL = 'header '


@attrs.frozen
class Facts:
    """What rules look at; taken from a request or a recorded decision.

    Attributes:
        customer: The customer.
        method: HTTP method in upper case.
        path: Path without the query.
        headers: Names in lower case.
        model: Model named in the body, empty if none.
        adapter: Adapter named in the body, empty if none.
        availability_zone: Zone of the entry router.
        priority: Value of the header `x-priority`, empty if none.
        chat: Hash of the chat, or of the request where there is none.
    """

    customer: str
    method: str
    path: str
    headers: Mapping[str, str]
    model: str = ''
    adapter: str = ''
    availability_zone: str = ''
    priority: str = ''
    chat: int = 0


def facts_of(request: requests.Request) -> Facts:
    """Returns what rules look at in a request."""
    return Facts(
        customer=request.customer,
        method=request.method.upper(),
        path=request.path.partition('?')[0],
        headers=request.headers,
        model=request.model or '',
        adapter=request.adapter or '',
        availability_zone=request.availability_zone,
        priority=request.headers.get('x-priority', ''),
        chat=chat_hash(request),
    )


def kept_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers that a decision keeps, bounded in size."""
    kept = [
        (name, value)
        for name, value in headers.items()
        if name.startswith(KEPT_HEADER_PREFIX)
        and len(name) + len(value) <= MAX_KEPT_HEADER_CHARACTERS
    ]
    return dict(kept[:MAX_KEPT_HEADERS])


def facts_of_decision(decision: decisions.Decision) -> Facts:
    """Returns what rules look at, as far as the decision kept it."""
    chat = int(decision.chat, 16) if decision.chat else 0
    return Facts(
        customer=decision.customer,
        method=decision.method.upper(),
        path=decision.path.partition('?')[0],
        headers=decision.headers,
        model=decision.model,
        adapter=decision.adapter,
        availability_zone=decision.availability_zone,
        priority=decision.headers.get('x-priority', ''),
        chat=chat or hashing.hash64(decision.customer, decision.id),
    )


def chat_hash(request: requests.Request) -> int:
    """Returns the hash by which shares of chats are told apart.

    A request outside any chat counts as a chat of its own.
    """
    return hashing.hash64(request.customer, request.chat_key or request.id)


def text_check(texts: tuple[str, ...]) -> Callable[[str], bool]:
    """Returns a check that one of the texts or prefixes fits."""
    whole = frozenset(text for text in texts if not text.endswith('*'))
    prefixes = tuple(text[:-1] for text in texts if text.endswith('*'))
    if not prefixes:
        return whole.__contains__
    return lambda value: value in whole or value.startswith(prefixes)


def attribute_check(name: str, texts: tuple[str, ...]) -> Check:
    """Returns a check of one fact."""
    fits = text_check(texts)
    return lambda facts: fits(getattr(facts, name))


def header_check(name: str, text: str) -> Check:
    """Returns a check of one header, which must be there."""
    fits = text_check((text,))

    def check(facts: Facts) -> bool:
        value = facts.headers.get(name)
        return value is not None and fits(value)

    return check


def share_check(rule: str, share: float) -> Check:
    """Returns a check that takes the same share of chats everywhere.

    The name of the rule is part of the hash, so that two rules with a
    share of 10 % take two different tenths.
    """
    limit = round(share * SHARE_STEPS / 100)

    def check(facts: Facts) -> bool:
        value = hashing.hash64(rule, facts.chat.to_bytes(8, 'big'))
        return value % SHARE_STEPS < limit

    return check


TEXT_FACTS = (
    'customer',
    'method',
    'path',
    'model',
    'adapter',
    'availability_zone',
    'priority',
)


@attrs.frozen
class CompiledRule:
    """A rule with its checks, the cheap ones first.

    Attributes:
        rule: The rule.
        checks: Name of the condition and its check; all must hold.
    """

    rule: configuration.Rule
    checks: tuple[tuple[str, Check], ...]

    def matches(self, facts: Facts) -> bool:
        """Returns whether every condition holds."""
        return all(check(facts) for _, check in self.checks)

    def failed(self, facts: Facts) -> str:
        """Returns the first condition that does not hold, empty if none."""
        for name, check in self.checks:
            if not check(facts):
                return name
        return ''


def compile_rule(rule: configuration.Rule) -> CompiledRule:
    """Returns the rule with its checks."""
    when = rule.when
    checks: list[tuple[str, Check]] = []
    for name in TEXT_FACTS:
        texts = getattr(when, name)
        if texts:
            checks.append((name, attribute_check(name, texts)))
    for name, text in when.header.items():
        label = HEADER_LABEL + name
        checks.append((label, header_check(name.lower(), text)))
    if when.share < 100:
        checks.append(('share', share_check(rule.name, when.share)))
    return CompiledRule(rule, tuple(checks))


class CompiledRules:
    """The rules of one revision, in order.

    Most rules of a large site name customers, and most of them other
    customers than the one that asks: an index finds the rules left for a
    customer, so that a match costs as much as the customer has rules.

    Attributes:
        rules: All rules.
        open: Positions of rules for all customers or for prefixes of names.
        named: Positions of the other rules, by each customer they name.
        by_customer: The rules that a customer can meet, for the customers
            seen last.
    """

    def __init__(self, rules: Iterable[configuration.Rule]) -> None:
        self.rules = tuple(compile_rule(rule) for rule in rules)
        self.open: list[int] = []
        self.named: dict[str, list[int]] = {}
        self.by_customer: dict[str, tuple[CompiledRule, ...]] = {}
        for position, compiled in enumerate(self.rules):
            texts = compiled.rule.when.customer
            if not texts or any(text.endswith('*') for text in texts):
                self.open.append(position)
                continue
            for text in set(texts):
                self.named.setdefault(text, []).append(position)

    def of(self, customer: str) -> tuple[CompiledRule, ...]:
        """Returns the rules that name the customer or are open to all."""
        found = self.by_customer.get(customer)
        if found is not None:
            return found
        if len(self.by_customer) >= MAX_CUSTOMERS:
            self.by_customer.clear()
        positions = sorted([*self.open, *self.named.get(customer, ())])
        found = tuple(self.rules[position] for position in positions)
        self.by_customer[customer] = found
        return found

    def find(self, facts: Facts) -> configuration.Rule | None:
        """Returns the first rule that matches."""
        for compiled in self.of(facts.customer):
            if compiled.matches(facts):
                return compiled.rule
        return None


class RuleSet:
    """Matches requests; compiles each revision's rules once.

    Attributes:
        compiled: Rules by number and digest of their revision.
        hits: How often each rule was the first match, by name.
        unmatched: How many requests no rule matched.
    """

    def __init__(self) -> None:
        self.compiled: dict[tuple[int, str], CompiledRules] = {}
        self.hits: dict[str, int] = {}
        self.unmatched = 0

    def rules(self, revision: configuration.Revision) -> CompiledRules:
        """Returns the compiled rules of a revision."""
        key = (revision.number, revision.digest)
        compiled = self.compiled.get(key)
        if compiled is not None:
            return compiled
        while len(self.compiled) >= MAX_COMPILED:
            del self.compiled[next(iter(self.compiled))]
        compiled = CompiledRules(revision.document.rules)
        self.compiled[key] = compiled
        return compiled

    def match(
        self, revision: configuration.Revision, request: requests.Request
    ) -> configuration.Rule | None:
        """Returns the first rule that matches a request, and counts it."""
        rule = self.rules(revision).find(facts_of(request))
        if rule is None:
            self.unmatched += 1
            return None
        self.hits[rule.name] = self.hits.get(rule.name, 0) + 1
        return rule
