"""Which requests a gateway that is shutting down serves."""

import unittest

from rhubarbwinch.gateway.decisions.drains import (
    ACCEPT_MS,
    LAST_ANSWER_MS,
    LAST_REQUEST_MS,
    MARGIN_MS,
    make_drain,
)

START_MS = 100_000
GRACE_MS = 8_000


class DrainTest(unittest.TestCase):
    """A shutdown with eight seconds of grace."""

    def setUp(self):
        self.drain = make_drain(START_MS, GRACE_MS)

    def test_the_times_are_in_order_within_the_grace_period(self):
        drain = self.drain
        self.assertEqual(drain.end_ms, START_MS + GRACE_MS - MARGIN_MS)
        self.assertEqual(drain.accept_until_ms, START_MS + ACCEPT_MS)
        self.assertEqual(drain.last_read_ms, drain.end_ms - LAST_REQUEST_MS)
        self.assertEqual(drain.last_answer_ms, drain.end_ms - LAST_ANSWER_MS)

    def test_a_short_grace_period_is_shared(self):
        drain = make_drain(START_MS, 3_000)
        self.assertEqual(drain.accept_until_ms, START_MS + 1_500)

    def test_early_calls_are_taken_whatever_their_deadline(self):
        self.assertTrue(self.drain.takes(False, 10 * START_MS, START_MS))

    def test_late_calls_are_taken_only_if_they_end_in_time(self):
        # They were passed on, and cut without an answer at the end.
        now = self.drain.accept_until_ms
        last = self.drain.last_answer_ms
        self.assertTrue(self.drain.takes(False, last, now))
        self.assertFalse(self.drain.takes(False, last + 1, now))

    def test_no_generation_is_taken(self):
        self.assertFalse(self.drain.takes(True, START_MS + 1, START_MS))
