"""`lavenderbend explain`."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import decision_text
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.protocol import documents_yaml

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('explain')
class Explain(base.Command):
    """Explains how a router would route a request."""

    summary = 'say what would be decided for a request, sending nothing'
    usage = f"""Say what a router would decide for a request; nothing is sent.

Usage:
  lavenderbend explain --customer NAME [--method METHOD] [--path PATH]
                       [--header NAME:VALUE]... [--model MODEL]
                       [--body FILE] [--chat KEY] [options]

Options:
  --customer NAME         The customer.
  --method METHOD         HTTP method [default: POST].
  --path PATH             Path [default: /v1/chat/completions].
  --header NAME:VALUE     A header; may be given again.
  --model MODEL           Model, in place of a body.
  --body FILE             Body, a JSON object.
  --chat KEY              Key of the chat.
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes the explanation."""
        request = {
            'customer': arguments['--customer'],
            'method': arguments['--method'],
            'path': arguments['--path'],
            'headers': dict(map(split_header, arguments['--header'])),
            'chat_key': arguments['--chat'],
            'body': request_body(arguments),
        }
        explanation = operator_options.call_router(
            arguments,
            lambda client: client.post(
                '/v1/explain', json.dumps(request).encode()
            ),
        )
        output.write_result(
            explanation, decision_text.explanation_text(explanation)
        )
        return exit_codes.ExitCode.OK


def split_header(text: str) -> tuple[str, str]:
    """Returns the name and value of a header.

    Raises:
        SettingsError: The text has no colon.
    """
    name, separator, value = text.partition(':')
    if not separator:
        raise errors.SettingsError(f'--header {text!r} has no colon')
    return name.strip().lower(), value.strip()


def request_body(arguments: Mapping[str, Any]) -> Any:
    """Returns the request body, or None if there is none.

    Raises:
        SettingsError: The file is not valid JSON.
    """
    if arguments['--body'] is not None:
        try:
            return json.loads(documents_yaml.read_file(arguments['--body']))
        except ValueError as exc:
            raise errors.SettingsError(f'{arguments["--body"]}: {exc}') from exc
    if arguments['--model'] is None:
        return None
    message = {'role': 'user', 'content': ''}
    return {'model': arguments['--model'], 'messages': [message]}
