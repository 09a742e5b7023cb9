"""Tests of the installed scripts."""

import importlib
import tomllib
import unittest

from tests.helpers import ROOT


class ScriptsTest(unittest.TestCase):
    """The scripts of pyproject.toml."""

    def test_each_script_resolves_to_a_function(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        scripts = project["project"]["scripts"]
        names = ("entry", "broker", "control", "gateway", "explain")
        wanted = {f"rhubarbwinch-{name}" for name in names}
        self.assertEqual(set(scripts), wanted | {"rhubarbwinchctl"})
        for target in scripts.values():
            module, _, name = target.partition(":")
            found = getattr(importlib.import_module(module), name)
            self.assertTrue(callable(found), target)
