"""Tests of the log output that never blocks on its reader."""

import os
import unittest

from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.logoutput import (
    MAX_LINES_PER_WINDOW,
    WINDOW_MS,
    LineOutput,
)

LINE = b"x" * 999 + b"\n"


class LineOutputTest(unittest.TestCase):
    """Log lines written to a pipe."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = ManualClock()
        self.dropped = []
        self.output = LineOutput(
            writer, self.clock, lambda: self.dropped.append(1)
        )

    def test_each_event_has_its_own_line_limit(self):
        for _ in range(MAX_LINES_PER_WINDOW + 5):
            self.output.write(1, b"a\n")
        self.output.write(2, b"b\n")
        self.assertEqual(self.output.pop_dropped_count(), 5)
        self.clock.set(WINDOW_MS)
        self.output.write(1, b"c\n")
        data = os.read(self.reader, 100_000)
        self.assertEqual(data, b"a\n" * MAX_LINES_PER_WINDOW + b"b\nc\n")

    def test_lines_are_dropped_instead_of_blocking_on_a_stalled_reader(self):
        for number in range(300):
            self.output.write(number, LINE)
        self.assertGreater(len(self.dropped), 100)
        data = os.read(self.reader, 1_000_000)
        self.output.write(999, b"last\n")
        data += os.read(self.reader, 1_000_000)
        # No line is written in part only.
        self.assertTrue(data.endswith(b"\nlast\n"))
        self.assertEqual(data.count(b"x") % 999, 0)
