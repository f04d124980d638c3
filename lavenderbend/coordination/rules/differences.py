"""Which recorded requests would go another way under other rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.rules import rules

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderbend.state import configuration
    from lavenderbend.state import decisions

NO_RULE = ''


@attrs.frozen
class Difference:
    """One recorded request that would go another way.

    Attributes:
        decision: Id of the decision.
        customer: Its customer.
        path: Its path.
        old_rule: Rule that matches now, empty if none.
        new_rule: Rule that would match, empty if none.
        changed: What of the way would change, such as `pool` or `timeout`.
    """

    decision: str
    customer: str
    path: str
    old_rule: str
    new_rule: str
    changed: tuple[str, ...]


@attrs.frozen
class Comparison:
    """The result of trying other rules on recorded decisions.

    Attributes:
        compared: How many decisions were tried.
        differences: Those that would go another way.
        uncertain: Ids of decisions that have not kept a header which one
            of the two sets of rules looks at.
    """

    compared: int
    differences: tuple[Difference, ...]
    uncertain: tuple[str, ...] = ()


def differences(
    recorded: Iterable[decisions.Decision],
    old: configuration.Revision,
    new: configuration.Revision,
) -> Comparison:
    """Returns what would change for recorded decisions."""
    old_rules = rules.CompiledRules(old.document.rules)
    new_rules = rules.CompiledRules(new.document.rules)
    count = 0
    found = []
    uncertain = []
    for decision in recorded:
        count += 1
        facts = rules.facts_of_decision(decision)
        before, sure = first_match(old_rules, facts)
        after, still_sure = first_match(new_rules, facts)
        if not (sure and still_sure):
            uncertain.append(decision.id)
        changed = changes(before, after)
        if changed:
            found.append(
                Difference(
                    decision.id,
                    decision.customer,
                    decision.path,
                    before.name if before else NO_RULE,
                    after.name if after else NO_RULE,
                    changed,
                )
            )
    return Comparison(count, tuple(found), tuple(uncertain))


def first_match(
    compiled: rules.CompiledRules, facts: rules.Facts
) -> tuple[configuration.Rule | None, bool]:
    """Returns the first rule that matches, and whether that is certain."""
    sure = True
    for candidate in compiled.of(facts.customer, facts.path):
        if candidate.matches(facts):
            return candidate.rule, sure
        if lacks_header(candidate, facts):
            sure = False
    return None, sure


def lacks_header(candidate: rules.CompiledRule, facts: rules.Facts) -> bool:
    """Returns whether only a header that was not kept could decide."""
    for name in candidate.rule.when.header:
        if name in facts.headers or name.startswith(rules.KEPT_HEADER_PREFIX):
            continue
        others = (
            check(facts)
            for label, check in candidate.checks
            if not label.startswith(rules.HEADER_LABEL)
        )
        return all(others)
    return False


def changes(
    before: configuration.Rule | None, after: configuration.Rule | None
) -> tuple[str, ...]:
    """Returns the fields of the way that differ."""
    if before is None and after is None:
        return ()
    if before is None or after is None:
        return ('match',)
    return tuple(
        field.name
        for field in attrs.fields(type(before.then))
        if getattr(before.then, field.name) != getattr(after.then, field.name)
    )
