"""What a command is, and the registry of all of them."""

from __future__ import annotations

import abc
import json
import sys
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import registry

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import TextIO

    from lavenderbend.cmd import exit_codes


class Output:
    """Where a command writes: texts for people, or JSON for programs.

    Attributes:
        json: Whether the result is one JSON document.
        out: Results.
        err: Progress and errors.
    """

    def __init__(
        self,
        as_json: bool = False,
        out: TextIO | None = None,
        err: TextIO | None = None,
    ) -> None:
        self.json = as_json
        self.out = out or sys.stdout
        self.err = err or sys.stderr

    def result(self, value: Any, text: str) -> None:
        """Writes a result in the form that was asked for."""
        if self.json:
            json.dump(value, self.out, indent=2, sort_keys=True)
            self.out.write('\n')
        else:
            self.out.write(text.rstrip('\n') + '\n')
        self.out.flush()

    def note(self, text: str) -> None:
        """Writes a line of progress or an error."""
        self.err.write(text + '\n')
        self.err.flush()


class Command(abc.ABC):
    """One command.

    Attributes:
        summary: One line for the list of commands.
        usage: Text for docopt.
    """

    summary: str
    usage: str

    @abc.abstractmethod
    def run(
        self, arguments: Mapping[str, Any], output: Output
    ) -> exit_codes.ExitCode:
        """Runs the command with the arguments that docopt found."""


COMMANDS: registry.Registry[type[Command]] = registry.Registry('command')
