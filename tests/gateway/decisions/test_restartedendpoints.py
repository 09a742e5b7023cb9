"""Which registrations are of a start that a 421 response showed to be gone."""

import unittest

from rhubarbwinch.gateway.decisions.restartedendpoints import (
    MARK_RETENTION_MS,
    GoneStarts,
    may_attempt,
)
from rhubarbwinch.stores.positions import position


class RestartedEndpointsTest(unittest.TestCase):
    """Starts that are gone, and the bounds of the attempts of a request."""

    def test_only_a_newer_start_or_a_later_entry_is_valid(self):
        # A stale entry that counts as valid brings the 421 responses back; a
        # valid one that does not loses the endpoint for good.
        gone = GoneStarts()
        gone.mark("e1", 100, 50, 40, 0)
        # Notices are datagrams, which may overtake each other.
        gone.mark("e1", 100, 45, 40, 0)
        valid = ((100, 51), (101, 40), (100, position(1, 41)))
        stale = ((100, 40), (100, 50), (100, 0), (99, 40), (0, 40))
        # A restored store has the same entry in a later era.
        for entry in (*valid, *stale, (100, position(1, 40))):
            found = gone.is_gone("e1", *entry)
            self.assertEqual(found, entry not in valid, entry)

    def test_marks_of_unknown_endpoints_are_dropped_in_time(self):
        # Each restart has a new id, so marks would accumulate.
        gone, end = GoneStarts(), MARK_RETENTION_MS
        gone.mark("e1", 100, 50, 40, 0)
        for ids, now_ms in (((), end - 1), (("e1",), end), ((), end)):
            self.assertTrue(gone.is_gone("e1", 100, 40), now_ms)
            gone.expire(set(ids), now_ms)
        self.assertFalse(gone.is_gone("e1", 100, 40))

    def test_gone_endpoints_take_no_attempt_up_to_their_number(self):
        # Without the bound, engines that restart all the time keep a request
        # in the loop.
        may = [may_attempt(n, g, 2, 8) for n, g in ((1, 0), (8, 8))]
        may_not = [may_attempt(n, g, 2, 8) for n, g in ((2, 0), (9, 9))]
        self.assertEqual(may + may_not, [True, True, False, False])
