"""The queue of generations that wait for capacity."""

import unittest

from rhubarbwinch.gateway.waitqueue import MIN_RETRY_AFTER_MS, Rank, WaitQueue
from rhubarbwinch.shared.clock import ManualClock


def rank(priority, deadline_ms, is_over_share=False):
    """Returns the rank of a request."""
    return Rank(priority, is_over_share, deadline_ms)


class WaitQueueTest(unittest.TestCase):
    """The order of waiting requests, and which are refused at once."""

    def setUp(self):
        self.clock = ManualClock()
        self.queue = WaitQueue(self.clock)

    def _learn_pace(self, gap_ms):
        waiter = self.queue.enqueue(rank(9, 99_000))
        for _ in range(60):
            self.clock.set(self.clock.now() + gap_ms)
            self.queue.record_admission()
        self.queue.remove_waiter(waiter)

    def test_urgent_requests_go_first_and_then_those_due_first(self):
        patient = self.queue.enqueue(rank(1, 1_000))
        late = self.queue.enqueue(rank(0, 3_000))
        soon = self.queue.enqueue(rank(0, 2_000))
        for waiter in (soon, late, patient):
            self.queue.wake_first()
            self.assertTrue(waiter.may_try.is_set())
            self.queue.remove_waiter(waiter)

    def test_accounts_within_their_share_go_before_equals(self):
        over = self.queue.enqueue(rank(1, 1_000, True))
        within = self.queue.enqueue(rank(1, 2_000))
        urgent = self.queue.enqueue(rank(0, 3_000, True))
        for waiter in (urgent, within, over):
            self.queue.wake_first()
            self.assertTrue(waiter.may_try.is_set())
            self.queue.remove_waiter(waiter)

    def test_an_account_over_its_share_does_not_block_the_reserve(self):
        over = self.queue.enqueue(rank(0, 1_000, True))
        second = self.queue.enqueue(rank(0, 2_000, True))
        within = self.queue.enqueue(rank(1, 3_000))
        self.queue.wake_first()
        self.assertTrue(over.may_try.is_set())
        self.assertTrue(within.may_try.is_set())
        self.assertFalse(second.may_try.is_set())

    def test_a_removed_request_lets_the_next_try(self):
        first = self.queue.enqueue(rank(0, 1_000))
        second = self.queue.enqueue(rank(0, 2_000))
        self.queue.remove_waiter(first)
        self.assertTrue(second.may_try.is_set())

    def test_a_request_behind_too_many_is_refused_at_once(self):
        self._learn_pace(500)
        for i in range(6):
            self.queue.enqueue(rank(0, i))
        self.assertTrue(self.queue.exceeds_wait_limit(rank(1, 5_000), 900))
        self.assertFalse(self.queue.exceeds_wait_limit(rank(0, -1), 900))

    def test_no_request_is_refused_while_none_waits(self):
        self._learn_pace(2_000)
        self.assertFalse(self.queue.exceeds_wait_limit(rank(1, 5_000), 1))

    def test_the_retry_time_grows_with_the_requests_ahead(self):
        self._learn_pace(500)
        times = []
        for i in range(4):
            times.append(self.queue.retry_after_ms(rank(1, 5_000)))
            self.queue.enqueue(rank(0, i))
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], times[0])
        self.assertGreaterEqual(times[0], MIN_RETRY_AFTER_MS)
