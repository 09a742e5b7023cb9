"""The table of proofs names the golden files that exist."""

import re
import unittest

from tests.helpers import GOLD, ROOT

STATES = {"proved", "partial", "red", "not run"}


def _rows():
    """Returns the cells of each row of the page's tables."""
    text = (ROOT / "docs" / "PROOFS.md").read_text()
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("|") and not line.startswith("|---")
    ]
    return [row for row in rows if row[0] != "what holds"]


class ProofsTest(unittest.TestCase):
    """docs/PROOFS.md against the tree."""

    def test_every_golden_file_is_named_and_every_named_one_exists(self):
        named = set()
        for row in _rows():
            named |= set(re.findall(r"[\w.-]+\.txt", row[2]))
        self.assertEqual(named, {path.name for path in GOLD.glob("*.txt")})

    def test_every_row_has_a_known_state(self):
        for row in _rows():
            self.assertIn(row[4], STATES, row)
