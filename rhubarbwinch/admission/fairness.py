"""Weighted fair queueing between accounts, measured in tokens served."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from rhubarbwinch.admission.enginestate import Stream
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.clock import Clock

SHARE_HALF_LIFE_MS = 30_000
# An account is over its share at this multiple of it. Demand varies between
# accounts, so smaller excesses are normal.
OVER_SHARE_FACTOR = 1.5


@attrs.define(eq=False)
class QueuedRequest:
    """A queued request.

    Attributes:
        request: The request.
        tokens: Its expected prompt and output tokens.
        queued_ms: When it was queued.
        deadline_ms: Its deadline in the queue.
        is_removed: Whether it was granted or refused.
        stream: The stream that it would become, once a forecast is computed.
    """

    request: PermitRequest
    tokens: int
    queued_ms: int
    deadline_ms: int
    is_removed: bool = False
    stream: Stream | None = None


@attrs.define(eq=False)
class _AccountQueue:
    """The queued requests of one account."""

    account: str
    weight: float
    virtual_time: float
    length: int = 0
    tokens: float = 0.0
    is_in_heap: bool = False
    items: deque[QueuedRequest] = attrs.field(factory=deque)

    def head(self) -> QueuedRequest | None:
        """Returns the first request that is still queued, or None."""
        while self.items and self.items[0].is_removed:
            self.items.popleft()
        return self.items[0] if self.items else None


class FairQueue:
    """Serves the account that was served the fewest tokens for its weight.

    Each account has a virtual time that advances by tokens divided by weight.
    An account that returns after being idle starts at the queue's virtual
    time, so it accumulates no credit while it is idle.

    Args:
        weight_of: Returns an account's weight.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, _AccountQueue] = {}
        self._heap: list[tuple[float, int, _AccountQueue]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._length = 0
        self._tokens = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._length

    def push(self, account: str, item: QueuedRequest) -> None:
        """Adds a request at the end of its account's queue."""
        queue = self._get_queue(account)
        if queue.length == 0:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
            self._active_weight += queue.weight
            self._push_to_heap(queue)
        queue.items.append(item)
        queue.length += 1
        queue.tokens += item.tokens
        self._tokens += item.tokens
        self._length += 1

    def remove(self, account: str, item: QueuedRequest) -> None:
        """Removes a request that was granted or refused."""
        item.is_removed = True
        queue = self._queues[account]
        queue.length -= 1
        queue.tokens -= item.tokens
        self._tokens -= item.tokens
        self._length -= 1
        if queue.length == 0:
            self._active_weight -= queue.weight
            queue.items.clear()

    def start(self, account: str, item: QueuedRequest) -> None:
        """Removes a request that starts and charges its account."""
        queue = self._queues[account]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        self.charge(account, item.tokens)
        self.remove(account, item)

    def charge(self, account: str, tokens: float) -> None:
        """Charges served tokens to an account; negative for a refund."""
        queue = self._get_queue(account)
        queue.virtual_time += tokens / queue.weight

    def tokens_ahead(self, account: str) -> float:
        """Returns about how many tokens are served before a new request.

        The new request is served when the queue's virtual time reaches the
        account's virtual time plus the account's other queued requests. Until
        then each active account is served tokens in proportion to its weight.
        """
        queue = self._queues.get(account)
        weight = queue.weight if queue else self._weight_of(account)
        lead, active = 0.0, self._active_weight
        if queue is None or queue.length == 0:
            active += weight
        if queue is not None:
            lead = (
                max(0.0, queue.virtual_time - self._virtual_time)
                + queue.tokens / weight
            )
        return min(self._tokens, lead * active)

    def heads(self, limit: int) -> Iterator[QueuedRequest]:
        """Yields the first request of up to `limit` accounts, in order.

        If the caller removes a request, the account's next request takes its
        place and the account doesn't count towards the limit.
        """
        yielded: list[_AccountQueue] = []
        try:
            while self._heap and len(yielded) < limit:
                virtual_time, _, queue = heapq.heappop(self._heap)
                queue.is_in_heap = False
                item = queue.head()
                if item is None:
                    self._remove_if_idle(queue)
                elif queue.virtual_time > virtual_time:
                    self._push_to_heap(queue)
                else:
                    yielded.append(queue)
                    yield item
                    if item.is_removed:
                        self._push_to_heap(yielded.pop())
        finally:
            for queue in yielded:
                self._push_to_heap(queue)

    def _remove_if_idle(self, queue: _AccountQueue) -> None:
        """Removes an idle account that isn't ahead in virtual time."""
        if queue.virtual_time <= self._virtual_time:
            del self._queues[queue.account]

    def _push_to_heap(self, queue: _AccountQueue) -> None:
        if not queue.is_in_heap:
            queue.is_in_heap = True
            heap_item = (queue.virtual_time, next(self._sequence), queue)
            heapq.heappush(self._heap, heap_item)

    def _get_queue(self, account: str) -> _AccountQueue:
        queue = self._queues.get(account)
        if queue is None:
            weight = self._weight_of(account)
            queue = _AccountQueue(account, weight, self._virtual_time)
            self._queues[account] = queue
        return queue


class ShareMeter:
    """Compares the tokens recently granted to accounts with their weights.

    Args:
        clock: The source of time.
        weight_of: Returns an account's weight.
    """

    def __init__(self, clock: Clock, weight_of: Callable[[str], float]) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._decayed_ms = clock.now()
        self._tokens: dict[str, float] = {}
        self._total = 0.0
        self._weight = 0.0

    def add(self, account: str, tokens: float) -> None:
        """Counts tokens granted to an account."""
        self._decay()
        if account not in self._tokens:
            self._tokens[account] = 0.0
            self._weight += self._weight_of(account)
        self._tokens[account] += tokens
        self._total += tokens

    def is_over_share(self, account: str) -> bool:
        """Returns whether an account has far more than its share."""
        granted = self._tokens.get(account, 0.0)
        share = self._weight_of(account) / max(self._weight, 1e-9)
        return granted > OVER_SHARE_FACTOR * share * self._total

    def _decay(self) -> None:
        """Halves all counts once per half-life; removes idle accounts."""
        now = self._clock.now()
        if now - self._decayed_ms < SHARE_HALF_LIFE_MS:
            return
        self._decayed_ms = now
        halved = {a: t / 2 for a, t in self._tokens.items() if t >= 2}
        self._tokens = halved
        self._total = sum(halved.values())
        self._weight = sum(self._weight_of(a) for a in halved)
