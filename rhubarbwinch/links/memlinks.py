"""Links in memory, for tests and for programs that embed components."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import LinkError, LinkTimeout

T = TypeVar("T")

# Size of the message header.
_HEADER_BYTES = 18


@attrs.define
class Traffic:
    """The traffic of a node, without the transport's headers."""

    messages: int = 0
    byte_count: int = 0

    def count(self, byte_count: int) -> None:
        """Adds one message."""
        self.messages += 1
        self.byte_count += byte_count


@attrs.frozen
class _Handler:
    """A message class and its handler."""

    kind: type
    answer: Callable[[Any], Awaitable[Any]]


class MemoryNetwork:
    """Delivers messages between the nodes of one process.

    Args:
        clock: The source of time.
        latency_ms: The delay of a message in one direction.

    Attributes:
        disconnected: The addresses of nodes that are disconnected.
    """

    def __init__(self, clock: Clock, latency_ms: int = 1) -> None:
        self.disconnected: set[str] = set()
        self._clock = clock
        self._latency_ms = latency_ms
        self._nodes: dict[str, MemoryLinks] = {}

    def node(self, address: str) -> "MemoryLinks":
        """Adds a node; an earlier node at the address is replaced."""
        self._nodes[address] = MemoryLinks(self, address)
        return self._nodes[address]

    async def deliver(
        self, source: str, address: str, message: Any, timeout_ms: int
    ) -> Any:
        """Delivers a message and returns its reply.

        Raises:
            LinkTimeout: One of the two nodes is missing or disconnected.
        """
        if address not in self._nodes or self.disconnected & {source, address}:
            await self._clock.sleep(timeout_ms)
            raise LinkTimeout(f"{address} gave no answer in {timeout_ms} ms")
        await self._clock.sleep(self._latency_ms)
        reply = await self._nodes[address].receive(message)
        await self._clock.sleep(self._latency_ms)
        if self.disconnected & {source, address}:
            raise LinkTimeout(f"{address} was cut off")
        return reply


class MemoryLinks:
    """One node, which calls others and handles their calls.

    Args:
        network: Delivers its messages.
        address: Its own address.
    """

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.traffic = Traffic()
        self._network = network
        self._address = address
        self._handlers: dict[str, _Handler] = {}

    def on(self, kind: type[T], handle: Callable[[T], Awaitable[Any]]) -> None:
        """Sets the handler for messages of a class; it returns the reply."""
        self._handlers[kind.__name__] = _Handler(kind, handle)

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's reply.

        Raises:
            LinkError: The peer gave no reply, or handles no such messages.
            LinkTimeout: One of the two nodes is missing or disconnected.
        """
        copy = self._copy(message)
        reply = await self._network.deliver(
            self._address, address, copy, timeout_ms
        )
        if reply is None:
            raise LinkError(f"{address} refused {type(message).__name__}")
        return self._copy(reply)

    async def send(self, address: str, message: Any) -> None:
        """Sends a message that has no reply."""
        try:
            await self._network.deliver(
                self._address, address, self._copy(message), 0
            )
        except LinkTimeout:
            # A sender does not learn whether such a message has arrived.
            return

    def on_late_reply(
        self, kind: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Does nothing; replies in memory are never late."""

    async def receive(self, message: Any) -> Any:
        """Handles a message; returns its reply, None for unknown classes."""
        handler = self._handlers.get(type(message).__name__)
        if handler is None:
            return None
        answer = await handler.answer(self._copy(message))
        return self._copy(answer) if answer is not None else None

    def forget(self, address: str) -> None:
        """Does nothing; there are no connections."""

    def _copy(self, message: T) -> T:
        """Counts a message; returns a copy without shared objects."""
        data = codec.encode(message)
        name = type(message).__name__
        self.traffic.count(len(data) + len(name) + _HEADER_BYTES)
        return codec.decode(data, type(message))
