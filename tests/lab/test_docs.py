"""Tests of the links between the pages."""

import re
import unittest

from tests.helpers import ROOT

LINK = re.compile(r"\]\(([^)#:]+)\)")


class LinksTest(unittest.TestCase):
    """The relative links in README.md and docs/."""

    def test_each_link_leads_to_a_file(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        broken = [
            f"{page.name}: {target}"
            for page in pages
            for target in LINK.findall(page.read_text())
            if not (page.parent / target).exists()
        ]
        self.assertEqual(broken, [])
