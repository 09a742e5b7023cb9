"""Calls endpoints over HTTP."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import httpx
import orjson

from rhubarbwinch.endpoints.relay import EventStream
from rhubarbwinch.http.sse import EventSplitter
from rhubarbwinch.http.transport import Transport
from rhubarbwinch.shared import events, tracing
from rhubarbwinch.shared.exceptions import EndpointError, GenerationLostError

CONNECT_TIMEOUT_S = 1.0
GENERATION_HEADER = "x-generation-id"
PRIORITY_HEADER = "x-priority"
MAX_RESPONSE_BYTES = 8 << 20
_BOUNDED = {"max_body_bytes": MAX_RESPONSE_BYTES}


class EndpointClient:
    """An HTTP client for endpoints, both engines and plain services.

    Args:
        read_timeout_ms: A call fails if no byte is received for this many ms.
        transport: The HTTP transport; `transport.Transport` by default.
    """

    def __init__(
        self,
        read_timeout_ms: int,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        read_timeout_s = read_timeout_ms / 1000
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(
                read_timeout_s,
                connect=CONNECT_TIMEOUT_S,
                pool=CONNECT_TIMEOUT_S,
            ),
            transport=transport or Transport(),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    def start(
        self,
        address: str,
        path: str,
        body: bytes,
        generation: str,
        priority: int,
    ) -> AbstractAsyncContextManager[EventStream]:
        """Starts a generation; returns a context that yields its events.

        Raises:
            EndpointError: The call failed on entering the context or while
                reading.
        """
        headers = {
            "content-type": "application/json",
            GENERATION_HEADER: generation,
            PRIORITY_HEADER: str(priority),
        }
        url = f"http://{address}{path}"
        return self._traced_stream("POST", url, body, headers)

    def resume(
        self, address: str, generation: str, index: int
    ) -> AbstractAsyncContextManager[EventStream]:
        """Reads a running generation again from an index; returns a context.

        Raises:
            EndpointError: The call failed on entering the context or while
                reading; it is a `GenerationLostError` if the engine does not
                know the generation.
        """
        url = f"http://{address}/v1/generations/{generation}?from={index}"
        return self._traced_stream("GET", url, b"", {})

    async def cancel(self, address: str, generation: str) -> None:
        """Cancels a generation; if the engine is unreachable, logs that."""
        url = f"http://{address}/v1/generations/{generation}"
        try:
            await self._client.delete(url, extensions=_BOUNDED)
        except httpx.HTTPError as error:
            # The next call to this engine decides whether it is unreachable.
            events.ENDPOINT_UNREACHED.log(url=url, error=repr(error))

    async def set_priority(
        self, address: str, generation: str, priority: int
    ) -> None:
        """Changes a running generation's priority.

        A failure to reach the engine is only logged: the priority influences
        the engine's scheduling, but no response depends on it.
        """
        url = f"http://{address}/v1/generations/{generation}"
        try:
            await self._client.patch(
                url, json={"priority": priority}, extensions=_BOUNDED
            )
        except httpx.HTTPError as error:
            events.ENDPOINT_UNREACHED.log(url=url, error=repr(error))

    async def call(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        """Calls a plain service.

        Raises:
            EndpointError: No complete response was received.
        """
        try:
            with tracing.stream_span("endpoint", headers, url=url):
                return await self._client.request(
                    method,
                    url,
                    content=body,
                    headers=headers,
                    extensions=_BOUNDED,
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointError(f"{url}: {error!r}", sent=False) from error
        except httpx.HTTPError as error:
            raise EndpointError(f"{url}: {error!r}", sent=True) from error

    async def read_json(self, url: str) -> Any:
        """Returns the JSON response to a GET request.

        Raises:
            EndpointError: No complete JSON response was received.
        """
        response = await self.call("GET", url, b"", {})
        try:
            return orjson.loads(response.content)
        except orjson.JSONDecodeError as error:
            raise EndpointError(f"{url}: {error}", sent=True) from error

    @asynccontextmanager
    async def _traced_stream(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> AsyncIterator[EventStream]:
        with tracing.stream_span("endpoint", headers, url=url):
            async with self._stream(method, url, body, headers) as stream:
                yield stream

    @asynccontextmanager
    async def _stream(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> AsyncIterator[EventStream]:
        try:
            # Tokens are relayed as received, so the engine must not compress
            # them.
            headers = headers | {"accept-encoding": "identity"}
            async with self._client.stream(
                method, url, content=body, headers=headers
            ) as response:
                _check_status(url, response.status_code)
                yield _read_events(response)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointError(f"{url}: {error!r}", sent=False) from error
        except httpx.HTTPError as error:
            raise EndpointError(f"{url}: {error!r}", sent=True) from error


def _check_status(url: str, status: int) -> None:
    """Raises an error unless the status is 200."""
    if status == httpx.codes.OK:
        return
    text = f"{url}: status {status}"
    if status == httpx.codes.NOT_FOUND:
        raise GenerationLostError(text)
    # An engine without free capacity refuses a request before running it.
    refused = status in (429, 503)
    raise EndpointError(text, sent=not refused)


async def _read_events(response: httpx.Response) -> EventStream:
    splitter = EventSplitter()
    # `aiter_raw` would add several calls for each token, so the underlying
    # stream is read directly.
    assert isinstance(response.stream, httpx.AsyncByteStream)
    async for data in response.stream:
        received = splitter.feed(data)
        if received:
            yield received
