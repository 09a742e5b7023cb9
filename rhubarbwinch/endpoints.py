"""Calls to endpoints over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpx
import orjson

from rhubarbwinch import tracing
from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.sse import Splitter, StreamEvent

CONNECT_S = 1.0
GENERATION_HEADER = "x-generation-id"
PRIORITY_HEADER = "x-priority"


class EndpointClient:
    """Speaks to endpoints, engines and plain services alike.

    Args:
        silence_ms: A call without a byte for so long fails.
    """

    def __init__(self, silence_ms: int) -> None:
        silence = silence_ms / 1000
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(silence, connect=CONNECT_S, pool=CONNECT_S),
            limits=httpx.Limits(max_connections=None),
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
    ) -> Any:
        """Starts a generation; returns a context with its events.

        Raises:
            EndpointError: On entering or while reading.
        """
        headers = {
            "content-type": "application/json",
            GENERATION_HEADER: generation,
            PRIORITY_HEADER: str(priority),
        }
        url = f"http://{address}{path}"
        return self._traced("POST", url, body, headers)

    def resume(self, address: str, generation: str, index: int) -> Any:
        """Reads a generation again from an index; returns a context.

        Raises:
            EndpointError: On entering or while reading.
        """
        url = f"http://{address}/v1/generations/{generation}?from={index}"
        return self._traced("GET", url, b"", {})

    async def cancel(self, address: str, generation: str) -> None:
        """Ends a generation; a failure to reach the engine is ignored."""
        url = f"http://{address}/v1/generations/{generation}"
        try:
            await self._client.delete(url)
        except httpx.HTTPError:
            # The engine gives an abandoned stream up by itself.
            return

    async def call(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        """Calls a plain service.

        Raises:
            EndpointError: No whole answer came.
        """
        try:
            with tracing.stream_span("endpoint", headers, url=url):
                return await self._client.request(
                    method, url, content=body, headers=headers
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointError(f"{url}: {error!r}", sent=False) from error
        except httpx.HTTPError as error:
            raise EndpointError(f"{url}: {error!r}", sent=True) from error

    async def read_json(self, url: str) -> Any:
        """Returns the JSON answer of a GET.

        Raises:
            EndpointError: No JSON came.
        """
        response = await self.call("GET", url, b"", {})
        try:
            return orjson.loads(response.content)
        except orjson.JSONDecodeError as error:
            raise EndpointError(f"{url}: {error}", sent=True) from error

    @asynccontextmanager
    async def _traced(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> AsyncIterator[AsyncIterator[StreamEvent]]:
        with tracing.stream_span("endpoint", headers, url=url):
            async with self._stream(method, url, body, headers) as stream:
                yield stream

    @asynccontextmanager
    async def _stream(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> AsyncIterator[AsyncIterator[StreamEvent]]:
        try:
            async with self._client.stream(
                method, url, content=body, headers=headers
            ) as response:
                if response.status_code != httpx.codes.OK:
                    # Engines refuse with an error status before they start.
                    text = f"{url}: status {response.status_code}"
                    refused = response.status_code in (429, 503)
                    raise EndpointError(text, sent=not refused)
                yield _events(response)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointError(f"{url}: {error!r}", sent=False) from error
        except httpx.HTTPError as error:
            raise EndpointError(f"{url}: {error!r}", sent=True) from error


async def _events(response: httpx.Response) -> AsyncIterator[StreamEvent]:
    splitter = Splitter()
    async for data in response.aiter_raw():
        for event in splitter.feed(data):
            yield event
