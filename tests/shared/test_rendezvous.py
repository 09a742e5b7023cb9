"""Tests of rendezvous hashing: balance, agreement and minimal movement."""

import unittest
from collections import Counter

from rhubarbwinch.shared import rendezvous

MEMBERS = [f"member-{i}" for i in range(5)]
KEYS = [f"key-{i}" for i in range(2000)]


class RendezvousTest(unittest.TestCase):
    """The owners and rankings of many keys."""

    def test_keys_are_spread_over_all_members(self):
        counts = Counter(rendezvous.owner(key, MEMBERS) for key in KEYS)
        self.assertEqual(set(counts), set(MEMBERS))
        fair = len(KEYS) / len(MEMBERS)
        self.assertLess(max(counts.values()), 1.2 * fair)

    def test_the_order_of_the_members_does_not_matter(self):
        for key in KEYS[:50]:
            ranked = rendezvous.ranking(key, MEMBERS)
            self.assertEqual(ranked, rendezvous.ranking(key, MEMBERS[::-1]))
            self.assertEqual(ranked[0], rendezvous.owner(key, MEMBERS[::-1]))

    def test_a_lost_members_keys_go_to_the_next_in_rank_and_no_others_move(
        self,
    ):
        left = MEMBERS[1:]
        for key in KEYS[:200]:
            ranked = rendezvous.ranking(key, MEMBERS)
            expected = ranked[1] if ranked[0] == MEMBERS[0] else ranked[0]
            self.assertEqual(rendezvous.owner(key, left), expected)

    def test_without_members_there_is_no_owner(self):
        self.assertIsNone(rendezvous.owner("key", []))
