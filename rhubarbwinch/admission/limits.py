"""What client accounts may have in flight, and how often they may retry."""

import random

import attrs

from rhubarbwinch.records.records import AccountSpec
from rhubarbwinch.shared.clock import Clock

RETRY_SHARE = 0.1
_DEFAULT = AccountSpec()
RETRY_RESERVE = 10.0
MAX_BACKOFF_DOUBLINGS = 10


class TokenBucket:
    """Allows a rate, and a burst of one second of it but at least one.

    Args:
        clock: The source of time.
        per_second: The rate.
    """

    def __init__(self, clock: Clock, per_second: float) -> None:
        self._clock = clock
        self._rate = per_second / 1000
        self._size = max(1.0, per_second)
        self._level = self._size
        self._filled_ms = clock.now()

    def take(self) -> int:
        """Takes one; returns 0, or the ms after which there is one."""
        now = self._clock.now()
        added = (now - self._filled_ms) * self._rate
        self._level = min(self._size, self._level + added)
        self._filled_ms = now
        if self._level >= 1:
            self._level -= 1
            return 0
        return int((1 - self._level) / self._rate) + 1


class RetryBudget:
    """Keeps retries to a share of first attempts.

    Args:
        share: Retries allowed for each first attempt.
        reserve: Retries allowed without first attempts.
    """

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._level = reserve

    def add_attempt(self) -> None:
        """Counts a first attempt."""
        self._level = min(self._reserve, self._level + self._share)

    def take(self) -> bool:
        """Tells whether a retry is allowed, and counts it."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


def backoff_ms(
    attempt: int, base_ms: int, limit_ms: int, rng: random.Random
) -> int:
    """Returns a wait before a retry: exponential, with full jitter.

    Args:
        attempt: 1 for the first retry.
        base_ms: The upper bound of the first wait.
        limit_ms: The upper bound of all waits.
        rng: The source of jitter.
    """
    doublings = min(attempt - 1, MAX_BACKOFF_DOUBLINGS)
    return rng.randint(0, min(limit_ms, base_ms << doublings))


@attrs.define
class AccountLimits:
    """One account in one pool.

    Attributes:
        spec: The account's record.
        rate: Limits new requests, or None without a limit.
        retries: Limits retries.
        requests: Requests in flight.
        tokens: Prompt and expected output tokens in flight.
    """

    spec: AccountSpec
    rate: TokenBucket | None
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    requests: int = 0
    tokens: int = 0

    @property
    def is_full(self) -> bool:
        """Whether no request may start, however small."""
        return self.requests >= self.spec.room.requests

    def has_room(self, tokens: int) -> bool:
        """Tells whether a request of `tokens` may start now."""
        room = self.spec.room
        fits = self.tokens + tokens <= room.tokens
        return self.requests < room.requests and fits

    def can_ever_fit(self, tokens: int) -> bool:
        """Tells whether a request of `tokens` may start at all."""
        room = self.spec.room
        return room.requests > 0 and tokens <= room.tokens

    def add(self, tokens: int) -> None:
        """Counts a request that starts."""
        self.requests += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Counts a request that ended, with the tokens it was added with."""
        self.requests -= 1
        self.tokens -= tokens


class Limits:
    """The limits of all accounts in one pool.

    Args:
        clock: The source of time.
        accounts: The accounts' records by name.
    """

    def __init__(self, clock: Clock, accounts: dict[str, AccountSpec]) -> None:
        self._clock = clock
        self._specs = accounts
        self._held: dict[str, AccountLimits] = {}

    def configure(self, accounts: dict[str, AccountSpec]) -> None:
        """Takes new records; what is in flight stays counted."""
        self._specs = accounts
        for name, held in self._held.items():
            spec = accounts.get(name, _DEFAULT)
            if spec.requests_per_second != held.spec.requests_per_second:
                held.rate = self._rate(spec)
            held.spec = spec

    def of(self, account: str) -> AccountLimits:
        """Returns an account's limits."""
        held = self._held.get(account)
        if held is None:
            spec = self._specs.get(account, _DEFAULT)
            held = self._held[account] = AccountLimits(spec, self._rate(spec))
        return held

    def weight(self, account: str) -> float:
        """Returns an account's share when engines are crowded."""
        return self._specs.get(account, _DEFAULT).weight

    def _rate(self, spec: AccountSpec) -> TokenBucket | None:
        if not spec.requests_per_second:
            return None
        return TokenBucket(self._clock, spec.requests_per_second)
