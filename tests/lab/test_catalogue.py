"""The pages under docs/ that are made from the code."""

import unittest

from lab import catalogue
from rhubarbwinch import apicatalogue, problems
from rhubarbwinch.verdict import Reason
from tests.helpers import ROOT


class CatalogueTest(unittest.TestCase):
    """Pages against code."""

    def test_each_page_is_as_the_code_makes_it(self):
        for name, text in catalogue.pages().items():
            page = (ROOT / "docs" / name).read_text()
            self.assertEqual(page, text, f"{name}: run `make docs`")

    def test_each_failure_has_a_status_and_a_meaning(self):
        self.assertEqual(set(apicatalogue.PROBLEMS), set(Reason))
        self.assertEqual(set(problems.STATUS), set(Reason))
