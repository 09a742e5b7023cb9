"""Limits retries by backoff delays and a retry budget."""

import random
from typing import Protocol

import attrs


@attrs.frozen
class Backoff:
    """Exponential backoff with jitter of up to half the delay.

    Attributes:
        rng: Draws the jitter, so that callers do not retry at the same time.
        first_ms: The longest first delay.
        max_ms: The longest delay.
    """

    rng: random.Random
    first_ms: int = 50
    max_ms: int = 2000

    def delay_ms(self, failures: int) -> int:
        """Returns the delay in ms after `failures` failures, at least 1."""
        longest = min(self.max_ms, self.first_ms * 2 ** (failures - 1))
        return self.rng.randint(longest // 2, longest)


class RetryBudget(Protocol):
    """Limits the retries of each client account."""

    def record_request(self, account: str) -> None:
        """Counts a first attempt, which adds to the budget."""
        ...

    def acquire_retry(self, account: str) -> bool:
        """Takes one retry from the budget; returns False if it is empty."""
        ...


class RatioRetryBudget:
    """A retry budget that grows with the requests of an account.

    Args:
        ratio: The number of retries that each request adds to the budget.
        burst: The highest budget of an account, and its initial budget.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved: dict[str, float] = {}

    def record_request(self, account: str) -> None:
        """Counts a first attempt, which adds to the budget."""
        saved = self._saved.get(account, self._burst) + self._ratio
        self._saved[account] = min(self._burst, saved)

    def acquire_retry(self, account: str) -> bool:
        """Takes one retry from the budget; returns False if it is empty."""
        saved = self._saved.get(account, self._burst)
        if saved < 1:
            return False
        self._saved[account] = saved - 1
        return True
