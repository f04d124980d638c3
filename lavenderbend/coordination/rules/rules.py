"""The first rule that matches a request, the same on every router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set

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
MAX_FOUND = 4096
NONE: frozenset[int] = frozenset()
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


def recompiled(
    rule: configuration.Rule, known: Mapping[str, CompiledRule]
) -> CompiledRule:
    """Returns a rule with its checks, those made before if it is the same."""
    found = known.get(rule.name)
    if found is not None and found.rule is rule:
        return found
    return compile_rule(rule)


def customer_keys(texts: tuple[str, ...]) -> set[str]:
    """Returns the customers that a condition names, none if it is open."""
    if any(text.endswith('*') for text in texts):
        return set()
    return set(texts)


def segment_keys(texts: tuple[str, ...]) -> set[str]:
    """Returns the first segments of the paths that a condition names.

    None if it is open: a prefix that ends within the first segment fits many.
    """
    keys = set()
    for text in texts:
        if text.endswith('*') and '/' not in text[1:-1]:
            return set()
        keys.add(first_segment(text))
    return keys


def first_segment(path: str) -> str:
    """Returns a path up to the slash behind its first segment."""
    end = path.find('/', 1)
    return path if end < 0 else path[: end + 1]


class Positions:
    """Positions of rules by what one of their conditions names.

    Attributes:
        open: Those of rules that fit any, or that the name does not tell.
        named: The others, by each name.
    """

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.named: dict[str, set[int]] = {}

    def add(self, position: int, keys: Collection[str]) -> None:
        """Adds a rule.

        Args:
            position: Its position.
            keys: What it names; none if it is open.
        """
        if not keys:
            self.open.add(position)
        for key in keys:
            self.named.setdefault(key, set()).add(position)

    def of(self, key: str) -> tuple[Set[int], Set[int]]:
        """Returns the open positions and those under a name."""
        return self.open, self.named.get(key, NONE)


class CompiledRules:
    """The rules of one revision, in order.

    Most rules of a large site name customers or paths, and most of them
    others than those of a request: two indexes find the rules that are left,
    so that a match costs as much as there are rules for the customer or the
    path.

    Attributes:
        rules: All rules.
        by_name: Those that were compiled last under each name.
        customers: Positions of rules by the customers that they name.
        paths: Positions of rules by the first segments of their paths.
        found: The rules that a request can meet, by its customer and first
            segment, for those seen last.
    """

    def __init__(
        self,
        rules: Iterable[configuration.Rule],
        earlier: CompiledRules | None = None,
    ) -> None:
        """Compiles rules.

        Args:
            rules: The rules.
            earlier: Another revision, whose compiled rules serve again where
                a rule is the same object.
        """
        known = {} if earlier is None else earlier.by_name
        self.rules = tuple(recompiled(rule, known) for rule in rules)
        self.by_name = {one.rule.name: one for one in self.rules}
        self.customers = Positions()
        self.paths = Positions()
        self.found: dict[tuple[str, str], tuple[CompiledRule, ...]] = {}
        for position, compiled in enumerate(self.rules):
            when = compiled.rule.when
            self.customers.add(position, customer_keys(when.customer))
            self.paths.add(position, segment_keys(when.path))

    def of(self, customer: str, path: str) -> tuple[CompiledRule, ...]:
        """Returns the rules that a customer's request to a path can meet."""
        segment = first_segment(path)
        key = (
            customer if customer in self.customers.named else '',
            segment if segment in self.paths.named else '',
        )
        found = self.found.get(key)
        if found is not None:
            return found
        if len(self.found) >= MAX_FOUND:
            self.found.clear()
        fewer, others = sorted(
            (self.customers.of(key[0]), self.paths.of(key[1])),
            key=lambda sets: sum(map(len, sets)),
        )
        positions = sorted(
            position
            for some in fewer
            for position in some
            if any(position in one for one in others)
        )
        found = tuple(self.rules[position] for position in positions)
        self.found[key] = found
        return found

    def find(self, facts: Facts) -> configuration.Rule | None:
        """Returns the first rule that matches."""
        for compiled in self.of(facts.customer, facts.path):
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
