"""The HTTP interface: requests, responses and routes over ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope

from rhubarbwinch.http import problems
from rhubarbwinch.shared import events
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

BODY_TIMEOUT_MS = 30_000

Headers = list[tuple[bytes, bytes]]


class Refused(Exception):  # noqa: N818
    """Ends a request with a failure.

    Args:
        failure: The failure that is sent to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@attrs.frozen
class Request:
    """A caller's request.

    Attributes:
        method: The HTTP method.
        path: The path without the query.
        query: The query string.
        headers: The headers by lower-case name; of repeated headers the last.
        body: The complete body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    @property
    def api_key(self) -> str:
        """The bearer token, or empty."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""


class Responder:
    """Sends one response.

    Args:
        send: The ASGI function.
        closes_connection: Whether the connection is closed after this response.
    """

    def __init__(
        self, send: ASGISendCallable, closes_connection: bool = False
    ) -> None:
        self._send = send
        self._closes_connection = closes_connection
        self._has_started = False

    @property
    def has_started(self) -> bool:
        """Whether the response head has been sent."""
        return self._has_started

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the response head."""
        self._has_started = True
        if self._closes_connection:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
                "trailers": False,
            }
        )

    async def write(self, data: bytes, more: bool = True) -> None:
        """Sends a part of the body; the last has `more=False`."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def send_response(
        self, status: int, headers: Headers, data: bytes
    ) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(data)).encode())
        await self.start(status, [*headers, length])
        await self.write(data, more=False)

    async def send_json(self, data: bytes, status: int = 200) -> None:
        """Sends a complete JSON response."""
        await self.send_response(
            status, [(b"content-type", b"application/json")], data
        )

    async def send_problem(self, failure: Failure) -> None:
        """Sends a failure; within an event stream, as an error event."""
        data = problems.body(failure)
        if self._has_started:
            await self.write(b"event: error\ndata: " + data + b"\n\n", False)
            return
        status = problems.STATUS[failure.reason]
        await self.send_response(status, problems.headers(failure), data)


Handler = Callable[[Request, Responder], Awaitable[None]]


@attrs.frozen
class Route:
    """A handler for a method and all paths with a prefix."""

    method: str
    prefix: str
    handle: Handler


class App:
    """An ASGI application with routes.

    Args:
        max_body_bytes: The maximum size of a request body.
        body_timeout_ms: The time limit for receiving a request body.

    Attributes:
        is_closing: Returns whether the program is shutting down. In this case
            each response closes its connection, so that no idle connection is
            left at the end.
    """

    def __init__(
        self, max_body_bytes: int, body_timeout_ms: int = BODY_TIMEOUT_MS
    ) -> None:
        self.is_closing: Callable[[], bool] = lambda: False
        self._max_body_bytes = max_body_bytes
        self._body_timeout_ms = body_timeout_ms
        self._routes: list[Route] = []

    def route(self, method: str, prefix: str, handle: Handler) -> None:
        """Adds a route; `*` matches any method."""
        self._routes.append(Route(method, prefix, handle))

    async def __call__(
        self,
        scope: Scope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        responder = Responder(send, self._must_close(scope))
        try:
            request = await self._read_in_time(scope, receive)
            handle = self._find_handler(request)
            await _run_until_disconnect(handle, request, responder, receive)
        except Refused as refusal:
            failure = refusal.failure
            events.REQUEST_FAILED.log(
                reason=failure.reason,
                verdict=failure.verdict,
                detail=failure.detail,
            )
            await responder.send_problem(failure)

    async def _read_in_time(
        self, scope: Any, receive: ASGIReceiveCallable
    ) -> Request:
        with anyio.move_on_after(self._body_timeout_ms / 1000):
            return await self._read(scope, receive)
        detail = f"the body took over {self._body_timeout_ms} ms"
        raise Refused(not_run(Reason.TOO_SLOW, detail))

    def _must_close(self, scope: Any) -> bool:
        """Returns whether to close the connection after the response.

        HTTP/2 connections are closed by other means.
        """
        return self.is_closing() and scope["http_version"].startswith("1")

    async def _read(self, scope: Any, receive: ASGIReceiveCallable) -> Request:
        body = bytearray()
        more = True
        while more:
            message: Any = await receive()
            if message["type"] == "http.disconnect":
                raise Refused(not_run(Reason.CANCELLED, "the caller went away"))
            body += message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) > self._max_body_bytes:
                detail = f"a body has at most {self._max_body_bytes} bytes"
                raise Refused(not_run(Reason.TOO_LARGE, detail))
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        query = scope["query_string"].decode("latin-1")
        return Request(
            scope["method"], scope["path"], query, headers, bytes(body)
        )

    def _find_handler(self, request: Request) -> Handler:
        for route in self._routes:
            matches_method = route.method in ("*", request.method)
            if matches_method and request.path.startswith(route.prefix):
                return route.handle
        detail = f"no {request.method} {request.path}"
        raise Refused(not_run(Reason.NOT_FOUND, detail))


async def _run_until_disconnect(
    handle: Handler,
    request: Request,
    responder: Responder,
    receive: ASGIReceiveCallable,
) -> None:
    """Runs a handler; cancels it when its caller disconnects."""
    refusals: list[Refused] = []
    async with anyio.create_task_group() as tasks:

        async def wait_for_disconnect() -> None:
            while True:
                message: Any = await receive()
                if message["type"] == "http.disconnect":
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(wait_for_disconnect)
        try:
            await handle(request, responder)
        except Refused as error:
            refusals.append(error)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            failure = Failure(Verdict.MAY_HAVE_RUN, Reason.INTERNAL, detail)
            refusals.append(Refused(failure))
        tasks.cancel_scope.cancel()
    if refusals:
        raise refusals[0]


async def _serve_lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
