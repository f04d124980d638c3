"""The base class and the registry of commands."""

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
    """Streams to which a command writes, as plain text or JSON.

    Attributes:
        json: Whether the result is written as one JSON document.
        out: Stream for results.
        err: Stream for progress and errors.
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

    def write_result(self, value: Any, text: str) -> None:
        """Writes a result in the requested format.

        Args:
            value: Result to write as JSON.
            text: The same result as plain text.
        """
        if self.json:
            json.dump(value, self.out, indent=2, sort_keys=True)
            self.out.write('\n')
        else:
            self.out.write(text.rstrip('\n') + '\n')
        self.out.flush()

    def write_message(self, text: str) -> None:
        """Writes a line of progress or an error message."""
        self.err.write(text + '\n')
        self.err.flush()


class Command(abc.ABC):
    """One command.

    Attributes:
        summary: Description in one line, for the list of commands.
        usage: Usage text that docopt parses.
    """

    summary: str
    usage: str

    @abc.abstractmethod
    def run(
        self, arguments: Mapping[str, Any], output: Output
    ) -> exit_codes.ExitCode:
        """Runs the command with the arguments that docopt parsed."""


COMMANDS: registry.Registry[type[Command]] = registry.Registry('command')
