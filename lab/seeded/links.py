"""In-memory links that delay, reorder and lose messages at random."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import attrs

from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import LinkTimeout

T = TypeVar("T")

LATENCY_MS = 3
DELAYED_MS = 900
DELAY_CHANCE = 0.02
LOSS_CHANCE = 0.005


@attrs.frozen
class _Handler:
    """A message class and the function that handles its messages."""

    message_type: type
    handle: Callable[[Any], Awaitable[Any]]


@attrs.define
class _PendingCall:
    """A call that waits for its reply."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: Any = None


class SeededNetwork:
    """Delivers messages with random delays, so that they can be reordered.

    Args:
        clock: The source of time.
        rng: Draws delays and losses.
        tasks: Runs a task for each message, so that the callee continues
            after its caller has timed out.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, tasks: anyio.abc.TaskGroup
    ) -> None:
        self.clock = clock
        self.tasks = tasks
        self._rng = rng
        self._nodes: dict[str, SeededLinks] = {}

    def add_node(self, address: str) -> "SeededLinks":
        """Adds a node; a former node of the address is cut off permanently."""
        old = self._nodes.get(address)
        if old is not None:
            old.is_cut_off = True
        self._nodes[address] = SeededLinks(self)
        return self._nodes[address]

    def get_node(self, address: str) -> "SeededLinks":
        """Returns the node of an address."""
        return self._nodes[address]

    def find(self, address: str) -> "SeededLinks | None":
        """Returns the node of an address; None if absent or cut off."""
        node = self._nodes.get(address)
        return None if node is None or node.is_cut_off else node

    async def delay_message(self) -> bool:
        """Waits for the delay of a message; returns False if it is lost."""
        wait_ms = self._rng.randint(1, LATENCY_MS)
        if self._rng.random() < DELAY_CHANCE:
            wait_ms = self._rng.randint(LATENCY_MS, DELAYED_MS)
        await self.clock.sleep(wait_ms)
        return self._rng.random() >= LOSS_CHANCE


class SeededLinks:
    """A node that calls other nodes and replies to their calls.

    Args:
        network: Delivers its messages.
    """

    def __init__(self, network: SeededNetwork) -> None:
        self.is_cut_off = False
        self._network = network
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._handlers: dict[str, _Handler] = {}
        self._late_handlers: dict[str, _Handler] = {}

    def on(
        self, message_type: type[T], handle: Callable[[T], Awaitable[Any]]
    ) -> None:
        """Sets the handler for messages of a class."""
        self._handlers[message_type.__name__] = _Handler(message_type, handle)

    def on_late_reply(
        self, message_type: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Sets the handler for replies whose call has timed out."""
        self._late_handlers[message_type.__name__] = _Handler(
            message_type, handle
        )

    async def run(self) -> None:
        """Waits until cancelled; there are no connections to keep."""
        await anyio.sleep_forever()

    def forget(self, address: str) -> None:
        """Does nothing; there are no connections."""

    async def send(self, address: str, message: Any) -> None:
        """Sends a message without waiting for a reply."""
        self._network.tasks.start_soon(
            self._deliver, address, codec.encode(message), type(message), 0
        )

    async def call(
        self, address: str, message: Any, reply: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's reply.

        Raises:
            LinkTimeout: No reply arrived in time.
        """
        number = next(self._numbers)
        pending = self._pending[number] = _PendingCall()
        tasks = self._network.tasks
        data = codec.encode(message)
        tasks.start_soon(self._deliver, address, data, type(message), number)
        tasks.start_soon(self._time_out, pending, timeout_ms)
        try:
            await pending.done.wait()
        finally:
            del self._pending[number]
        if pending.reply is None:
            raise LinkTimeout(f"{address} sent no reply within {timeout_ms} ms")
        return pending.reply

    async def _time_out(self, pending: _PendingCall, timeout_ms: int) -> None:
        await self._network.clock.sleep(timeout_ms)
        pending.done.set()

    async def _deliver(
        self, address: str, data: bytes, message_type: type, number: int
    ) -> None:
        """Delivers a message and, for a call, its reply."""
        if self.is_cut_off or not await self._network.delay_message():
            return
        node = self._network.find(address)
        handler = node._handlers.get(message_type.__name__) if node else None
        if node is None or handler is None:
            return
        reply = await handler.handle(codec.decode(data, handler.message_type))
        if reply is None or not number or node.is_cut_off:
            return
        if await self._network.delay_message() and not self.is_cut_off:
            copy = codec.decode(codec.encode(reply), type(reply))
            await self._accept_reply(number, copy)

    async def _accept_reply(self, number: int, reply: Any) -> None:
        pending = self._pending.get(number)
        if pending is not None:
            pending.reply = reply
            pending.done.set()
            return
        handler = self._late_handlers.get(type(reply).__name__)
        if handler is not None:
            await handler.handle(reply)
