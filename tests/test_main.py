"""Tests of starting a program by its name."""

import subprocess
import sys
import unittest

from tests.helpers import ROOT

# The module of the program is found by sending the process a SIGHUP, as the
# platform may while a gateway is still importing.
STARTED_UNDER_SIGHUP = """
import importlib, os, signal, sys, types
from rhubarbwinch import __main__

def import_module(name):
    os.kill(os.getpid(), signal.SIGHUP)
    return types.SimpleNamespace(main=lambda: print("started"))

importlib.import_module = import_module
sys.argv = ["rhubarbwinch", "gateway"]
__main__.main()
"""


class MainTest(unittest.TestCase):
    """The start of a program."""

    def test_a_gateway_that_is_told_to_reload_while_it_starts_goes_on(self):
        found = subprocess.run(
            [sys.executable, "-c", STARTED_UNDER_SIGHUP],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual((found.returncode, found.stdout), (0, "started\n"))
