"""The store replica: reordered, repeated and missing changes."""

import random
import unittest

from rhubarbwinch.gateway.replica import MAX_TOMBSTONES, Replica
from rhubarbwinch.stores.store import ChangeBatch, Listing
from tests.gatewaybuilders import deletion, write


class ReplicaTest(unittest.TestCase):
    """Merging of batches and listings."""

    def test_the_newest_revision_wins_in_any_order_of_changes(self):
        changes = [
            write("a", 2, b"2"),
            deletion("a", 5),
            write("b", 3),
            write("a", 9),
        ]
        for seed in range(20):
            replica = Replica()
            shuffled = random.Random(seed).sample(changes, len(changes))
            for change in shuffled * 2:
                replica.merge_batch(ChangeBatch(0, 0, [change]))
            self.assertEqual(replica.get("a").revision, 9)
            self.assertEqual(replica.get("b").revision, 3)

    def test_an_older_value_does_not_restore_a_deleted_key(self):
        replica = Replica()
        replica.merge_batch(
            ChangeBatch(0, 5, [write("a", 2), deletion("a", 5)])
        )
        replica.merge_listing(Listing([write("a", 2).entry], 4))
        self.assertIsNone(replica.get("a"))

    def test_an_outdated_listing_restores_a_key_deleted_before_the_start(self):
        """A slow read of the store arrives after a peer's newer replica."""
        replica = Replica()
        replica.merge_listing(Listing([write("b", 4).entry], 21))
        outdated = Listing([write("a", 3).entry, write("b", 4).entry], 19)
        self.assertEqual(replica.merge_listing(outdated), [])
        self.assertIsNone(replica.get("a"))
        self.assertEqual(replica.revision, 21)

    def test_an_outdated_batch_restores_a_key_deleted_before_the_start(self):
        replica = Replica()
        replica.merge_listing(Listing([], 21))
        batch = ChangeBatch(0, 19, [write("a", 3)])
        self.assertEqual(replica.merge_batch(batch), [])
        self.assertIsNone(replica.get("a"))

    def test_a_listing_deletes_missing_keys_that_are_older(self):
        replica = Replica()
        replica.merge_batch(ChangeBatch(0, 7, [write("a", 2), write("b", 7)]))
        changed = replica.merge_listing(Listing([], 6))
        self.assertEqual([c.key for c in changed], ["a"])
        self.assertIsNotNone(replica.get("b"))

    def test_a_batch_after_a_gap_is_not_merged(self):
        replica = Replica()
        replica.merge_batch(ChangeBatch(0, 3, [write("a", 3)]))
        self.assertIsNone(
            replica.merge_batch(ChangeBatch(4, 6, [write("b", 6)]))
        )
        self.assertEqual(replica.revision, 3)

    def test_only_effective_changes_are_returned(self):
        replica = Replica()
        batch = ChangeBatch(0, 3, [write("a", 3), deletion("x", 2)])
        self.assertEqual(len(replica.merge_batch(batch)), 1)
        self.assertEqual(replica.merge_batch(batch), [])

    def test_the_number_of_tombstones_is_bounded(self):
        replica = Replica()
        for i in range(1, MAX_TOMBSTONES + 100):
            key = f"k{i}"
            changes = [write(key, 2 * i), deletion(key, 2 * i + 1)]
            replica.merge_batch(ChangeBatch(0, 2 * i + 1, changes))
        self.assertLessEqual(len(replica._cells), MAX_TOMBSTONES)
        self.assertIn(f"k{MAX_TOMBSTONES}", replica._cells)
