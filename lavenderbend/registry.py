"""Registries of named classes and functions, filled by decorators."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

T = TypeVar('T')


class Registry(Generic[T]):
    """Maps names to the registered implementations of one kind.

    Attributes:
        kind: What is registered, for error messages.
        entries: The implementations by name.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its class or function.

        Raises:
            RegistrationError: The name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self.entries:
                first = getattr(self.entries[name], '__module__', '?')
                second = getattr(entry, '__module__', '?')
                raise errors.RegistrationError(
                    f'{self.kind} {name!r} is registered by {first} '
                    f'and again by {second}'
                )
            self.entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns the entry registered under a name.

        Raises:
            RegistrationError: The name is not registered.
        """
        if name not in self.entries:
            names = ', '.join(sorted(self.entries))
            raise errors.RegistrationError(
                f'no {self.kind} {name!r}; there are: {names}'
            )
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
