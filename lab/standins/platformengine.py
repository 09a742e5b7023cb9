"""A scripted stand-in for the platform's engines and plain services.

A function that the test sets handles each request, so that the test can cause
exactly the fault that it examines. Streams send one event at a time, as the
test allows.
"""

from collections.abc import Awaitable, Callable

import anyio
import attrs
import orjson

from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder, EdgeServer
from rhubarbwinch.gateway.platforminterface import Headers
from rhubarbwinch.shared.clock import SystemClock

HANDLE_PATH = b"/kv-handle/"
# The start of an engine in the registration, in milliseconds since 1970.
FIRST_BORN = 1_786_000_000_000
SIGNATURE = (b"Server-Signature", b"sig")


@attrs.define
class ReceivedRequest:
    """A request that the engine received.

    Attributes:
        request: The request.
        headers: Its header values by lower-case name.
    """

    request: EdgeRequest
    headers: dict[str, str]

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.headers.get("attempt-id", "")


RequestHandler = Callable[[ReceivedRequest, EdgeResponder], Awaitable[None]]


def engine_headers(received_request: ReceivedRequest) -> Headers:
    """Returns the headers that mark a response as an engine's own."""
    return [(b"Attempt-Id", received_request.id.encode()), SIGNATURE]


def rate_limit_headers(rate_limit: float | None) -> Headers:
    """Returns the header that declares a limit in requests a second."""
    if rate_limit is None:
        return []
    return [(b"Server-Limit", f"{rate_limit:.2f}".encode())]


LEAVING = (b"Server-Leaving", b"1")


def cold_headers(remaining_ms: int) -> Headers:
    """Returns the header of an engine that is cold for some more time."""
    return [(b"Cold-Ms", str(remaining_ms).encode())] if remaining_ms else []


def brittle_header(max_refusals: int) -> tuple[bytes, bytes]:
    """Returns the header of an engine that falls over after more refusals.

    Args:
        max_refusals: The refusals in a second that it bears.
    """
    return (b"Server-Brittle", str(max_refusals).encode())


async def send_pause(
    received_request: ReceivedRequest, responder: EdgeResponder, pause_s: float
) -> None:
    """Refuses a request and asks for time, in seconds."""
    await responder.send(
        503,
        [
            (b"Attempt-Id", received_request.id.encode()),
            (b"Not-Executed", b"1"),
            (b"Retry-After", f"{pause_s:.1f}".encode()),
        ],
        b"",
    )


async def send_ok(
    received_request: ReceivedRequest, responder: EdgeResponder
) -> None:
    """Sends a success whose body is the id of the request."""
    await responder.send(
        200, engine_headers(received_request), received_request.id.encode()
    )


async def send_not_run(
    received_request: ReceivedRequest, responder: EdgeResponder
) -> None:
    """Refuses a request with the header that says that it did not run."""
    refusal = (b"Not-Executed", b"1")
    await responder.send(
        503, [(b"Attempt-Id", received_request.id.encode()), refusal], b""
    )


def stream_event(number: int) -> bytes:
    """Returns the event of a stream with this number."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class ScriptedEngine:
    """An engine or plain service whose request handler a test sets.

    Args:
        name: The engine's id in the store.
        address: `a.b.c.d:port` to listen on.
        service: The service that it serves.
    """

    def __init__(self, name: str, address: str, service: str) -> None:
        self.name = name
        self.address = address
        self.service = service
        self.handler: RequestHandler = send_ok
        self.received: list[ReceivedRequest] = []
        self.disconnects = 0
        self.migration_requests: list[dict[str, object]] = []
        self.freed_handles: list[str] = []
        self.migration_status = 200
        self.leaves_ms: int | None = None
        self.version = "v1"
        self.slots = 24
        self.data_center = "z1"
        self.born = FIRST_BORN
        self.cold_until_ms = 0
        self._clock = SystemClock()
        self._server = EdgeServer(address, self._handle, self._clock)

    @property
    def ready_entry(self) -> bytes:
        """The store entry that it registers while it is ready."""
        return self.registration("ready")

    @property
    def cold_remaining_ms(self) -> int:
        """For how long the engine is still cold."""
        return max(0, self.cold_until_ms - self._clock.now())

    def registration(self, state: str) -> bytes:
        """Returns the store entry that it registers in a state."""
        return orjson.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.data_center,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": self.cold_remaining_ms,
                "sequence": 1,
                "born": self.born,
            }
        )

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    async def _handle(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        fields = {
            n.decode().lower(): v.decode("latin-1") for n, v in request.headers
        }
        received_request = ReceivedRequest(request, fields)
        if request.target == b"/kv-move":
            await self._handle_migration(request, responder)
            return
        if request.target.startswith(HANDLE_PATH):
            handle = request.target.removeprefix(HANDLE_PATH).decode()
            await responder.send(self._free_copy(handle), [], b"{}")
            return
        if request.target == b"/report":
            report = {"state": "ready", "leaves_ms": self.leaves_ms}
            await responder.send(200, [], orjson.dumps(report))
            return
        expected = fields.get("expect-instance")
        if expected != self.name:
            await responder.send(421, [], b"")
            return
        self.received.append(received_request)
        try:
            await self.handler(received_request, responder)
        except anyio.get_cancelled_exc_class():
            self.disconnects += 1
            raise

    def _free_copy(self, handle: str) -> int:
        """Frees a KV cache copy; returns the HTTP status."""
        self.freed_handles.append(handle)
        return 200

    async def _handle_migration(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        body = orjson.loads(request.body)
        self.migration_requests.append(body)
        response = {"handle": f"h-{body['id']}", "created": 0}
        if self.migration_status != 200:
            response = {}
        await responder.send(self.migration_status, [], orjson.dumps(response))
