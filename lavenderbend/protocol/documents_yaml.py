"""Strict parsing of settings and configuration files in YAML."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import cattrs
import yaml

from lavenderbend import errors
from lavenderbend.protocol import structuring
from lavenderbend.protocol import units
from lavenderbend.protocol import yaml_nodes
from lavenderbend.state import configuration
from lavenderbend.state import settings
from lavenderbend.state import validation

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar('T')

# A line break of YAML 1.1 which parsers replace by a newline or a space unless
# it is escaped, as only double quotes allow.
NEXT_LINE = '\x85'


def load_settings(path: str | pathlib.Path) -> settings.RouterSettings:
    """Returns the settings in a file.

    Raises:
        DocumentErrors: The file is invalid; holds all errors found.
    """
    return parse_settings(read_file(path), str(path))


def load_configuration(path: str | pathlib.Path) -> configuration.Configuration:
    """Returns the configuration in a file.

    Raises:
        DocumentErrors: The file is invalid; holds all errors found.
    """
    return parse_configuration(read_file(path), str(path))


def parse_settings(text: str | bytes, name: str) -> settings.RouterSettings:
    """Returns the settings in a text; errors name the file as `name`."""
    document = yaml_nodes.parse(text, name)
    result = structure(document, settings.RouterSettings)
    check(document, validation.settings_problems(result))
    return result


def parse_configuration(
    text: str | bytes, name: str
) -> configuration.Configuration:
    """Returns the configuration in a text.

    Args:
        text: YAML text.
        name: Name of the file, used in errors.
    """
    document = yaml_nodes.parse(text, name)
    result = structure(document, configuration.Configuration)
    check(document, validation.configuration_problems(result))
    return result


def read_file(path: str | pathlib.Path) -> bytes:
    """Returns the content of a file.

    Reads at most one byte more than `MAX_TEXT_BYTES`, by which the parser
    detects a file that is too long.

    Raises:
        DocumentErrors: The file cannot be read.
    """
    try:
        with pathlib.Path(path).open('rb') as stream:
            return stream.read(yaml_nodes.MAX_TEXT_BYTES + 1)
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise yaml_nodes.unreadable(
            str(path), 1, reason, 'a readable file'
        ) from exc


def structure(document: yaml_nodes.Document, cls: type[T]) -> T:
    """Returns the document as an instance of an attrs class.

    Raises:
        DocumentErrors: Values are invalid; holds all errors found.
    """
    try:
        return structuring.CONVERTER.structure(document.value, cls)
    except (cattrs.BaseValidationError, units.Fault) as exc:
        faults = sorted(translate(document, exc, ()), key=sort_key)
    raise errors.DocumentErrors(f'{document.name} cannot be used', faults)


def sort_key(fault: errors.DocumentError) -> tuple[int, str]:
    """Returns the key that orders faults by line, then by path."""
    return fault.line, fault.key


def check(
    document: yaml_nodes.Document, problems: list[validation.Problem]
) -> None:
    """Checks that there are no problems.

    Raises:
        DocumentErrors: There are; each is given its line in the document.
    """
    faults = [
        document.fault(problem.path, problem.fault, problem.allowed)
        for problem in problems
    ]
    if faults:
        raise errors.DocumentErrors(f'{document.name} cannot be used', faults)


def translate(
    document: yaml_nodes.Document, exc: Exception, path: tuple[Any, ...]
) -> Iterator[errors.DocumentError]:
    """Yields the faults within a cattrs error, each with line and path.

    Args:
        document: The document that was structured.
        exc: The error, or one nested in it.
        path: Path of the value that the error belongs to.
    """
    if isinstance(exc, cattrs.BaseValidationError):
        for inner in exc.exceptions:
            yield from translate(document, inner, (*path, *path_step(inner)))
    elif isinstance(exc, cattrs.ForbiddenExtraKeysError):
        names = ', '.join(field.name for field in attrs.fields(exc.cl))
        for key in sorted(exc.extra_fields):
            yield document.fault((*path, key), 'unknown key', names)
    elif isinstance(exc, units.Fault):
        yield document.fault(path, exc.fault, exc.allowed)
    elif isinstance(exc, KeyError):
        yield document.fault(path, 'missing', 'a value for this key')
    else:
        yield document.fault(path, str(exc), 'see the reference')


def path_step(exc: Exception) -> tuple[Any, ...]:
    """Returns the path component in the notes cattrs added to an error."""
    for note in getattr(exc, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return (note.name,)
        if isinstance(note, cattrs.IterableValidationNote):
            return (note.index,)
    return ()


def dump_configuration(document: configuration.Configuration) -> str:
    """Returns YAML that `parse_configuration` parses to an equal value."""
    return yaml.dump(
        structuring.CONVERTER.unstructure(document),
        Dumper=Dumper,
        sort_keys=False,
        allow_unicode=True,
        width=76,
    )


class Dumper(yaml.SafeDumper):
    """Quotes each string that would be parsed as another type."""

    def ignore_aliases(self, data: Any) -> bool:
        """Returns True: repeated values are written out, not aliased."""
        return True


def represent_text(dumper: Dumper, value: str) -> yaml.Node:
    """Returns the scalar node of a string, quoted if necessary."""
    style = None
    if NEXT_LINE in value:
        style = '"'
    elif yaml_nodes.resolve(value) is not value:
        style = "'"
    return dumper.represent_scalar('tag:yaml.org,2002:str', value, style=style)


Dumper.add_representer(str, represent_text)
