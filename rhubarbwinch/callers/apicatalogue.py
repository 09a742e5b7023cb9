"""Catalogue of the HTTP interface, from which docs/http.md is generated."""

import attrs

from rhubarbwinch.shared.verdict import Reason


@attrs.frozen
class Operation:
    """A request that an entry serves.

    Attributes:
        method: The HTTP method; `ANY` stands for all methods.
        path: The path, with parameters in angle brackets.
        meaning: What the operation does, in one sentence.
    """

    method: str
    path: str
    meaning: str


@attrs.frozen
class Header:
    """A request or response header that the interface defines or uses.

    Attributes:
        name: The header's name.
        sender: Who sends the header: `caller` or `entry`.
        meaning: What the header says, in one sentence.
    """

    name: str
    sender: str
    meaning: str


OPERATIONS = (
    Operation(
        "POST",
        "/v1/completions",
        "Generates text by OpenAI's completions API, as one JSON response or "
        "as server-sent events.",
    ),
    Operation(
        "POST",
        "/v1/chat/completions",
        "Generates a chat message by OpenAI's chat API, as one JSON response "
        "or as server-sent events.",
    ),
    Operation("GET", "/v1/models", "Lists the account's generation services."),
    Operation(
        "GET",
        "/v1/entries",
        "Lists the entries to use, preferred first, and for how many ms the "
        "list is valid.",
    ),
    Operation(
        "ANY",
        "/services/<service>/<path>",
        "Calls a plain service; method, path, query and body are forwarded to "
        "its endpoint.",
    ),
    Operation(
        "GET",
        "/healthz",
        "Liveness: 200 while the program runs. Needs no API key.",
    ),
    Operation(
        "GET",
        "/readyz",
        "Readiness: 200 once a configuration is active; 503 before that and "
        "while the program is draining.",
    ),
)

HEADERS = (
    Header(
        "Authorization", "caller", "`Bearer <account>.<secret>`: the API key."
    ),
    Header(
        "Idempotency-Key",
        "caller",
        "A version 7 UUID, new for each action; required for the calls that "
        "the service's record lists as not repeatable.",
    ),
    Header(
        "Last-Event-ID",
        "caller",
        "The last `id:` that the caller received; any entry resumes the stream "
        "after that event.",
    ),
    Header(
        "traceparent",
        "caller",
        "The W3C trace context; propagated to the endpoint.",
    ),
    Header(
        "X-Verdict",
        "entry",
        "Sent with each failure: `not-run`, `ran` or `may-have-run`.",
    ),
    Header("Retry-After", "entry", "Seconds to wait before a retry."),
)

PROBLEMS = {
    Reason.BAD_REQUEST: "The request is malformed; `detail` says where.",
    Reason.UNAUTHENTICATED: "The API key is missing or unknown.",
    Reason.FORBIDDEN: "The account may not use this service or stream.",
    Reason.NOT_FOUND: "There is no such path, model or service.",
    Reason.TOO_LARGE: "The body exceeds the size limit.",
    Reason.TOO_SLOW: "The body took too long to arrive.",
    Reason.RATE_LIMITED: (
        "The account exceeds its request rate or the limits of its `room`."
    ),
    Reason.QUEUE_FULL: "The queue of waiting requests is full.",
    Reason.DEADLINE: "No capacity became free within the service's wait time.",
    Reason.NO_ENDPOINT: "No endpoint is available for the request.",
    Reason.DRAINING: "This entry is shutting down; `detail` names others.",
    Reason.QUARANTINED: "The request has crashed endpoints; don't repeat it.",
    Reason.STORE_UNAVAILABLE: (
        "The key could not be claimed: the store is unavailable."
    ),
    Reason.BROKER_UNAVAILABLE: "No broker replied.",
    Reason.KEY_REQUIRED: "This call needs an Idempotency-Key.",
    Reason.KEY_EXPIRED: "The key is older than the service's retention.",
    Reason.KEY_MISMATCH: "The key was used for another request.",
    Reason.IN_PROGRESS: "The call with this key is still running.",
    Reason.OUTCOME_UNKNOWN: "The call with this key may have run.",
    Reason.OUTCOME_NOT_KEPT: (
        "The call ran; its response was too large to store."
    ),
    Reason.ENDPOINT_FAILED: "The endpoint failed the call.",
    Reason.STREAM_BROKEN: "The stream can't be completed.",
    Reason.CANCELLED: "The caller closed its connection.",
    Reason.INTERNAL: "An internal error of the program.",
}
