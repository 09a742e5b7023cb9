"""Refuses requests over account limits or unable to start in time."""

from rhubarbwinch.admission.decisions import AdmissionOptions
from rhubarbwinch.admission.fairness import ShareMeter
from rhubarbwinch.admission.limits import AccountLimits, Limits
from rhubarbwinch.admission.queueing import RequestQueue
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

MAX_QUEUED = 1000
RETRY_AFTER_MS = 1000
# A request is refused if its expected wait exceeds this share of its longest
# wait, because the estimate is uncertain.
WAIT_SAFETY_FACTOR = 0.75


class EarlyRejection:
    """Decides which new requests are refused instead of queued.

    Args:
        options: Which checks are enabled.
        limits: The accounts' limits.
        shares: Measures the accounts' recent shares of the pool.
        interactive: The queue of requests that a person waits for.
        background: The queue of background requests.
    """

    def __init__(
        self,
        options: AdmissionOptions,
        limits: Limits,
        shares: ShareMeter,
        interactive: RequestQueue,
        background: RequestQueue,
    ) -> None:
        self._options = options
        self._limits = limits
        self._shares = shares
        self._interactive = interactive
        self._background = background

    def check(self, request: PermitRequest, expected: int) -> Failure | None:
        """Returns why a request is refused, or None to queue it."""
        queued = len(self._interactive) + len(self._background)
        limits = self._limits.for_account(request.account)
        failure = self._check_rates(request, limits)
        if failure is not None:
            return failure
        if not limits.can_ever_start(expected):
            detail = "the request is larger than the account's room"
            return not_run(Reason.RATE_LIMITED, detail)
        if queued >= MAX_QUEUED:
            detail = "too many requests wait"
            return not_run(Reason.QUEUE_FULL, detail, RETRY_AFTER_MS)
        if self._options.shares_by_weight and self._displaces_background(
            request
        ):
            detail = "over the account's share while others wait"
            return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
        return self._check_deadline(request)

    def _check_rates(
        self, request: PermitRequest, limits: AccountLimits
    ) -> Failure | None:
        """Refuses a request over the account's retry budget or rate."""
        if self._options.has_retry_budget:
            if not request.avoid:
                limits.retry_budget.record_attempt()
            elif not limits.retry_budget.try_acquire():
                detail = "the account's retry budget is used up"
                return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
        wait_ms = (
            limits.rate_limit.try_acquire()
            if limits.rate_limit is not None
            else 0
        )
        if wait_ms:
            detail = "the account's rate of requests is used up"
            return not_run(Reason.RATE_LIMITED, detail, wait_ms)
        return None

    def _displaces_background(self, request: PermitRequest) -> bool:
        """Returns whether an interactive request displaces queued work.

        This is so if background requests are queued and the account is far
        over its share.
        """
        return (
            request.interactive
            and len(self._background) > 0
            and self._shares.is_over_share(request.account)
        )

    def _check_deadline(self, request: PermitRequest) -> Failure | None:
        """Refuses a request that is unlikely to start in time."""
        if not self._options.rejects_early:
            return None
        is_interactive = request.interactive
        queue = self._interactive if is_interactive else self._background
        wait_ms = queue.wait_ms(self._options.share_key(request))
        if wait_ms <= WAIT_SAFETY_FACTOR * request.wait_ms:
            return None
        retry_after_ms = max(
            RETRY_AFTER_MS, int(wait_ms - WAIT_SAFETY_FACTOR * request.wait_ms)
        )
        detail = f"no place within {request.wait_ms} ms"
        return not_run(Reason.DEADLINE, detail, retry_after_ms)
