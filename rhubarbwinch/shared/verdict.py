"""Failures of requests, with the verdict whether the request may have run."""

import enum

import attrs

MAX_DETAIL_CHARS = 300


class Verdict(enum.StrEnum):
    """Whether a failed request ran at an endpoint."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.StrEnum):
    """Why a request failed; the last part of a problem's type URI."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    TOO_SLOW = "request-timeout"
    RATE_LIMITED = "rate-limited"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    STORE_UNAVAILABLE = "store-unavailable"
    BROKER_UNAVAILABLE = "broker-unavailable"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_MISMATCH = "idempotency-key-mismatch"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    OUTCOME_NOT_KEPT = "outcome-not-kept"
    ENDPOINT_FAILED = "endpoint-failed"
    STREAM_BROKEN = "stream-broken"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


def _truncate(detail: str) -> str:
    """Truncates a detail, which may contain long text from a caller."""
    if len(detail) <= MAX_DETAIL_CHARS:
        return detail
    return detail[:MAX_DETAIL_CHARS] + "..."


@attrs.frozen
class Failure:
    """Why a request failed and whether it may have run.

    Attributes:
        verdict: Whether the request may have run.
        reason: The kind of failure.
        detail: What went wrong, in one sentence.
        retry_after_ms: How long to wait before a retry; None if a retry is
            not suggested.
    """

    verdict: Verdict
    reason: Reason
    detail: str = attrs.field(converter=_truncate)
    retry_after_ms: int | None = None


def not_run(
    reason: Reason, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Returns the failure of a request that certainly did not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after_ms)
