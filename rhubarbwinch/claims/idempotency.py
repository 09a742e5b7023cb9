"""Decides which requests run at most once and replays recorded outcomes."""

from rhubarbwinch.claims import claimkeys
from rhubarbwinch.claims.claimkeys import ClaimKey
from rhubarbwinch.claims.claimpages import Outcome
from rhubarbwinch.http.httpapi import Refused, Request, Responder
from rhubarbwinch.records.records import ServiceSpec
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

REPLAYED_HEADER = (b"idempotency-replayed", b"true")


def is_repeatable(service: ServiceSpec, method: str, path: str) -> bool:
    """Returns whether a call may run more than once.

    An operation that ends in `*` matches all paths with that prefix.
    """
    called = f"{method} {path}"
    for operation in service.not_repeatable:
        if operation == called:
            return False
        if operation.endswith("*") and called.startswith(operation[:-1]):
            return False
    return True


def claim_key(
    account: str, name: str, service: ServiceSpec, request: Request, path: str
) -> ClaimKey | None:
    """Returns the key under which a request runs at most once, or None.

    A request runs at most once if the service's record demands it or the
    caller sends an idempotency key. Otherwise the result is None.

    Raises:
        Refused: The key is missing or not a UUIDv7.
    """
    text = request.headers.get(claimkeys.HEADER)
    if text is None:
        if is_repeatable(service, request.method, path):
            return None
        detail = "this call needs an Idempotency-Key, a UUIDv7"
        raise Refused(not_run(Reason.KEY_REQUIRED, detail))
    parsed = claimkeys.parse_uuid7(text)
    if parsed is None:
        detail = "the Idempotency-Key has to be a UUIDv7 (RFC 9562)"
        raise Refused(not_run(Reason.KEY_REQUIRED, detail))
    digest = claimkeys.content_digest(
        request.method, path, request.query, request.body
    )
    return ClaimKey(account, name, parsed, digest, service.retention_ms)


async def send_recorded_outcome(outcome: Outcome, responder: Responder) -> None:
    """Sends the recorded response of a call again.

    Raises:
        Refused: The call ran, but its response was too long to be kept.
    """
    if not outcome.kept:
        detail = (
            f"the call ran and was answered with status {outcome.status}, "
            f"body sha256 {outcome.digest}; the body was too long to be kept"
        )
        raise Refused(Failure(Verdict.RAN, Reason.OUTCOME_NOT_KEPT, detail))
    content_type = (b"content-type", outcome.content_type.encode())
    await responder.send_response(
        outcome.status, [content_type, REPLAYED_HEADER], outcome.body
    )
