"""Tests fair queueing between accounts."""

import unittest
from collections import Counter

from rhubarbwinch.admission.fairness import FairQueue, QueuedRequest, ShareMeter
from rhubarbwinch.shared.clock import ManualClock
from tests import builders

WEIGHTS = {"large": 3.0, "small": 1.0}


def _queue(counts):
    """Returns a queue with the given number of requests per account."""
    queue = FairQueue(WEIGHTS.__getitem__)
    for account, count in counts.items():
        for _ in range(count):
            request = builders.permit_request(account=account)
            queue.push(account, QueuedRequest(request, 100, 0, 1000))
    return queue


def _serve(queue, count):
    """Starts `count` requests in order; returns the number per account."""
    served = Counter()
    for _ in range(count):
        item = next(queue.heads(1))
        account = item.request.account
        queue.start(account, item)
        served[account] += 1
    return served


class FairQueueTest(unittest.TestCase):
    """Weights, charges and idle accounts."""

    def test_accounts_are_served_by_their_weights(self):
        queue = _queue({"large": 200, "small": 200})
        served = _serve(queue, 100)
        self.assertAlmostEqual(served["large"], 75, delta=2)

    def test_charged_tokens_delay_the_requests_of_an_account(self):
        queue = _queue({"large": 200, "small": 200})
        queue.charge("large", 3000)
        self.assertEqual(_serve(queue, 10)["small"], 10)

    def test_an_idle_account_accumulates_no_credit(self):
        queue = _queue({"large": 400})
        _serve(queue, 300)
        for _ in range(50):
            request = builders.permit_request(account="small")
            queue.push("small", QueuedRequest(request, 100, 0, 1000))
        self.assertAlmostEqual(_serve(queue, 40)["small"], 10, delta=2)

    def test_the_backlog_of_one_account_does_not_delay_another(self):
        queue = _queue({"large": 500})
        self.assertLess(queue.tokens_ahead("small"), 1000)
        self.assertEqual(queue.tokens_ahead("large"), 50_000)

    def test_an_account_that_cannot_start_does_not_block_the_next(self):
        queue = _queue({"large": 2, "small": 1})
        accounts = [item.request.account for item in queue.heads(8)]
        self.assertEqual(accounts, ["large", "small"])
        self.assertEqual(len(queue), 3)


class ShareMeterTest(unittest.TestCase):
    """Detection of accounts far over their share."""

    def test_only_the_account_that_floods_is_over_its_share(self):
        meter = ShareMeter(ManualClock(), WEIGHTS.__getitem__)
        meter.add("large", 300)
        meter.add("small", 100)
        self.assertFalse(meter.is_over_share("small"))
        meter.add("small", 300)
        self.assertTrue(meter.is_over_share("small"))
        self.assertFalse(meter.is_over_share("large"))
