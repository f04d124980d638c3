"""Strict YAML parser that records the line of each value."""

from __future__ import annotations

import re
from typing import Any
from typing import TYPE_CHECKING

import attrs
import yaml

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Iterator

    Path = tuple[str | int, ...]

MAX_TEXT_BYTES = 1024 * 1024
MAX_DEPTH = 16
# The libyaml loader, if PyYAML was built with it, is ten times as fast.
LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
# Numbers of 19 digits could exceed the 64 bits of the codec between peers.
MAX_DIGITS = 18

INTEGER = re.compile(r'[-+]?(0|[1-9][0-9]*)')
FLOAT = re.compile(r'[-+]?[0-9]+(\.[0-9]+)?([eE][-+]?[0-9]{1,3})?')
NULLS = frozenset(('', '~', 'null'))
BOOLEANS = {'true': True, 'false': False}


@attrs.frozen
class Document:
    """A YAML document as plain values.

    Attributes:
        name: Name of the file.
        value: Dicts, lists, strings, numbers, booleans and None.
        lines: Line number, from 1, of each key and list entry, by path.
    """

    name: str
    value: Any
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Returns the line of a path, or of its nearest recorded parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(
        self, path: Path, fault: str, allowed: str
    ) -> errors.DocumentError:
        """Returns the error for an invalid value.

        Args:
            path: Path of the value.
            fault: What is wrong with it.
            allowed: Description of valid values.
        """
        return errors.DocumentError(
            self.name, self.line(path), format_path(path), fault, allowed
        )


def format_path(path: Path) -> str:
    """Returns a path as text, such as `rules[2].then.pool`."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or 'document'


def unreadable(name: str, line: int, fault: str, allowed: str) -> Exception:
    """Returns the error group for a fault that prevents parsing."""
    error = errors.DocumentError(name, line, 'document', fault, allowed)
    return errors.DocumentErrors(f'{name} cannot be used', [error])


def parse(text: str | bytes, name: str) -> Document:
    """Parses a YAML document.

    Raises:
        DocumentErrors: The text is not valid YAML, or uses features that are
            not supported here: aliases, tags, several documents, duplicate
            keys.
    """
    text = decode(text, name)
    try:
        check_events(text, name)
        node = yaml.compose(text, Loader=LOADER)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, 'problem', None) or str(exc)
        raise unreadable(name, line, ' '.join(problem.split()), 'YAML') from exc
    reader = NodeReader(name)
    value = reader.read(node, ()) if node is not None else None
    if reader.faults:
        raise errors.DocumentErrors(f'{name} cannot be used', reader.faults)
    return Document(name, value, reader.lines)


def decode(text: str | bytes, name: str) -> str:
    """Returns the decoded text.

    Raises:
        DocumentErrors: The text is too long or not UTF-8.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise unreadable(name, 1, 'too long', f'{MAX_TEXT_BYTES} bytes')
    if isinstance(text, str):
        return text
    try:
        return text.decode()
    except UnicodeDecodeError as exc:
        line = text.count(b'\n', 0, exc.start) + 1
        raise unreadable(name, line, 'not UTF-8', 'text in UTF-8') from exc


def check_events(text: str, name: str) -> None:
    """Checks the parser events for unsupported YAML features.

    A few lines of aliases of aliases expand to gigabytes, and deep nesting
    causes a RecursionError in the composer. Both are detected here, from the
    stream of events, before any node is built.

    Raises:
        DocumentErrors: The text has an alias, a tag, a second document, or
            is nested deeper than `MAX_DEPTH`.
    """
    depth = 0
    documents = 0
    for event in yaml.parse(text, Loader=LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise unreadable(name, line, 'an alias', 'values written out')
        if getattr(event, 'tag', None):
            raise unreadable(name, line, f'tag {event.tag}', 'no tags')
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
        if documents > 1:
            raise unreadable(name, line, 'a second document', 'one document')
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise unreadable(
                name, line, 'nested too deep', f'depth {MAX_DEPTH}'
            )


class NodeReader:
    """Converts nodes into values.

    Attributes:
        name: Name of the file.
        lines: Line number of each key and list entry, by path.
        faults: Errors found so far.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.lines: dict[Path, int] = {}
        self.faults: list[Exception] = []

    def read(self, node: yaml.Node, path: Path) -> Any:
        """Returns the value of a node."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return dict(self.members(node, path))
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(member, (*path, index))
                for index, member in enumerate(node.value)
            ]
        return scalar(node)

    def members(
        self, node: yaml.MappingNode, path: Path
    ) -> Iterator[tuple[str, Any]]:
        """Yields keys and values of a mapping node, without invalid keys."""
        seen = set()
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = key_node.value
            if not isinstance(key_node, yaml.ScalarNode):
                self.add_fault(
                    line, path, 'a key that is a list or map', 'a text'
                )
                continue
            if key in seen:
                self.add_fault(line, (*path, key), 'given twice', 'once')
                continue
            seen.add(key)
            self.lines[(*path, key)] = line
            yield key, self.read(value_node, (*path, key))

    def add_fault(
        self, line: int, path: Path, fault: str, allowed: str
    ) -> None:
        """Records an error."""
        self.faults.append(
            errors.DocumentError(
                self.name, line, format_path(path), fault, allowed
            )
        )


def scalar(node: yaml.ScalarNode) -> Any:
    """Returns the value of a scalar; quoted scalars are strings."""
    return node.value if node.style else resolve(node.value)


def resolve(text: str) -> Any:
    """Returns the value of an unquoted scalar.

    YAML 1.1 parses `no` as false, `010` as 8 and `12:30` as 750. Here they are
    strings, so that a name is never converted to another type.
    """
    if text in NULLS:
        return None
    if text in BOOLEANS:
        return BOOLEANS[text]
    if INTEGER.fullmatch(text) and len(text) <= MAX_DIGITS:
        return int(text)
    if FLOAT.fullmatch(text) and len(text) <= MAX_DIGITS:
        return float(text)
    return text
