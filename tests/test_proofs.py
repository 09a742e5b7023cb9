"""Tests that the table of proofs and the golden files agree."""

import re
import unittest

from tests.helpers import GOLD, ROOT

STATES = {"proved", "partial", "red", "not run"}


def _rows():
    """Returns the cells of each table row of the page, without headings."""
    text = (ROOT / "docs" / "PROOFS.md").read_text()
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("|") and not line.startswith("|---")
    ]
    return [row for row in rows if row[0] != "what holds"]


class ProofsTest(unittest.TestCase):
    """Compares docs/PROOFS.md with the golden files."""

    def test_every_golden_file_is_named_and_every_named_one_exists(self):
        named_files = set()
        for row in _rows():
            named_files |= set(re.findall(r"[\w.-]+\.txt", row[2]))
        self.assertEqual(
            named_files, {path.name for path in GOLD.glob("*.txt")}
        )

    def test_every_row_has_a_known_state(self):
        for row in _rows():
            self.assertIn(row[4], STATES, row)
