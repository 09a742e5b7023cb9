"""Evacuations of data centres, from the operators' keys."""

import unittest

from rhubarbwinch.gateway.decisions.evacuations import (
    RESTORE_GRACE_MS,
    Evacuations,
)


class EvacuationsTest(unittest.TestCase):
    """Keys that are written, deleted, and lost by a restore."""

    def setUp(self):
        self.evacuations = Evacuations()
        self.evacuations.start("dc-a")

    def test_a_deleted_key_ends_the_evacuation_at_once(self):
        self.evacuations.start("dc-b")
        self.evacuations.end("dc-a", 1_000, False)
        self.assertEqual(self.evacuations.data_centers, {"dc-b"})

    def test_a_key_that_a_restored_store_lacks_ends_it_only_later(self):
        self.evacuations.end("dc-a", 1_000, True)
        self.assertEqual(self.evacuations.expire(1_000 + 2_000), [])
        self.assertEqual(self.evacuations.data_centers, {"dc-a"})
        # A second reading of the store does not start the time again.
        self.evacuations.end("dc-a", 2_000, True)
        due = self.evacuations.expire(1_000 + RESTORE_GRACE_MS)
        self.assertEqual(due, ["dc-a"])
        self.assertEqual(self.evacuations.data_centers, frozenset())

    def test_a_key_that_is_written_again_after_a_restore_goes_on(self):
        self.evacuations.end("dc-a", 1_000, True)
        self.evacuations.start("dc-a")
        self.assertEqual(self.evacuations.expire(60_000), [])
        self.assertEqual(self.evacuations.data_centers, {"dc-a"})
