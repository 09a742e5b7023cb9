"""Formats failures as HTTP problem details (RFC 9457) with the verdict."""

import orjson

from rhubarbwinch.shared.verdict import Failure, Reason

TYPE_PREFIX = "urn:rhubarbwinch:problem:"
VERDICT_HEADER = b"x-verdict"
CONTENT_TYPE = b"application/problem+json"

STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.TOO_SLOW: 408,
    Reason.RATE_LIMITED: 429,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE: 429,
    Reason.NO_ENDPOINT: 503,
    Reason.DRAINING: 503,
    Reason.QUARANTINED: 422,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.BROKER_UNAVAILABLE: 503,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_EXPIRED: 400,
    Reason.KEY_MISMATCH: 422,
    Reason.IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.OUTCOME_NOT_KEPT: 409,
    Reason.ENDPOINT_FAILED: 502,
    Reason.STREAM_BROKEN: 502,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}


def body(failure: Failure) -> bytes:
    """Returns the problem object; OpenAI clients read its `error` member."""
    return orjson.dumps(
        {
            "type": TYPE_PREFIX + failure.reason,
            "title": failure.reason.replace("-", " "),
            "status": STATUS[failure.reason],
            "detail": failure.detail,
            "verdict": failure.verdict,
            "error": {
                "message": failure.detail,
                "type": failure.reason,
                "code": failure.reason,
            },
        }
    )


def headers(failure: Failure) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a problem response."""
    response_headers = [
        (b"content-type", CONTENT_TYPE),
        (VERDICT_HEADER, failure.verdict.encode()),
    ]
    if failure.retry_after_ms is not None:
        seconds = max(1, -(-failure.retry_after_ms // 1000))
        response_headers.append((b"retry-after", str(seconds).encode()))
    return response_headers
