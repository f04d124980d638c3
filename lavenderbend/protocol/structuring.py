"""Strict conversion of plain values into attrs classes, by cattrs."""

from __future__ import annotations

import enum
from typing import Any
from typing import get_args
from typing import get_origin
from typing import TYPE_CHECKING

import attrs
import cattrs
from cattrs import gen

from lavenderbend.protocol import units
from lavenderbend.state import configuration
from lavenderbend.state import requests
from lavenderbend.state import settings
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    Hook = Callable[[Any, Any], Any]
    Writer = Callable[[Any], Any]


def text(value: Any, _: Any) -> str:
    """Returns a string; a structure hook."""
    if not isinstance(value, str):
        raise units.Fault(
            f'{units.describe(value)} is not a text', 'a text (quote numbers)'
        )
    return value


def integer(value: Any, _: Any) -> int:
    """Returns an integer; a structure hook."""
    if type(value) is not int:
        raise units.Fault(
            f'{units.describe(value)} is not a whole number', 'a whole number'
        )
    return value


def number(value: Any, _: Any) -> float:
    """Returns a float; a structure hook."""
    if type(value) not in (int, float):
        raise units.Fault(
            f'{units.describe(value)} is not a number', 'a number'
        )
    return float(value)


def boolean(value: Any, _: Any) -> bool:
    """Returns a boolean; a structure hook."""
    if not isinstance(value, bool):
        raise units.Fault(
            f'{units.describe(value)} is not a boolean', 'true or false'
        )
    return value


def enum_key(member: enum.Enum) -> str:
    """Returns the text for an enum member: its value if a string, or its name.

    Names are in lower case.
    """
    if isinstance(member.value, str):
        return member.value
    return member.name.lower()


def member_of(value: Any, cls: type[enum.Enum]) -> enum.Enum:
    """Returns the member of an enum class; a structure hook."""
    members = {enum_key(member): member for member in cls}
    if not isinstance(value, str) or value not in members:
        raise units.Fault(
            f'{units.describe(value)} is not allowed',
            ' | '.join(sorted(members)),
        )
    return members[value]


# Hooks for fields whose type does not define their unit, and bounds of the
# fields of the configuration. Bounds of settings are in their field metadata.
FIELD_HOOKS: dict[tuple[type, str], Hook] = {
    (configuration.When, 'share'): units.share,
    (configuration.Then, 'timeout'): units.duration,
    (configuration.Then, 'limit'): units.rate,
    (settings.OrderSettings, 'unavailable'): units.share,
    (settings.AttemptSettings, 'retry_share'): units.share,
}
FIELD_WRITERS: dict[tuple[type, str], Writer] = {
    (configuration.When, 'share'): units.write_share,
    (configuration.Then, 'timeout'): units.write_duration,
    (configuration.Then, 'limit'): units.write_rate,
    (settings.OrderSettings, 'unavailable'): units.write_share,
    (settings.AttemptSettings, 'retry_share'): units.write_share,
}
FIELD_BOUNDS: dict[tuple[type, str], settings.Bounds] = {
    (configuration.When, 'share'): settings.Bounds(0, 100),
    (configuration.Then, 'timeout'): settings.Bounds(
        0.001, settings.DAY_SECONDS
    ),
    (configuration.Then, 'retries'): settings.Bounds(0, 10),
    (configuration.Then, 'limit'): settings.Bounds(0, 1_000_000),
    (configuration.Pool, 'bound'): settings.Bounds(1, 100),
    (configuration.Pool, 'floor'): settings.Bounds(0, 100_000),
    (configuration.Pool, 'max_load'): settings.Bounds(1, 100_000),
    (configuration.Pool, 'max_waiting'): settings.Bounds(0, 1_000_000),
    (configuration.Pool, 'groups'): settings.Bounds(1, 1024),
    (configuration.Customer, 'weight'): settings.Bounds(0.001, 1_000_000),
    (configuration.Customer, 'requests_per_second'): settings.Bounds(
        0, 1_000_000
    ),
    (configuration.Customer, 'burst'): settings.Bounds(0, 1_000_000),
    (configuration.Order, 'replicas'): settings.Bounds(0, 100_000),
    (upstreams.Vm, 'port'): settings.Bounds(1, settings.MAX_PORT),
}


def in_bounds(inner: Hook, bounds: settings.Bounds) -> Hook:
    """Returns a hook that checks that the result of another is in bounds."""

    def hook(value: Any, cls: Any) -> Any:
        result = inner(value, cls)
        if not bounds.contains(result):
            raise units.Fault(
                f'{units.describe(value)} is out of range', str(bounds)
            )
        return result

    return hook


class StrictConverter(cattrs.Converter):
    """Converter that accepts no implicit conversions or unknown keys.

    Reports all errors of a document together.
    """

    def __init__(self) -> None:
        super().__init__(detailed_validation=True, forbid_extra_keys=True)
        self.register_structure_hook(str, text)
        self.register_structure_hook(int, integer)
        self.register_structure_hook(float, number)
        self.register_structure_hook(bool, boolean)
        # Without its own hook, an IntEnum would be structured as an int.
        self.register_structure_hook(requests.Priority, member_of)
        self.register_structure_hook(settings.Seconds, units.duration)
        self.register_structure_hook(settings.ByteCount, units.size)
        self.register_structure_hook_factory(is_enum, lambda cls: member_of)
        self.register_structure_hook_factory(is_tuple, self.tuple_hook)
        self.register_structure_hook_factory(is_map, self.map_hook)
        self.register_structure_hook_factory(attrs.has, self.class_hook)
        self.register_unstructure_hook(requests.Priority, enum_key)
        self.register_unstructure_hook_factory(is_enum, lambda cls: enum_key)
        self.register_unstructure_hook_factory(is_tuple, self.list_writer)
        self.register_unstructure_hook_factory(attrs.has, self.class_writer)

    def tuple_hook(self, cls: Any) -> Hook:
        """Returns the hook of `tuple[T, ...]`, which accepts only lists."""
        member = get_args(cls)[0]

        def hook(value: Any, _: Any) -> Any:
            # A string would otherwise become one entry for each character.
            if not isinstance(value, list):
                raise units.Fault(
                    f'{units.describe(value)} is not a list', 'a list'
                )
            return tuple(self.structure(value, list[member]))

        return hook

    def map_hook(self, cls: Any) -> Hook:
        """Returns the hook of `dict[str, T]`."""
        inner = gen.mapping_structure_factory(cls, self)

        def hook(value: Any, _: Any) -> Any:
            if not isinstance(value, dict):
                raise units.Fault(
                    f'{units.describe(value)} is not a map', 'a map'
                )
            return inner(value, cls)

        return hook

    def class_hook(self, cls: type) -> Hook:
        """Returns the hook of an attrs class."""
        overrides = {
            field.name: gen.override(struct_hook=self.field_hook(cls, field))
            for field in attrs.fields(attrs.resolve_types(cls))
        }
        inner = gen.make_dict_structure_fn(
            cls, self, _cattrs_forbid_extra_keys=True, **overrides
        )
        names = ', '.join(overrides)

        def hook(value: Any, _: Any) -> Any:
            if not isinstance(value, dict):
                raise units.Fault(
                    f'{units.describe(value)} is not a map', f'keys: {names}'
                )
            return inner(value, cls)

        return hook

    def field_hook(self, cls: type, field: attrs.Attribute) -> Hook:
        """Returns the hook of one field, which applies its unit and bounds."""
        inner = FIELD_HOOKS.get((cls, field.name))
        if inner is None:
            inner = self.get_structure_hook(field.type)
        bounds = field.metadata.get(
            'bounds', FIELD_BOUNDS.get((cls, field.name))
        )
        return inner if bounds is None else in_bounds(inner, bounds)

    def list_writer(self, cls: Any) -> Writer:
        """Returns the unstructure hook of `tuple[T, ...]`."""
        return lambda value: [self.unstructure(member) for member in value]

    def class_writer(self, cls: type) -> Writer:
        """Returns the unstructure hook of an attrs class; it omits defaults."""
        writers = {
            field.name: gen.override(
                unstruct_hook=FIELD_WRITERS.get((cls, field.name))
            )
            for field in attrs.fields(attrs.resolve_types(cls))
            if (cls, field.name) in FIELD_WRITERS
        }
        return gen.make_dict_unstructure_fn(
            cls, self, _cattrs_omit_if_default=True, **writers
        )


def is_enum(cls: Any) -> bool:
    """Returns whether the type is an enum class."""
    return isinstance(cls, type) and issubclass(cls, enum.Enum)


def is_tuple(cls: Any) -> bool:
    """Returns whether the type is a tuple of any length."""
    return get_origin(cls) is tuple


def is_map(cls: Any) -> bool:
    """Returns whether the type is a dict."""
    return get_origin(cls) is dict


CONVERTER = StrictConverter()
