"""What parts need of links: implemented over ZeroMQ and in memory."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Caller(Protocol):
    """Calls peers by their addresses."""

    async def call(
        self, address: str, message: Any, answer: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's answer.

        Raises:
            LinkError: The message was not sent.
            LinkTimeout: No answer came in time; the peer may have acted.
        """
        ...

    def forget(self, address: str) -> None:
        """Closes the connection to a peer that is gone."""
        ...


class Listener(Protocol):
    """Answers calls of peers."""

    def on(self, kind: type[T], answer: Callable[[T], Awaitable[Any]]) -> None:
        """Sets the function that answers messages of a class."""
        ...
