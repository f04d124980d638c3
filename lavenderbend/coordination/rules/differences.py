"""Compares what two revisions of the rules decide for recorded requests."""

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
    """One recorded request that the new rules would treat differently.

    Attributes:
        decision: Id of the recorded decision.
        customer: Customer of the request.
        path: Path of the request.
        old_rule: Rule that matches by the old revision, empty if none.
        new_rule: Rule that matches by the new revision, empty if none.
        changed: Fields of the rule's action that would change, such as
            `pool` or `timeout`.
    """

    decision: str
    customer: str
    path: str
    old_rule: str
    new_rule: str
    changed: tuple[str, ...]


@attrs.frozen
class Comparison:
    """Result of applying two revisions of the rules to recorded decisions.

    Attributes:
        compared: Number of decisions compared.
        differences: Those that the new rules would treat differently.
        uncertain: Ids of decisions without a recorded value of a header that
            decides whether a rule of either revision matches.
    """

    compared: int
    differences: tuple[Difference, ...]
    uncertain: tuple[str, ...] = ()


def differences(
    recorded: Iterable[decisions.Decision],
    old: configuration.Revision,
    new: configuration.Revision,
) -> Comparison:
    """Returns how recorded decisions differ between two revisions."""
    old_rules = rules.CompiledRules(old.document.rules)
    new_rules = rules.CompiledRules(new.document.rules)
    count = 0
    differing = []
    uncertain = []
    for decision in recorded:
        count += 1
        attributes = rules.attributes_of_decision(decision)
        before, certain = first_match(old_rules, attributes)
        after, still_certain = first_match(new_rules, attributes)
        if not (certain and still_certain):
            uncertain.append(decision.id)
        changed = changes(before, after)
        if changed:
            differing.append(
                Difference(
                    decision.id,
                    decision.customer,
                    decision.path,
                    before.name if before else NO_RULE,
                    after.name if after else NO_RULE,
                    changed,
                )
            )
    return Comparison(count, tuple(differing), tuple(uncertain))


def first_match(
    compiled: rules.CompiledRules, attributes: rules.RequestAttributes
) -> tuple[configuration.Rule | None, bool]:
    """Returns the first rule that matches, and whether that is certain."""
    certain = True
    for candidate in compiled.candidates(attributes.customer, attributes.path):
        if candidate.matches(attributes):
            return candidate.rule, certain
        if depends_on_missing_header(candidate, attributes):
            certain = False
    return None, certain


def depends_on_missing_header(
    candidate: rules.CompiledRule, attributes: rules.RequestAttributes
) -> bool:
    """Returns whether a header that was not recorded decides the match.

    That is so if all conditions of the rule on other values hold.
    """
    for name in candidate.rule.when.header:
        if name in attributes.headers or name.startswith(
            rules.RECORDED_HEADER_PREFIX
        ):
            continue
        others = (
            check(attributes)
            for label, check in candidate.checks
            if not label.startswith(rules.HEADER_LABEL)
        )
        return all(others)
    return False


def changes(
    before: configuration.Rule | None, after: configuration.Rule | None
) -> tuple[str, ...]:
    """Returns the fields in which the actions of two rules differ."""
    if before is None and after is None:
        return ()
    if before is None or after is None:
        return ('match',)
    return tuple(
        field.name
        for field in attrs.fields(type(before.then))
        if getattr(before.then, field.name) != getattr(after.then, field.name)
    )
