"""Writes the reference pages from the code: run after changing what they show.

python docs/reference/generate.py
"""

from __future__ import annotations

import enum
import importlib
import pathlib
import pkgutil
import re
from typing import get_args
from typing import get_origin
from typing import TYPE_CHECKING

import attrs

import lavenderbend
from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.observe import metrics
from lavenderbend.protocol import structuring
from lavenderbend.protocol import units
from lavenderbend.state import configuration
from lavenderbend.state import settings
from lavenderbend.transport import operator_routes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from typing import Any

    from lavenderbend import registry

HERE = pathlib.Path(__file__).parent
NOTE = '.. written by docs/reference/generate.py; change the code, not this\n\n'
UNITS = {
    settings.Seconds: units.DURATION,
    settings.ByteCount: units.SIZE,
    str: 'a text',
    int: 'a whole number',
    float: 'a number',
    bool: 'true or false',
}
HOOK_UNITS = {
    units.duration: units.DURATION,
    units.rate: units.RATE,
    units.share: units.SHARE,
}


def import_all() -> None:
    """Imports every module, so that all metrics and commands are known."""
    for module in pkgutil.walk_packages(
        lavenderbend.__path__, f'{lavenderbend.__name__}.'
    ):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)


def heading(text: str, mark: str = '=') -> str:
    """Returns a heading."""
    return f'{text}\n{mark * len(text)}\n'


def list_table(heads: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Returns a table."""
    lines = ['.. list-table::', '   :header-rows: 1', '']
    for row in (tuple(heads), *map(tuple, rows)):
        for index, cell in enumerate(row):
            mark = '* -' if index == 0 else '  -'
            lines.append(f'   {mark} {cell}'.rstrip())
    return '\n'.join(lines) + '\n'


def attribute_docs(cls: type) -> dict[str, str]:
    """Returns the texts of the `Attributes:` section of a class or enum."""
    doc = cls.__doc__ or ''
    _, _, section = doc.partition('Attributes:')
    found: dict[str, str] = {}
    name = ''
    for line in section.splitlines():
        match = re.fullmatch(r' {8}([A-Za-z_]+): (.*)', line)
        if match:
            name = match[1]
            found[name] = match[2]
        elif line.startswith(' ' * 12) and name:
            found[name] += ' ' + line.strip()
    return found


def summary(item: object) -> str:
    """Returns the first paragraph of a doc comment."""
    doc = item.__doc__ or ''
    return ' '.join(doc.partition('\n\n')[0].split())


def escape(text: str) -> str:
    """Returns a text in which nothing is markup but literals."""
    text = re.sub(r'`([^`]+)`', r'``\1``', text)
    return text.replace('*', r'\*') if '``' not in text else text


def allowed(cls: type, field: attrs.Attribute) -> str:
    """Returns what a key may hold."""
    hook = structuring.FIELD_HOOKS.get((cls, field.name))
    bounds = field.metadata.get(
        'bounds', structuring.FIELD_BOUNDS.get((cls, field.name))
    )
    text = HOOK_UNITS[hook] if hook else kind(field.type)
    if bounds is None:
        return text
    unit = ' in seconds' if field.type is settings.Seconds else ''
    unit = ' in bytes' if field.type is settings.ByteCount else unit
    return f'{text}; {bounds}{unit}'


def kind(cls: Any) -> str:
    """Returns the name of a type for operators."""
    if cls in UNITS:
        return UNITS[cls]
    if isinstance(cls, type) and issubclass(cls, enum.Enum):
        return ' | '.join(f'``{structuring.enum_key(m)}``' for m in cls)
    if get_origin(cls) is tuple:
        return f'a list, each {kind(get_args(cls)[0])}'
    if get_origin(cls) is dict:
        return 'a map of texts'
    if attrs.has(cls):
        return f'a map, see `{cls.__name__}`_'
    present = [arg for arg in get_args(cls) if arg is not type(None)]
    return kind(present[0]) if present else str(cls)


def default(cls: type, field: attrs.Attribute) -> str:
    """Returns the default of a key."""
    value = field.default
    writer = structuring.FIELD_WRITERS.get((cls, field.name))
    if writer is not None and isinstance(value, float):
        return f'``{writer(value)}``'
    if value is attrs.NOTHING:
        return 'needed'
    if isinstance(value, attrs.Factory) or value in ((), ''):
        return ''
    if value is None:
        return 'none'
    if isinstance(value, enum.Enum):
        return f'``{structuring.enum_key(value)}``'
    if isinstance(value, bool):
        return f'``{str(value).lower()}``'
    return f'``{value:g}``' if isinstance(value, float) else f'``{value}``'


def class_section(cls: type) -> str:
    """Returns the section of one map of a file."""
    docs = attribute_docs(cls)
    rows = [
        (
            f'``{field.name}``',
            allowed(cls, field),
            default(cls, field),
            escape(docs.get(field.name, '')),
        )
        for field in attrs.fields(attrs.resolve_types(cls))
    ]
    heads = ('Key', 'Allowed', 'Default', 'What it is')
    return (
        f'{heading(cls.__name__, "-")}\n{escape(summary(cls))}\n\n'
        f'{list_table(heads, rows)}\n'
    )


def nested(cls: type, seen: list[type]) -> list[type]:
    """Returns a class and the classes of its keys, outer ones first."""
    if cls in seen:
        return seen
    seen.append(cls)
    for field in attrs.fields(attrs.resolve_types(cls)):
        for part in (field.type, *get_args(field.type)):
            if attrs.has(part):
                nested(part, seen)
    return seen


def document_page(title: str, intro: str, cls: type) -> str:
    """Returns the page of a file."""
    parts = [NOTE, heading(title), '\n', intro, '\n\n']
    parts += [class_section(part) for part in nested(cls, [])]
    return ''.join(parts).rstrip('\n') + '\n'


def settings_page() -> str:
    """Returns the page of the settings file."""
    return document_page(
        'Settings',
        'Keys of the file that ``lavenderbend router --settings`` reads. '
        'Durations and sizes\nhave units; defaults are shown in seconds and '
        'bytes. Unknown keys are refused.',
        settings.RouterSettings,
    )


def configuration_page() -> str:
    """Returns the page of the configuration file."""
    return document_page(
        'Rules file',
        'Keys of the file that ``lavenderbend rules apply`` reads. Durations, '
        'rates and\nshares have units. Unknown keys are refused.',
        configuration.Configuration,
    )


def error_classes() -> list[type[errors.LavenderbendError]]:
    """Returns all errors, those of `errors` first and in its order."""
    own = [
        item
        for item in vars(errors).values()
        if isinstance(item, type) and issubclass(item, errors.LavenderbendError)
    ]
    others = set(descendants(errors.LavenderbendError)) - set(own)
    return own + sorted(others, key=lambda cls: cls.__name__)


def descendants(cls: type) -> Iterator[type]:
    """Yields the classes below a class."""
    for inner in cls.__subclasses__():
        if inner.__module__.startswith(lavenderbend.__name__):
            yield inner
            yield from descendants(inner)


def errors_page() -> str:
    """Returns the page of the errors."""
    told = []
    inner = []
    for cls in error_classes():
        if issubclass(cls, errors.RequestError):
            told.append(
                (
                    f'``{cls.kind}``',
                    str(cls.status),
                    cls.outcome.value,
                    f'``{cls.__name__}``',
                    escape(summary(cls)),
                )
            )
        elif cls is not errors.LavenderbendError:
            inner.append(
                (f'``{cls.__name__}``', cls.category, escape(summary(cls)))
            )
    return (
        f'{NOTE}{heading("Errors")}\n'
        f'{heading("What callers are told", "-")}\n'
        'Problem details (RFC 9457); the type is '
        '``urn:lavenderbend:problem:`` and the kind.\n\n'
        + list_table(('Kind', 'Status', 'Outcome', 'Error', 'Meaning'), told)
        + f'\n{heading("Inside and for operators", "-")}\n'
        + list_table(('Error', 'Category', 'Meaning'), inner)
    )


def metrics_page() -> str:
    """Returns the page of the metrics."""
    rows = [
        (f'``{name}``', type(item).__name__.lower(), escape(item.doc))
        for name, item in sorted(metrics.REGISTRY.collectors.items())
    ]
    return (
        f'{NOTE}{heading("Metrics")}\n'
        "What ``GET /metrics`` of the operators' interface gives.\n\n"
        + list_table(('Name', 'Kind', 'Meaning'), rows)
    )


def exit_codes_page() -> str:
    """Returns the page of the commands and their exit codes."""
    docs = attribute_docs(exit_codes.ExitCode)
    rows = [
        (
            str(int(code)),
            code.name.lower().replace('_', ' '),
            escape(docs[code.name]),
        )
        for code in exit_codes.ExitCode
    ]
    parts = [
        NOTE,
        heading('Command line'),
        '\n',
        heading('Exit codes', '-'),
        '\n',
        list_table(('Code', 'Name', 'Meaning'), rows),
    ]
    for name in base.COMMANDS:
        usage = base.COMMANDS.get(name).usage.rstrip('\n')
        text = '\n'.join(f'   {line}'.rstrip() for line in usage.split('\n'))
        parts += ['\n', heading(name, '-'), f'\n::\n\n{text}\n']
    return ''.join(parts)


def routes_table(routes: registry.Registry[operator_routes.Route]) -> str:
    """Returns the routes of one interface."""
    rows = []
    for key in routes:
        entry = routes.get(key)
        rows.append((entry.method, f'``{entry.path}``', escape(entry.doc)))
    return list_table(('Method', 'Path', 'What it gives'), rows)


def interface_page() -> str:
    """Returns the page of the operators' interface."""
    return (
        f'{NOTE}{heading("Interface for operators")}\n'
        'Each call needs ``Authorization: Bearer`` with the credential of '
        '``operators.credential``;\nbrowsers send it as the password of Basic '
        'authentication, which counts for reading only.\nErrors are problem '
        'details (RFC 9457).\n\n'
        + routes_table(operator_routes.ROUTES)
        + f'\n{heading("Of forwarding routers", "-")}\n'
        'Read only: the platform keeps the configuration.\n\n'
        + routes_table(operator_routes.FORWARDING_ROUTES)
    )


def pages() -> dict[str, str]:
    """Returns each page by the name of its file."""
    import_all()
    return {
        'command-line.rst': exit_codes_page(),
        'errors.rst': errors_page(),
        'interface.rst': interface_page(),
        'metrics.rst': metrics_page(),
        'rules-file.rst': configuration_page(),
        'settings.rst': settings_page(),
    }


def main() -> None:
    """Writes the pages."""
    for name, text in pages().items():
        (HERE / name).write_text(text)


if __name__ == '__main__':
    main()
