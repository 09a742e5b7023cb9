"""Hashes of leading blocks."""

import unittest

from rhubarbwinch.prefixes import BLOCK_BYTES, MAX_BLOCKS, block_hashes


class BlockHashesTest(unittest.TestCase):
    """What two requests share."""

    def test_requests_share_the_blocks_before_their_first_difference(self):
        common = b"a" * BLOCK_BYTES * 3
        one = block_hashes(common + b"b" * BLOCK_BYTES * 2)
        other = block_hashes(common + b"c" * BLOCK_BYTES * 2)
        self.assertEqual(one[:3], other[:3])
        self.assertFalse(set(one[3:]) & set(other[3:]))

    def test_a_part_of_a_block_and_what_follows_the_last_count_nothing(self):
        self.assertEqual(block_hashes(b"a" * (BLOCK_BYTES - 1)), [])
        long_body = b"a" * BLOCK_BYTES * (MAX_BLOCKS + 5)
        self.assertEqual(len(block_hashes(long_body)), MAX_BLOCKS)
