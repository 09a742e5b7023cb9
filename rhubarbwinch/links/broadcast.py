"""Small typed messages to all peers at once, by UDP.

A message is encoded once, and costs each peer one datagram and no connection.
Datagrams get lost at times, so a message must be one that is sent again, or
whose loss its receiver notices.
"""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import anyio

from rhubarbwinch.shared import codec, events, misc
from rhubarbwinch.shared.exceptions import CodecError

T = TypeVar("T")

# What fits a packet of the usual network, with room for the name of the
# message; larger ones would be lost with any one of their fragments.
MAX_MESSAGE_BYTES = 1_350
_SEPARATOR = b"\0"


class Broadcast(asyncio.DatagramProtocol):
    """Sends to all known peers, and takes what peers send.

    Args:
        address: `a.b.c.d:port` at which peers reach this process.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._handlers: dict[bytes, tuple[type, Callable[[Any], None]]] = {}
        self._peers: dict[str, tuple[str, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def on(self, kind: type[T], handle: Callable[[T], None]) -> None:
        """Sets the function that takes messages of a class."""
        self._handlers[kind.__name__.encode()] = (kind, handle)

    def add(self, address: str) -> None:
        """Sends to a peer from now on."""
        self._peers[address] = misc.split_address(address)

    def forget(self, address: str) -> None:
        """Sends no more to a peer that is gone."""
        self._peers.pop(address, None)

    def send(self, message: Any) -> None:
        """Sends a message to all peers; it never waits."""
        if self._transport is None:
            return
        kind = type(message).__name__.encode()
        data = kind + _SEPARATOR + codec.encode(message)
        for address in self._peers.values():
            self._transport.sendto(data, address)

    async def run(self) -> None:
        """Takes messages until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=misc.split_address(self._address)
        )
        self._transport = transport
        try:
            await anyio.sleep_forever()
        finally:
            self._transport = None
            transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hands a message to its function; a bad one is logged."""
        kind, _, body = data.partition(_SEPARATOR)
        known = self._handlers.get(kind)
        try:
            if known is None:
                raise CodecError(f"unknown message {kind[:40]!r}")
            known[1](codec.decode(body, known[0]))
        except CodecError as error:
            events.PEER_REFUSED.log(sender=str(addr), error=str(error))
        except Exception as error:
            # One message that can't be handled must not end the others.
            events.HANDLER_FAILED.log(
                message=kind[:40].decode("latin-1"), error=repr(error)
            )

    def error_received(self, exc: Exception) -> None:
        """Logs what the system says of a datagram, such as a closed port."""
        events.DATAGRAM_FAILED.log(error=repr(exc))
