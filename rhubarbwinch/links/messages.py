"""The messages between the processes, as attrs classes."""

import enum

import attrs

from rhubarbwinch.shared.verdict import Failure


class StreamEnd(enum.StrEnum):
    """How a permit's request ended."""

    FINISHED = "finished"
    UNUSED = "unused"
    CANCELLED = "cancelled"
    FAILED = "failed"
    ENDPOINT_LOST = "endpoint-lost"


@attrs.frozen
class PermitRequest:
    """An entry asks a pool's owner for a place at an endpoint.

    Attributes:
        request_id: The generation id; never used again.
        entry: The member name of the entry that asks.
        pool: `target/data-centre`; the target is a model or plain service.
        account: The client account.
        service: The service that the request came in by.
        interactive: Whether a person waits for the first token.
        prompt_tokens: The estimated length of the prompt.
        max_tokens: The caller's bound on the output; 0 for plain services.
        prefix: Hashes of the prompt's leading blocks, longest last.
        fingerprint: Digest of account and content, for quarantine.
        repeatable: Whether the request may run more than once.
        wait_ms: How long the request may wait in the queue.
        avoid: Endpoint names that just failed this request.
        traceparent: The span that asks (W3C), or empty.
    """

    request_id: str
    entry: str
    pool: str
    account: str
    service: str
    interactive: bool = True
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: list[int] = attrs.field(factory=list)
    fingerprint: str = ""
    repeatable: bool = True
    wait_ms: int = 0
    avoid: list[str] = attrs.field(factory=list)
    traceparent: str = ""


@attrs.frozen
class PermitGrant:
    """A place at an endpoint.

    Attributes:
        request_id: The request that it is for.
        endpoint: The endpoint's name.
        address: The endpoint's `a.b.c.d:port`.
        priority: The engine priority; a lower number goes first.
    """

    request_id: str
    endpoint: str
    address: str
    priority: int = 0


@attrs.frozen
class PermitReply:
    """The answer to a permit request: one of the two is set."""

    grant: PermitGrant | None = None
    failure: Failure | None = None


@attrs.frozen
class PermitRelease:
    """An entry gives a permit back.

    Attributes:
        request_id: The request whose permit it was.
        pool: The permit's pool.
        end: How the request ended.
        tokens: The tokens generated.
    """

    request_id: str
    pool: str
    end: StreamEnd
    tokens: int = 0


@attrs.frozen
class StreamProgress:
    """An open stream; also rebuilds the view of a pool's new owner.

    Attributes:
        request: The request as it was made.
        endpoint: The endpoint that it runs on.
        tokens: The tokens passed on so far.
    """

    request: PermitRequest
    endpoint: str
    tokens: int


@attrs.frozen
class ProgressReport:
    """An entry tells a pool's owner of all its open streams in the pool."""

    entry: str
    pool: str
    streams: list[StreamProgress]


@attrs.frozen
class StreamGrowth:
    """How far an open stream has come.

    Attributes:
        key: `request_key` of its request id.
        tokens: The tokens passed on so far.
    """

    key: int
    tokens: int


@attrs.frozen
class DigestReport:
    """An entry's open streams in a pool, in a few bytes.

    Attributes:
        entry: The member name of the entry.
        pool: The pool.
        count: How many streams are open.
        digest: The exclusive or of their keys.
        grown: Streams that have grown much since they were last told.
    """

    entry: str
    pool: str
    count: int
    digest: int
    grown: list[StreamGrowth] = attrs.field(factory=list)


@attrs.frozen
class DigestReply:
    """A pool's owner tells whether it needs a `ProgressReport`."""

    wants_all: bool = False


@attrs.frozen
class PriorityChange:
    """A broker asks an entry to change a running stream's priority."""

    request_id: str
    endpoint: str
    priority: int


@attrs.frozen
class StreamTake:
    """An entry asks the entry that made a stream to leave the stream to it.

    Attributes:
        generation: The generation id.
    """

    generation: str


@attrs.frozen
class StreamTaken:
    """The answer to `StreamTake`.

    Attributes:
        request: The permit request of the stream; None if it is not held.
        endpoint: The endpoint that the stream runs on.
    """

    request: PermitRequest | None = None
    endpoint: str = ""


@attrs.frozen
class Ack:
    """An empty answer."""


@attrs.frozen
class ClaimQuestion:
    """Asks a claim's owner whether it can still send.

    Attributes:
        token: The claim's token.
        incarnation: The owner's incarnation in the claim.
    """

    token: str
    incarnation: int


@attrs.frozen
class ClaimAnswer:
    """The owner's answer.

    Attributes:
        unsent: The owner never sent under the token and never will.
    """

    unsent: bool
