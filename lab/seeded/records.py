"""Records of what callers received and endpoints ran, for the checker."""

import enum

import attrs


class RequestKind(enum.StrEnum):
    """The kind of a caller's request."""

    STREAM = "stream"
    WHOLE = "whole"
    BOOKING = "booking"
    LOOKUP = "lookup"


class End(enum.StrEnum):
    """How an attempt ended, as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"


@attrs.define
class Attempt:
    """One attempt of a caller to send a request to an entry.

    Attributes:
        request: The number of the request, shared by all its attempts.
        kind: The kind of the request.
        marker: A text in the request body that identifies the request in the
            records of endpoints.
        key: The idempotency key, or empty.
        entry: The name of the entry that it was sent to.
        end: How it ended; None while it is open.
        status: The HTTP status of the response; 0 without a response.
        verdict: The verdict in the response, or empty.
        events: The raw events of a stream in the order received.
        body: The body of a response that is not a stream.
    """

    request: int
    kind: RequestKind
    marker: str
    key: str
    entry: str
    end: End | None = None
    status: int = 0
    verdict: str = ""
    events: list[bytes] = attrs.field(factory=list)
    body: bytes = b""


@attrs.frozen
class Run:
    """A generation or a plain call that an endpoint ran.

    Attributes:
        endpoint: The name of the endpoint.
        marker: The marker in the request body.
        key: The idempotency key, or empty.
        number: The number of the call at its endpoint, or the number of tokens
            of the generation.
        generation: The generation id, or empty.
    """

    endpoint: str
    marker: str
    key: str
    number: int
    generation: str = ""


@attrs.define
class RunRecords:
    """All records of a seeded run; the faults are for diagnosis only."""

    attempts: list[Attempt] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
