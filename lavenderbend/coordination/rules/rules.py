"""Matches requests against rules; every router finds the same rule."""

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

    Check = Callable[['RequestAttributes'], bool]

SHARE_STEPS = 10_000
# Headers that a decision records, so that rules can be tried on it later.
RECORDED_HEADER_PREFIX = 'x-'
MAX_RECORDED_HEADERS = 16
MAX_RECORDED_HEADER_CHARACTERS = 128
# Few revisions are used at the same time: the one in force, and one that is
# compared with it.
MAX_COMPILED_REVISIONS = 4
MAX_CANDIDATE_LISTS = 4096
NO_POSITIONS: frozenset[int] = frozenset()
HEADER_LABEL = 'header '


@attrs.frozen
class RequestAttributes:
    """Values that rules are matched against.

    They are taken from a request or from a recorded decision.

    Attributes:
        customer: Name of the customer.
        method: HTTP method in upper case.
        path: Path without the query.
        headers: Values by header name in lower case.
        model: Model from the body, empty if there is none.
        adapter: Adapter from the body, empty if there is none.
        availability_zone: Zone of the entry router.
        priority: Value of the header `x-priority`, empty if none.
        chat: Hash of the chat, or of the request if it has no chat.
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


def attributes_of_request(request: requests.Request) -> RequestAttributes:
    """Returns the attributes of a request."""
    return RequestAttributes(
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


def recorded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers that a decision records, bounded in size."""
    recorded = [
        (name, value)
        for name, value in headers.items()
        if name.startswith(RECORDED_HEADER_PREFIX)
        and len(name) + len(value) <= MAX_RECORDED_HEADER_CHARACTERS
    ]
    return dict(recorded[:MAX_RECORDED_HEADERS])


def attributes_of_decision(decision: decisions.Decision) -> RequestAttributes:
    """Returns the attributes of a decision, with recorded headers only."""
    chat = int(decision.chat, 16) if decision.chat else 0
    return RequestAttributes(
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
    """Returns the hash that decides whether a chat is within a share.

    A request without a chat counts as a chat of its own.
    """
    return hashing.hash64(request.customer, request.chat_key or request.id)


def text_check(texts: tuple[str, ...]) -> Callable[[str], bool]:
    """Returns a check whether a value matches one of some patterns.

    A pattern that ends with `*` matches by prefix, any other one exactly.
    """
    exact = frozenset(text for text in texts if not text.endswith('*'))
    prefixes = tuple(text[:-1] for text in texts if text.endswith('*'))
    if not prefixes:
        return exact.__contains__
    return lambda value: value in exact or value.startswith(prefixes)


def attribute_check(name: str, texts: tuple[str, ...]) -> Check:
    """Returns a check of one attribute."""
    matches = text_check(texts)
    return lambda attributes: matches(getattr(attributes, name))


def header_check(name: str, text: str) -> Check:
    """Returns a check of one header, which must be present."""
    matches = text_check((text,))

    def check(attributes: RequestAttributes) -> bool:
        value = attributes.headers.get(name)
        return value is not None and matches(value)

    return check


def share_check(rule: str, share: float) -> Check:
    """Returns a check that matches a percentage of the chats.

    Every router matches the same chats. The name of the rule is part of the
    hash, so that two rules with a share of 10 % match different chats.
    """
    limit = round(share * SHARE_STEPS / 100)

    def check(attributes: RequestAttributes) -> bool:
        value = hashing.hash64(rule, attributes.chat.to_bytes(8, 'big'))
        return value % SHARE_STEPS < limit

    return check


TEXT_ATTRIBUTES = (
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
    """A rule with its checks, the fastest first.

    Attributes:
        rule: The rule.
        checks: Condition names with their checks; all must hold.
    """

    rule: configuration.Rule
    checks: tuple[tuple[str, Check], ...]

    def matches(self, attributes: RequestAttributes) -> bool:
        """Returns whether every condition holds."""
        return all(check(attributes) for _, check in self.checks)

    def first_failed_condition(self, attributes: RequestAttributes) -> str:
        """Returns the first condition that does not hold, empty if none."""
        for name, check in self.checks:
            if not check(attributes):
                return name
        return ''


def compile_rule(rule: configuration.Rule) -> CompiledRule:
    """Compiles a rule."""
    when = rule.when
    checks: list[tuple[str, Check]] = []
    for name in TEXT_ATTRIBUTES:
        texts = getattr(when, name)
        if texts:
            checks.append((name, attribute_check(name, texts)))
    for name, text in when.header.items():
        label = HEADER_LABEL + name
        checks.append((label, header_check(name.lower(), text)))
    if when.share < 100:
        checks.append(('share', share_check(rule.name, when.share)))
    return CompiledRule(rule, tuple(checks))


def reuse_or_compile(
    rule: configuration.Rule, earlier: Mapping[str, CompiledRule]
) -> CompiledRule:
    """Compiles a rule, or returns it from `earlier` if it is unchanged."""
    compiled = earlier.get(rule.name)
    if compiled is not None and compiled.rule is rule:
        return compiled
    return compile_rule(rule)


def customer_keys(texts: tuple[str, ...]) -> set[str]:
    """Returns the customers that a condition names.

    Empty if it has a prefix, which may match any number of customers.
    """
    if any(text.endswith('*') for text in texts):
        return set()
    return set(texts)


def segment_keys(texts: tuple[str, ...]) -> set[str]:
    """Returns the first segments of the paths that a condition names.

    Empty if a prefix ends within the first segment, as it may match any
    number of segments.
    """
    keys = set()
    for text in texts:
        if text.endswith('*') and '/' not in text[1:-1]:
            return set()
        keys.add(first_segment(text))
    return keys


def first_segment(path: str) -> str:
    """Returns a path up to the slash after its first segment."""
    end = path.find('/', 1)
    return path if end < 0 else path[: end + 1]


class PositionIndex:
    """Positions of rules, by the values that one of their conditions names.

    Attributes:
        unrestricted: Positions of rules whose condition is empty or may match
            any number of values.
        named: Positions of the other rules, by each value named.
    """

    def __init__(self) -> None:
        self.unrestricted: set[int] = set()
        self.named: dict[str, set[int]] = {}

    def add(self, position: int, keys: Collection[str]) -> None:
        """Adds a rule.

        Args:
            position: Its position.
            keys: Values that its condition names; empty if unrestricted.
        """
        if not keys:
            self.unrestricted.add(position)
        for key in keys:
            self.named.setdefault(key, set()).add(position)

    def matching(self, key: str) -> tuple[Set[int], Set[int]]:
        """Returns the unrestricted positions and those for a value."""
        return self.unrestricted, self.named.get(key, NO_POSITIONS)


class CompiledRules:
    """The compiled rules of one revision, in order.

    On a large site most rules name customers or paths, and most of these
    differ from those of a request. Two indexes exclude such rules, so that
    the cost of a match grows only with the number of rules for the customer
    or the path of the request.

    Attributes:
        rules: All rules.
        by_name: The last rule of each name.
        customers: Positions of rules by the customers that they name.
        paths: Positions of rules by the first segments of their paths.
        candidate_lists: Cache of the rules that may match, by customer and
            first segment.
    """

    def __init__(
        self,
        rules: Iterable[configuration.Rule],
        earlier: CompiledRules | None = None,
    ) -> None:
        """Compiles rules.

        Args:
            rules: The rules.
            earlier: Rules of another revision; a compiled rule is reused if
                its rule is the same object.
        """
        reusable = {} if earlier is None else earlier.by_name
        self.rules = tuple(reuse_or_compile(rule, reusable) for rule in rules)
        self.by_name = {compiled.rule.name: compiled for compiled in self.rules}
        self.customers = PositionIndex()
        self.paths = PositionIndex()
        self.candidate_lists: dict[
            tuple[str, str], tuple[CompiledRule, ...]
        ] = {}
        for position, compiled in enumerate(self.rules):
            when = compiled.rule.when
            self.customers.add(position, customer_keys(when.customer))
            self.paths.add(position, segment_keys(when.path))

    def candidates(self, customer: str, path: str) -> tuple[CompiledRule, ...]:
        """Returns the rules that may match a customer's request to a path."""
        segment = first_segment(path)
        key = (
            customer if customer in self.customers.named else '',
            segment if segment in self.paths.named else '',
        )
        candidates = self.candidate_lists.get(key)
        if candidates is not None:
            return candidates
        if len(self.candidate_lists) >= MAX_CANDIDATE_LISTS:
            self.candidate_lists.clear()
        fewer, others = sorted(
            (self.customers.matching(key[0]), self.paths.matching(key[1])),
            key=lambda sets: sum(map(len, sets)),
        )
        positions = sorted(
            position
            for bucket in fewer
            for position in bucket
            if any(position in other for other in others)
        )
        candidates = tuple(self.rules[position] for position in positions)
        self.candidate_lists[key] = candidates
        return candidates

    def find(self, attributes: RequestAttributes) -> configuration.Rule | None:
        """Returns the first rule that matches."""
        for compiled in self.candidates(attributes.customer, attributes.path):
            if compiled.matches(attributes):
                return compiled.rule
        return None


class RuleSet:
    """Matches requests; caches the compiled rules of recent revisions.

    Attributes:
        compiled: Rules by number and digest of their revision.
        hits: Number of requests for which a rule was the first match, by
            name.
        unmatched: Number of requests that no rule matched.
    """

    def __init__(self) -> None:
        self.compiled: dict[tuple[int, str], CompiledRules] = {}
        self.hits: dict[str, int] = {}
        self.unmatched = 0

    def compiled_rules(self, revision: configuration.Revision) -> CompiledRules:
        """Returns the compiled rules of a revision."""
        key = (revision.number, revision.digest)
        compiled = self.compiled.get(key)
        if compiled is not None:
            return compiled
        while len(self.compiled) >= MAX_COMPILED_REVISIONS:
            del self.compiled[next(iter(self.compiled))]
        compiled = CompiledRules(revision.document.rules)
        self.compiled[key] = compiled
        return compiled

    def match(
        self, revision: configuration.Revision, request: requests.Request
    ) -> configuration.Rule | None:
        """Counts and returns the first rule that matches a request."""
        rule = self.compiled_rules(revision).find(
            attributes_of_request(request)
        )
        if rule is None:
            self.unmatched += 1
            return None
        self.hits[rule.name] = self.hits.get(rule.name, 0) + 1
        return rule
