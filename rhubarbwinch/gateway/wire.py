"""What a platform's adapter translates, in the gateway's own types."""

import enum
from typing import Protocol

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.routes import RoutingTable
from rhubarbwinch.shared.registry import Registry

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class CallHead:
    """The head of a caller's request.

    Attributes:
        method: Such as `POST`.
        target: The path and the query, unchanged.
        host: In lower case, without a port.
        request_id: The caller's id of this attempt.
        api_key: The caller's key, or None.
        deadline_ms: How long the caller waits; None if it does not say.
        prompt_tokens: The tokens of the prompt; 0 if none are told.
        max_output_tokens: The most tokens of the answer.
        likely_output_tokens: The caller's estimate; 0 without one.
        last_event_id: The event after which a stream goes on, or None.
        headers: What is passed on to the endpoint unchanged.
    """

    method: str
    target: bytes
    host: str
    request_id: str
    api_key: str | None
    deadline_ms: int | None
    prompt_tokens: int
    max_output_tokens: int
    likely_output_tokens: int
    last_event_id: str | None
    headers: Headers

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.frozen
class MemoryCopy:
    """Where the memory of a run lies.

    Attributes:
        address: The engine from which the copy came, or the backup.
        handle: The copy's name there.
    """

    address: str
    handle: str


@attrs.frozen
class SendOptions:
    """What the gateway sets for one send to an endpoint.

    Attributes:
        endpoint_id: The endpoint that may answer; another one refuses.
        account: The caller's account, or None.
        time_left_ms: The caller's deadline, counted from now.
        last_event_id: The last event that the caller has, or None.
        resume_from: Where the memory of the run lies, or None.
        backup_address: The engine that follows the run, or None.
        priority: The rank at the engine, 0 first; None for the usual one.
    """

    endpoint_id: str
    account: str | None
    time_left_ms: int
    last_event_id: str | None = None
    resume_from: MemoryCopy | None = None
    backup_address: str | None = None
    priority: int | None = None


@attrs.frozen
class AnswerHead:
    """The head of an endpoint's answer.

    Attributes:
        status: The HTTP status.
        is_refusal: Whether the endpoint says that the request did not run.
        is_signed: Whether it bears the endpoint's signature.
        is_altered: Whether the body is not as the endpoint makes it.
        headers: What is passed on to the caller unchanged.
    """

    status: int
    is_refusal: bool
    is_signed: bool
    is_altered: bool
    headers: Headers


class MoveState(enum.StrEnum):
    """How a call to copy a run's memory ended."""

    COPIED = "copied"
    NO_RUN = "no-run"
    BUSY = "busy"
    NO_ROOM = "no-room"
    FAILED = "failed"


class FreeState(enum.StrEnum):
    """How a call to free a copy ended.

    An engine that does not know a copy, as after a restart, does not keep it.
    """

    FREED = "freed"
    UNKNOWN = "unknown"
    FAILED = "failed"


@attrs.frozen
class MoveResult:
    """The answer to a call that copies a run's memory.

    Attributes:
        state: How the call ended.
        handle: The copy's name at the source; empty if there is none.
        events: Events that the run had made.
    """

    state: MoveState
    handle: str = ""
    events: int = 0


@attrs.frozen
class EngineReport:
    """What an engine says of itself; some hundred ms old.

    Attributes:
        leaves_ms: When it ends, if it knows; else None.
        is_leaving: Whether it takes no new work.
    """

    leaves_ms: int | None
    is_leaving: bool


class EngineCalls(Protocol):
    """Calls to engines beside the requests of callers."""

    async def move(
        self, address: str, request_id: str, to: str, is_last: bool
    ) -> MoveResult:
        """Copies a run's memory to the engine at `to`.

        With `is_last` the run stops first. Never raises for a failed call.
        """
        ...

    async def free_copy(self, address: str, handle: str) -> FreeState:
        """Frees a copy at its source, and so at both ends, or where it is.

        Never raises for a failed call.
        """
        ...

    async def report(self, address: str) -> EngineReport:
        """Returns what an engine says of itself.

        Raises:
            EndpointError: It gave no answer that can be read.
        """
        ...


class Platform(Protocol):
    """One platform's names and formats; it decides nothing."""

    config_key: str
    endpoint_prefix: str
    member_prefix: str

    def decode_call(
        self, method: str, target: bytes, headers: Headers
    ) -> CallHead:
        """Reads the head of a caller's request.

        Raises:
            BadCallError: It is not a request that can be served.
        """
        ...

    def endpoint_headers(
        self, call: CallHead, options: SendOptions, body_bytes: int
    ) -> Headers:
        """Returns the headers of a send to an endpoint."""
        ...

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Reads the head of an endpoint's answer."""
        ...

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Tells whether an answer belongs to a request."""
        ...

    def refusal_headers(
        self, request_id: str, retry_after_ms: int | None
    ) -> Headers:
        """Returns the headers of an answer of our own."""
        ...

    def event_id(self, event: bytes) -> str | None:
        """Returns the id of a stream's event, or None."""
        ...

    def decode_config(self, data: bytes) -> RoutingTable:
        """Reads a version of the configuration.

        Raises:
            PlatformFormatError: It can't be read.
        """
        ...

    def decode_endpoint(self, endpoint_id: str, data: bytes) -> Endpoint:
        """Reads an endpoint's registration.

        Raises:
            PlatformFormatError: It can't be read.
        """
        ...

    def directory_name(self, target: bytes) -> str | None:
        """Returns the host that a caller looks up; None for other calls."""
        ...

    def directory_answer(self, addresses: list[str], ttl_ms: int) -> bytes:
        """Returns the body of an answer to a lookup."""
        ...

    def is_readiness(self, target: bytes) -> bool:
        """Tells whether a request asks if the process is ready."""
        ...


# Builds a platform's adapter without arguments.
PLATFORMS: Registry[type[Platform]] = Registry("platform")
