"""Limits the requests, tokens, rate and retries of client accounts."""

import random

import attrs

from rhubarbwinch.records.records import AccountSpec
from rhubarbwinch.shared.clock import Clock

RETRY_RATIO = 0.1
_DEFAULT_SPEC = AccountSpec()
RETRY_RESERVE = 10.0
MAX_BACKOFF_DOUBLINGS = 10


class TokenBucket:
    """Limits a rate; the burst is `per_second` requests but at least one.

    Args:
        clock: The source of time.
        per_second: The rate, in requests per second.
    """

    def __init__(self, clock: Clock, per_second: float) -> None:
        self._clock = clock
        self._tokens_per_ms = per_second / 1000
        self._burst = max(1.0, per_second)
        self._available = self._burst
        self._filled_ms = clock.now()

    def try_acquire(self) -> int:
        """Takes one token and returns 0, or the ms until one is available."""
        now = self._clock.now()
        added = (now - self._filled_ms) * self._tokens_per_ms
        self._available = min(self._burst, self._available + added)
        self._filled_ms = now
        if self._available >= 1:
            self._available -= 1
            return 0
        return int((1 - self._available) / self._tokens_per_ms) + 1


class RetryBudget:
    """Limits retries to a ratio of first attempts.

    Args:
        ratio: The number of retries allowed for each first attempt.
        reserve: The number of retries allowed before any first attempt; also
            the most that can accumulate.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._available = reserve

    def record_attempt(self) -> None:
        """Records a first attempt, which increases the budget."""
        self._available = min(self._reserve, self._available + self._ratio)

    def try_acquire(self) -> bool:
        """Returns whether a retry is allowed, and if so records it."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


def retry_delay_ms(
    attempt: int, base_ms: int, limit_ms: int, rng: random.Random
) -> int:
    """Returns the delay before a retry: exponential, with full jitter.

    Args:
        attempt: 1 for the first retry.
        base_ms: The upper bound of the first delay.
        limit_ms: The upper bound of all delays.
        rng: The source of jitter.
    """
    doublings = min(attempt - 1, MAX_BACKOFF_DOUBLINGS)
    return rng.randint(0, min(limit_ms, base_ms << doublings))


@attrs.define
class AccountLimits:
    """The limits and current use of one account in one pool.

    Attributes:
        spec: The account's record.
        rate_limit: Limits the rate of new requests; None without a limit.
        retry_budget: Limits retries.
        requests: The number of requests in flight.
        tokens: The prompt and expected output tokens in flight.
    """

    spec: AccountSpec
    rate_limit: TokenBucket | None
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    requests: int = 0
    tokens: int = 0

    @property
    def is_full(self) -> bool:
        """Whether the account has reached its limit of requests in flight."""
        return self.requests >= self.spec.room.requests

    def can_start(self, tokens: int) -> bool:
        """Returns whether a request of `tokens` may start now."""
        room = self.spec.room
        fits = self.tokens + tokens <= room.tokens
        return self.requests < room.requests and fits

    def can_ever_start(self, tokens: int) -> bool:
        """Returns whether a request of `tokens` may ever start."""
        room = self.spec.room
        return room.requests > 0 and tokens <= room.tokens

    def add(self, tokens: int) -> None:
        """Records the start of a request."""
        self.requests += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Records the end of a request that was added with `tokens`."""
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
        self._limits: dict[str, AccountLimits] = {}

    def configure(self, accounts: dict[str, AccountSpec]) -> None:
        """Applies new records; requests in flight stay counted."""
        self._specs = accounts
        for name, limits in self._limits.items():
            spec = accounts.get(name, _DEFAULT_SPEC)
            if spec.requests_per_second != limits.spec.requests_per_second:
                limits.rate_limit = self._make_bucket(spec)
            limits.spec = spec

    def for_account(self, account: str) -> AccountLimits:
        """Returns an account's limits."""
        limits = self._limits.get(account)
        if limits is None:
            spec = self._specs.get(account, _DEFAULT_SPEC)
            limits = self._limits[account] = AccountLimits(
                spec, self._make_bucket(spec)
            )
        return limits

    def weight(self, account: str) -> float:
        """Returns an account's weight in fair queueing."""
        return self._specs.get(account, _DEFAULT_SPEC).weight

    def _make_bucket(self, spec: AccountSpec) -> TokenBucket | None:
        if not spec.requests_per_second:
            return None
        return TokenBucket(self._clock, spec.requests_per_second)
