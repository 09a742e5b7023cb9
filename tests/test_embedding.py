"""Tests of the public names that other programs can import."""

import contextlib
import importlib
import io
import re
import unittest

from tests.helpers import ROOT


class EmbeddingTest(unittest.TestCase):
    """Checks docs/embedding.md and its example against the package."""

    def test_every_name_on_the_page_can_be_imported(self):
        text = (ROOT / "docs" / "embedding.md").read_text()
        names = re.findall(r"`([a-z]+\.[a-z]+)\.([A-Z]\w+)`", text)
        self.assertGreater(len(names), 20)
        for module, name in names:
            found = importlib.import_module(f"rhubarbwinch.{module}")
            self.assertTrue(hasattr(found, name), f"{module}.{name}")

    def test_the_example_places_a_request(self):
        example = importlib.import_module("examples.embed_admission")
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            example.main()
        self.assertEqual(output.getvalue(), "r1: 127.0.0.1:8000\n")
