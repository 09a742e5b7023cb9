"""Control calls to the platform's engines over HTTP."""

import urllib.parse

import anyio
import httpx
import orjson

from rhubarbwinch.gateway.platforminterface import (
    CopyResult,
    EngineReport,
    FreeState,
    MoveState,
)
from rhubarbwinch.platform import documents
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError, PlatformFormatError

# The copy of a large run takes some hundred milliseconds, and other copies may
# be queued before it on the engine's network link.
COPY_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.3
REPORT_TIMEOUT_S = 1.0
FREE_TIMEOUT_S = 0.5
MAX_REPLY_BYTES = 1 << 20

_STATES_BY_STATUS: dict[int, MoveState] = {
    httpx.codes.OK: MoveState.COPIED,
    httpx.codes.NOT_FOUND: MoveState.NO_RUN,
    httpx.codes.CONFLICT: MoveState.BUSY,
    httpx.codes.SERVICE_UNAVAILABLE: MoveState.NO_ROOM,
}


class PlatformEngineCalls:
    """Calls engines over HTTP.

    Args:
        transport: Sends the HTTP requests.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self._client = httpx.AsyncClient(transport=transport)

    async def copy_run(
        self, address: str, request_id: str, target: str, stop_first: bool
    ) -> CopyResult:
        """Copies a run's KV cache to the engine at `target`."""
        body: dict[str, object] = {"id": request_id, "to": target}
        if stop_first:
            body["last"] = True
        try:
            response = await self._call(
                "POST",
                f"http://{address}/kv-move",
                COPY_TIMEOUT_S,
                orjson.dumps(body),
            )
            reply = orjson.loads(response.content or b"{}")
        except (httpx.HTTPError, orjson.JSONDecodeError) as error:
            events.MOVE_CALL_FAILED.log(
                request=request_id, endpoint=address, error=repr(error)
            )
            is_unsent = isinstance(
                error, httpx.ConnectError | httpx.ConnectTimeout
            )
            return CopyResult(
                MoveState.UNREACHABLE if is_unsent else MoveState.FAILED
            )
        state = _STATES_BY_STATUS.get(response.status_code, MoveState.FAILED)
        if not isinstance(reply, dict):
            reply = {}
        event_count = reply.get("created")
        return CopyResult(
            state,
            str(reply.get("handle") or ""),
            event_count if isinstance(event_count, int) else 0,
        )

    async def free_copy(self, address: str, handle: str) -> FreeState:
        """Frees a copy: at both engines if called at the source."""
        quoted_handle = urllib.parse.quote(handle, safe="")
        try:
            response = await self._call(
                "DELETE",
                f"http://{address}/kv-handle/{quoted_handle}",
                FREE_TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            events.FREE_CALL_FAILED.log(
                endpoint=address, handle=handle, error=repr(error)
            )
            return FreeState.FAILED
        if response.is_success:
            return FreeState.FREED
        if response.status_code == httpx.codes.NOT_FOUND:
            return FreeState.UNKNOWN
        events.FREE_CALL_FAILED.log(
            endpoint=address, handle=handle, error=str(response.status_code)
        )
        return FreeState.FAILED

    async def report(self, address: str) -> EngineReport:
        """Returns an engine's report of its own state.

        Raises:
            EndpointError: There was no response, or it is malformed.
        """
        try:
            response = await self._call(
                "GET", f"http://{address}/report", REPORT_TIMEOUT_S
            )
            return documents.decode_report(response.content)
        except (httpx.HTTPError, PlatformFormatError) as error:
            raise EndpointError(f"{address}: {error!r}", sent=True) from error

    async def _call(
        self, method: str, url: str, timeout_s: float, content: bytes = b""
    ) -> httpx.Response:
        """Calls an engine; bounds the time and the size of the whole reply.

        Raises:
            httpx.HTTPError: There was no whole reply within the bounds.
        """
        try:
            with anyio.fail_after(timeout_s + CONNECT_TIMEOUT_S):
                return await self._client.request(
                    method,
                    url,
                    content=content,
                    headers={"Content-Type": "application/json"}
                    if content
                    else {},
                    timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
                    extensions={"max_body_bytes": MAX_REPLY_BYTES},
                )
        except TimeoutError as error:
            raise httpx.ReadTimeout("the reply did not end in time") from error
