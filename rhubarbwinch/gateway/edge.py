"""The HTTP/1.1 server for callers.

Each connection is served by one task. A close by the caller is detected while
its request is being served, and cancels the work at once.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs
import h11

from rhubarbwinch.gateway.callerbuffers import CallerBuffers
from rhubarbwinch.gateway.decisions.bufferlimits import CallerUse
from rhubarbwinch.gateway.platforminterface import Headers
from rhubarbwinch.gateway.routes import HttpLimits
from rhubarbwinch.http import peerliveness
from rhubarbwinch.shared import events, netaddress
from rhubarbwinch.shared.clock import Clock

BACKLOG = 1024
# Reading from the socket pauses while more than this is buffered.
MAX_BUFFERED_BYTES = 64 << 10
# A caller's VM that acknowledges neither data nor probes for this time is taken
# as dead. A caller that only reads nothing acknowledges the probes.
CALLER_ACK_TIMEOUT_MS = 8_000
# A caller whose body was refused unread gets this time to take the response.
# Closing earlier would reset the connection, which can destroy the response.
REFUSED_BODY_TIMEOUT_S = 1.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_STATUS_TOO_LARGE = 413
_STATUS_TIMEOUT = 408


@attrs.frozen
class EdgeRequest:
    """A whole request.

    Attributes:
        method: The HTTP method, such as `POST`.
        target: The path and the query as received.
        headers: The headers as received, in order.
        body: The whole body.
        received_ms: When the first byte of the request was read.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    received_ms: int


EdgeHandler = Callable[[EdgeRequest, "EdgeResponder"], Awaitable[None]]


@attrs.define
class EdgeStatus:
    """The state that all connections of a server share.

    Attributes:
        limits: Limits on requests and idle connections.
        is_closing: Whether connections are closed after the current response.
        is_refusing: Whether no further request is read.
        open_requests: Number of requests that are being served.
        connections: Number of open connections.
    """

    limits: HttpLimits = attrs.field(factory=HttpLimits)
    is_closing: bool = False
    is_refusing: bool = False
    open_requests: int = 0
    connections: int = 0


class _RefusedError(Exception):
    """A request is refused; the connection is closed after the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _NoMemoryError(Exception):
    """The body of a request would exceed the bound on buffered bytes."""

    def __init__(self, request: EdgeRequest) -> None:
        super().__init__("no memory for the body")
        self.request = request


class EdgeResponder:
    """Sends the response to one request.

    Args:
        connection: The caller's connection.
    """

    def __init__(self, connection: "EdgeConnection") -> None:
        self._connection = connection
        self.is_started = False
        self.is_complete = False

    @property
    def peer(self) -> tuple[str, int]:
        """The IP address and the port of the caller's connection."""
        return self._connection.peer

    def set_deadline(self, deadline_ms: int) -> None:
        """Sets when a caller that still has bytes to read is disconnected."""
        self._connection.use.deadline_ms = deadline_ms

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole response."""
        self.is_started = True
        length = (b"Content-Length", str(len(body)).encode())
        data = self._connection.encode_head(status, [*headers, length])
        if body and self._connection.method != "HEAD":
            data += self._connection.encode(h11.Data(body))
        data += self._connection.encode(h11.EndOfMessage())
        self._connection.queue(data)
        # A blocked sender must not hold a copy of what the write buffer holds.
        del data, body
        await self._connection.drain()
        self.is_complete = True

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Sends the head of a response of unknown length."""
        self.is_started = True
        chunked = (b"Transfer-Encoding", b"chunked")
        await self._connection.write(
            self._connection.encode_head(status, [*headers, chunked])
        )

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a stream."""
        self._connection.queue(self._connection.encode(h11.Data(data)))
        del data
        await self._connection.drain()

    async def end_stream(self) -> None:
        """Marks a stream as complete."""
        await self._connection.write(
            self._connection.encode(h11.EndOfMessage())
        )
        self.is_complete = True


class EdgeConnection(asyncio.Protocol):
    """One connection of a caller.

    Args:
        server: The server that accepted the connection.
    """

    def __init__(self, server: "EdgeServer") -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._parser = self._new_parser()
        self._wakeup: anyio.Event | None = None
        self._writable: anyio.Event | None = None
        self._scope: anyio.CancelScope | None = None
        self._buffer = bytearray()
        self._is_reading_paused = False
        self._is_discarding = False
        self._is_served = False
        self._is_lost = False
        self.use = CallerUse()
        self.is_open = False
        self.method = ""

    def _new_parser(self) -> h11.Connection:
        limits = self._server.status.limits
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )

    @property
    def peer(self) -> tuple[str, int]:
        """The IP address and the port of the caller."""
        host, port = self._transport.get_extra_info("peername")[:2]
        return host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True
        self._server.connections.add(self)
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peerliveness.set_keepalive(sock, CALLER_ACK_TIMEOUT_MS)
        self._server.start(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work for the caller."""
        self._is_lost = True
        self._server.connections.discard(self)
        buffers = self._server.buffers
        if buffers is not None:
            buffers.record_waiting(self.use, 0)
        self._handle_disconnect()
        self._release()

    def eof_received(self) -> bool:
        """Handles a half close by the caller as a disconnect."""
        self._handle_disconnect()
        return False

    def data_received(self, data: bytes) -> None:
        """Buffers bytes until the task reads them."""
        if self._is_discarding:
            return
        self._buffer += data
        if self._wakeup is not None:
            self._wakeup.set()
        elif len(self._buffer) > MAX_BUFFERED_BYTES:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Blocks writers while the caller reads too slowly."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Unblocks writers."""
        buffers = self._server.buffers
        if buffers is not None and not self._is_lost:
            buffers.record_waiting(self.use, self.waiting_bytes)
        if self._writable is not None:
            self._writable.set()
        self._writable = None

    def abort(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        self._transport.abort()

    def reset(self) -> None:
        """Closes the connection by a reset and drops its write buffer."""
        # An end without a reset would look complete to a caller of HTTP/1.0,
        # and the kernel would keep what it has not sent.
        sock: socket.socket = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.abort()

    @property
    def waiting_bytes(self) -> int:
        """Bytes in the write buffer."""
        return 0 if self._is_lost else self._transport.get_write_buffer_size()

    def pending_bytes(self) -> int:
        """Returns the written bytes that the caller has not acknowledged."""
        sock: socket.socket = self._transport.get_extra_info("socket")
        if self._is_lost or sock.fileno() < 0:
            return 0
        try:
            sent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except OSError as error:
            # Without the system's count only the write buffer shows progress.
            events.SEND_QUEUE_UNREADABLE.log(error=repr(error))
            return self.waiting_bytes
        return self.waiting_bytes + int(struct.unpack("i", sent)[0])

    def check_peer(self) -> None:
        """Closes the connection if the caller's VM is dead."""
        sock: socket.socket = self._transport.get_extra_info("socket")
        if self._is_lost or sock.fileno() < 0:
            return
        try:
            is_silent = peerliveness.is_silent(sock, CALLER_ACK_TIMEOUT_MS)
        except OSError as error:
            # The request's deadline bounds how long the connection is kept.
            events.SEND_QUEUE_UNREADABLE.log(error=repr(error))
            return
        if is_silent:
            events.CALLER_SILENT.log(
                caller=self.peer[0], waiting_bytes=self.waiting_bytes
            )
            self.reset()

    def _release(self) -> None:
        """Ends the count of the connection when nothing uses it any more."""
        buffers = self._server.buffers
        if buffers is not None and self._is_lost and self._is_served:
            buffers.handle_released(self.use)

    def _release_body(self) -> None:
        if self._server.buffers is not None:
            self._server.buffers.release_body(self.use)

    def _handle_disconnect(self) -> None:
        self.is_open = False
        if self._scope is not None:
            self._scope.cancel()
        if self._wakeup is not None:
            self._wakeup.set()
        self.resume_writing()

    async def serve(self, handler: EdgeHandler, clock: Clock) -> None:
        """Serves requests until the connection ends."""
        status = self._server.status
        status.connections += 1
        try:
            while self.is_open:
                request = await self._read_request(clock)
                if request is None:
                    return
                status.open_requests += 1
                self.use.deadline_ms = None
                try:
                    is_complete = await self._respond(handler, request)
                finally:
                    status.open_requests -= 1
                    self._release_body()
                if not is_complete or not self._start_next_cycle():
                    return
        except _RefusedError as refused:
            await self._refuse(refused)
        except _NoMemoryError as error:
            await self._refuse_body(error.request)
        finally:
            status.connections -= 1
            self._release_body()
            self._transport.close()
            self._is_served = True
            self._release()

    async def _respond(
        self, handler: EdgeHandler, request: EdgeRequest
    ) -> bool:
        """Runs the handler; returns whether the response is complete."""
        responder = EdgeResponder(self)
        with anyio.CancelScope() as self._scope:
            if not self.is_open:
                return False
            await handler(request, responder)
        self._scope = None
        if not responder.is_complete:
            # An incomplete response must not look complete to the caller.
            self._transport.abort()
        return responder.is_complete

    def _start_next_cycle(self) -> bool:
        """Prepares for the next request; False if none is possible."""
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        trailing = self._parser.trailing_data[0]
        self._parser = self._new_parser()
        self._buffer[:0] = trailing
        return True

    async def _refuse(self, refused: _RefusedError) -> None:
        """Sends an error response if the state of the parser allows it."""
        events.REQUEST_UNREADABLE.log(
            status=refused.status, detail=str(refused)
        )
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(refused).encode()
        head = h11.Response(
            status_code=refused.status,
            headers=[
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        try:
            data = self.encode(head)
            data += self.encode(h11.Data(body))
            data += self.encode(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            events.REQUEST_UNREADABLE.log(status=0, detail=str(error))
            return
        await self.write(data)

    async def _refuse_body(self, request: EdgeRequest) -> None:
        """Sends a refusal without reading the rest of the body."""
        refuse = self._server.refuse_body
        if refuse is None:
            return
        self._is_discarding = True
        self._buffer.clear()
        self._resume_reading()
        self._release_body()
        await refuse(request, EdgeResponder(self))
        with anyio.move_on_after(REFUSED_BODY_TIMEOUT_S):
            while self.is_open:
                await self._wait_wakeup()

    async def _read_request(self, clock: Clock) -> EdgeRequest | None:
        """Returns the next request, or None at the end of the connection.

        Raises:
            _RefusedError: The request is malformed, too large or too slow.
            _NoMemoryError: The body would exceed the bound on buffered bytes.
        """
        if not await self._wait_first_byte():
            return None
        limits = self._server.status.limits
        received_ms = clock.now()
        head: h11.Request | None = None
        body = bytearray()
        with anyio.move_on_after(limits.head_timeout_ms / 1000) as timer:
            while True:
                event = self._next_event()
                if event is h11.NEED_DATA:
                    if self._parser.they_are_waiting_for_100_continue:
                        await self._send_continue()
                    if not await self._wait_data():
                        return None
                elif isinstance(event, h11.Request):
                    head = event
                    self._check_head(head, limits)
                    self._check_memory(head, _body_length(head), received_ms)
                elif isinstance(event, h11.Data):
                    assert head is not None
                    self._check_memory(head, len(event.data), received_ms)
                    if self._server.buffers is not None:
                        self._server.buffers.add_body(self.use, len(event.data))
                    body += event.data
                    timer.deadline = anyio.current_time() + (
                        limits.head_timeout_ms / 1000
                    )
                    if len(body) > limits.max_body_bytes:
                        raise _RefusedError(_STATUS_TOO_LARGE, "body too long")
                elif isinstance(event, h11.EndOfMessage):
                    assert head is not None
                    return EdgeRequest(
                        self.method,
                        head.target,
                        list(head.headers.raw_items()),
                        bytes(body),
                        received_ms,
                    )
                else:
                    return None
        raise _RefusedError(_STATUS_TIMEOUT, "the request came too slowly")

    def _check_head(self, head: h11.Request, limits: HttpLimits) -> None:
        """Refuses a head that allows request smuggling, or a body too long.

        Raises:
            _RefusedError: The head has both a length and a transfer encoding,
                or announces a body over the limit.
        """
        self.method = head.method.decode("latin-1")
        names = [name for name, _ in head.headers]
        lengths = [v for n, v in head.headers if n == b"content-length"]
        if lengths and b"transfer-encoding" in names:
            raise _RefusedError(400, "a length and chunks")
        if lengths and int(lengths[0]) > limits.max_body_bytes:
            raise _RefusedError(_STATUS_TOO_LARGE, "body too long")

    def _check_memory(
        self, head: h11.Request, more_bytes: int, received_ms: int
    ) -> None:
        """Checks the bound on buffered bytes before more are read.

        Raises:
            _NoMemoryError: The bytes would exceed the bound.
        """
        buffers = self._server.buffers
        if not more_bytes or buffers is None or buffers.admits_body(more_bytes):
            return
        events.BODY_REFUSED.log(
            body_bytes=self.use.request_bytes + more_bytes,
            held_bytes=buffers.held_bytes,
            limit_bytes=buffers.limits.total_bytes,
        )
        raise _NoMemoryError(
            EdgeRequest(
                self.method,
                head.target,
                list(head.headers.raw_items()),
                b"",
                received_ms,
            )
        )

    def _next_event(self) -> Any:
        """Returns the parser's next event.

        Raises:
            _RefusedError: The bytes are not a valid request.
        """
        try:
            if self._buffer:
                data = bytes(self._buffer)
                self._buffer.clear()
                self._resume_reading()
                self._parser.receive_data(data)
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedError(error.error_status_hint, str(error)) from error

    async def _wait_first_byte(self) -> bool:
        """Waits for a request; False after a close or the idle timeout."""
        status = self._server.status
        if status.is_refusing and not self._buffer:
            return False
        self._server.idle.add(self)
        try:
            with anyio.move_on_after(status.limits.idle_timeout_ms / 1000):
                while self.is_open and not self._buffer:
                    await self._wait_wakeup()
        finally:
            self._server.idle.discard(self)
        return bool(self._buffer)

    def close_idle(self) -> None:
        """Ends the wait for a request, unless a part of one has come."""
        if not self._buffer:
            self._handle_disconnect()

    async def _wait_data(self) -> bool:
        """Waits for bytes; False when the connection is closed."""
        while self.is_open and not self._buffer:
            await self._wait_wakeup()
        return bool(self._buffer)

    async def _wait_wakeup(self) -> None:
        self._wakeup = anyio.Event()
        try:
            await self._wakeup.wait()
        finally:
            self._wakeup = None

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self.is_open:
            self._is_reading_paused = False
            self._transport.resume_reading()

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[])
        await self.write(self.encode(response))

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Returns the encoded head of a response."""
        if self._server.status.is_closing or self._is_discarding:
            headers = [*headers, (b"Connection", b"close")]
        return self.encode(h11.Response(status_code=status, headers=headers))

    def encode(self, event: Any) -> bytes:
        """Returns the encoded bytes of an event of the HTTP parser."""
        return self._parser.send(event) or b""

    async def write(self, data: bytes) -> None:
        """Sends bytes; blocks while the caller reads too slowly."""
        self.queue(data)
        del data
        await self.drain()

    def queue(self, data: bytes) -> None:
        """Sends bytes, or adds them to the write buffer."""
        if not self.is_open:
            return
        self._transport.write(data)
        waiting = self._transport.get_write_buffer_size()
        buffers = self._server.buffers
        if buffers is not None and (waiting or self.use.response_bytes):
            buffers.record_write(self.use, self, len(data), waiting)

    async def drain(self) -> None:
        """Blocks while the caller reads too slowly."""
        if self._writable is not None:
            await self._writable.wait()


def _body_length(head: h11.Request) -> int:
    """Returns the announced length of a body; 0 if there is none."""
    return int(dict(head.headers).get(b"content-length", 0))


class EdgeServer:
    """Accepts the connections of callers.

    Args:
        address: `a.b.c.d:port`.
        handler: Handles the requests.
        clock: The source of time.
        buffers: Counts the bytes buffered for callers; None for no bound.
        refuse_body: Responds to a request whose body exceeds that bound.
    """

    def __init__(
        self,
        address: str,
        handler: EdgeHandler,
        clock: Clock,
        buffers: CallerBuffers | None = None,
        refuse_body: EdgeHandler | None = None,
    ) -> None:
        self.status = EdgeStatus()
        self.connections: set[EdgeConnection] = set()
        self.idle: set[EdgeConnection] = set()
        self._listener: asyncio.Server | None = None
        self.buffers = buffers
        self.refuse_body = refuse_body
        self._address = address
        self._handler = handler
        self._clock = clock
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def unsent_connections(self) -> int:
        """Number of connections with bytes in their write buffers.

        The system sends on by itself what it has taken, but a write buffer is
        lost when the process ends.
        """
        return sum(c.waiting_bytes > 0 for c in self.connections)

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = netaddress.parse_address(self._address)
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._listener = await loop.create_server(
                lambda: EdgeConnection(self), host, port, backlog=BACKLOG
            )
            try:
                await anyio.sleep_forever()
            finally:
                self._listener.close()

    def check_peers(self) -> None:
        """Closes connections to dead callers."""
        for connection in list(self.connections):
            if connection not in self.idle or connection.waiting_bytes:
                connection.check_peer()

    def stop_reading_requests(self) -> None:
        """Accepts no connection and reads no request any more.

        Requests that were read are still served. A caller whose connection is
        closed with its request unread may send it again.
        """
        self.status.is_refusing = True
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.idle):
            connection.close_idle()

    def start(self, connection: EdgeConnection) -> None:
        """Starts the task of a new connection."""
        if self._tasks is not None:
            self._tasks.start_soon(self._serve, connection)

    async def _serve(self, connection: EdgeConnection) -> None:
        try:
            await connection.serve(self._handler, self._clock)
        except Exception as error:
            # An error in one connection must not stop the others.
            events.CONNECTION_FAILED.log(error=repr(error))
            connection.abort()
