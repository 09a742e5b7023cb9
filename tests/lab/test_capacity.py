"""Tests that docs/CAPACITY.md is up to date."""

import unittest

from lab import capacity
from lab.capacity_model import Target, load_slopes


class CapacityTest(unittest.TestCase):
    """Compares the page with the output of `lab.capacity`."""

    def test_the_page_matches_the_slopes(self):
        page = capacity.PAGE.read_text()
        slopes = load_slopes()
        self.assertEqual(capacity.render(page, Target(), slopes), page)
