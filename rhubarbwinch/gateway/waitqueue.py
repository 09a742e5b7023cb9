"""Queues generations until an engine has capacity for them.

This handles bursts and the loss of engines, when demand exceeds capacity for
some seconds. Requests of higher priority go first, among equals those of client
accounts that use at most their share, then those with the earlier objective. A
request that is not expected to be placed in time is refused at once.
"""

import anyio
import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.shared.clock import Clock

# Share of the time to the objective that may be spent waiting. The rest is for
# the prefill, which takes longest when many wait: then each engine has several
# prompts to read.
MAX_WAIT_SHARE = 0.35
# Weight of the newest value in the moving average of the time between
# admissions.
GAP_AVERAGE_WEIGHT = 0.1
INITIAL_GAP_MS = 50.0
# A request is refused only if its expected wait is clearly over the limit.
WAIT_LIMIT_FACTOR = 2.0
MIN_RETRY_AFTER_MS = 200


@attrs.frozen(order=True)
class Rank:
    """The rank of a request in the queue; the lowest goes first.

    Attributes:
        priority: Its priority, 0 first.
        is_over_share: Whether its client account uses more than its share.
        deadline_ms: The time at which its latency objective ends.
    """

    priority: int
    is_over_share: bool
    deadline_ms: int


@attrs.define(eq=False)
class Waiter:
    """A request that waits.

    Attributes:
        rank: Its rank.
        may_try: Set when the request may try to be placed.
    """

    rank: Rank
    may_try: anyio.Event = attrs.field(factory=anyio.Event)


class WaitQueue:
    """The waiting requests of one service.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiters: list[Waiter] = []
        self._gap_ms = INITIAL_GAP_MS
        self._admitted_ms = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def expected_wait_ms(self, rank: Rank) -> int:
        """Returns how long a new request would wait behind those ahead."""
        ahead = sum(w.rank <= rank for w in self._waiters)
        return int((ahead + 1) * self._gap_ms)

    def exceeds_wait_limit(self, rank: Rank, limit_ms: int) -> bool:
        """Returns whether a new request's wait would exceed the limit."""
        if not self._waiters:
            return False
        wait_ms = self.expected_wait_ms(rank)
        return wait_ms > WAIT_LIMIT_FACTOR * limit_ms

    def retry_after_ms(self, rank: Rank) -> int:
        """Returns after how long a refused request may be retried."""
        return max(MIN_RETRY_AFTER_MS, self.expected_wait_ms(rank))

    def record_admission(self) -> None:
        """Updates the average time between admissions while others wait."""
        now = self._clock.now()
        if self._waiters and self._admitted_ms:
            gap = min(2_000, now - self._admitted_ms)
            self._gap_ms += GAP_AVERAGE_WEIGHT * (gap - self._gap_ms)
        self._admitted_ms = now

    def is_first(self, rank: Rank) -> bool:
        """Returns whether a new request would be ahead of all waiting ones."""
        return all(w.rank > rank for w in self._waiters)

    def enqueue(self, rank: Rank) -> Waiter:
        """Adds a request to the queue."""
        waiter = Waiter(rank)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda w: w.rank)
        gatewaymetrics.WAITING.set(len(self._waiters))
        return waiter

    def remove_waiter(self, waiter: Waiter) -> None:
        """Removes a request that was placed, refused or cancelled."""
        self._waiters.remove(waiter)
        gatewaymetrics.WAITING.set(len(self._waiters))
        self.wake_first()

    def wake_first(self) -> None:
        """Lets the first waiting request try to be placed.

        If its account uses more than its share, the first request of an account
        that does not may try after it, at the engines that have a reserve.
        """
        if not self._waiters:
            return
        self._waiters[0].may_try.set()
        if not self._waiters[0].rank.is_over_share:
            return
        for waiter in self._waiters:
            if not waiter.rank.is_over_share:
                waiter.may_try.set()
                return
