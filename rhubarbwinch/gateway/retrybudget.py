"""Limits retries to a budget that all gateways share.

Pure code. It protects a service that begins to fail, whose load retries would
multiply. Each gateway uses its own share of the platform's allowance, so the
gateways need no coordination, and the allowance is not exceeded when a lost
gateway returns.
"""

from collections import deque

# Share of the allowance that is used. The rest is a margin, since the
# platform's windows slide differently from ours.
USED_SHARE = 0.8


class RetryBudget:
    """Counts the requests and retries of each service.

    Args:
        ratio: Retries allowed per request.
        window_ms: The sliding window in which both are counted.
        extra: Retries allowed per window beyond the ratio, over all gateways.
    """

    def __init__(self, ratio: float, window_ms: int, extra: int) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra = extra
        self._requests: dict[str, deque[int]] = {}
        self._retries: dict[str, deque[int]] = {}

    def configure(self, ratio: float, window_ms: int, extra: int) -> None:
        """Changes the parameters; the counts are kept."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra = extra

    def add_request(self, service: str, now_ms: int) -> None:
        """Counts a caller's request."""
        self._requests.setdefault(service, deque()).append(now_ms)
        self._drop_expired(self._requests[service], now_ms)

    def try_acquire(self, service: str, gateways: int, now_ms: int) -> bool:
        """Takes a retry from the budget; returns False if the budget is spent.

        Args:
            service: The service to be called again.
            gateways: The number of gateways that share the budget.
            now_ms: The current time.
        """
        requests = self._requests.get(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._drop_expired(requests, now_ms)
        self._drop_expired(retries, now_ms)
        allowed = self._ratio * len(requests) + self._extra / max(1, gateways)
        if len(retries) + 1 > USED_SHARE * allowed:
            return False
        retries.append(now_ms)
        return True

    def _drop_expired(self, times: deque[int], now_ms: int) -> None:
        while times and now_ms - times[0] > self._window_ms:
            times.popleft()
