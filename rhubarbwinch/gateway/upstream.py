"""Sends requests to endpoints; errors say whether a byte was sent."""

from collections.abc import AsyncGenerator

import attrs
import httpx

from rhubarbwinch.gateway import requestspans
from rhubarbwinch.gateway.edge import EdgeRequest
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.platforminterface import (
    AttemptOptions,
    CallHead,
    Platform,
    ResponseHead,
)
from rhubarbwinch.gateway.requestspans import Tracer
from rhubarbwinch.http.buffercount import BufferCount, HeldResponse
from rhubarbwinch.http.transport import Transport
from rhubarbwinch.shared.exceptions import EndpointError

# Round trips take a few milliseconds, and a lost packet is retransmitted after
# 200 ms. A longer timeout would take time from a second attempt.
CONNECT_TIMEOUT_S = 0.25
# Endpoints close idle connections at any time. A request that is sent during
# such a close is lost, so a request that may not be repeated only reuses a
# connection that was idle for less than this.
NOT_REPEATABLE_MAX_IDLE_S = 0.3
# Another gateway closes idle connections as the configuration says, at the
# earliest after some seconds.
FORWARD_MAX_IDLE_S = 1.0
MAX_RESPONSE_BYTES = 8 << 20


@attrs.define
class UpstreamResponse:
    """An endpoint's response whose body is still to be read.

    Attributes:
        head: The decoded head.
    """

    head: ResponseHead
    _response: httpx.Response
    _held: HeldResponse = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepares the count of the bytes that are kept."""
        self._held = HeldResponse(self._fail)

    def _fail(self, reason: str) -> None:
        self._response.extensions["fail"](httpx.ReadError(reason))

    def hold(self, total_bytes: int) -> None:
        """Counts what its reader keeps of the body until it has more.

        If memory runs out, the response that keeps most of all is ended.
        """
        if total_bytes or self._held.bytes:
            buffers: BufferCount = self._response.extensions["buffers"]
            buffers.hold(self._held, total_bytes)

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            EndpointError: The body was cut, garbled, altered or too long.
        """
        parts: list[bytes] = []
        size = 0
        try:
            async for data in self.chunks():
                parts.append(data)
                size += len(data)
                self.hold(size)
                if size > MAX_RESPONSE_BYTES:
                    raise EndpointError("the answer is too long", sent=True)
        finally:
            # From here the body is counted when it is written to the caller.
            self.hold(0)
        if self.head.is_altered:
            raise EndpointError("the answer has an encoding", sent=True)
        return b"".join(parts)

    async def chunks(self) -> AsyncGenerator[bytes]:
        """Yields the body as it is received.

        Raises:
            EndpointError: The body was cut or garbled.
        """
        # Reads the raw stream: httpx's own layers would add CPU time to each
        # event.
        assert isinstance(self._response.stream, httpx.AsyncByteStream)
        try:
            async for data in self._response.stream:
                yield data
        except httpx.HTTPError as error:
            raise EndpointError(repr(error), sent=True) from error

    @property
    def has_length(self) -> bool:
        """Whether the head states the length of the body."""
        return "content-length" in self._response.headers

    @property
    def is_new_connection(self) -> bool:
        """Whether a connection was opened for the request."""
        return bool(self._response.extensions["is_new_connection"])

    @property
    def is_framed(self) -> bool:
        """Whether a body that was cut off can be told from a whole one."""
        return self.has_length or "transfer-encoding" in self._response.headers

    async def close(self) -> None:
        """Returns the connection to the pool; closes it on a partial body."""
        await self._response.aclose()


class Upstream:
    """Sends requests to endpoints.

    Args:
        platform: Encodes and decodes heads.
        transport: Owns the connections.
        tracer: Creates a span for each attempt; None if tracing is off.
    """

    def __init__(
        self,
        platform: Platform,
        transport: Transport,
        tracer: Tracer | None = None,
    ) -> None:
        self._platform = platform
        self._transport = transport
        self._tracer = tracer

    async def send(
        self,
        endpoint: Endpoint,
        call: CallHead,
        body: bytes,
        options: AttemptOptions,
        is_repeatable: bool,
    ) -> UpstreamResponse:
        """Sends a request; returns the response when its head is received.

        Raises:
            EndpointError: No head was received. Its attribute `sent` says
                whether a byte was sent.
        """
        with requestspans.attempt_span(self._tracer, endpoint.id):
            headers = self._platform.endpoint_headers(call, options, len(body))
            request = httpx.Request(
                call.method,
                f"http://{endpoint.address}/",
                headers=requestspans.with_traceparent(self._tracer, headers),
                stream=httpx.ByteStream(body),
                extensions={
                    "target": call.target,
                    "is_answer": lambda head: self._platform.is_response_to(
                        call.request_id, list(head.headers.raw_items())
                    ),
                },
            )
            if not is_repeatable:
                request.extensions["max_idle_s"] = NOT_REPEATABLE_MAX_IDLE_S
            return await self._exchange(request)

    async def forward(
        self,
        address: str,
        request: EdgeRequest,
        time_left_ms: int,
        is_repeatable: bool,
    ) -> UpstreamResponse:
        """Passes a caller's request to another gateway.

        Args:
            address: The address of the gateway for such requests.
            request: The request as it was received.
            time_left_ms: The time until the caller's deadline.
            is_repeatable: Whether the request may be repeated.

        Raises:
            EndpointError: No head was received. Its attribute `sent` says
                whether a byte was sent.
        """
        headers = self._platform.forwarded_headers(
            request.headers, time_left_ms, len(request.body)
        )
        return await self._exchange(
            httpx.Request(
                request.method,
                f"http://{address}/",
                headers=headers,
                stream=httpx.ByteStream(request.body),
                extensions={
                    "target": request.target,
                    "max_idle_s": FORWARD_MAX_IDLE_S
                    if is_repeatable
                    else NOT_REPEATABLE_MAX_IDLE_S,
                },
            )
        )

    async def _exchange(self, request: httpx.Request) -> UpstreamResponse:
        request.extensions["timeout"] = {"connect": CONNECT_TIMEOUT_S}
        try:
            response = await self._transport.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointError(repr(error), sent=False) from error
        except httpx.HTTPError as error:
            raise EndpointError(repr(error), sent=True) from error
        head = self._platform.decode_response(
            response.status_code, response.headers.raw
        )
        return UpstreamResponse(head, response)
