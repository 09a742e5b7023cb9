"""How often requests are sent again, within a budget of all gateways.

Pure code. It answers a service that begins to fail: sends beyond the first
would multiply its load. Each gateway uses its share of what the platform
allows, so no agreement is needed, and none is exceeded when a gateway that is
lost comes back.
"""

from collections import deque

# The part of the allowance that is used: windows of the platform slide
# otherwise than ours.
USED_PART = 0.8


class RetryBudget:
    """Counts requests and further sends of each service.

    Args:
        ratio: Further sends that each request allows.
        window_ms: The window in which they are counted.
        extra: Further sends allowed in a window, over all gateways.
    """

    def __init__(self, ratio: float, window_ms: int, extra: int) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra = extra
        self._requests: dict[str, deque[int]] = {}
        self._sends: dict[str, deque[int]] = {}

    def change(self, ratio: float, window_ms: int, extra: int) -> None:
        """Changes the budget; what was counted stays."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._extra = extra

    def add_request(self, service: str, now_ms: int) -> None:
        """Counts a request of a caller."""
        self._requests.setdefault(service, deque()).append(now_ms)
        self._fade(self._requests[service], now_ms)

    def take(self, service: str, gateways: int, now_ms: int) -> bool:
        """Takes a further send; False when the budget is spent.

        Args:
            service: The service that gets it.
            gateways: How many gateways share the budget.
            now_ms: The time.
        """
        requests = self._requests.get(service, deque())
        sends = self._sends.setdefault(service, deque())
        self._fade(requests, now_ms)
        self._fade(sends, now_ms)
        allowed = self._ratio * len(requests) + self._extra / max(1, gateways)
        if len(sends) + 1 > USED_PART * allowed:
            return False
        sends.append(now_ms)
        return True

    def _fade(self, times: deque[int], now_ms: int) -> None:
        while times and now_ms - times[0] > self._window_ms:
            times.popleft()
