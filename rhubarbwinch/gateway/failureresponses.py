"""Responses of the gateway itself: refusals and failures."""

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.platforminterface import Platform
from rhubarbwinch.shared import events
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict

# Statuses by reason, where they differ from the status of the verdict.
_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NOT_FOUND: 404,
}
_STATUS_NOT_RUN = 503
_STATUS_TIMEOUT = 504
_STATUS_FAILED = 502


def http_status(failure: Failure) -> int:
    """Returns the HTTP status of a failure.

    To callers 503 means that the request has not run and will not run, so it
    is used only with that verdict.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return _STATUS.get(failure.reason, _STATUS_NOT_RUN)
    if failure.reason is Reason.DEADLINE:
        return _STATUS_TIMEOUT
    return _STATUS_FAILED


async def send_failure(
    platform: Platform,
    responder: EdgeResponder,
    request_id: str,
    failure: Failure,
) -> None:
    """Logs a failure and sends it as the response."""
    status = http_status(failure)
    events.REQUEST_FAILED.log(
        request=request_id,
        verdict=failure.verdict,
        reason=failure.reason,
        detail=failure.detail,
        status=status,
        retry_after_ms=failure.retry_after_ms,
    )
    gatewaymetrics.REQUESTS.labels("-", failure.reason).inc()
    retry_hint_ms = (
        failure.retry_after_ms if status == _STATUS_NOT_RUN else None
    )
    await responder.send(
        status,
        platform.failure_headers(request_id, retry_hint_ms),
        failure.detail.encode(),
    )
