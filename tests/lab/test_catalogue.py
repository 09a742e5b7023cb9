"""Tests of the pages under docs/ that are generated from the code."""

import inspect
import re
import unittest

from lab import catalogue
from rhubarbwinch.callers import apicatalogue
from rhubarbwinch.http import problems
from rhubarbwinch.shared import events, metrics
from rhubarbwinch.shared.verdict import Reason
from tests.helpers import ROOT


class CatalogueTest(unittest.TestCase):
    """Compares the generated pages and the catalogues with the code."""

    def test_each_page_is_up_to_date(self):
        for name, text in catalogue.pages().items():
            page = (ROOT / "docs" / name).read_text()
            self.assertEqual(page, text, f"{name}: run `make docs`")

    def test_each_event_and_metric_of_the_pages_is_used(self):
        sources = "".join(
            path.read_text() for path in (ROOT / "rhubarbwinch").rglob("*.py")
        )
        for module in (events, metrics):
            stem = module.__name__.rpartition(".")[2]
            names = re.findall(
                r"^([A-Z_]+) = (?:Event|define)\(",
                inspect.getsource(module),
                re.M,
            )
            used = set(re.findall(rf"\b{stem}\.([A-Z_]+)\b", sources))
            self.assertEqual(set(names) - used, set())

    def test_each_failure_has_a_status_and_a_meaning(self):
        self.assertEqual(set(apicatalogue.PROBLEMS), set(Reason))
        self.assertEqual(set(problems.STATUS), set(Reason))
