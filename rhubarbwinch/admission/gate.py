"""Refuses requests over account limits or unable to start in time."""

from rhubarbwinch.admission.decisions import Options
from rhubarbwinch.admission.fairness import ShareMeter
from rhubarbwinch.admission.limits import AccountLimits, Limits
from rhubarbwinch.admission.queueing import Lane
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

MAX_QUEUED = 1000
RETRY_AFTER_MS = 1000
# A request is refused if its expected wait exceeds this share of its longest
# wait, because the estimate is uncertain.
WAIT_MARGIN = 0.75


class Gate:
    """Decides which new requests are refused instead of queued.

    Args:
        options: Which checks are enabled.
        limits: The accounts' limits.
        shares: Measures the accounts' recent shares of the pool.
        interactive: The queue of requests that a person waits for.
        patient: The queue of background requests.
    """

    def __init__(
        self,
        options: Options,
        limits: Limits,
        shares: ShareMeter,
        interactive: Lane,
        patient: Lane,
    ) -> None:
        self._options = options
        self._limits = limits
        self._shares = shares
        self._interactive = interactive
        self._patient = patient

    def refusal(self, request: PermitRequest, expected: int) -> Failure | None:
        """Returns why a request is refused, or None to queue it."""
        queued = len(self._interactive) + len(self._patient)
        limits = self._limits.of(request.account)
        limited = self._rate_refusal(request, limits)
        if limited is not None:
            return limited
        if not limits.can_ever_fit(expected):
            detail = "the request is larger than the account's room"
            return not_run(Reason.RATE_LIMITED, detail)
        if queued >= MAX_QUEUED:
            detail = "too many requests wait"
            return not_run(Reason.QUEUE_FULL, detail, RETRY_AFTER_MS)
        if self._options.is_fair and self._crowds_out(request):
            detail = "over the account's share while others wait"
            return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
        return self._late_refusal(request)

    def _rate_refusal(
        self, request: PermitRequest, limits: AccountLimits
    ) -> Failure | None:
        """Refuses a request over the account's retry budget or rate."""
        if self._options.limits_retries:
            if not request.avoid:
                limits.retries.add_attempt()
            elif not limits.retries.take():
                detail = "the account's retry budget is used up"
                return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
        wait_ms = limits.rate.take() if limits.rate is not None else 0
        if wait_ms:
            detail = "the account's rate of requests is used up"
            return not_run(Reason.RATE_LIMITED, detail, wait_ms)
        return None

    def _crowds_out(self, request: PermitRequest) -> bool:
        """Returns whether an interactive request displaces queued work.

        This is so if background requests are queued and the account is far
        over its share.
        """
        return (
            request.interactive
            and len(self._patient) > 0
            and self._shares.is_over(request.account)
        )

    def _late_refusal(self, request: PermitRequest) -> Failure | None:
        """Refuses a request that is unlikely to start in time."""
        if not self._options.refuses_early:
            return None
        is_urgent = request.interactive
        lane = self._interactive if is_urgent else self._patient
        wait_ms = lane.wait_ms(self._options.share_key(request))
        if wait_ms <= WAIT_MARGIN * request.wait_ms:
            return None
        after = max(
            RETRY_AFTER_MS, int(wait_ms - WAIT_MARGIN * request.wait_ms)
        )
        detail = f"no place within {request.wait_ms} ms"
        return not_run(Reason.DEADLINE, detail, after)
