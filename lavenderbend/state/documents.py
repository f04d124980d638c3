"""The configuration as JSON items: digests, deltas and packing."""

from __future__ import annotations

import difflib
import functools
import hashlib
import json
import zlib

import attrs
import cattrs
import msgpack

from lavenderbend import errors
from lavenderbend.state import configuration

# sections in the order of the digest, each with the class of its items
SECTIONS: dict[str, type] = {
    'rules': configuration.Rule,
    'pools': configuration.Pool,
    'customers': configuration.Customer,
    'orders': configuration.Order,
}
CACHED_ITEMS = 20_000
CONVERTER = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class Document:
    """A configuration as one canonical JSON text for each item.

    A change of one item leaves the others as they are: nothing else has to
    be written, sent or read again.

    Attributes:
        sections: Items by section, in order.
    """

    sections: dict[str, tuple[bytes, ...]]

    @functools.cached_property
    def digest(self) -> str:
        """Hash of all items in order, in hex."""
        state = hashlib.sha256()
        for name in SECTIONS:
            items = self.sections[name]
            state.update(f'{name}:{len(items)};'.encode())
            for item in items:
                state.update(f'{len(item)}:'.encode())
                state.update(item)
        return state.hexdigest()


@attrs.frozen
class Splice:
    """Items of a section that take the place of others.

    Attributes:
        section: Name of the section.
        first: Index of the first item replaced.
        last: Index after the last item replaced.
        items: What stands there now.
    """

    section: str
    first: int
    last: int
    items: tuple[bytes, ...]


def unpack_item(section: str, text: bytes) -> object:
    """Returns the object of one item's text.

    Raises:
        CodecError: The text is no item of that section.
    """
    try:
        return structure(section, text)
    except (ValueError, TypeError, cattrs.BaseValidationError) as exc:
        raise errors.CodecError(f'{section}: {exc!r}') from exc


@functools.lru_cache(maxsize=CACHED_ITEMS)
def structure(section: str, text: bytes) -> object:
    """Returns the object of one item's text, cached."""
    return CONVERTER.structure(json.loads(text), SECTIONS[section])


def from_configuration(item: configuration.Configuration) -> Document:
    """Returns the document of a configuration."""
    sections = {}
    for name in SECTIONS:
        sections[name] = tuple(
            json_text(member) for member in getattr(item, name)
        )
    return Document(sections)


def json_text(member: object) -> bytes:
    """Returns the canonical JSON text of one item."""
    value = CONVERTER.unstructure(member)
    text = json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )
    return text.encode()


def to_configuration(document: Document) -> configuration.Configuration:
    """Returns the configuration of a document.

    Raises:
        CodecError: An item cannot be read.
    """
    parts = {}
    for name in SECTIONS:
        items = document.sections[name]
        parts[name] = tuple(unpack_item(name, text) for text in items)
    return configuration.Configuration(**parts)


def pack(document: Document) -> bytes:
    """Returns the document as compressed bytes."""
    values = [list(document.sections[name]) for name in SECTIONS]
    return zlib.compress(msgpack.packb(values), 6)


def unpack(data: bytes) -> Document:
    """Returns the document of bytes made by `pack`.

    Raises:
        CodecError: The bytes are no document.
    """
    try:
        values = msgpack.unpackb(zlib.decompress(data))
        pairs = zip(SECTIONS, values, strict=True)
        return Document({name: tuple(items) for name, items in pairs})
    except (ValueError, TypeError, zlib.error) as exc:
        raise errors.CodecError(f'no document: {exc!r}') from exc


def delta(old: Document, new: Document) -> tuple[Splice, ...]:
    """Returns what turns one document into another."""
    found = []
    for name in SECTIONS:
        found += section_delta(name, old.sections[name], new.sections[name])
    return tuple(found)


def section_delta(
    name: str, old: tuple[bytes, ...], new: tuple[bytes, ...]
) -> list[Splice]:
    """Returns the splices of one section, first ones first."""
    if old == new:
        return []
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    return [
        Splice(name, first, last, new[begin:end])
        for tag, first, last, begin, end in matcher.get_opcodes()
        if tag != 'equal'
    ]


def apply(document: Document, splices: tuple[Splice, ...]) -> Document:
    """Returns the document after a delta.

    Raises:
        CodecError: The delta does not fit the document.
    """
    sections = {name: list(items) for name, items in document.sections.items()}
    # from the back, so that earlier indexes stay right
    for splice in reversed(splices):
        items = sections.get(splice.section)
        if items is None or splice.last > len(items):
            raise errors.CodecError('a delta does not fit its document')
        items[splice.first : splice.last] = splice.items
    return Document({name: tuple(items) for name, items in sections.items()})


def difference(old: Document, new: Document) -> tuple[str, ...]:
    """Returns what changed, one line for each item."""
    lines = []
    for splice in delta(old, new):
        gone = old.sections[splice.section][splice.first : splice.last]
        before = {label(item): item for item in gone}
        after = {label(item): item for item in splice.items}
        for name in before.keys() - after.keys():
            lines.append(f'{splice.section}: {name} removed')
        for name in after.keys() - before.keys():
            lines.append(f'{splice.section}: {name} added')
        for name in after.keys() & before.keys():
            if before[name] != after[name]:
                lines.append(f'{splice.section}: {name} changed')
    return tuple(sorted(lines))


def label(item: bytes) -> str:
    """Returns what an operator calls an item."""
    value = json.loads(item)
    if 'name' in value:
        return value['name']
    return f'{value.get("pool")}/{value.get("model")}'


EMPTY = from_configuration(configuration.Configuration())
