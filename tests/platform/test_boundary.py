"""Tests that the platform's names occur only in its folder."""

import re
import unittest

from tests.helpers import ROOT

NAMES = re.compile(
    r"attempt-id|token-usage|prefix-hash|deadline-ms|expect-instance|"
    r"not-executed|kv-(?:from|backup|hold|fetch|move|txn|watch|range|lease|"
    r"keep|key|handle)|server-signature|length-hint|request-priority|"
    r"op/config|\bservers/|cold_remaining_ms|target_latency_ms",
    re.IGNORECASE,
)


class BoundaryTest(unittest.TestCase):
    """The source files of the package."""

    def test_wire_names_occur_only_in_the_platform_folder(self):
        package = ROOT / "rhubarbwinch"
        found = [
            f"{path.relative_to(ROOT)}: {match[0]}"
            for path in sorted(package.rglob("*.py"))
            if "platform" not in path.relative_to(package).parts
            for match in NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_only_the_command_line_imports_the_platform_folder(self):
        importers = {
            path.name
            for path in (ROOT / "rhubarbwinch").rglob("*.py")
            if path.parent.name != "platform"
            and re.search(
                r"rhubarbwinch[. ](import )?platform\b", path.read_text()
            )
        }
        self.assertEqual(importers, {"gatewaymain.py"})
