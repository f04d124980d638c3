"""YAML text into plain values that remember their lines."""

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
# the loader of libyaml, ten times as fast, where PyYAML has it
LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
# nineteen digits could pass the 64 bits of the peers' codec
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
        value: Maps, lists, texts, numbers, booleans and None.
        lines: Line, counted from 1, of each key and list member.
    """

    name: str
    value: Any
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Returns the line of the path, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(
        self, path: Path, fault: str, allowed: str
    ) -> errors.DocumentError:
        """Returns the error for a fault at a path."""
        return errors.DocumentError(
            self.name, self.line(path), show_path(path), fault, allowed
        )


def show_path(path: Path) -> str:
    """Returns a path as operators see it, such as `rules[2].then.pool`."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or 'document'


def refuse(name: str, line: int, fault: str, allowed: str) -> Exception:
    """Returns the group for a fault that makes the text unreadable."""
    error = errors.DocumentError(name, line, 'document', fault, allowed)
    return errors.DocumentErrors(f'{name} cannot be used', [error])


def parse(text: str | bytes, name: str) -> Document:
    """Returns the document of a YAML text.

    Raises:
        DocumentErrors: The text is no YAML, or uses what is left out here:
            aliases, tags, several documents, keys given twice.
    """
    text = decode(text, name)
    try:
        check_events(text, name)
        node = yaml.compose(text, Loader=LOADER)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, 'problem', None) or str(exc)
        raise refuse(name, line, ' '.join(problem.split()), 'YAML') from exc
    reader = NodeReader(name)
    value = reader.read(node, ()) if node is not None else None
    if reader.faults:
        raise errors.DocumentErrors(f'{name} cannot be used', reader.faults)
    return Document(name, value, reader.lines)


def decode(text: str | bytes, name: str) -> str:
    """Returns the text, checked for its size and encoding."""
    if len(text) > MAX_TEXT_BYTES:
        raise refuse(name, 1, 'too long', f'{MAX_TEXT_BYTES} bytes')
    if isinstance(text, str):
        return text
    try:
        return text.decode()
    except UnicodeDecodeError as exc:
        line = text.count(b'\n', 0, exc.start) + 1
        raise refuse(name, line, 'not UTF-8', 'text in UTF-8') from exc


def check_events(text: str, name: str) -> None:
    """Refuses what could grow or nest without bound.

    A few lines of aliases of aliases become gigabytes, and deep nesting
    ends in a RecursionError inside the composer: both are seen here, where
    events come one by one, before anything is built.
    """
    depth = 0
    documents = 0
    for event in yaml.parse(text, Loader=LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise refuse(name, line, 'an alias', 'values written out')
        if getattr(event, 'tag', None):
            raise refuse(name, line, f'tag {event.tag}', 'no tags')
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
        if documents > 1:
            raise refuse(name, line, 'a second document', 'one document')
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise refuse(name, line, 'nested too deep', f'depth {MAX_DEPTH}')


class NodeReader:
    """Reads nodes into values, keeping lines and faults by path."""

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
        """Yields keys and values of a map."""
        seen = set()
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = key_node.value
            if not isinstance(key_node, yaml.ScalarNode):
                self.add(line, path, 'a key that is a list or map', 'a text')
                continue
            if key in seen:
                self.add(line, (*path, key), 'given twice', 'once')
                continue
            seen.add(key)
            self.lines[(*path, key)] = line
            yield key, self.read(value_node, (*path, key))

    def add(self, line: int, path: Path, fault: str, allowed: str) -> None:
        """Keeps a fault."""
        self.faults.append(
            errors.DocumentError(
                self.name, line, show_path(path), fault, allowed
            )
        )


def scalar(node: yaml.ScalarNode) -> Any:
    """Returns the value of a scalar; what is quoted is a text."""
    return node.value if node.style else resolve(node.value)


def resolve(text: str) -> Any:
    """Returns what an unquoted scalar means.

    YAML 1.1 reads `no` as false, `010` as eight and `12:30` as 750; here
    these are texts, so that a name never turns into something else.
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
