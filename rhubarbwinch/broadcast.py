"""Typed messages to all peers at once, over ZeroMQ's publish and subscribe.

A message is encoded and handed over once, however many peers there are; one
that can't be delivered is dropped, so it must be one that is sent again.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import zmq
import zmq.asyncio

from rhubarbwinch import codec, events
from rhubarbwinch.exceptions import CodecError

T = TypeVar("T")

_MAX_QUEUED = 1_000
_MAX_MESSAGE_BYTES = 4 << 20
# A stalled connection is given up after the timeout, and made anew.
_PROBE_MS = 1_000
_PROBE_TIMEOUT_MS = 2_500
_RECONNECT_MS = 100
_MAX_RECONNECT_MS = 1_000


class Broadcast:
    """Sends to all peers that listen, and listens to peers.

    Args:
        address: `a.b.c.d:port` to which peers connect.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._handlers: dict[bytes, tuple[type, Callable[[Any], None]]] = {}
        self._peers: set[str] = set()
        self._publisher: zmq.Socket[bytes] | None = None
        self._subscriber: zmq.asyncio.Socket | None = None

    def on(self, kind: type[T], handle: Callable[[T], None]) -> None:
        """Sets the function that takes messages of a class."""
        self._handlers[kind.__name__.encode()] = (kind, handle)

    def add(self, address: str) -> None:
        """Listens to a peer."""
        if address in self._peers:
            return
        self._peers.add(address)
        if self._subscriber is not None:
            self._subscriber.connect(f"tcp://{address}")

    def forget(self, address: str) -> None:
        """Listens no more to a peer that is gone."""
        if address not in self._peers:
            return
        self._peers.remove(address)
        if self._subscriber is not None:
            self._subscriber.disconnect(f"tcp://{address}")

    def send(self, message: Any) -> None:
        """Sends a message to all peers that listen; it never waits."""
        if self._publisher is None:
            return
        kind = type(message).__name__.encode()
        self._publisher.send_multipart(
            [kind, codec.encode(message)], zmq.NOBLOCK
        )

    async def run(self) -> None:
        """Listens until cancelled."""
        publisher: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.PUB)
        subscriber = zmq.asyncio.Context.instance().socket(zmq.SUB)
        try:
            for socket in (publisher, subscriber):
                self._configure(socket)
            subscriber.subscribe(b"")
            publisher.bind(f"tcp://{self._address}")
            for address in self._peers:
                subscriber.connect(f"tcp://{address}")
            self._publisher, self._subscriber = publisher, subscriber
            while True:
                self._take(await subscriber.recv_multipart())
        finally:
            self._publisher = self._subscriber = None
            publisher.close()
            subscriber.close()

    def _configure(self, socket: Any) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _PROBE_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_MS)

    def _take(self, frames: list[bytes]) -> None:
        """Hands a message to its function; a bad one is logged."""
        try:
            kind, body = frames
            known = self._handlers.get(kind)
            if known is None:
                raise CodecError(f"unknown message {kind!r}")
            known[1](codec.decode(body, known[0]))
        except (ValueError, CodecError) as error:
            events.PEER_REFUSED.log(error=str(error))
        except Exception as error:
            # One message that can't be handled must not end the others.
            events.HANDLER_FAILED.log(
                message=str(frames[:1]), error=repr(error)
            )
