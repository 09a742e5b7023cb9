"""The retry budget, which gateways share without coordination."""

import unittest

from rhubarbwinch.gateway.retrybudget import RetryBudget

RATIO, WINDOW_MS, EXTRA = 0.2, 10_000, 56


class RetryBudgetTest(unittest.TestCase):
    """The number of retries within any window."""

    def test_all_gateways_together_stay_within_the_allowance(self):
        gateways = 4
        budgets = [RetryBudget(RATIO, WINDOW_MS, EXTRA) for _ in range(4)]
        retries, requests = [], []
        for now in range(0, 40_000, 25):
            budget = budgets[now // 25 % gateways]
            budget.add_request("svc", now)
            requests.append(now)
            while budget.try_acquire("svc", gateways, now):
                retries.append(now)
        for start in range(0, 30_000, 500):
            end = start + WINDOW_MS
            retried = sum(start <= t < end for t in retries)
            requested = sum(start <= t < end for t in requests)
            self.assertLessEqual(retried, RATIO * requested + EXTRA)

    def test_a_service_does_not_use_the_budget_of_another(self):
        budget = RetryBudget(0.0, WINDOW_MS, 10)
        while budget.try_acquire("a", 1, 0):
            pass
        self.assertTrue(budget.try_acquire("b", 1, 0))

    def test_retries_older_than_the_window_do_not_count(self):
        budget = RetryBudget(0.0, WINDOW_MS, 10)
        while budget.try_acquire("a", 1, 0):
            pass
        self.assertFalse(budget.try_acquire("a", 1, WINDOW_MS))
        self.assertTrue(budget.try_acquire("a", 1, WINDOW_MS + 1))
