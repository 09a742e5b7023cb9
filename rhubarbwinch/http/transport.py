"""An httpx transport with a low cost per read of a long stream.

`h11` handles the heads of requests and responses. The body's chunks, of which a
stream has many, are split by scanning, without a timer, a lock or an event
object per read. The transport supports HTTP/1.1 over TCP without TLS.
"""

import asyncio
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable

import attrs
import h11
import httpx

from rhubarbwinch.http import peerliveness
from rhubarbwinch.http.buffercount import BufferCount
from rhubarbwinch.http.httpbody import Body, make_body

MAX_HEAD_BYTES = 64 << 10
# Bytes of a body that are passed on at once. A blocked reader holds them beyond
# what is counted, so they are few.
MAX_PART_BYTES = 64 << 10
MAX_IDLE_CONNECTIONS = 1024
DEFAULT_IDLE_S = 20.0
# An endpoint closes an idle connection at the time that it announces. A request
# sent shortly before could cross the close, so the connection is not used then.
KEEP_ALIVE_MARGIN_S = 0.5
# Number of responses to earlier requests that may precede the expected one.
MAX_STALE_RESPONSES = 4
# Several round-trip times, since with a shorter time-out a lost packet makes a
# live endpoint look unreachable.
PROBE_TIMEOUT_S = 0.4
# An endpoint that does not read a longer body may close its window.
MAX_WINDOW_BYTES = 16 << 10
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")

# Returns whether a response head belongs to the request that was sent.
ResponseCheck = Callable[[h11.Response], bool]


@attrs.frozen
class TransportOptions:
    """How connections are kept open.

    Attributes:
        idle_s: How long an idle connection is kept if the endpoint announces no
            time.
        dead_peer_ms: A connection is closed if its peer acknowledges neither
            sent bytes nor probes for this time; 0 leaves it to the system.
    """

    idle_s: float = DEFAULT_IDLE_S
    dead_peer_ms: int = 0


class _Timer:
    """Fails a wait for bytes at its deadline.

    A new event loop timer for each read would cost more than the read. A wait
    therefore only sets a new deadline, and a timer that fires before the
    deadline is scheduled again.
    """

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._deadline = 0.0

    def start(self, seconds: float | None) -> None:
        """Sets the deadline of a new wait."""
        if seconds is None:
            self._deadline = 0.0
            return
        self._deadline = self._loop.time() + seconds
        if self._handle is None:
            self._handle = self._loop.call_at(self._deadline, self._fire)

    def stop(self) -> None:
        """Clears the deadline."""
        self._deadline = 0.0

    def close(self) -> None:
        """Cancels the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        if not self._deadline:
            return
        if self._loop.time() < self._deadline:
            self._handle = self._loop.call_at(self._deadline, self._fire)
            return
        self._connection.fail(httpx.ReadTimeout("no byte came in time"))


class Connection(asyncio.Protocol):
    """A connection to an endpoint, for one request at a time.

    Args:
        buffers: Counts the bytes of responses that are buffered.
    """

    def __init__(self, buffers: BufferCount) -> None:
        self._buffers = buffers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._method = b""
        self._head: h11.Response | None = None
        self._body: Body | None = None
        self._received: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_paused = False
        self._error: httpx.TransportError | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._can_write: asyncio.Future[None] | None = None
        self._timer = _Timer(self)
        self._is_expected: ResponseCheck | None = None
        self._stale_responses = 0
        self._dead_peer_ms = 0
        self._peer_check: asyncio.TimerHandle | None = None
        self.is_open = False
        self.is_used = False
        self.has_sent = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None

    @property
    def socket(self) -> socket.socket:
        """The connection's socket."""
        return self._transport.get_extra_info("socket")

    def limit_silence(self, limit_ms: int) -> None:
        """Closes the connection when its peer is dead for a time."""
        self._dead_peer_ms = limit_ms
        peerliveness.set_keepalive(self.socket, limit_ms)
        peerliveness.set_send_timeout(self.socket, limit_ms)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes a body without a length; otherwise fails the request."""
        self.is_open = False
        self._timer.close()
        self._stop_peer_checks()
        has_no_length = self._body is not None and (
            self._body.ends_with_connection
        )
        if has_no_length and exc is None and self._error is None:
            # Only a clean close completes such a body. After a reset, the rest
            # is missing.
            assert self._body is not None
            self._body.is_complete = True
            self._wake()
        else:
            self.fail(httpx.ReadError(f"the connection was closed: {exc}"))
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)

    def pause_writing(self) -> None:
        """Blocks senders until the write buffer has drained."""
        self._can_write = self._loop.create_future()

    def resume_writing(self) -> None:
        """Unblocks the sender."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes of the response."""
        try:
            if not self.is_used:
                # Bytes without a request belong to no response.
                self.abort()
                return
            if self._head is None:
                data = self._read_head(data)
            if self._body is not None and data:
                self._buffer(self._body.feed(data))
                if self._body.is_complete and self._body.rest:
                    # The connection can't be used again, so no more of it is
                    # read.
                    self._transport.pause_reading()
        except (h11.RemoteProtocolError, ValueError) as error:
            self.fail(httpx.RemoteProtocolError(str(error)))
        self._wake()

    def fail(self, error: httpx.TransportError) -> None:
        """Fails the request and closes the connection."""
        if self._error is None:
            self._error = error
        self._wake()
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._buffers.bytes -= self._buffered_bytes
        self._buffered_bytes = 0
        self._timer.close()
        self._stop_peer_checks()
        self.is_open = False
        self._transport.abort()

    async def exchange(
        self, request: httpx.Request, timeout_s: float | None
    ) -> h11.Response:
        """Sends a request and returns its response head.

        The request extension `target` replaces the path of the URL. The
        extension `is_answer` is a predicate of response heads; responses that
        do not satisfy it belong to earlier requests and are skipped.

        Raises:
            httpx.TransportError: The request failed; bytes may have been sent.
        """
        self.is_used = True
        self._error = None
        self._is_expected = request.extensions.get("is_answer")
        self._stale_responses = 0
        target = request.extensions.get("target", request.url.raw_path)
        method = self._method = request.method.encode()
        head = h11.Request(
            method=method, target=target, headers=request.headers.raw
        )
        body_bytes = int(request.headers.get("content-length", 0))
        if self._dead_peer_ms and body_bytes > MAX_WINDOW_BYTES:
            # The system's timeout would cut off an endpoint that reads slowly.
            peerliveness.set_send_timeout(self.socket, 0)
            self._schedule_peer_check()
        # The start of the body is sent with the head, in one packet.
        data = self._http.send(head) or b""
        assert isinstance(request.stream, httpx.AsyncByteStream)
        async for part in request.stream:
            if part:
                await self._send(
                    data + (self._http.send(h11.Data(part)) or b"")
                )
                data = b""
        await self._send(data + (self._http.send(h11.EndOfMessage()) or b""))
        while self._head is None:
            await self._wait(timeout_s)
        return self._head

    async def body(
        self, timeout_s: float | None, max_bytes: int | None = None
    ) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, at most `MAX_PART_BYTES` at once.

        Raises:
            httpx.TransportError: The body was cut off, was malformed, timed out
                or has more than `max_bytes`.
        """
        body = self._body
        assert body is not None
        size = 0
        while True:
            if self._received:
                part = self._take_buffered()
                size += len(part)
                if max_bytes is not None and size > max_bytes:
                    raise httpx.RemoteProtocolError("the body is too long")
                yield part
            elif body.is_complete:
                return
            else:
                await self._wait(timeout_s)

    def reset(self) -> bool:
        """Prepares for another request; returns False if that is impossible."""
        body, self._body = self._body, None
        head, self._head = self._head, None
        is_received = (
            body is not None and body.is_complete and not self._received
        )
        if not self.is_open or not is_received or head is None:
            return False
        if body is not None and (body.rest or body.ends_with_connection):
            return False
        if self._transport.get_write_buffer_size():
            # The endpoint responded before it had read the whole request.
            return False
        connection_options = dict(head.headers).get(b"connection", b"").lower()
        if b"close" in connection_options or head.http_version < b"1.1":
            return False
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._timer.stop()
        if self._stop_peer_checks():
            peerliveness.set_send_timeout(self.socket, self._dead_peer_ms)
        self.is_used = False
        match = _KEEP_ALIVE.search(dict(head.headers).get(b"keep-alive", b""))
        self.keep_alive_s = float(match[1]) if match else None
        self.idle_since = self._loop.time()
        return True

    def _schedule_peer_check(self) -> None:
        self._peer_check = self._loop.call_later(
            self._dead_peer_ms / 4000, self._check_peer
        )

    def _stop_peer_checks(self) -> bool:
        """Ends the checks of the peer; returns whether there were any."""
        check, self._peer_check = self._peer_check, None
        if check is None:
            return False
        check.cancel()
        return True

    def _check_peer(self) -> None:
        """Fails the request if its endpoint is dead."""
        if peerliveness.is_silent(self.socket, self._dead_peer_ms):
            self.fail(httpx.ReadError("the peer acknowledges nothing"))
        else:
            self._schedule_peer_check()

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        self.has_sent = True
        self._transport.write(data)
        if self._can_write is not None:
            await self._can_write
        if self._error is not None and self._head is None:
            raise self._error

    def _read_head(self, data: bytes) -> bytes:
        """Parses the response head; returns the received bytes of the body."""
        while True:
            self._http.receive_data(data)
            event = self._http.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._http.next_event()
            if not isinstance(event, h11.Response):
                return b""
            data = self._http.trailing_data[0]
            body = make_body(self._method, event)
            if self._is_expected is None or self._is_expected(event):
                self._head, self._body = event, body
                return data
            data = self._skip_response(body, data)

    def _skip_response(self, body: Body, data: bytes) -> bytes:
        """Skips a response to an earlier request; returns the bytes after it.

        Raises:
            ValueError: The end of the response is unknown, or there are too
                many such responses.
        """
        self._stale_responses += 1
        body.feed(data)
        too_many = self._stale_responses > MAX_STALE_RESPONSES
        if body.ends_with_connection or not body.is_complete or too_many:
            raise ValueError("an answer to another request")
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # h11 parses a response only after a request, so a dummy request is
        # passed to it, whose bytes are not sent.
        self._http.send(
            h11.Request(
                method=self._method, target=b"/", headers=[(b"host", b"-")]
            )
        )
        self._http.send(h11.EndOfMessage())
        return body.rest

    def _buffer(self, data: bytes) -> None:
        if not data:
            return
        self._received.append(data)
        buffers = self._buffers
        self._buffered_bytes += len(data)
        buffers.bytes += len(data)
        is_full = buffers.bytes > buffers.limit_bytes
        if is_full:
            buffers.on_full()
        if self._is_paused or not self.is_open:
            return
        if is_full or self._buffered_bytes > buffers.stream_bytes:
            self._is_paused = True
            self._transport.pause_reading()

    def _take_buffered(self) -> bytes:
        """Returns received bytes of the body that wait, in one part."""
        received, buffers = self._received, self._buffers
        data = received.popleft()
        if received and len(data) < MAX_PART_BYTES:
            parts, size = [data], len(data)
            while received and size < MAX_PART_BYTES:
                parts.append(received.popleft())
                size += len(parts[-1])
            data = b"".join(parts)
        if len(data) > MAX_PART_BYTES:
            received.appendleft(data[MAX_PART_BYTES:])
            data = data[:MAX_PART_BYTES]
        # An aborted connection no longer counts what it still passes on.
        taken = min(len(data), self._buffered_bytes)
        self._buffered_bytes -= taken
        buffers.bytes -= taken
        if not self._is_paused or not self.is_open:
            return data
        if not self._buffered_bytes or (
            self._buffered_bytes <= buffers.stream_bytes // 2
            and buffers.bytes <= buffers.limit_bytes
        ):
            self._is_paused = False
            self._transport.resume_reading()
        return data

    async def _wait(self, timeout_s: float | None) -> None:
        if self._error is not None:
            raise self._error
        self._wakeup = self._loop.create_future()
        self._timer.start(timeout_s)
        try:
            await self._wakeup
        finally:
            self._wakeup = None
            self._timer.stop()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


class _Stream(httpx.AsyncByteStream):
    """The body of a response; releases its connection when closed."""

    def __init__(
        self,
        transport: "Transport",
        key: str,
        connection: Connection,
        timeout_s: float | None,
        max_bytes: int | None,
    ) -> None:
        self._transport = transport
        self._key = key
        self._connection = connection
        self._timeout_s = timeout_s
        self._max_bytes = max_bytes

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._connection.body(self._timeout_s, self._max_bytes)

    async def aclose(self) -> None:
        """Releases the connection, or closes it within an unfinished body."""
        self._transport.release(self._key, self._connection)


class Transport(httpx.AsyncBaseTransport):
    """Sends requests to endpoints over a pool of connections.

    Args:
        options: How connections are kept open.

    Attributes:
        new_connections: The number of connections opened.
        buffers: Counts the bytes of responses that are buffered.
    """

    def __init__(self, options: TransportOptions | None = None) -> None:
        self._options = options or TransportOptions()
        self._idle: dict[str, deque[Connection]] = {}
        self._idle_count = 0
        self.new_connections = 0
        self.buffers = BufferCount()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request; the response body is streamed.

        The request extension `max_idle_s` limits how long the connection may
        have been idle; 0 demands a new one. The extension `max_body_bytes`
        bounds the response body. The response extension `is_new_connection`
        says whether the connection was opened for it; `fail` ends the response
        with an exception.

        Raises:
            httpx.ConnectError: No connection was made; nothing was sent.
            httpx.ConnectTimeout: No connection was made in time; nothing was
                sent.
            httpx.TransportError: The request failed later; bytes may have been
                sent.
        """
        if request.url.scheme != "http":
            raise httpx.UnsupportedProtocol("only http:// is supported")
        timeouts = request.extensions.get("timeout", {})
        read_s = timeouts.get("read")
        host, port = request.url.host, request.url.port or 80
        key = f"{host}:{port}"
        idle_s = request.extensions.get("max_idle_s", self._options.idle_s)
        connection = self._acquire_idle(key, idle_s)
        is_new = connection is None
        if connection is None:
            self.new_connections += 1
            connection = await _connect(
                host, port, timeouts.get("connect"), self._options, self.buffers
            )
        try:
            head = await connection.exchange(request, read_s)
        except BaseException:
            connection.abort()
            raise
        return httpx.Response(
            head.status_code,
            headers=list(head.headers.raw_items()),
            stream=_Stream(
                self,
                key,
                connection,
                read_s,
                request.extensions.get("max_body_bytes"),
            ),
            extensions={
                "is_new_connection": is_new,
                "buffers": self.buffers,
                "fail": connection.fail,
            },
        )

    async def aclose(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()
        self._idle_count = 0

    def release(self, key: str, connection: Connection) -> None:
        """Returns a connection to the pool, or closes it.

        It is closed if it can't be reused or the pool is full.
        """
        if self._idle_count >= MAX_IDLE_CONNECTIONS or not connection.reset():
            connection.abort()
            return
        self._idle.setdefault(key, deque()).append(connection)
        self._idle_count += 1

    async def is_unreachable(self, key: str) -> bool:
        """Returns whether an endpoint accepts no new connections."""
        host, _, port = key.rpartition(":")
        try:
            connection = await _connect(
                host, int(port), PROBE_TIMEOUT_S, self._options, self.buffers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return True
        connection.abort()
        return False

    def close_idle(self, key: str) -> None:
        """Closes the idle connections to an endpoint that is gone."""
        for connection in self._idle.pop(key, ()):
            self._idle_count -= 1
            connection.abort()

    def _acquire_idle(self, key: str, max_idle_s: float) -> Connection | None:
        """Returns the usable idle connection that was used last, or None."""
        connections = self._idle.get(key)
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections[-1]
            idle_s = now - connection.idle_since
            limit_s = self._options.idle_s
            if connection.keep_alive_s is not None:
                limit_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
            if connection.is_open and max_idle_s <= idle_s < limit_s:
                # The connection stays in the pool for requests that may be
                # retried, which accept a longer idle time.
                return None
            connections.pop()
            self._idle_count -= 1
            if connection.is_open and idle_s < limit_s:
                return connection
            connection.abort()
        return None


async def _connect(
    host: str,
    port: int,
    timeout_s: float | None,
    options: TransportOptions,
    buffers: BufferCount,
) -> Connection:
    """Returns a new connection.

    Raises:
        httpx.ConnectError: The endpoint can't be reached.
        httpx.ConnectTimeout: The endpoint was not reached in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(buffers), host, port
            )
    except TimeoutError as error:
        raise httpx.ConnectTimeout(f"{host}:{port}") from error
    except OSError as error:
        raise httpx.ConnectError(f"{host}:{port}: {error}") from error
    if options.dead_peer_ms:
        connection.limit_silence(options.dead_peer_ms)
    return connection
