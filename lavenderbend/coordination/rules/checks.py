"""Warnings about rules that can never be the first match."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.rules import rules

if TYPE_CHECKING:
    from lavenderbend.state import configuration


@attrs.frozen
class RuleWarning:
    """A valid but probably unintended part of a configuration.

    Attributes:
        rule: Name of the rule, empty if the warning is about a pool.
        text: Description of the problem.
    """

    rule: str
    text: str


def warnings(document: configuration.Configuration) -> list[RuleWarning]:
    """Returns warnings for rules that can never match and unused pools."""
    warnings_list = []
    earlier = EarlierRules()
    for rule in document.rules:
        cover = earlier.covering_rule(rule)
        if rule.when.share <= 0:
            text = f'rule {rule.name!r} never matches: its share is 0%'
            warnings_list.append(RuleWarning(rule.name, text))
        elif cover is not None:
            text = (
                f'rule {rule.name!r} never matches: rule '
                f'{cover.name!r} before it takes all its requests'
            )
            warnings_list.append(RuleWarning(rule.name, text))
        earlier.add(rule)
    used = {rule.then.pool for rule in document.rules}
    for pool in document.pools:
        if pool.name not in used:
            text = f'pool {pool.name!r} is used by no rule'
            warnings_list.append(RuleWarning('', text))
    return warnings_list


class EarlierRules:
    """Index of rules by the customers that they name.

    Comparing each rule with each other one takes most of a second with 1000
    rules, although most pairs name different customers.

    Attributes:
        unrestricted: Rules for all customers or with prefixes of names.
        by_customer: The other rules, by each customer that they name.
    """

    def __init__(self) -> None:
        self.unrestricted: list[configuration.Rule] = []
        self.by_customer: dict[str, list[configuration.Rule]] = {}

    def add(self, rule: configuration.Rule) -> None:
        """Adds a rule."""
        texts = rule.when.customer
        if not texts or any(text.endswith('*') for text in texts):
            self.unrestricted.append(rule)
            return
        for text in texts:
            self.by_customer.setdefault(text, []).append(rule)

    def covering_rule(
        self, later: configuration.Rule
    ) -> configuration.Rule | None:
        """Returns an earlier rule that matches all requests of a later one."""
        candidates = self.unrestricted
        if later.when.customer:
            # A covering rule matches every customer of the later rule, so it
            # is enough to look up the first.
            naming = self.by_customer.get(later.when.customer[0], [])
            candidates = [*candidates, *naming]
        for earlier in candidates:
            if covers(earlier.when, later.when):
                return earlier
        return None


def covers(earlier: configuration.When, later: configuration.When) -> bool:
    """Returns whether all requests that `later` matches match `earlier`.

    Only single rules are compared: several earlier rules that cover a later
    one only together are not detected.
    """
    if earlier.share < 100:
        return False
    for name in rules.TEXT_ATTRIBUTES:
        if not texts_cover(getattr(earlier, name), getattr(later, name)):
            return False
    for name, text in earlier.header.items():
        if name not in later.header:
            return False
        if not text_covers(text, later.header[name]):
            return False
    return True


def texts_cover(earlier: tuple[str, ...], later: tuple[str, ...]) -> bool:
    """Returns whether each pattern of `later` is covered by `earlier`."""
    if not earlier:
        return True
    if not later:
        return False
    return all(
        any(text_covers(outer, inner) for outer in earlier) for inner in later
    )


def text_covers(outer: str, inner: str) -> bool:
    """Returns whether all that matches `inner` matches `outer`."""
    if outer.endswith('*'):
        return inner.removesuffix('*').startswith(outer[:-1])
    return outer == inner
