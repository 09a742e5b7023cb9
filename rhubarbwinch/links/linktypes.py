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


class RunningCaller(Caller, Protocol):
    """Calls peers while it runs."""

    async def run(self) -> None:
        """Keeps the connections until cancelled."""
        ...

    async def send(self, address: str, message: Any) -> None:
        """Sends a message that has no answer.

        Raises:
            LinkError: The message was not sent.
        """
        ...

    def on_late(
        self, kind: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Sets what is done with answers whose call has been given up."""
        ...


class RunningListener(Listener, Protocol):
    """Answers calls of peers while it runs."""

    async def run(self) -> None:
        """Serves until cancelled."""
        ...
