"""Links between processes: typed calls over ZeroMQ, one socket per peer.

A message has three frames: a header of protocol version, incarnation of the
calling process and sequence number; the name of the message class; the body. A
reply repeats the incarnation and sequence number of its call. The number 0
marks a message without a reply.
"""

import asyncio
import hmac
import itertools
import struct
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import attrs
import zmq
import zmq.asyncio

from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.exceptions import (
    CodecError,
    LinkError,
    LinkTimeout,
    PeerFailed,
)
from rhubarbwinch.version import PROTOCOL_VERSION

T = TypeVar("T")

_HEADER = struct.Struct("!HQQ")
_ZAP_ADDRESS = "inproc://zeromq.zap.01"
_MAX_QUEUED = 10_000
_MAX_MESSAGE_BYTES = 4 << 20
_MAX_OPEN_CALLS = 20_000
# How long a message waits while a connection is being established.
_CONNECT_TIMEOUT_MS = 250
# The kind of a reply to a call whose handler failed.
_FAILED = "!failed"


@attrs.frozen
class LinkKeys:
    """A CURVE key pair in Z85; every process of a deployment holds it."""

    public: str
    secret: str = attrs.field(repr=False)


@attrs.define
class LinkCounters:
    """Counts of dropped and failed messages, for metrics and tests."""

    unknown_replies: int = 0
    refused: int = 0
    failed: int = 0
    overloaded: int = 0


@attrs.frozen
class _Handler:
    """A message class and its handler."""

    kind: type
    answer: Callable[[Any], Awaitable[Any]]


def _pack(kind: str, incarnation: int, number: int, body: bytes) -> list[bytes]:
    header = _HEADER.pack(PROTOCOL_VERSION, incarnation, number)
    return [header, kind.encode(), body]


class LinkServer:
    """Handles calls from peers.

    Args:
        address: `a.b.c.d:port` to listen on.
        keys: The key pair for encryption and authentication; with None, links
            are neither encrypted nor authenticated.
    """

    def __init__(self, address: str, keys: LinkKeys | None = None) -> None:
        self.counters = LinkCounters()
        self._address = address
        self._keys = keys
        self._handlers: dict[str, _Handler] = {}
        self._open_calls = 0

    def on(self, kind: type[T], handle: Callable[[T], Awaitable[Any]]) -> None:
        """Sets the handler for messages of a class; it returns the reply."""
        self._handlers[kind.__name__] = _Handler(kind, handle)

    async def run(self) -> None:
        """Serves until cancelled; each call is handled in its own task."""
        context = zmq.asyncio.Context.instance()
        socket = context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        authenticator = _configure_curve(socket, self._keys)
        try:
            socket.bind(f"tcp://{self._address}")
            async with anyio.create_task_group() as tasks:
                while True:
                    frames = await socket.recv_multipart()
                    if self._open_calls >= _MAX_OPEN_CALLS:
                        self.counters.overloaded += 1
                        events.LINK_OVERLOADED.log(handling=self._open_calls)
                        continue
                    self._open_calls += 1
                    tasks.start_soon(self._serve_call, socket, frames)
        finally:
            socket.close()
            if authenticator is not None:
                # Unbinding frees the address at once, which a restart in this
                # process needs; closing the socket frees it later.
                authenticator.zap_socket.unbind(_ZAP_ADDRESS)
                authenticator.stop()

    async def _serve_call(
        self, socket: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        try:
            await self._serve_checked(socket, frames)
        except (ValueError, struct.error, CodecError) as error:
            self.counters.refused += 1
            events.PEER_REFUSED.log(error=str(error))
        finally:
            self._open_calls -= 1

    async def _serve_checked(
        self, socket: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        """Handles a message and sends its reply.

        Raises:
            ValueError: The frames are not a message.
            struct.error: The header is too short or too long.
            CodecError: The message has another protocol version or an unknown
                kind, or its body can't be decoded.
        """
        peer, header, kind, body = frames
        version, incarnation, number = _HEADER.unpack(header)
        if version != PROTOCOL_VERSION:
            raise CodecError(f"unsupported protocol version {version}")
        handler = self._handlers.get(kind.decode())
        if handler is None:
            raise CodecError(f"unknown message {kind!r}")
        message: Any = codec.decode(body, handler.kind)
        reply = await self._make_reply(handler, message, incarnation, number)
        if reply and number:
            await socket.send_multipart([peer, *reply])

    async def _make_reply(
        self, handler: _Handler, message: Any, incarnation: int, number: int
    ) -> list[bytes]:
        """Returns the frames of the reply; none if there is no reply."""
        try:
            answer = await handler.answer(message)
        except Exception as error:
            # A failed handler must not stop the handling of other messages.
            self.counters.failed += 1
            events.HANDLER_FAILED.log(
                message=handler.kind.__name__, error=repr(error)
            )
            return _pack(_FAILED, incarnation, number, b"")
        if answer is None:
            return []
        body = codec.encode(answer)
        return _pack(type(answer).__name__, incarnation, number, body)


def _configure_curve(socket: zmq.asyncio.Socket, keys: LinkKeys | None) -> Any:
    """Makes a socket accept only peers that have the same key pair."""
    if keys is None:
        return None
    from zmq.auth.asyncio import AsyncioAuthenticator  # noqa: PLC0415

    authenticator = AsyncioAuthenticator(zmq.asyncio.Context.instance())
    authenticator.start()
    provider = _SingleKeyProvider(keys.public)
    authenticator.configure_curve_callback("*", credentials_provider=provider)
    socket.curve_server = True
    socket.curve_publickey = keys.public.encode()
    socket.curve_secretkey = keys.secret.encode()
    return authenticator


class _SingleKeyProvider:
    """Accepts one public key."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a peer with this public key, in Z85, may connect."""
        is_known = hmac.compare_digest(key, self._public)
        if not is_known:
            events.PEER_REFUSED.log(error="a peer with another key")
        return is_known


class Links:
    """Calls peers, with one socket and one receiving task per peer.

    Args:
        incarnation: This process's number, new at each start.
        keys: The deployment's key pair, or None.
    """

    def __init__(self, incarnation: int, keys: LinkKeys | None = None) -> None:
        self.counters = LinkCounters()
        self._incarnation = incarnation
        self._keys = keys
        self._numbers = itertools.count(1)
        self._peers: dict[str, _Peer] = {}
        self._pending: dict[int, _PendingCall] = {}
        self._late_handlers: dict[str, _Handler] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(
        self, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the receiving tasks until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            self._peers.clear()

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_ms: int
    ) -> T:
        """Sends a message and returns the peer's reply.

        Raises:
            LinkError: The message was not sent.
            LinkTimeout: No reply arrived in time, or the peer's handler failed;
                the peer may have acted.
            CodecError: The reply is of another kind; the peer has acted.
        """
        number = next(self._numbers)
        pending = _PendingCall()
        self._pending[number] = pending
        has_ended = False
        try:
            wait_ms = min(timeout_ms, _CONNECT_TIMEOUT_MS)
            await self._send(address, number, message, wait_ms)
            with anyio.move_on_after(timeout_ms / 1000):
                await pending.done.wait()
            has_ended = True
        finally:
            del self._pending[number]
            if pending.kind and not has_ended:
                # The reply arrived while the call was being cancelled.
                self._handle_late_reply(pending.kind, pending.body)
        if not pending.kind:
            raise LinkTimeout(f"{address} gave no answer in {timeout_ms} ms")
        if pending.kind == _FAILED:
            raise PeerFailed(f"{address} failed to handle the message")
        if pending.kind != reply_type.__name__:
            raise CodecError(f"{address} answered by {pending.kind}")
        return codec.decode(pending.body, reply_type)

    async def send(self, address: str, message: Any) -> None:
        """Sends a message that has no reply.

        Raises:
            LinkError: The message was not sent.
        """
        await self._send(address, 0, message, _CONNECT_TIMEOUT_MS)

    def on_late_reply(
        self, kind: type[T], handle: Callable[[T], Awaitable[None]]
    ) -> None:
        """Sets the handler for replies that arrive after their call ended."""
        self._late_handlers[kind.__name__] = _Handler(kind, handle)

    def forget(self, address: str) -> None:
        """Closes the socket of a peer that is gone."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.scope.cancel()

    async def _send(
        self, address: str, number: int, message: Any, wait_ms: int
    ) -> None:
        peer = self._peers.get(address) or self._connect(address)
        frames = _pack(
            type(message).__name__,
            self._incarnation,
            number,
            codec.encode(message),
        )
        # pyzmq returns a future, but declares only an awaitable.
        sending = asyncio.ensure_future(peer.socket.send_multipart(frames))
        try:
            if not sending.done():
                await asyncio.wait({sending}, timeout=wait_ms / 1000)
        finally:
            # A message that is not sent by now must not be sent later.
            sending.cancel()
        if sending.cancelled():
            raise LinkError(f"{address}: no connection in {wait_ms} ms")
        error = sending.exception()
        if error is not None:
            raise LinkError(f"{address}: {error}") from error

    def _connect(self, address: str) -> "_Peer":
        if self._tasks is None:
            raise LinkError("links are not running")
        socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED)
        # Without a connection nothing is queued. A message to an unreachable
        # peer fails and cannot arrive after its sender has given up.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        # Heartbeats close a stalled connection, so that a new one is
        # established.
        socket.setsockopt(zmq.HEARTBEAT_IVL, 1000)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3000)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public.encode()
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
        socket.connect(f"tcp://{address}")
        peer = _Peer(socket)
        self._peers[address] = peer
        self._tasks.start_soon(self._receive, peer)
        return peer

    async def _receive(self, peer: "_Peer") -> None:
        """Receives replies until the peer is forgotten; owns the socket."""
        try:
            with peer.scope:
                while True:
                    await self._receive_one(peer.socket)
        finally:
            peer.socket.close()

    async def _receive_one(self, socket: zmq.asyncio.Socket) -> None:
        try:
            self._deliver_reply(await socket.recv_multipart())
        except (ValueError, struct.error, CodecError) as error:
            self.counters.refused += 1
            events.PEER_REFUSED.log(error=str(error))

    def _deliver_reply(self, frames: list[bytes]) -> None:
        """Passes a reply to its waiting call.

        Raises:
            ValueError: The frames are not a message.
            struct.error: The header is too short or too long.
            CodecError: The reply has another protocol version, or belongs to a
                call of another process.
        """
        header, kind, body = frames
        version, incarnation, number = _HEADER.unpack(header)
        if version != PROTOCOL_VERSION or incarnation != self._incarnation:
            raise CodecError(
                f"reply with version {version}, incarnation {incarnation}"
            )
        pending = self._pending.get(number)
        if pending is None or pending.kind:
            self._handle_late_reply(kind.decode(), body)
            return
        pending.kind = kind.decode()
        pending.body = body
        pending.done.set()

    def _handle_late_reply(self, kind: str, body: bytes) -> None:
        """Counts a reply without a waiting call; starts its late handler."""
        self.counters.unknown_replies += 1
        events.ANSWER_DROPPED.log(kind=kind)
        handler = self._late_handlers.get(kind)
        if handler is not None and self._tasks is not None:
            message: Any = codec.decode(body, handler.kind)
            self._tasks.start_soon(self._run_late_handler, handler, message)

    async def _run_late_handler(self, handler: _Handler, message: Any) -> None:
        try:
            await handler.answer(message)
        except Exception as error:
            self.counters.failed += 1
            events.HANDLER_FAILED.log(
                message=handler.kind.__name__, error=repr(error)
            )


@attrs.frozen(eq=False)
class _Peer:
    """The socket to a peer and the cancel scope of its receiving task."""

    socket: zmq.asyncio.Socket
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


@attrs.define
class _PendingCall:
    """A call that waits for its reply."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    kind: str = ""
    body: bytes = b""
