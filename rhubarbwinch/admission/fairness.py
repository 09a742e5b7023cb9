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
OVER_SHARE = 1.5


@attrs.define(eq=False)
class Queued:
    """A queued request.

    Attributes:
        request: The request.
        tokens: Its expected prompt and output tokens.
        since_ms: When it was queued.
        until_ms: Its deadline in the queue.
        is_gone: Whether it was granted or refused.
        stream: The stream that it would become, once a forecast is computed.
    """

    request: PermitRequest
    tokens: int
    since_ms: int
    until_ms: int
    is_gone: bool = False
    stream: Stream | None = None


@attrs.define(eq=False)
class _Line:
    """The queued requests of one account."""

    account: str
    weight: float
    virtual: float
    live: int = 0
    tokens: float = 0.0
    is_listed: bool = False
    items: deque[Queued] = attrs.field(factory=deque)

    def head(self) -> Queued | None:
        """Returns the first request that is still queued, or None."""
        while self.items and self.items[0].is_gone:
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
        self._lines: dict[str, _Line] = {}
        self._heap: list[tuple[float, int, _Line]] = []
        self._order = itertools.count()
        self._virtual = 0.0
        self._length = 0
        self._tokens = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._length

    def push(self, account: str, item: Queued) -> None:
        """Adds a request at the end of its account's queue."""
        line = self._line(account)
        if line.live == 0:
            line.virtual = max(line.virtual, self._virtual)
            self._active_weight += line.weight
            self._enter(line)
        line.items.append(item)
        line.live += 1
        line.tokens += item.tokens
        self._tokens += item.tokens
        self._length += 1

    def remove(self, account: str, item: Queued) -> None:
        """Removes a request that was granted or refused."""
        item.is_gone = True
        line = self._lines[account]
        line.live -= 1
        line.tokens -= item.tokens
        self._tokens -= item.tokens
        self._length -= 1
        if line.live == 0:
            self._active_weight -= line.weight
            line.items.clear()

    def start(self, account: str, item: Queued) -> None:
        """Removes a request that starts and charges its account."""
        line = self._lines[account]
        self._virtual = max(self._virtual, line.virtual)
        self.charge(account, item.tokens)
        self.remove(account, item)

    def charge(self, account: str, tokens: float) -> None:
        """Charges served tokens to an account; negative for a refund."""
        line = self._line(account)
        line.virtual += tokens / line.weight

    def ahead(self, account: str) -> float:
        """Returns about how many tokens are served before a new request.

        The new request is served when the queue's virtual time reaches the
        account's virtual time plus the account's other queued requests. Until
        then each active account is served tokens in proportion to its weight.
        """
        line = self._lines.get(account)
        weight = line.weight if line else self._weight_of(account)
        lead, active = 0.0, self._active_weight
        if line is None or line.live == 0:
            active += weight
        if line is not None:
            lead = max(0.0, line.virtual - self._virtual) + line.tokens / weight
        return min(self._tokens, lead * active)

    def heads(self, limit: int) -> Iterator[Queued]:
        """Yields the first request of up to `limit` accounts, in order.

        If the caller removes a request, the account's next request takes its
        place and the account doesn't count towards the limit.
        """
        passed: list[_Line] = []
        try:
            while self._heap and len(passed) < limit:
                virtual, _, line = heapq.heappop(self._heap)
                line.is_listed = False
                item = line.head()
                if item is None:
                    self._drop(line)
                elif line.virtual > virtual:
                    self._enter(line)
                else:
                    passed.append(line)
                    yield item
                    if item.is_gone:
                        self._enter(passed.pop())
        finally:
            for line in passed:
                self._enter(line)

    def _drop(self, line: _Line) -> None:
        """Removes an idle account that isn't ahead in virtual time."""
        if line.virtual <= self._virtual:
            del self._lines[line.account]

    def _enter(self, line: _Line) -> None:
        if not line.is_listed:
            line.is_listed = True
            entry = (line.virtual, next(self._order), line)
            heapq.heappush(self._heap, entry)

    def _line(self, account: str) -> _Line:
        line = self._lines.get(account)
        if line is None:
            weight = self._weight_of(account)
            line = _Line(account, weight, self._virtual)
            self._lines[account] = line
        return line


class ShareMeter:
    """Compares the tokens recently granted to accounts with their weights.

    Args:
        clock: The source of time.
        weight_of: Returns an account's weight.
    """

    def __init__(self, clock: Clock, weight_of: Callable[[str], float]) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._faded_ms = clock.now()
        self._tokens: dict[str, float] = {}
        self._total = 0.0
        self._weight = 0.0

    def add(self, account: str, tokens: float) -> None:
        """Counts tokens granted to an account."""
        self._fade()
        if account not in self._tokens:
            self._tokens[account] = 0.0
            self._weight += self._weight_of(account)
        self._tokens[account] += tokens
        self._total += tokens

    def is_over(self, account: str) -> bool:
        """Returns whether an account has far more than its share."""
        held = self._tokens.get(account, 0.0)
        share = self._weight_of(account) / max(self._weight, 1e-9)
        return held > OVER_SHARE * share * self._total

    def _fade(self) -> None:
        """Halves all counts once per half-life; removes idle accounts."""
        now = self._clock.now()
        if now - self._faded_ms < SHARE_HALF_LIFE_MS:
            return
        self._faded_ms = now
        halved = {a: t / 2 for a, t in self._tokens.items() if t >= 2}
        self._tokens = halved
        self._total = sum(halved.values())
        self._weight = sum(self._weight_of(a) for a in halved)
