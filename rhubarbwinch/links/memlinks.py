"""Links in memory, for tests and for programs that embed the parts."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import LinkError, LinkTimeout

T = TypeVar("T")

# What the frames of a message and its kind add to the body.
_HEADER_BYTES = 18


@attrs.define
class Traffic:
    """What a node has sent and received, without the transport's headers."""

    messages: int = 0
    octets: int = 0

    def count(self, octets: int) -> None:
        """Adds one message."""
        self.messages += 1
        self.octets += octets


@attrs.frozen
class _Handler:
    """A message's class and the function that answers it."""

    kind: type
    answer: Callable[[Any], Awaitable[Any]]


class MemoryNetwork:
    """Carries messages between the nodes of one process.

    Args:
        clock: The time that messages take.
        latency_ms: The time in one direction.
    """

    def __init__(self, clock: Clock, latency_ms: int = 1) -> None:
        self.cut: set[str] = set()
        self._clock = clock
        self._latency_ms = latency_ms
        self._nodes: dict[str, MemoryLinks] = {}

    def node(self, address: str) -> "MemoryLinks":
        """Adds a node; one that had the address before is replaced."""
        self._nodes[address] = MemoryLinks(self, address)
        return self._nodes[address]

    async def carry(
        self, source: str, address: str, message: Any, timeout_ms: int
    ) -> Any:
        """Carries a message and its answer.

        Raises:
            LinkTimeout: One of the two nodes is cut off.
        """
        if address not in self._nodes or self.cut & {source, address}:
            await self._clock.sleep(timeout_ms)
            raise LinkTimeout(f"{address} gave no answer in {timeout_ms} ms")
        await self._clock.sleep(self._latency_ms)
        answer = await self._nodes[address].receive(message)
        await self._clock.sleep(self._latency_ms)
        if self.cut & {source, address}:
            raise LinkTimeout(f"{address} was cut off")
        return answer


class MemoryLinks:
    """One node: calls others and answers them.

    Args:
        network: Carries its messages.
        address: Its own address.
    """

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.traffic = Traffic()
        self._network = network
        self._address = address
        self._handlers: dict[str, _Handler] = {}

    def on(self, kind: type[T], answer: Callable[[T], Awaitable[Any]]) -> None:
        """Sets the function that answers messages of a class."""
        self._handlers[kind.__name__] = _Handler(kind, answer)

    async def call(
        self, address: str, message: Any, answer: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's answer.

        Raises:
            LinkTimeout: No answer came.
        """
        sent = self._pass(message)
        found = await self._network.carry(
            self._address, address, sent, timeout_ms
        )
        if found is None:
            raise LinkError(f"{address} refused {type(message).__name__}")
        return self._pass(found)

    async def send(self, address: str, message: Any) -> None:
        """Sends a message that has no answer."""
        try:
            await self._network.carry(
                self._address, address, self._pass(message), 0
            )
        except LinkTimeout:
            # Nobody tells the sender of a message whether it arrived.
            return

    def on_late(
        self, kind: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Does nothing; an answer comes before its call is given up."""

    async def receive(self, message: Any) -> Any:
        """Answers a message; None if its class is not known."""
        handler = self._handlers.get(type(message).__name__)
        if handler is None:
            return None
        answer = await handler.answer(self._pass(message))
        return self._pass(answer) if answer is not None else None

    def forget(self, address: str) -> None:
        """Does nothing; there are no connections."""

    def _pass(self, message: T) -> T:
        """Returns a copy that shares nothing, and counts its bytes."""
        data = codec.encode(message)
        name = type(message).__name__
        self.traffic.count(len(data) + len(name) + _HEADER_BYTES)
        return codec.decode(data, type(message))
