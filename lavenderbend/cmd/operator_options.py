"""Options of all commands that call a router's operators' interface."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING
from typing import TypeVar

import trio

from lavenderbend import errors
from lavenderbend.transport import operator_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    from typing import Any

T = TypeVar('T')

CREDENTIAL_VARIABLE = 'LAVENDERBEND_CREDENTIAL'
OPTIONS = f"""  --router URL            The router's operators' interface
                          [default: http://127.0.0.1:8081].
  --credential-file FILE  File with the operators' credential; without it
                          the variable {CREDENTIAL_VARIABLE} is read.
  --json                  Write the result as JSON."""


def read_credential(arguments: Mapping[str, Any]) -> str:
    """Returns the operators' credential.

    Raises:
        SettingsError: The credential is missing or invalid, or its file
            cannot be read.
    """
    name = arguments['--credential-file']
    if name is None:
        secret = os.environ.get(CREDENTIAL_VARIABLE, '')
    else:
        try:
            secret = pathlib.Path(name).read_text().strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.SettingsError(f'{name}: {exc}') from exc
    if not secret.isascii() or not secret.isprintable() or not secret:
        raise errors.SettingsError(
            'no credential: set LAVENDERBEND_CREDENTIAL or give '
            '--credential-file'
        )
    return secret


def call_router(
    arguments: Mapping[str, Any],
    call: Callable[[operator_client.OperatorClient], Awaitable[T]],
) -> T:
    """Runs a call of the router's operators' interface.

    Raises:
        SettingsError: There is no valid credential.
    """
    secret = read_credential(arguments)

    async def run() -> T:
        async with operator_client.OperatorClient(
            arguments['--router'], secret
        ) as client:
            return await call(client)

    return trio.run(run)
