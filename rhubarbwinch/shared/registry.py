"""Registry of named implementations that decorators add."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations of one interface.

    Args:
        item_kind: What the registry holds, for error messages, such as
            `placement policy`.
    """

    def __init__(self, item_kind: str) -> None:
        self._item_kind = item_kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument under `name`.

        Raises:
            ValueError: The name is already registered.
        """

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(
                    f"{self._item_kind} {name!r} is registered twice"
                )
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the implementation registered under `name`.

        Raises:
            KeyError: The name is not registered; the message lists the known
                names.
        """
        if name not in self._items:
            known = ", ".join(sorted(self._items))
            raise KeyError(f"no {self._item_kind} {name!r}; known: {known}")
        return self._items[name]

    def __contains__(self, name: str) -> bool:
        return name in self._items

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._items))
