"""Retries: the wait before each and the budget that bounds them."""

import random
from typing import Protocol

import attrs


@attrs.frozen
class Backoff:
    """Waits that double, each with full jitter.

    Attributes:
        rng: Draws the jitter, so that callers do not come back together.
        first_ms: The longest first wait.
        max_ms: The longest wait.
    """

    rng: random.Random
    first_ms: int = 50
    max_ms: int = 2000

    def wait_ms(self, failures: int) -> int:
        """Returns the wait after a number of failures, at least 1."""
        top = min(self.max_ms, self.first_ms * 2 ** (failures - 1))
        return self.rng.randint(top // 2, top)


class RetryBudget(Protocol):
    """Bounds the retries of each client account."""

    def add_request(self, account: str) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        ...

    def take_retry(self, account: str) -> bool:
        """Takes one retry out of the budget; False when it is spent."""
        ...


class RatioBudget:
    """A retry budget that grows with the requests of an account.

    Args:
        ratio: Retries that each request earns.
        burst: The most that an account can save up; also its start.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved: dict[str, float] = {}

    def add_request(self, account: str) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        saved = self._saved.get(account, self._burst) + self._ratio
        self._saved[account] = min(self._burst, saved)

    def take_retry(self, account: str) -> bool:
        """Takes one retry out of the budget; False when it is spent."""
        saved = self._saved.get(account, self._burst)
        if saved < 1:
            return False
        self._saved[account] = saved - 1
        return True
