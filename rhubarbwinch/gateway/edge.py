"""The HTTP/1.1 server for callers.

Each connection is served by one task. A close by the caller is detected while
its request is being served, and cancels the work at once.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs
import h11

from rhubarbwinch.gateway.platforminterface import Headers
from rhubarbwinch.gateway.routes import HttpLimits
from rhubarbwinch.http.transport import set_dead_peer_timeout
from rhubarbwinch.shared import events, netaddress
from rhubarbwinch.shared.clock import Clock

BACKLOG = 1024
# Reading from the socket pauses while more than this is buffered.
MAX_BUFFERED_BYTES = 64 << 10
# A caller's VM that acknowledges no data for this time is taken as dead.
CALLER_ACK_TIMEOUT_MS = 8_000
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
        open_requests: Number of requests that are being served.
        connections: Number of open connections.
    """

    limits: HttpLimits = attrs.field(factory=HttpLimits)
    is_closing: bool = False
    open_requests: int = 0
    connections: int = 0


class _RefusedError(Exception):
    """A request is refused; the connection is closed after the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


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

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole response."""
        self.is_started = True
        length = (b"Content-Length", str(len(body)).encode())
        data = self._connection.encode_head(status, [*headers, length])
        if body and self._connection.method != "HEAD":
            data += self._connection.encode(h11.Data(body))
        data += self._connection.encode(h11.EndOfMessage())
        await self._connection.write(data)
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
        await self._connection.write(self._connection.encode(h11.Data(data)))

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
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_dead_peer_timeout(sock, CALLER_ACK_TIMEOUT_MS)
        self._server.start(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work for the caller."""
        self._handle_disconnect()

    def eof_received(self) -> bool:
        """Handles a half close by the caller as a disconnect."""
        self._handle_disconnect()
        return False

    def data_received(self, data: bytes) -> None:
        """Buffers bytes until the task reads them."""
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
        if self._writable is not None:
            self._writable.set()
        self._writable = None

    def abort(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        self._transport.abort()

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
                try:
                    is_complete = await self._respond(handler, request)
                finally:
                    status.open_requests -= 1
                if not is_complete or not self._start_next_cycle():
                    return
        except _RefusedError as refused:
            await self._refuse(refused)
        finally:
            status.connections -= 1
            self._transport.close()

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

    async def _read_request(self, clock: Clock) -> EdgeRequest | None:
        """Returns the next request, or None at the end of the connection.

        Raises:
            _RefusedError: The request is malformed, too large or too slow.
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
                elif isinstance(event, h11.Data):
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
        limits = self._server.status.limits
        with anyio.move_on_after(limits.idle_timeout_ms / 1000):
            while self.is_open and not self._buffer:
                await self._wait_wakeup()
        return bool(self._buffer)

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
        if self._server.status.is_closing:
            headers = [*headers, (b"Connection", b"close")]
        return self.encode(h11.Response(status_code=status, headers=headers))

    def encode(self, event: Any) -> bytes:
        """Returns the encoded bytes of an event of the HTTP parser."""
        return self._parser.send(event) or b""

    async def write(self, data: bytes) -> None:
        """Sends bytes; blocks while the caller reads too slowly."""
        if not self.is_open:
            return
        self._transport.write(data)
        if self._writable is not None:
            await self._writable.wait()


class EdgeServer:
    """Accepts the connections of callers.

    Args:
        address: `a.b.c.d:port`.
        handler: Handles the requests.
        clock: The source of time.
    """

    def __init__(
        self, address: str, handler: EdgeHandler, clock: Clock
    ) -> None:
        self.status = EdgeStatus()
        self._address = address
        self._handler = handler
        self._clock = clock
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = netaddress.parse_address(self._address)
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            server = await loop.create_server(
                lambda: EdgeConnection(self), host, port, backlog=BACKLOG
            )
            try:
                await anyio.sleep_forever()
            finally:
                server.close()

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
