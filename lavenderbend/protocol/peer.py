"""Messages between routers and the codec that carries them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import msgpack

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Callable

C = TypeVar('C', bound=type)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Message:
    """Base of the messages; subclasses are attrs classes with a tag.

    Fields are None, bool, int, float, str, bytes, and lists of those.
    """

    tag: int


MESSAGES: dict[int, type[Message]] = {}


def message(tag: int) -> Callable[[C], C]:
    """Returns a decorator that registers a message class under a tag.

    Raises:
        RegistrationError: The tag is taken.
    """

    def decorate(cls: C) -> C:
        if tag in MESSAGES:
            raise errors.RegistrationError(
                f'message tag {tag} is {MESSAGES[tag].__name__} '
                f'and again {cls.__name__}'
            )
        cls.tag = tag
        MESSAGES[tag] = cls
        return cls

    return decorate


def to_wire(item: Message) -> list[Any]:
    """Returns the message as a list: its tag, then its fields in order."""
    values = [getattr(item, field.name) for field in attrs.fields(type(item))]
    return [item.tag, *values]


def from_wire(values: Any) -> Message:
    """Returns the message of a list made by `to_wire`.

    Fields that a newer peer added at the end are left out, fields that an
    older peer lacks take their defaults, so that routers of two versions
    can talk during a rolling restart.

    Raises:
        CodecError: The list is no message of ours.
    """
    if not isinstance(values, list) or not values:
        raise errors.CodecError('a message is a list that begins with a tag')
    if not isinstance(values[0], int) or values[0] not in MESSAGES:
        raise errors.CodecError(f'no message has the tag {values[0]!r}')
    cls = MESSAGES[values[0]]
    count = len(attrs.fields(cls))
    try:
        return cls(*values[1 : count + 1])
    except (TypeError, ValueError) as exc:
        raise errors.CodecError(f'{cls.__name__}: {exc}') from exc


def encode(item: Message) -> bytes:
    """Returns the message as msgpack bytes."""
    return msgpack.packb(to_wire(item))


def decode(data: bytes) -> Message:
    """Returns the message of bytes made by `encode`.

    Raises:
        CodecError: The bytes are no message of ours.
    """
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as exc:
        raise errors.CodecError(f'not msgpack: {exc}') from exc
    return from_wire(values)


@message(1)
@attrs.frozen
class Failure(Message):
    """The answer to a request that was refused.

    Attributes:
        kind: Name of the error type.
        detail: Its text.
        retry_after: Seconds, or None.
    """

    kind: str
    detail: str
    retry_after: float | None = None


@message(2)
@attrs.frozen
class Done(Message):
    """The answer to a request that has nothing to return."""
