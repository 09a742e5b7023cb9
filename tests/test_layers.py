"""Tests that the folders of the package import each other in one order."""

import re
import unittest

from tests.helpers import ROOT

PACKAGE = ROOT / "rhubarbwinch"
# A folder may import from itself and from the folders before it.
LAYERS = (
    "shared",
    "stores",
    "links",
    "http",
    "records",
    "membership",
    "configuration",
    "endpoints",
    "admission",
    "claims",
    "callers",
    "orders",
    "gateway",
    "platform",
    "programs",
)


def imported_folders(path):
    """Returns the folders of the package that a module imports from."""
    text = path.read_text()
    found = set(re.findall(r"from rhubarbwinch\.(\w+)", text))
    return found & set(LAYERS)


class LayersTest(unittest.TestCase):
    """The layers of the package and the page that describes them."""

    def test_each_folder_is_a_listed_layer(self):
        found = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
        self.assertEqual(found, set(LAYERS))

    def test_no_folder_imports_a_later_one(self):
        wrong_imports = [
            f"{path.relative_to(ROOT)} imports {folder}"
            for position, layer in enumerate(LAYERS)
            for path in sorted((PACKAGE / layer).glob("*.py"))
            for folder in imported_folders(path)
            if LAYERS.index(folder) > position
        ]
        self.assertEqual(wrong_imports, [])

    def test_the_architecture_page_has_a_row_for_each_folder(self):
        text = (ROOT / "docs" / "architecture.md").read_text()
        rows = re.findall(r"^\| `(\w+)/` \|", text, re.MULTILINE)
        self.assertEqual(tuple(rows), LAYERS)
