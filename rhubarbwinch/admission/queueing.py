"""Queues the requests of one class, with deadlines and expected waits."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from rhubarbwinch.admission.fairness import FairQueue, QueuedRequest
from rhubarbwinch.admission.waitestimate import ServiceRate
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.clock import Clock

# The most accounts considered in one pass. The first accounts may be at their
# limits, so that a later account's request is granted.
MAX_ACCOUNTS_PER_PASS = 64
OVERDUE_SHARE = 0.5


class RequestQueue:
    """The queue of interactive requests or of background requests.

    Args:
        clock: The source of time.
        weight_of: Returns an account's weight.

    Attributes:
        is_blocked: Whether the first request fitted on no endpoint and
            nothing has changed since.
        service_rate: The rate at which the class's requests are served.
    """

    def __init__(self, clock: Clock, weight_of: Callable[[str], float]) -> None:
        self.is_blocked = False
        self._clock = clock
        self._fair_queue = FairQueue(weight_of)
        self._deadlines: list[tuple[int, int, QueuedRequest]] = []
        self._sequence = itertools.count()
        self.service_rate = ServiceRate(clock)

    def __len__(self) -> int:
        return len(self._fair_queue)

    def push(self, key: str, request: PermitRequest, tokens: int) -> None:
        """Adds a request of `tokens` expected prompt and output tokens."""
        now = self._clock.now()
        item = QueuedRequest(request, tokens, now, now + request.wait_ms)
        if len(self._fair_queue) == 0:
            self.is_blocked = False
            self.service_rate.starts.record_empty()
        self._fair_queue.push(key, item)
        heap_item = (item.deadline_ms, next(self._sequence), item)
        heapq.heappush(self._deadlines, heap_item)

    def heads(self) -> Iterator[QueuedRequest]:
        """Yields the requests that may be granted next."""
        return self._fair_queue.heads(MAX_ACCOUNTS_PER_PASS)

    def start(self, key: str, item: QueuedRequest) -> None:
        """Removes a request that starts and charges its account."""
        self._fair_queue.start(key, item)

    def remove(self, key: str, item: QueuedRequest) -> None:
        """Removes a request that was refused."""
        self._fair_queue.remove(key, item)

    def adjust_charge(self, key: str, tokens: int) -> None:
        """Corrects an account's charge for a request that ended."""
        self._fair_queue.charge(key, tokens)

    def wait_ms(self, key: str) -> float:
        """Returns the expected wait of a new request, in ms."""
        if len(self._fair_queue) == 0:
            return 0.0
        return self.service_rate.wait_ms(self._fair_queue.tokens_ahead(key))

    def is_overdue(self) -> bool:
        """Returns whether the next to expire has waited over half its limit."""
        item = self._next_to_expire()
        if item is None:
            return False
        waited = self._clock.now() - item.queued_ms
        return waited > OVERDUE_SHARE * (item.deadline_ms - item.queued_ms)

    def pop_expired(self) -> list[QueuedRequest]:
        """Returns the requests whose deadline has passed."""
        expired = []
        now = self._clock.now()
        item = self._next_to_expire()
        while item is not None and item.deadline_ms <= now:
            heapq.heappop(self._deadlines)
            expired.append(item)
            item = self._next_to_expire()
        return expired

    def _next_to_expire(self) -> QueuedRequest | None:
        while self._deadlines and self._deadlines[0][2].is_removed:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][2] if self._deadlines else None
