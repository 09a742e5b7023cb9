"""What callers were told and what endpoints ran: all that the checker reads."""

import enum

import attrs


class Kind(enum.StrEnum):
    """What a caller asks for."""

    STREAM = "stream"
    WHOLE = "whole"
    BOOKING = "booking"
    LOOKUP = "lookup"


class End(enum.StrEnum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"


@attrs.define
class Attempt:
    """One attempt of a caller at one entry.

    Attributes:
        request: The number of the request; its attempts share it.
        kind: What was asked for.
        marker: Stands in the body, so that endpoints' logs name the attempt.
        key: The idempotency key, or empty.
        entry: The entry that was asked.
        end: How it ended; None while it runs.
        status: The HTTP status, 0 if none came.
        verdict: The verdict that was told, or empty.
        events: The raw events of a stream, in the order they came.
        body: The body of an answer that is not a stream.
    """

    request: int
    kind: Kind
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
    """Something that an endpoint ran.

    Attributes:
        endpoint: The endpoint's name.
        marker: Of the attempt that it came from.
        key: The idempotency key, or empty.
        number: The call's number at its endpoint, or the tokens to generate.
        generation: The generation id, or empty.
    """

    endpoint: str
    marker: str
    key: str
    number: int
    generation: str = ""


@attrs.define
class Journal:
    """The whole log of a run, and the faults for whoever reads it."""

    attempts: list[Attempt] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
