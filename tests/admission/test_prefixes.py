"""Tests the hashes of the leading blocks of prompts."""

import unittest

from rhubarbwinch.admission.prefixes import (
    BLOCK_BYTES,
    MAX_BLOCKS,
    encode_prompt,
    prefix_hashes,
)


class PrefixesTest(unittest.TestCase):
    """Prompts that share prefixes."""

    def test_prompts_share_the_hashes_of_the_blocks_that_they_share(self):
        shared = b"a" * (2 * BLOCK_BYTES)
        one = prefix_hashes(shared + b"b" * BLOCK_BYTES)
        two = prefix_hashes(shared + b"c" * BLOCK_BYTES)
        self.assertEqual(one[:2], two[:2])
        self.assertNotEqual(one[2], two[2])

    def test_equal_blocks_after_different_prefixes_differ_in_hash(self):
        block = b"a" * BLOCK_BYTES
        one = prefix_hashes(b"b" * BLOCK_BYTES + block)
        two = prefix_hashes(b"c" * BLOCK_BYTES + block)
        self.assertNotEqual(one[1], two[1])

    def test_partial_blocks_are_skipped_and_long_prompts_are_bounded(self):
        self.assertEqual(prefix_hashes(b"a" * (BLOCK_BYTES - 1)), [])
        long = b"a" * (2 * MAX_BLOCKS * BLOCK_BYTES)
        self.assertEqual(len(prefix_hashes(long)), MAX_BLOCKS)

    def test_only_prompts_and_messages_are_hashed(self):
        asked = {"prompt": "x", "max_tokens": 5}
        self.assertEqual(encode_prompt(asked), encode_prompt({"prompt": "x"}))
        chat = {"messages": [{"role": "user", "content": "x"}]}
        self.assertIn(b"content", encode_prompt(chat))
