"""The interface of a platform adapter, in the gateway's own types."""

import enum
from typing import Protocol

import attrs

from rhubarbwinch.gateway.directory import DirectoryLookup
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.routes import RoutingTable
from rhubarbwinch.shared.registry import Registry

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class CallHead:
    """The head of a caller's request.

    Attributes:
        method: The HTTP method, such as `POST`.
        target: The path and the query, unchanged.
        host: The host name in lower case, without a port.
        request_id: The caller's id of this attempt.
        api_key: The caller's API key, or None.
        deadline_ms: How long the caller waits; None if not specified.
        prompt_tokens: The length of the prompt; 0 if not specified.
        max_output_tokens: The maximum length of the output; 0 if not specified.
        estimated_output_tokens: The caller's estimate of the output length; 0
            without one.
        last_event_id: The event after which a stream resumes, or None.
        headers: The headers that are relayed to the endpoint unchanged.
        resumed_id: The id of the caller's attempt that received the first event
            of the stream that resumes, or None.
        prompt_parts: The ids of the parts of the prompt, in order. Requests
            share parts, except the last one.
    """

    method: str
    target: bytes
    host: str
    request_id: str
    api_key: str | None
    deadline_ms: int | None
    prompt_tokens: int
    max_output_tokens: int
    estimated_output_tokens: int
    last_event_id: str | None
    headers: Headers
    resumed_id: str | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.frozen
class KvCacheLocation:
    """Where an engine can fetch the KV cache of a run.

    Attributes:
        address: The engine that made the migrated copy, or the hot standby.
        handle: The name of the KV cache at that engine.
    """

    address: str
    handle: str


@attrs.frozen
class AttemptOptions:
    """The parameters that the gateway adds to one attempt at an endpoint.

    Attributes:
        endpoint_id: The endpoint that may serve the request; any other endpoint
            at the same address refuses it.
        account: The caller's client account, or None.
        time_left_ms: The time until the caller's deadline.
        last_event_id: The last event that was sent to the caller, or None.
        resume_from: The KV cache from which the run resumes, or None.
        standby_address: The hot standby of the run, or None.
        priority: The rank at the engine; 0 is the most urgent, None is the
            default rank.
    """

    endpoint_id: str
    account: str | None
    time_left_ms: int
    last_event_id: str | None = None
    resume_from: KvCacheLocation | None = None
    standby_address: str | None = None
    priority: int | None = None


@attrs.frozen
class DeclaredState:
    """What an endpoint declares about itself in the head of a response.

    Attributes:
        rate_limit: The requests a second that it accepts from all gateways
            together; None if it declares no limit.
        is_leaving: Whether it will shut down and accepts no new requests.
        pause_ms: For how long it wants no requests of this gateway; 0 if it
            does not say so.
        is_brittle: Whether it falls over when it refuses many requests.
        warmup_ms: How long it is still cold; None if it does not say so.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_ms: int = 0
    is_brittle: bool = False
    warmup_ms: int | None = None


@attrs.frozen
class ResponseHead:
    """The head of an endpoint's response.

    Attributes:
        status: The HTTP status.
        is_refusal: Whether the endpoint states that the request did not run.
        is_signed: Whether the response has the endpoint's signature.
        is_altered: Whether the body was changed on the way, such as encoded.
        headers: The headers that are relayed to the caller unchanged.
        declared: What the endpoint declares about itself; None if the response
            does not come from the endpoint that was addressed.
        is_endpoint_gone: Whether the endpoint that was addressed is no longer
            at its address; the request has not run and will not run.
    """

    status: int
    is_refusal: bool
    is_signed: bool
    is_altered: bool
    headers: Headers
    declared: DeclaredState | None = None
    is_endpoint_gone: bool = False


class MoveState(enum.StrEnum):
    """How a call to copy a run's KV cache ended.

    `BUSY` means that the engine executes another call about the run, and has
    not begun this one. After `UNREACHABLE` nothing was sent; after `FAILED` the
    engine may have executed the call.
    """

    COPIED = "copied"
    NO_RUN = "no-run"
    BUSY = "busy"
    NO_ROOM = "no-room"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class FreeState(enum.StrEnum):
    """How a call to free a copy ended.

    `UNKNOWN` means that the engine does not have the copy, for example after a
    restart.
    """

    FREED = "freed"
    UNKNOWN = "unknown"
    FAILED = "failed"


@attrs.frozen
class CopyResult:
    """The result of a call that copies a run's KV cache.

    Attributes:
        state: How the call ended.
        handle: The name of the copy at the source; empty without a copy.
        events: Number of events that the run had generated at the time.
    """

    state: MoveState
    handle: str = ""
    events: int = 0


@attrs.frozen
class EngineReport:
    """An engine's report of its own state, up to some hundred ms old.

    Attributes:
        leaves_ms: When the engine ends; None if it does not know.
        is_leaving: Whether the engine accepts no new work.
    """

    leaves_ms: int | None
    is_leaving: bool


class EngineCalls(Protocol):
    """Control calls to engines, apart from the requests of callers."""

    async def copy_run(
        self, address: str, request_id: str, target: str, stop_first: bool
    ) -> CopyResult:
        """Copies a run's KV cache to the engine at `target`.

        With `stop_first` the engine stops the run before it copies. A failed
        call is returned as a state and raises nothing.
        """
        ...

    async def free_copy(self, address: str, handle: str) -> FreeState:
        """Frees a copy.

        At the source of a copy the call frees it at both engines, at its target
        only there. A failed call is returned as a state and raises nothing.
        """
        ...

    async def report(self, address: str) -> EngineReport:
        """Returns an engine's report of its own state.

        Raises:
            EndpointError: There was no response, or it is malformed.
        """
        ...


class Platform(Protocol):
    """Translates the names and formats of one platform; has no policy."""

    config_key: str
    endpoint_prefix: str
    evacuation_prefix: str
    member_prefix: str
    version_prefix: str
    max_directory_addresses: int

    def decode_call(
        self, method: str, target: bytes, headers: Headers
    ) -> CallHead:
        """Decodes the head of a caller's request.

        Raises:
            BadCallError: The request is malformed.
        """
        ...

    def endpoint_headers(
        self, call: CallHead, options: AttemptOptions, body_bytes: int
    ) -> Headers:
        """Returns the headers of a request to an endpoint."""
        ...

    def forwarded_headers(
        self, headers: Headers, time_left_ms: int, body_bytes: int
    ) -> Headers:
        """Returns the headers of a caller's request to another gateway.

        Args:
            headers: The headers as the caller sent them.
            time_left_ms: The time until the caller's deadline.
            body_bytes: The size of the body.
        """
        ...

    def retry_after_ms(self, headers: Headers) -> int | None:
        """Returns when a gateway's failure asks the caller to come back."""
        ...

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of an endpoint's response."""
        ...

    def is_response_to(self, request_id: str, headers: Headers) -> bool:
        """Returns whether a response belongs to a request."""
        ...

    def failure_headers(
        self, request_id: str, retry_after_ms: int | None
    ) -> Headers:
        """Returns the headers of a response of the gateway itself."""
        ...

    def event_id(self, event: bytes) -> str | None:
        """Returns the id of an event in a stream, or None."""
        ...

    def decode_config(self, data: bytes) -> RoutingTable:
        """Decodes a version of the configuration.

        Raises:
            PlatformFormatError: The document is malformed.
        """
        ...

    def decode_endpoint(self, endpoint_id: str, data: bytes) -> Endpoint:
        """Decodes an endpoint's registration.

        Raises:
            PlatformFormatError: The document is malformed.
        """
        ...

    def decode_directory_lookup(self, target: bytes) -> DirectoryLookup | None:
        """Returns a directory lookup; None for other requests."""
        ...

    def encode_directory_response(
        self, addresses: list[str], ttl_ms: int
    ) -> bytes:
        """Returns the body of the response to a lookup."""
        ...

    def is_readiness_probe(self, target: bytes) -> bool:
        """Returns whether a request is a readiness probe."""
        ...


# The adapter classes by platform name; they are built without arguments.
PLATFORMS: Registry[type[Platform]] = Registry("platform")
