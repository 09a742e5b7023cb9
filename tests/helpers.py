"""Helpers of the tests: coroutines, golden files and separate processes."""

import functools
import os
import pathlib
import unittest

import anyio

from lab.processes import ROOT, Processes, free_address, wait_until

__all__ = ["ROOT", "Processes", "free_address", "wait_until"]

GOLD = pathlib.Path(__file__).parent / "gold"


def asynchronous(test):
    """Runs a test coroutine with anyio and fails it after 60 s."""

    @functools.wraps(test)
    def run(self):
        async def bounded():
            with anyio.fail_after(60):
                await test(self)

        anyio.run(bounded)

    return run


class GoldTestCase(unittest.TestCase):
    """A test case that compares text with golden files."""

    maxDiff = None

    def assert_gold(self, name, text):
        """Compares with `gold/<name>.txt`; UPDATE_GOLD=1 rewrites the file."""
        path = GOLD / f"{name}.txt"
        if os.environ.get("UPDATE_GOLD"):
            path.write_text(text)
        self.assertEqual(path.read_text(), text)
