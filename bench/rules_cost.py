"""What rules cost a router as their number grows.

python -m bench.rules_cost

Processor time of this process, 1800 customers with a rule for each of the
first N, best of several rounds. The bounds are ratios between two sizes in
the same run, so that they hold on any machine.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.rules import checks as rule_checks
from lavenderbend.coordination.rules import differences as rule_differences
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration
from lavenderbend.state import decisions
from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (10, 100, 1000)
CUSTOMERS = 1800
MODELS = 14
REQUESTS = 2000
DECISIONS = 5000
ROUNDS = 3
# cost at 1000 rules over cost at 10; a scan of all rules gives about 60
MAX_MATCH_RATIO = 4.0
MAX_DIFF_RATIO = 6.0


@attrs.frozen
class Costs:
    """Seconds of processor time at one number of rules.

    Attributes:
        rules: How many rules.
        match: For each request.
        diff: For all recorded decisions.
        warnings: For the check of rules that can never match.
        parse: For reading the file.
        size: Bytes of the file.
    """

    rules: int
    match: float
    diff: float
    warnings: float
    parse: float
    size: int


def make_revision(count: int) -> configuration.Revision:
    """Returns a configuration with a rule for each of some customers."""
    named = tuple(
        configuration.Rule(
            f'rule-{number}',
            configuration.Then(pool='pool'),
            configuration.When(
                customer=(f'customer-{number}',),
                path=('/v1/*',),
                model=(f'model-{number % MODELS}',),
            ),
        )
        for number in range(count - 1)
    )
    last = configuration.Rule('last', configuration.Then(pool='pool'))
    document = configuration.Configuration(
        rules=(*named, last),
        pools=(configuration.Pool('pool', 'pool'),),
        customers=tuple(
            configuration.Customer(f'customer-{number}')
            for number in range(CUSTOMERS)
        ),
    )
    return configuration.Revision(count, f'digest-{count}', document)


def make_request(number: int) -> requests.Request:
    """Returns one request."""
    return requests.Request(
        id=f'request-{number}',
        customer=f'customer-{number % CUSTOMERS}',
        method='POST',
        path='/v1/chat/completions',
        headers={'x-task': 'summary'},
        body=b'',
        arrived=0.0,
        model=f'model-{number % MODELS}',
        chat_key=f'chat-{number}',
    )


def make_decision(number: int) -> decisions.Decision:
    """Returns one recorded decision."""
    return decisions.Decision(
        f'decision-{number}',
        customer=f'customer-{number % CUSTOMERS}',
        method='POST',
        path='/v1/chat/completions',
        model=f'model-{number % MODELS}',
        chat=f'{number + 1:016x}',
    )


def cost(run: Callable[[], object]) -> float:
    """Returns the least processor time of some rounds."""
    found = []
    for _ in range(ROUNDS):
        started = time.process_time()
        run()
        found.append(time.process_time() - started)
    return min(found)


def measure(count: int) -> Costs:
    """Returns the costs at a number of rules."""
    revision = make_revision(count)
    asked = [make_request(number) for number in range(REQUESTS)]
    recorded = [make_decision(number) for number in range(DECISIONS)]
    text = documents_yaml.dump_configuration(revision.document)

    rule_set = rules.RuleSet()
    compiled = rule_set.compiled_rules(revision)

    def match() -> None:
        # customers come for the first time in each round
        compiled.candidate_lists.clear()
        for request in asked:
            rule_set.match(revision, request)

    def differ() -> None:
        rule_differences.differences(recorded, revision, revision)

    return Costs(
        rules=count,
        match=cost(match) / REQUESTS,
        diff=cost(differ),
        warnings=cost(lambda: rule_checks.warnings(revision.document)),
        parse=cost(lambda: documents_yaml.parse_configuration(text, 'f')),
        size=len(text),
    )


def main() -> int:
    """Writes the table; returns 1 if a bound is broken."""
    table = [measure(count) for count in SIZES]
    print('rules  match us  diff s  warnings ms  parse s  file KB')
    for row in table:
        print(
            f'{row.rules:5d}  {row.match * 1e6:8.1f}  {row.diff:6.3f}  '
            f'{row.warnings * 1e3:11.2f}  {row.parse:7.3f}  '
            f'{row.size / 1000:7.1f}'
        )
    ratios = (
        ('match', table[-1].match / table[0].match, MAX_MATCH_RATIO),
        ('diff', table[-1].diff / table[0].diff, MAX_DIFF_RATIO),
    )
    broken = 0
    for name, ratio, bound in ratios:
        verdict = 'ok' if ratio <= bound else 'BROKEN'
        broken += ratio > bound
        print(
            f'{name} at 1000 rules over 10: {ratio:.2f} <= {bound}: {verdict}'
        )
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(main())
