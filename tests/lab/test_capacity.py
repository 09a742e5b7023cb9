"""The capacity page against its script."""

import unittest

from lab import capacity


class CapacityTest(unittest.TestCase):
    """docs/CAPACITY.md is what the slopes give."""

    def test_the_page_is_what_the_slopes_give(self):
        page = capacity.PAGE.read_text()
        slopes = capacity.load_slopes()
        self.assertEqual(capacity.render(page, capacity.Target(), slopes), page)
