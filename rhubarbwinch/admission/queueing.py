"""Queues the requests of one class, with deadlines and expected waits."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from rhubarbwinch.admission.fairness import FairQueue, Queued
from rhubarbwinch.admission.waits import ServiceRate
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.clock import Clock

# The most accounts considered in one pass. The first accounts may be at their
# limits, so that a later account's request is granted.
MAX_HEADS = 64
OVERDUE_SHARE = 0.5


class Lane:
    """The queue of interactive requests or of background requests.

    Args:
        clock: The source of time.
        weight_of: Returns an account's weight.

    Attributes:
        is_blocked: Whether the first request fitted on no endpoint and
            nothing has changed since.
        service: The rate at which the class's requests are served.
    """

    def __init__(self, clock: Clock, weight_of: Callable[[str], float]) -> None:
        self.is_blocked = False
        self._clock = clock
        self._queue = FairQueue(weight_of)
        self._deadlines: list[tuple[int, int, Queued]] = []
        self._order = itertools.count()
        self.service = ServiceRate(clock)

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, key: str, request: PermitRequest, tokens: int) -> None:
        """Adds a request of `tokens` expected prompt and output tokens."""
        now = self._clock.now()
        item = Queued(request, tokens, now, now + request.wait_ms)
        if len(self._queue) == 0:
            self.is_blocked = False
            self.service.starts.note_idle()
        self._queue.push(key, item)
        entry = (item.until_ms, next(self._order), item)
        heapq.heappush(self._deadlines, entry)

    def heads(self) -> Iterator[Queued]:
        """Yields the requests that may be granted next."""
        return self._queue.heads(MAX_HEADS)

    def start(self, key: str, item: Queued) -> None:
        """Removes a request that starts and charges its account."""
        self._queue.start(key, item)

    def remove(self, key: str, item: Queued) -> None:
        """Removes a request that was refused."""
        self._queue.remove(key, item)

    def correct(self, key: str, tokens: int) -> None:
        """Corrects an account's charge for a request that ended."""
        self._queue.charge(key, tokens)

    def wait_ms(self, key: str) -> float:
        """Returns the expected wait of a new request, in ms."""
        if len(self._queue) == 0:
            return 0.0
        return self.service.wait_ms(self._queue.ahead(key))

    def is_overdue(self) -> bool:
        """Returns whether the next to expire has waited over half its limit."""
        item = self._first_deadline()
        if item is None:
            return False
        waited = self._clock.now() - item.since_ms
        return waited > OVERDUE_SHARE * (item.until_ms - item.since_ms)

    def take_expired(self) -> list[Queued]:
        """Returns the requests whose deadline has passed."""
        expired = []
        now = self._clock.now()
        item = self._first_deadline()
        while item is not None and item.until_ms <= now:
            heapq.heappop(self._deadlines)
            expired.append(item)
            item = self._first_deadline()
        return expired

    def _first_deadline(self) -> Queued | None:
        while self._deadlines and self._deadlines[0][2].is_gone:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][2] if self._deadlines else None
