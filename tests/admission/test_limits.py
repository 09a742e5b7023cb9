"""Tests token buckets, retry budgets and backoff."""

import random
import unittest

from rhubarbwinch.admission.limits import (
    RetryBudget,
    TokenBucket,
    retry_delay_ms,
)
from rhubarbwinch.shared.clock import ManualClock


class TokenBucketTest(unittest.TestCase):
    """Limits of requests per second."""

    def test_the_rate_is_limited_and_the_returned_wait_suffices(self):
        clock = ManualClock()
        bucket = TokenBucket(clock, 5)
        self.assertEqual([bucket.try_acquire() for _ in range(5)], [0] * 5)
        wait_ms = bucket.try_acquire()
        self.assertEqual(wait_ms, 201)
        clock.set(wait_ms)
        self.assertEqual(bucket.try_acquire(), 0)
        self.assertGreater(bucket.try_acquire(), 0)


class RetryBudgetTest(unittest.TestCase):
    """Limits of retries."""

    def test_retries_are_limited_to_a_ratio_of_first_attempts(self):
        budget = RetryBudget(ratio=0.1, reserve=10)
        allowed = 0
        for _ in range(1000):
            budget.record_attempt()
            allowed += budget.try_acquire()
        self.assertLessEqual(allowed, 110)
        self.assertGreaterEqual(allowed, 100)


class BackoffTest(unittest.TestCase):
    """Delays before retries."""

    def test_the_bound_doubles_up_to_the_limit(self):
        rng = random.Random(1)
        for attempt, bound in ((1, 100), (2, 200), (5, 1000), (60, 1000)):
            waits = [
                retry_delay_ms(attempt, 100, 1000, rng) for _ in range(500)
            ]
            self.assertLessEqual(max(waits), bound)
            self.assertGreater(max(waits), 0.9 * bound)
            self.assertLess(min(waits), 0.1 * bound)
