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

# Sections in the order in which the digest covers them, with the class of
# their items.
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

    A change of one item does not affect the text of the others, so only the
    changed item has to be written, sent and parsed again.

    Attributes:
        sections: JSON texts of the items by section, in order.
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
    """Replacement of a range of items of a section.

    Attributes:
        section: Name of the section.
        first: Index of the first item replaced.
        last: Index after the last item replaced.
        items: The items put in their place.
    """

    section: str
    first: int
    last: int
    items: tuple[bytes, ...]


def unpack_item(section: str, text: bytes) -> object:
    """Returns the item that a JSON text describes.

    Raises:
        CodecError: The text is not a valid item of the section.
    """
    try:
        return structure_item(section, text)
    except (ValueError, TypeError, cattrs.BaseValidationError) as exc:
        raise errors.CodecError(f'{section}: {exc!r}') from exc


@functools.lru_cache(maxsize=CACHED_ITEMS)
def structure_item(section: str, text: bytes) -> object:
    """Returns the item that a JSON text describes, from a cache.

    Raises:
        ValueError, TypeError, cattrs.BaseValidationError: The text is not a
            valid item of the section.
    """
    return CONVERTER.structure(json.loads(text), SECTIONS[section])


def from_configuration(source: configuration.Configuration) -> Document:
    """Returns a configuration as a document."""
    sections = {}
    for name in SECTIONS:
        sections[name] = tuple(
            json_text(item) for item in getattr(source, name)
        )
    return Document(sections)


def json_text(item: object) -> bytes:
    """Returns the canonical JSON text of one item."""
    value = CONVERTER.unstructure(item)
    text = json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )
    return text.encode()


def to_configuration(document: Document) -> configuration.Configuration:
    """Returns the configuration that a document describes.

    Raises:
        CodecError: An item is not valid.
    """
    parts = {}
    for name in SECTIONS:
        items = document.sections[name]
        parts[name] = tuple(unpack_item(name, text) for text in items)
    return configuration.Configuration(**parts)


def pack(document: Document) -> bytes:
    """Encodes a document as compressed `msgpack`."""
    values = [list(document.sections[name]) for name in SECTIONS]
    return zlib.compress(msgpack.packb(values), 6)


def unpack(data: bytes) -> Document:
    """Decodes a document encoded by `pack`.

    Raises:
        CodecError: The data is not a valid document.
    """
    try:
        values = msgpack.unpackb(zlib.decompress(data))
        pairs = zip(SECTIONS, values, strict=True)
        return Document({name: tuple(items) for name, items in pairs})
    except (ValueError, TypeError, zlib.error) as exc:
        raise errors.CodecError(f'not a valid document: {exc!r}') from exc


def delta(old: Document, new: Document) -> tuple[Splice, ...]:
    """Returns the splices that turn one document into another."""
    splices = []
    for name in SECTIONS:
        splices += section_delta(name, old.sections[name], new.sections[name])
    return tuple(splices)


def section_delta(
    name: str, old: tuple[bytes, ...], new: tuple[bytes, ...]
) -> list[Splice]:
    """Returns the splices of one section, by ascending index."""
    if old == new:
        return []
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    return [
        Splice(name, first, last, new[begin:end])
        for tag, first, last, begin, end in matcher.get_opcodes()
        if tag != 'equal'
    ]


def apply(document: Document, splices: tuple[Splice, ...]) -> Document:
    """Returns the document that results from a delta.

    Raises:
        CodecError: The delta does not fit the document.
    """
    sections = {name: list(items) for name, items in document.sections.items()}
    # In reverse order, so that the indexes of earlier splices stay valid.
    for splice in reversed(splices):
        items = sections.get(splice.section)
        if items is None or splice.last > len(items):
            raise errors.CodecError('a delta does not fit its document')
        items[splice.first : splice.last] = splice.items
    return Document({name: tuple(items) for name, items in sections.items()})


def difference(old: Document, new: Document) -> tuple[str, ...]:
    """Returns the changed items, one line of text for each."""
    lines = []
    for splice in delta(old, new):
        replaced = old.sections[splice.section][splice.first : splice.last]
        before = {label(item): item for item in replaced}
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
    """Returns the name under which an item is shown to operators."""
    value = json.loads(item)
    if 'name' in value:
        return value['name']
    return f'{value.get("pool")}/{value.get("model")}'


EMPTY = from_configuration(configuration.Configuration())
