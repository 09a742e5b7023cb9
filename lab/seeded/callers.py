"""Callers that retry and resume as documented for clients."""

import uuid
from typing import Any

import anyio
import orjson

from lab.seeded.deployment import (
    API_KEY,
    Program,
    SimulatedDeployment,
    completion_body,
)
from lab.seeded.records import Attempt, End, RequestKind
from rhubarbwinch.http.sse import DONE_EVENT, EventSplitter
from rhubarbwinch.programs.entry import Entry

MAX_ATTEMPTS = 8
RETRY_DELAY_MS = 500
DISCONNECT_CHANCE = 0.1


class Call:
    """An attempt's connection to an entry, in the role of the ASGI server.

    Args:
        attempt: The response is recorded here.
        headers: The request headers.
        method: The HTTP method.
        path: The request path.
        body: The request body.
        disconnect_after: The number of events after which the caller
            disconnects, or None.
    """

    def __init__(
        self,
        attempt: Attempt,
        headers: dict[str, str],
        method: str,
        path: str,
        body: bytes,
        disconnect_after: int | None = None,
    ) -> None:
        self._attempt = attempt
        self._scope: Any = {
            "type": "http",
            "http_version": "1.1",
            "method": method,
            "path": path,
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        self._body: bytes | None = body
        self._disconnect_after = disconnect_after
        self._disconnected = anyio.Event()
        self._splitter = EventSplitter()
        self._is_stream = False

    async def run(self, program: Program) -> None:
        """Makes the attempt; a kill of the entry cuts it off."""
        daemon = program.daemon
        if not isinstance(daemon, Entry):
            raise TypeError("callers can only call entries, not brokers")
        if not program.is_killed:
            await program.run_until_killed(
                lambda: daemon.app(self._scope, self._receive, self._send)
            )
        if self._attempt.end is None:
            self._attempt.end = End.CUT

    async def _receive(self) -> Any:
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: Any) -> None:
        attempt = self._attempt
        if self._disconnected.is_set() or attempt.end is not None:
            return
        if message["type"] == "http.response.start":
            attempt.status = message["status"]
            headers = {k.decode(): v.decode() for k, v in message["headers"]}
            attempt.verdict = headers.get("x-verdict", "")
            kind = headers.get("content-type", "")
            self._is_stream = kind.startswith("text/event-stream")
            return
        if self._is_stream:
            self._record_events(message["body"])
        else:
            attempt.body += message["body"]
        if not message.get("more_body", False):
            refused = attempt.verdict or attempt.status != 200
            attempt.end = End.REFUSED if refused else End.ANSWERED

    def _record_events(self, data: bytes) -> None:
        for event in self._splitter.feed(data):
            if event.raw.startswith(b"id:") or event.raw == DONE_EVENT:
                self._attempt.events.append(event.raw)
            elif event.is_error:
                problem = orjson.loads(event.data)
                self._attempt.verdict = problem["verdict"]
        if len(self._attempt.events) == self._disconnect_after:
            self._attempt.end = End.CUT
            self._disconnected.set()


class Caller:
    """A caller with one request, which it retries until settled.

    Args:
        deployment: The deployment to call.
        number: The number of the request.
        kind: The kind of the request.
    """

    def __init__(
        self, deployment: SimulatedDeployment, number: int, kind: RequestKind
    ) -> None:
        self._deployment = deployment
        self._number = number
        self._kind = kind
        self._marker = f"m{number}"
        self._key = ""
        if kind is RequestKind.BOOKING:
            self._key = _uuid7(deployment)

    async def run(self) -> Attempt:
        """Retries until the request is settled; returns the last attempt."""
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._attempt()
            if self._is_settled(attempt):
                break
            await self._deployment.clock.sleep(RETRY_DELAY_MS)
        return attempt

    @property
    def _last_event_id(self) -> str:
        """The id of the last event that any attempt received, or empty."""
        for attempt in reversed(self._deployment.records.attempts):
            if attempt.request == self._number and attempt.events:
                head = attempt.events[-1].split(b"\n", 1)[0].decode()
                return head.removeprefix("id: ")
        return ""

    async def _attempt(self) -> Attempt:
        deployment = self._deployment
        name = deployment.rng.choice(sorted(deployment.entries))
        attempt = Attempt(
            self._number, self._kind, self._marker, self._key, name
        )
        deployment.records.attempts.append(attempt)
        await self._call(attempt).run(deployment.entries[name])
        return attempt

    def _call(self, attempt: Attempt) -> Call:
        headers = {"authorization": f"Bearer {API_KEY}"}
        if self._kind in (RequestKind.STREAM, RequestKind.WHOLE):
            disconnect_after = None
            if self._kind is RequestKind.STREAM:
                if self._last_event_id:
                    headers["last-event-id"] = self._last_event_id
                if self._deployment.rng.random() < DISCONNECT_CHANCE:
                    disconnect_after = self._deployment.rng.randint(1, 10)
            body = completion_body(
                self._marker, self._kind is RequestKind.STREAM
            )
            path = "/v1/completions"
            return Call(attempt, headers, "POST", path, body, disconnect_after)
        body = orjson.dumps({"marker": self._marker})
        if self._key:
            headers["idempotency-key"] = self._key
        verb = "book" if self._kind is RequestKind.BOOKING else "slots"
        path = f"/services/booking/{verb}"
        return Call(attempt, headers, "POST", path, body)

    def _is_settled(self, attempt: Attempt) -> bool:
        if DONE_EVENT in attempt.events:
            # A caller that disconnected after the last event has all events.
            return True
        if attempt.end is End.ANSWERED:
            return self._kind is not RequestKind.STREAM
        if self._kind is RequestKind.STREAM and self._last_event_id:
            # The stream can be resumed unless the engine lost its tokens.
            return attempt.end is End.REFUSED and attempt.verdict != "not-run"
        if self._kind is RequestKind.BOOKING:
            return attempt.verdict == "may-have-run"
        return False


def _uuid7(deployment: SimulatedDeployment) -> str:
    """Returns a UUIDv7 for the current time of the clock."""
    value = deployment.clock.wall() << 80 | 0x7 << 76 | 0b10 << 62
    return str(uuid.UUID(int=value | deployment.rng.getrandbits(60)))
