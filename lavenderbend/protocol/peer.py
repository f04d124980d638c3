"""Base class, registry and codec of the messages between routers."""

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
# Metadata of a field that earlier builds lack. It is left out at its default:
# messages that do not use it have the bytes of those builds.
ADDED_LATER = {'added_later': True}


class Message:
    """Base class of messages; subclasses are attrs classes with a tag.

    Fields are None, bool, int, float, str, bytes, and lists of those.
    """

    tag: int


MESSAGES: dict[int, type[Message]] = {}


def message(tag: int) -> Callable[[C], C]:
    """Returns a decorator that registers a message class under a tag.

    Raises:
        RegistrationError: The tag is already registered.
    """

    def decorate(cls: C) -> C:
        if tag in MESSAGES:
            raise errors.RegistrationError(
                f'message tag {tag} is registered for '
                f'{MESSAGES[tag].__name__} and {cls.__name__}'
            )
        cls.tag = tag
        MESSAGES[tag] = cls
        return cls

    return decorate


def to_wire(message: Message) -> list[Any]:
    """Returns the message as a list: its tag, then its fields in order."""
    fields = list(attrs.fields(type(message)))
    while fields and may_leave_out(message, fields[-1]):
        fields.pop()
    return [message.tag, *(getattr(message, field.name) for field in fields)]


def may_leave_out(message: Message, field: attrs.Attribute) -> bool:
    """Returns whether earlier builds lack a last field, and it is unused."""
    added_later = ADDED_LATER.keys() <= field.metadata.keys()
    return added_later and getattr(message, field.name) == field.default


def from_wire(values: Any) -> Message:
    """Returns the message of a list made by `to_wire`.

    Fields that a newer peer appended are ignored, and fields that an older
    peer lacks take their defaults, so that routers of two versions can
    communicate during a rolling restart.

    Raises:
        CodecError: The list is not a registered message.
    """
    if not isinstance(values, list) or not values:
        raise errors.CodecError(
            'a message must be a list that begins with a tag'
        )
    if not isinstance(values[0], int) or values[0] not in MESSAGES:
        raise errors.CodecError(f'no message has the tag {values[0]!r}')
    cls = MESSAGES[values[0]]
    count = len(attrs.fields(cls))
    try:
        return cls(*values[1 : count + 1])
    except (TypeError, ValueError) as exc:
        raise errors.CodecError(f'{cls.__name__}: {exc}') from exc


def encode(message: Message) -> bytes:
    """Returns the message as msgpack bytes."""
    return msgpack.packb(to_wire(message))


def decode(data: bytes) -> Message:
    """Returns the message of bytes made by `encode`.

    Raises:
        CodecError: The bytes are not a registered message.
    """
    try:
        values = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as exc:
        raise errors.CodecError(f'not msgpack: {exc}') from exc
    return from_wire(values)


@message(1)
@attrs.frozen
class Failure(Message):
    """Reply to a request that failed.

    Attributes:
        kind: Name of the error class.
        detail: Text of the error.
        retry_after: Seconds after which to retry, or None.
    """

    kind: str
    detail: str
    retry_after: float | None = None


@message(2)
@attrs.frozen
class Done(Message):
    """Reply to a request that succeeded and has no result."""
