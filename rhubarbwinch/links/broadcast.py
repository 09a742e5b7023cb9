"""Broadcasts small typed messages to all peers by UDP.

A message is encoded once and costs one datagram per peer and no connection.
Datagrams may be lost, so each message must either be repeated or be of a kind
whose loss the receiver notices.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import anyio

from rhubarbwinch.shared import codec, events, netaddress
from rhubarbwinch.shared.exceptions import CodecError

T = TypeVar("T")

# Fits into one packet of a usual network, with space for the name of the
# message class. A larger datagram would be fragmented and lost with any one
# fragment.
MAX_MESSAGE_BYTES = 1_350
_SEPARATOR = b"\0"


class Broadcast(asyncio.DatagramProtocol):
    """Sends messages to all known peers and receives theirs.

    Args:
        address: `a.b.c.d:port` at which peers reach this process.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._handlers: dict[bytes, tuple[type, Callable[[Any], None]]] = {}
        self._peers: dict[str, tuple[str, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def on(self, kind: type[T], handle: Callable[[T], None]) -> None:
        """Sets the handler for messages of a class."""
        self._handlers[kind.__name__.encode()] = (kind, handle)

    def add(self, address: str) -> None:
        """Adds a peer to the receivers of all later messages."""
        self._peers[address] = netaddress.parse_address(address)

    def forget(self, address: str) -> None:
        """Removes a peer that is gone from the receivers."""
        self._peers.pop(address, None)

    def send(self, message: Any) -> None:
        """Sends a message to all peers without blocking."""
        self.send_to(message, self._peers)

    def send_to(self, message: Any, addresses: Iterable[str]) -> None:
        """Sends a message to some of the peers without blocking.

        Args:
            message: The message.
            addresses: The addresses of the receivers; those of unknown peers
                are left out.
        """
        if self._transport is None:
            return
        kind = type(message).__name__.encode()
        data = kind + _SEPARATOR + codec.encode(message)
        for address in addresses:
            peer = self._peers.get(address)
            if peer is not None:
                self._transport.sendto(data, peer)

    async def run(self) -> None:
        """Receives messages until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=netaddress.parse_address(self._address)
        )
        self._transport = transport
        try:
            await anyio.sleep_forever()
        finally:
            self._transport = None
            transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Calls the handler of a message; logs a malformed message."""
        kind, _, body = data.partition(_SEPARATOR)
        handler = self._handlers.get(kind)
        try:
            if handler is None:
                raise CodecError(f"unknown message {kind[:40]!r}")
            handler[1](codec.decode(body, handler[0]))
        except CodecError as error:
            events.PEER_REFUSED.log(sender=str(addr), error=str(error))
        except Exception as error:
            # A failed handler must not stop the handling of later messages.
            events.HANDLER_FAILED.log(
                message=kind[:40].decode("latin-1"), error=repr(error)
            )

    def error_received(self, exc: Exception) -> None:
        """Logs a network error of a datagram, such as a closed port."""
        events.DATAGRAM_FAILED.log(error=repr(exc))
