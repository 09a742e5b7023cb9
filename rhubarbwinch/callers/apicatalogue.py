"""The HTTP interface as a catalogue; docs/http.md is made from it."""

import attrs

from rhubarbwinch.shared.verdict import Reason


@attrs.frozen
class Operation:
    """A request that an entry answers.

    Attributes:
        method: The HTTP method; `ANY` for all.
        path: The path.
        meaning: One sentence.
    """

    method: str
    path: str
    meaning: str


@attrs.frozen
class Header:
    """A header with a meaning of its own here.

    Attributes:
        name: The header's name.
        sender: `caller` or `entry`.
        meaning: One sentence.
    """

    name: str
    sender: str
    meaning: str


OPERATIONS = (
    Operation(
        "POST",
        "/v1/completions",
        "Generates text in OpenAI's form, whole or as server-sent events.",
    ),
    Operation(
        "POST",
        "/v1/chat/completions",
        "Generates a chat answer, whole or as server-sent events.",
    ),
    Operation(
        "GET", "/v1/models", "Lists the account's services that generate."
    ),
    Operation(
        "GET",
        "/v1/entries",
        "Lists the entries to use, best first, with a time to live in ms.",
    ),
    Operation(
        "ANY",
        "/services/<service>/<path>",
        "Calls a plain service; method, path, query and body are passed on.",
    ),
    Operation(
        "GET", "/healthz", "Liveness: 200 while the program runs. No key."
    ),
    Operation(
        "GET",
        "/readyz",
        "Readiness: 200 with a configuration, else 503; 503 when draining.",
    ),
)

HEADERS = (
    Header(
        "Authorization", "caller", "`Bearer <account>.<secret>`: the API key."
    ),
    Header(
        "Idempotency-Key",
        "caller",
        "A UUID of version 7 that is new for each action; required where the "
        "service's record says that a call is not repeatable.",
    ),
    Header(
        "Last-Event-ID",
        "caller",
        "The last `id:` that came; the stream goes on after it, at any entry.",
    ),
    Header(
        "traceparent",
        "caller",
        "The W3C trace context; passed on to the endpoint.",
    ),
    Header(
        "X-Verdict",
        "entry",
        "With each failure: `not-run`, `ran` or `may-have-run`.",
    ),
    Header("Retry-After", "entry", "Seconds after which to try again."),
)

PROBLEMS = {
    Reason.BAD_REQUEST: "The request is malformed; the detail says where.",
    Reason.UNAUTHENTICATED: "The API key is missing or unknown.",
    Reason.FORBIDDEN: "The account may not use this.",
    Reason.NOT_FOUND: "There is no such path, model or service.",
    Reason.TOO_LARGE: "The body is over the limit.",
    Reason.TOO_SLOW: "The body took too long to arrive.",
    Reason.RATE_LIMITED: "The account is over its rate or room.",
    Reason.QUEUE_FULL: "Too many requests wait.",
    Reason.DEADLINE: "No place came free within the service's wait.",
    Reason.NO_ENDPOINT: "No endpoint can take the request.",
    Reason.DRAINING: "This entry is leaving; the detail names others.",
    Reason.QUARANTINED: "The request has crashed endpoints; don't repeat it.",
    Reason.STORE_UNAVAILABLE: "The key could not be claimed: the store fails.",
    Reason.BROKER_UNAVAILABLE: "No broker answered.",
    Reason.KEY_REQUIRED: "This call needs an Idempotency-Key.",
    Reason.KEY_EXPIRED: "The key is older than the service's retention.",
    Reason.KEY_MISMATCH: "The key was used for another request.",
    Reason.IN_PROGRESS: "The call with this key is still running.",
    Reason.OUTCOME_UNKNOWN: "The call with this key may have run.",
    Reason.OUTCOME_NOT_KEPT: "The call ran; its answer was too large to keep.",
    Reason.ENDPOINT_FAILED: "The endpoint failed the call.",
    Reason.STREAM_BROKEN: "The stream can't be had to its end.",
    Reason.CANCELLED: "The caller went away.",
    Reason.INTERNAL: "A fault of the program.",
}
