"""Settings and configuration files, read strictly."""

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
from lavenderbend.state import rule_sets
from lavenderbend.state import settings

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar('T')


def load_settings(path: str | pathlib.Path) -> settings.RouterSettings:
    """Returns the settings in a file.

    Raises:
        DocumentErrors: All faults of the file.
    """
    return parse_settings(read_file(path), str(path))


def load_configuration(path: str | pathlib.Path) -> configuration.Configuration:
    """Returns the configuration in a file.

    Raises:
        DocumentErrors: All faults of the file.
    """
    return parse_configuration(read_file(path), str(path))


def parse_settings(text: str | bytes, name: str) -> settings.RouterSettings:
    """Returns the settings in a text; `name` stands in the errors."""
    document = yaml_nodes.parse(text, name)
    result = structure(document, settings.RouterSettings)
    check(document, rule_sets.settings_problems(result))
    return result


def parse_configuration(
    text: str | bytes, name: str
) -> configuration.Configuration:
    """Returns the configuration in a text; `name` stands in the errors."""
    document = yaml_nodes.parse(text, name)
    result = structure(document, configuration.Configuration)
    check(document, rule_sets.problems(result))
    return result


def read_file(path: str | pathlib.Path) -> bytes:
    """Returns the bytes of a file, one more than are allowed at most."""
    try:
        with pathlib.Path(path).open('rb') as stream:
            return stream.read(yaml_nodes.MAX_TEXT_BYTES + 1)
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise yaml_nodes.refuse(
            str(path), 1, reason, 'a readable file'
        ) from exc


def structure(document: yaml_nodes.Document, cls: type[T]) -> T:
    """Returns the document as an attrs class."""
    try:
        return structuring.CONVERTER.structure(document.value, cls)
    except (cattrs.BaseValidationError, units.Fault) as exc:
        faults = sorted(translate(document, exc, ()), key=place)
    raise errors.DocumentErrors(f'{document.name} cannot be used', faults)


def place(fault: errors.DocumentError) -> tuple[int, str]:
    """Returns what faults are sorted by."""
    return fault.line, fault.key


def check(
    document: yaml_nodes.Document, problems: list[rule_sets.Problem]
) -> None:
    """Raises the problems with their lines, if there are any."""
    faults = [
        document.fault(problem.path, problem.fault, problem.allowed)
        for problem in problems
    ]
    if faults:
        raise errors.DocumentErrors(f'{document.name} cannot be used', faults)


def translate(
    document: yaml_nodes.Document, exc: Exception, path: tuple[Any, ...]
) -> Iterator[errors.DocumentError]:
    """Yields the faults within an error of cattrs, each with its place."""
    if isinstance(exc, cattrs.BaseValidationError):
        for inner in exc.exceptions:
            yield from translate(document, inner, (*path, *step(inner)))
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


def step(exc: Exception) -> tuple[Any, ...]:
    """Returns the part of the path that cattrs noted on an error."""
    for note in getattr(exc, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return (note.name,)
        if isinstance(note, cattrs.IterableValidationNote):
            return (note.index,)
    return ()


def dump_configuration(item: configuration.Configuration) -> str:
    """Returns the text that `parse_configuration` reads the same from."""
    return yaml.dump(
        structuring.CONVERTER.unstructure(item),
        Dumper=Dumper,
        sort_keys=False,
        allow_unicode=True,
        width=76,
    )


class Dumper(yaml.SafeDumper):
    """Quotes each text that would be read as something else."""

    def ignore_aliases(self, data: Any) -> bool:
        """Writes equal parts out each time."""
        return True


def represent_text(dumper: Dumper, value: str) -> yaml.Node:
    """Returns the node of a text."""
    plain = yaml_nodes.resolve(value) is value
    style = None if plain else "'"
    return dumper.represent_scalar('tag:yaml.org,2002:str', value, style=style)


Dumper.add_representer(str, represent_text)
