"""Fair queueing between accounts, in tokens served."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from rhubarbwinch.admission.enginestate import Stream
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.shared.clock import Clock

SHARE_HALF_LIFE_MS = 30_000
# Accounts' demands differ; only a flood is this far over its share.
OVER_SHARE = 1.5


@attrs.define(eq=False)
class Queued:
    """A request that waits.

    Attributes:
        request: The request.
        tokens: What it is expected to take.
        since_ms: When it came.
        until_ms: When its wait ends.
        is_gone: Whether it was granted or refused.
        stream: What it would be if it started, once worked out.
    """

    request: PermitRequest
    tokens: int
    since_ms: int
    until_ms: int
    is_gone: bool = False
    stream: Stream | None = None


@attrs.define(eq=False)
class _Line:
    """The waiting requests of one account."""

    account: str
    weight: float
    virtual: float
    live: int = 0
    tokens: float = 0.0
    is_listed: bool = False
    items: deque[Queued] = attrs.field(factory=deque)

    def head(self) -> Queued | None:
        """Returns the first request that still waits."""
        while self.items and self.items[0].is_gone:
            self.items.popleft()
        return self.items[0] if self.items else None


class FairQueue:
    """Serves the account that has been served least for its weight.

    Each account has a virtual time that grows with its tokens over its
    weight. An account that comes back starts at the queue's virtual time, so
    that it can't save up a claim while it is away.

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
        """Adds a request at the end of its account's line."""
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
        """Takes out a request that was granted or refused."""
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
        """Takes out a request that starts, and charges its account."""
        line = self._lines[account]
        self._virtual = max(self._virtual, line.virtual)
        self.charge(account, item.tokens)
        self.remove(account, item)

    def charge(self, account: str, tokens: float) -> None:
        """Counts tokens served to an account; negative to correct."""
        line = self._line(account)
        line.virtual += tokens / line.weight

    def ahead(self, account: str) -> float:
        """Returns about how many tokens start before a new request.

        Its turn comes when the queue's virtual time reaches the account's
        own, behind its other requests. Until then each active account starts
        tokens by its weight.
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

        A request that the caller removes makes way for its account's next.
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
        """Forgets an account that is owed nothing."""
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
    """What accounts were granted lately, against their weights.

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
        """Tells whether an account has far more than its share."""
        held = self._tokens.get(account, 0.0)
        share = self._weight_of(account) / max(self._weight, 1e-9)
        return held > OVER_SHARE * share * self._total

    def _fade(self) -> None:
        """Halves all counts now and then; forgets accounts that are away."""
        now = self._clock.now()
        if now - self._faded_ms < SHARE_HALF_LIFE_MS:
            return
        self._faded_ms = now
        halved = {a: t / 2 for a, t in self._tokens.items() if t >= 2}
        self._tokens = halved
        self._total = sum(halved.values())
        self._weight = sum(self._weight_of(a) for a in halved)
