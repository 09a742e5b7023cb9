"""The waiting requests of one class: order, deadlines, expected wait."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from rhubarbwinch.admission.fairness import FairQueue, Queued
from rhubarbwinch.admission.waits import ServiceRate
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.clock import Clock

# Accounts that are looked at when others are at their limits.
MAX_HEADS = 64
OVERDUE_SHARE = 0.5


class Lane:
    """A queue for interactive work, or for work that can wait.

    Args:
        clock: The source of time.
        weight_of: Returns an account's weight.

    Attributes:
        is_blocked: Whether the first request found no place and nothing has
            changed since.
        service: What the class's running requests get done.
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
        """Adds a request that is expected to take `tokens`."""
        now = self._clock.now()
        item = Queued(request, tokens, now, now + request.wait_ms)
        if len(self._queue) == 0:
            self.is_blocked = False
            self.service.starts.note_idle()
        self._queue.push(key, item)
        entry = (item.until_ms, next(self._order), item)
        heapq.heappush(self._deadlines, entry)

    def heads(self) -> Iterator[Queued]:
        """Yields the requests that may be next."""
        return self._queue.heads(MAX_HEADS)

    def start(self, key: str, item: Queued) -> None:
        """Takes out a request that starts."""
        self._queue.start(key, item)

    def remove(self, key: str, item: Queued) -> None:
        """Takes out a request that was refused."""
        self._queue.remove(key, item)

    def correct(self, key: str, tokens: int) -> None:
        """Corrects what an account was charged for a request that ended."""
        self._queue.charge(key, tokens)

    def wait_ms(self, key: str) -> float:
        """Returns the expected wait of a new request."""
        if len(self._queue) == 0:
            return 0.0
        return self.service.wait_ms(self._queue.ahead(key))

    def is_overdue(self) -> bool:
        """Tells whether a request has used up half of its longest wait."""
        item = self._first_deadline()
        if item is None:
            return False
        waited = self._clock.now() - item.since_ms
        return waited > OVERDUE_SHARE * (item.until_ms - item.since_ms)

    def take_expired(self) -> list[Queued]:
        """Returns the requests whose wait has ended."""
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
