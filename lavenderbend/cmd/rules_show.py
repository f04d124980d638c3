"""`lavenderbend rules show`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.cmd import tables

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('rules show')
class RulesShow(base.Command):
    """Shows the configuration in force."""

    summary = 'show the configuration in force, ready to be edited'
    usage = f"""Show the configuration in force on a router.

The first line names its revision; `rules apply` reads it, so that nobody
overwrites a change that was accepted meanwhile.

Usage:
  lavenderbend rules show [options]

Options:
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes the document as YAML."""
        revision = operator_options.call_router(
            arguments, lambda client: client.get('/v1/rules')
        )
        by = comment(f'{revision["author"]}: {revision["reason"]}')
        text = (
            f'# revision {revision["number"]}\n'
            f'# accepted {tables.format_utc(revision["accepted_at"])} by {by}\n'
            f'{revision["document"]}'
        )
        output.write_result(revision, text)
        return exit_codes.ExitCode.OK


def comment(text: str) -> str:
    """Returns a text as one line that YAML allows in a comment.

    YAML does not allow control characters, and a comment cannot escape them.
    """
    allowed = (char if char.isprintable() else ' ' for char in text)
    return ' '.join(''.join(allowed).split())
