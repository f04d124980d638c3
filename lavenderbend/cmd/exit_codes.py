"""Exit codes of every command."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, which tell scripts the outcome of a command.

    Attributes:
        OK: Done.
        FAILED: The command ran and found failures: answers wrong or cut off
            in `demo` and `load`, warnings in `rules check --strict`.
        USAGE: The command line is invalid.
        SETTINGS: A settings or rules file cannot be used; nothing was done.
        UNREACHABLE: The operators' interface or a stand-in's address
            cannot be reached or bound.
        REFUSED: The operators' interface refused the call.
        CONFLICT: Another operator's change was accepted first.
        NOT_IN_FORCE: Accepted, but some routers have not reported it.
        NOT_FOUND: No such decision, or it is no longer kept.
        INTERRUPTED: Interrupted from the keyboard.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    UNREACHABLE = 4
    REFUSED = 5
    CONFLICT = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8
    INTERRUPTED = 130
