"""`lavenderbend rules check`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.coordination.rules import checks as rule_checks
from lavenderbend.protocol import documents_yaml

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('rules check')
class RulesCheck(base.Command):
    """Checks a configuration without a router."""

    summary = 'check a configuration file'
    usage = """Check a configuration file; no router is asked.

Usage:
  lavenderbend rules check FILE [--strict] [--json]

Options:
  --strict  Warnings are errors (exit code 1).
  --json    Write the result as JSON.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes warnings; a faulty file raises `DocumentErrors`."""
        document = documents_yaml.load_configuration(arguments['FILE'])
        warnings = rule_checks.warnings(document)
        texts = [f'warning: {warning.text}' for warning in warnings]
        texts.append(
            f'{arguments["FILE"]}: {len(document.rules)} rules, '
            f'{len(document.pools)} pools, {len(document.customers)} '
            f'customers, {len(warnings)} warnings'
        )
        value = {
            'rules': len(document.rules),
            'pools': len(document.pools),
            'customers': len(document.customers),
            'warnings': [
                {'rule': warning.rule, 'text': warning.text}
                for warning in warnings
            ],
        }
        output.write_result(value, '\n'.join(texts))
        if warnings and arguments['--strict']:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK
