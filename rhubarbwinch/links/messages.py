"""The messages between processes, as attrs classes."""

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
    """An entry's request to a pool's owner for a permit.

    Attributes:
        request_id: The generation id; never reused.
        entry: The member name of the requesting entry.
        pool: `target/data-centre`; the target is a model or plain service.
        account: The client account.
        service: The service that the caller used.
        interactive: Whether a person waits for the first token.
        prompt_tokens: The estimated length of the prompt.
        max_tokens: The caller's limit on the output; 0 for plain services.
        prefix: Hashes of the prompt's leading blocks, longest last.
        fingerprint: A digest of account and content, for quarantine.
        repeatable: Whether the request may run more than once.
        wait_ms: How long the request may wait in the queue.
        avoid: Names of endpoints that have just failed this request.
        traceparent: The span of the request (W3C Trace Context), or empty.
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
    """A permit: the right to run one request at an endpoint.

    Attributes:
        request_id: The request that the permit is for.
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
    """The reply to a permit request: one of the two fields is set."""

    grant: PermitGrant | None = None
    failure: Failure | None = None


@attrs.frozen
class PermitRelease:
    """An entry's release of a permit.

    Attributes:
        request_id: The request that the permit was for.
        pool: The permit's pool.
        end: How the request ended.
        tokens: The number of generated tokens.
    """

    request_id: str
    pool: str
    end: StreamEnd
    tokens: int = 0


@attrs.frozen
class StreamProgress:
    """The progress of an open stream.

    A pool's new owner rebuilds its state from these too.

    Attributes:
        request: The original permit request.
        endpoint: The endpoint that the request runs on.
        tokens: The number of tokens relayed so far.
    """

    request: PermitRequest
    endpoint: str
    tokens: int


@attrs.frozen
class ProgressReport:
    """An entry's report of its open streams in a pool to the pool's owner."""

    entry: str
    pool: str
    streams: list[StreamProgress]


@attrs.frozen
class StreamGrowth:
    """The number of tokens of an open stream.

    Attributes:
        key: The `request_key` of its request id.
        tokens: The number of tokens relayed so far.
    """

    key: int
    tokens: int


@attrs.frozen
class DigestReport:
    """A digest of an entry's open streams in a pool, in a few bytes.

    Attributes:
        entry: The member name of the entry.
        pool: The pool.
        count: The number of open streams.
        digest: The exclusive or of the streams' keys.
        grown: Streams that have grown much since their last report.
    """

    entry: str
    pool: str
    count: int
    digest: int
    grown: list[StreamGrowth] = attrs.field(factory=list)


@attrs.frozen
class DigestReply:
    """The reply of a pool's owner: whether it needs a `ProgressReport`."""

    wants_all: bool = False


@attrs.frozen
class PriorityChange:
    """A broker's request to an entry to change a stream's priority."""

    request_id: str
    endpoint: str
    priority: int


@attrs.frozen
class StreamTake:
    """An entry's request to take over a stream from the entry that started it.

    Attributes:
        generation: The generation id.
    """

    generation: str


@attrs.frozen
class StreamTaken:
    """The reply to `StreamTake`.

    Attributes:
        request: The permit request of the stream; None if the entry does not
            have the stream.
        endpoint: The endpoint that the stream runs on.
    """

    request: PermitRequest | None = None
    endpoint: str = ""


@attrs.frozen
class Ack:
    """An empty reply."""


@attrs.frozen
class ClaimQuestion:
    """Asks a claim's owner whether it may still send the request.

    Attributes:
        token: The claim's token.
        incarnation: The owner's incarnation in the claim.
    """

    token: str
    incarnation: int


@attrs.frozen
class ClaimAnswer:
    """The reply to `ClaimQuestion`.

    Attributes:
        unsent: Whether the owner has sent nothing under the token and never
            will.
    """

    unsent: bool
