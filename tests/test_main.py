"""Tests of `python -m rhubarbwinch <program>`."""

import subprocess
import sys
import unittest

from tests.helpers import ROOT

# Replaces the import of the program's module by a function that sends SIGHUP
# to its own process: the platform may send SIGHUP while a gateway is importing.
START_WITH_SIGHUP = """
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
    """The time between the start of a process and its main function."""

    def test_a_gateway_survives_sighup_while_it_starts(self):
        result = subprocess.run(
            [sys.executable, "-c", START_WITH_SIGHUP],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual((result.returncode, result.stdout), (0, "started\n"))
