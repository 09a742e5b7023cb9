"""Records of what callers and engines observed, the checker's only input."""

import enum
from collections.abc import Mapping

import attrs

# The part of a prompt under which each engine crashes.
FATAL_PART = "bad0"
# The name of the store in records of outages.
STORE = "store"


class RequestKind(enum.Enum):
    """The kinds of requests; the values are the names of their routes."""

    CALL = "call"
    ONCE = "once"
    DRAFT = "draft"
    # A stream that callers take up again when it breaks.
    RESUMABLE = "note"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RequestKind.DRAFT, RequestKind.RESUMABLE)


@attrs.define
class Attempt:
    """One attempt of a caller to send a request.

    Attributes:
        id: The id of the attempt.
        kind: The kind of the request.
        account: The client account of the API key.
        is_allowed: Whether the API key was valid in any configuration.
        gateway: The number of the gateway that it was sent to.
        body: The request body.
        sent_ms: When it was sent.
        ended_ms: When the response or the connection ended.
        status: The HTTP status of the response; 0 without a response.
        is_signed: Whether the response has an engine's signature.
        response: The received bytes of the response body.
        is_complete: Whether the response was complete in terms of HTTP.
        has_disconnected: Whether the caller disconnected before the end.
        stream: The id of the attempt that received the first event of the
            stream; the attempt's own id if it does not take a stream up.
        last_event: The last event that earlier attempts received.
    """

    id: str
    kind: RequestKind
    account: str
    is_allowed: bool
    gateway: int
    body: bytes
    sent_ms: int
    ended_ms: int = 0
    status: int = 0
    is_signed: bool = False
    response: bytes = b""
    is_complete: bool = False
    has_disconnected: bool = False
    stream: str = ""
    last_event: int = 0


@attrs.frozen
class Arrival:
    """A request that reached an engine, whether it ran or was refused.

    Attributes:
        engine: The id of the engine.
        request: The id of the request.
        at_ms: When it reached the engine.
        gateway: The number of the gateway that sent it.
        is_fatal: Whether its prompt has the part that crashes engines.
        data_center: The data centre of the engine.
    """

    engine: str
    request: str
    at_ms: int
    gateway: int = 0
    is_fatal: bool = False
    data_center: str = ""


@attrs.frozen
class Copy:
    """A KV cache copy of a request that an engine was to receive."""

    engine: str
    request: str
    data_center: str


@attrs.frozen
class Declaration:
    """A response in which an engine declared a rate limit.

    Attributes:
        engine: The id of the engine.
        request: The id of the request.
        rate: The limit in requests a second.
        at_ms: When the response was sent.
        gateway: The number of the gateway that it was sent to.
    """

    engine: str
    request: str
    rate: float
    at_ms: int
    gateway: int = 0


@attrs.frozen
class LeavingResponse:
    """A response to a gateway in which an engine said that it leaves."""

    engine: str
    request: str
    at_ms: int
    gateway: int = 0


@attrs.frozen
class PauseResponse:
    """A refusal in which an engine asked for time.

    Attributes:
        engine: The id of the engine.
        request: The id of the refused request.
        at_ms: When the response was sent.
        end_ms: Until when the engine wants no requests of the gateway.
        gateway: The number of that gateway.
    """

    engine: str
    request: str
    at_ms: int
    end_ms: int
    gateway: int = 0


@attrs.frozen
class Disturbance:
    """A fault at a gateway or an engine.

    Attributes:
        name: The number of the gateway, or the id of the engine.
        at_ms: When the fault began or ended.
    """

    name: int | str
    at_ms: int


@attrs.frozen
class Outage:
    """A fault with its begin and end.

    Attributes:
        name: The number of a gateway that was paused, restarted, or cut off
            from the store or the engines; the id of an engine whose link was
            disturbed; or STORE.
        start_ms: When the fault began.
        end_ms: When it ended.
    """

    name: int | str
    start_ms: int
    end_ms: int


@attrs.frozen
class Evacuation:
    """An evacuation of a data centre.

    Attributes:
        data_center: The data centre.
        start_ms: When the store had acknowledged the key.
        end_ms: When the key was deleted.
    """

    data_center: str
    start_ms: int
    end_ms: int


@attrs.frozen
class ColdPeriod:
    """A period in which an engine was cold.

    Attributes:
        engine: The id of the engine.
        start_ms: When it accepted connections again.
        end_ms: When it was warm.
        max_per_s: The requests that it may receive in any second.
    """

    engine: str
    start_ms: int
    end_ms: int
    max_per_s: float


@attrs.define
class Run:
    """The execution of a request at an engine.

    Attributes:
        id: The id of the request.
        kind: The kind of the request, taken from the path of the request.
        engine: The id of the engine.
        account: The client account in the request to the engine.
        body: The request body that the engine received.
        has_key: Whether the request to the engine had the caller's API key.
        is_resumed: Whether it resumed from a copy of the KV cache.
        first_event: The number of its first event.
        started_ms: When it started.
        ended_ms: When it ended; 0 while it runs.
        was_unreachable: Whether the engine's proxy had a fault meanwhile.
    """

    id: str
    kind: str
    engine: str
    account: str
    body: bytes
    has_key: bool
    is_resumed: bool
    first_event: int
    started_ms: int
    ended_ms: int = 0
    was_unreachable: bool = False


@attrs.define
class RunRecords:
    """All records of one seed of the soak.

    Attributes:
        attempts: The attempts of callers.
        runs: The runs at engines, without requests that engines refused.
        faults_ended_ms: When the last fault ended.
        recovered_from_ms: When all requests must be served again.
        unexpected_exits: Gateways that exited unexpectedly, with status.
        overdue_gateways: Gateways that still ran after their grace period.
        peak_mb: The highest memory peak of any gateway.
        arrivals: The requests that reached engines, with those refused.
        declarations: The responses in which engines declared a limit.
        leaving: The responses in which engines said that they leave.
        pauses: The refusals in which engines asked for time.
        crashes_ms: When engines crashed under the fatal part of a prompt.
        disturbances: When faults at single gateways or engines began or ended.
        faults: The steps of the injected faults, as text.
        outages: The faults that keep a gateway from the current state.
        evacuations: The evacuations of data centres.
        cold_periods: The periods in which engines were cold.
        copies: The KV cache copies that engines were to receive.
        regions: The regions by data centre.
        route_regions: The home regions by route.
        account_regions: The home regions by client account.
    """

    attempts: list[Attempt] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    faults_ended_ms: int = 0
    recovered_from_ms: int = 0
    unexpected_exits: list[str] = attrs.field(factory=list)
    overdue_gateways: list[str] = attrs.field(factory=list)
    peak_mb: float = 0.0
    arrivals: list[Arrival] = attrs.field(factory=list)
    declarations: list[Declaration] = attrs.field(factory=list)
    leaving: list[LeavingResponse] = attrs.field(factory=list)
    pauses: list[PauseResponse] = attrs.field(factory=list)
    crashes_ms: list[int] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    outages: list[Outage] = attrs.field(factory=list)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    cold_periods: list[ColdPeriod] = attrs.field(factory=list)
    copies: list[Copy] = attrs.field(factory=list)
    regions: Mapping[str, str] = attrs.field(factory=dict)
    route_regions: Mapping[str, list[str]] = attrs.field(factory=dict)
    account_regions: Mapping[str, list[str]] = attrs.field(factory=dict)


def event(request_id: str, number: int, version: str = "v1") -> bytes:
    """Returns one event of the stream for a request."""
    return b"id: %d\nversion: %s\ndata: %s/%d\n\n" % (
        number,
        version.encode(),
        request_id.encode(),
        number,
    )


def full_response(request_id: str, body: bytes) -> bytes:
    """Returns the full response to a request that is not streamed."""
    return b"%s of %d bytes" % (request_id.encode(), len(body))
