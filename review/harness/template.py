"""Fills in the template of a router's settings, as DEPLOY.md describes."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def lookup(fields: object, name: str) -> object:
    """Returns a field by its dotted name, None if there is none."""
    for part in name.split('.'):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render_text(value: object) -> str:
    """Returns a value as a placeholder shows it."""
    if value is None:
        return ''
    if isinstance(value, list):
        return ','.join(map(str, value))
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def render(text: str, fields: dict[str, object]) -> str:
    """Returns the template with its sections and placeholders filled in."""

    def section(match: re.Match[str]) -> str:
        return match[2] if lookup(fields, match[1]) else ''

    def value(match: re.Match[str]) -> str:
        found = lookup(fields, match[1])
        return json.dumps(found) if match[2] else render_text(found)

    return VALUE.sub(value, SECTION.sub(section, text))


def render_file(path: pathlib.Path, fields: dict[str, object]) -> str:
    """Returns a template file, filled in."""
    return render(path.read_text(), fields)
