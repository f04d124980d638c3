"""Warnings about rules that can never be the first to match."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.rules import rules

if TYPE_CHECKING:
    from lavenderbend.state import configuration


@attrs.frozen
class RuleWarning:
    """Something acceptable that its author hardly meant.

    Attributes:
        rule: Name of the rule.
        text: What is odd about it.
    """

    rule: str
    text: str


def warnings(document: configuration.Configuration) -> list[RuleWarning]:
    """Returns the rules that can never match, and unused pools."""
    found = []
    earlier = EarlierRules()
    for rule in document.rules:
        cover = earlier.cover_of(rule)
        if rule.when.share <= 0:
            text = f'rule {rule.name!r} never matches: its share is 0%'
            found.append(RuleWarning(rule.name, text))
        elif cover is not None:
            text = (
                f'rule {rule.name!r} never matches: rule '
                f'{cover.name!r} before it takes all its requests'
            )
            found.append(RuleWarning(rule.name, text))
        earlier.add(rule)
    used = {rule.then.pool for rule in document.rules}
    for pool in document.pools:
        if pool.name not in used:
            text = f'pool {pool.name!r} is used by no rule'
            found.append(RuleWarning('', text))
    return found


class EarlierRules:
    """Rules seen so far, by what they say of customers.

    Comparing each rule with each other one takes most of a second at 1000
    rules; most pairs differ in the customer.

    Attributes:
        open: Rules for all customers, or for prefixes of names.
        named: Rules by each customer that they name.
    """

    def __init__(self) -> None:
        self.open: list[configuration.Rule] = []
        self.named: dict[str, list[configuration.Rule]] = {}

    def add(self, rule: configuration.Rule) -> None:
        """Adds a rule."""
        texts = rule.when.customer
        if not texts or any(text.endswith('*') for text in texts):
            self.open.append(rule)
            return
        for text in texts:
            self.named.setdefault(text, []).append(rule)

    def cover_of(self, later: configuration.Rule) -> configuration.Rule | None:
        """Returns a rule that takes all requests of a later one."""
        candidates = self.open
        if later.when.customer:
            # a cover takes each customer of the later rule, so also this
            named = self.named.get(later.when.customer[0], [])
            candidates = [*candidates, *named]
        for earlier in candidates:
            if covers(earlier.when, later.when):
                return earlier
        return None


def covers(earlier: configuration.When, later: configuration.When) -> bool:
    """Returns whether all that the later takes is taken by the earlier.

    Only what can be proven from one rule is reported: several earlier
    rules that cover a later one only together are not noticed.
    """
    if earlier.share < 100:
        return False
    for name in rules.TEXT_FACTS:
        if not texts_cover(getattr(earlier, name), getattr(later, name)):
            return False
    for name, text in earlier.header.items():
        if name not in later.header:
            return False
        if not text_covers(text, later.header[name]):
            return False
    return True


def texts_cover(earlier: tuple[str, ...], later: tuple[str, ...]) -> bool:
    """Returns whether each text of the later is within the earlier."""
    if not earlier:
        return True
    if not later:
        return False
    return all(
        any(text_covers(outer, inner) for outer in earlier) for inner in later
    )


def text_covers(outer: str, inner: str) -> bool:
    """Returns whether all that fits the inner text fits the outer."""
    if outer.endswith('*'):
        return inner.removesuffix('*').startswith(outer[:-1])
    return outer == inner
