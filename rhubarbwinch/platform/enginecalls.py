"""Control calls to the platform's engines over HTTP."""

import urllib.parse

import httpx
import orjson

from rhubarbwinch.gateway.wire import (
    EngineReport,
    FreeState,
    MoveResult,
    MoveState,
)
from rhubarbwinch.platform import documents
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError, PlatformFormatError

# The copy of a large run takes some hundred milliseconds, and other copies may
# be queued before it on the engine's network link.
MOVE_TIMEOUT_S = 3.0
CONNECT_S = 0.3
REPORT_TIMEOUT_S = 1.0
FREE_TIMEOUT_S = 0.5

_STATES: dict[int, MoveState] = {
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

    async def move(
        self, address: str, request_id: str, to: str, is_last: bool
    ) -> MoveResult:
        """Copies a run's KV cache to the engine at `to`."""
        body: dict[str, object] = {"id": request_id, "to": to}
        if is_last:
            body["last"] = True
        try:
            response = await self._client.post(
                f"http://{address}/kv-move",
                content=orjson.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=httpx.Timeout(MOVE_TIMEOUT_S, connect=CONNECT_S),
            )
            found = orjson.loads(response.content or b"{}")
        except (httpx.HTTPError, orjson.JSONDecodeError) as error:
            events.MOVE_CALL_FAILED.log(
                request=request_id, endpoint=address, error=repr(error)
            )
            return MoveResult(MoveState.FAILED)
        state = _STATES.get(response.status_code, MoveState.FAILED)
        if not isinstance(found, dict):
            found = {}
        created = found.get("created")
        return MoveResult(
            state,
            str(found.get("handle") or ""),
            created if isinstance(created, int) else 0,
        )

    async def free_copy(self, address: str, handle: str) -> FreeState:
        """Frees a copy: at both engines if called at the source."""
        name = urllib.parse.quote(handle, safe="")
        try:
            response = await self._client.delete(
                f"http://{address}/kv-handle/{name}",
                timeout=httpx.Timeout(FREE_TIMEOUT_S, connect=CONNECT_S),
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
            response = await self._client.get(
                f"http://{address}/report",
                timeout=httpx.Timeout(REPORT_TIMEOUT_S, connect=CONNECT_S),
            )
            return documents.decode_report(response.content)
        except (httpx.HTTPError, PlatformFormatError) as error:
            raise EndpointError(f"{address}: {error!r}", sent=True) from error
