"""Interfaces of links, implemented over ZeroMQ and in memory."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class PeerCaller(Protocol):
    """Calls peers by their addresses."""

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's reply.

        Raises:
            LinkError: The message was not sent.
            LinkTimeout: No reply arrived in time; the peer may have acted.
        """
        ...

    def forget(self, address: str) -> None:
        """Closes the connection to a peer that is gone."""
        ...


class Listener(Protocol):
    """Handles calls from peers."""

    def on(self, kind: type[T], handle: Callable[[T], Awaitable[Any]]) -> None:
        """Sets the handler for messages of a class; it returns the reply."""
        ...


class RunningPeerCaller(PeerCaller, Protocol):
    """Calls peers while its `run` is active."""

    async def run(self) -> None:
        """Runs the connections until cancelled."""
        ...

    async def send(self, address: str, message: Any) -> None:
        """Sends a message that has no reply.

        Raises:
            LinkError: The message was not sent.
        """
        ...

    def on_late_reply(
        self, kind: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Sets the handler for replies that arrive after their call ended."""
        ...


class RunningListener(Listener, Protocol):
    """Handles calls from peers while its `run` is active."""

    async def run(self) -> None:
        """Serves until cancelled."""
        ...
