"""Tests of supervisors: restarts, their backoff and their limit."""

import pathlib
import tempfile
import unittest

import anyio

from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import RestartLimitError
from rhubarbwinch.shared.supervisor import RestartLimit, Supervisor
from tests.fleet import Fleet
from tests.helpers import asynchronous


class RecordingClock(ManualClock):
    """A clock whose sleeps end at once; it records their durations."""

    def __init__(self):
        super().__init__()
        self.sleeps = []

    async def sleep(self, ms):
        """Records the duration and advances the clock by it."""
        self.sleeps.append(ms)
        self.set(self.now() + ms)
        await anyio.lowlevel.checkpoint()


class Failing:
    """A task that fails a number of times and then returns.

    Args:
        times: How often the task fails.
    """

    def __init__(self, times):
        self.starts = 0
        self._times = times

    async def run(self):
        """Raises OSError until the task has failed often enough."""
        self.starts += 1
        if self.starts <= self._times:
            raise OSError(f"start {self.starts}")


class SupervisorTest(unittest.TestCase):
    """A supervisor with children that fail."""

    @asynchronous
    async def test_a_child_is_restarted_with_growing_waits(self):
        clock, child = RecordingClock(), Failing(5)
        tree = Supervisor("tree", clock)
        tree.add("child", child.run, RestartLimit(5, 60_000, 50, 300))
        await tree.run()
        self.assertEqual(child.starts, 6)
        self.assertEqual(clock.sleeps, [50, 100, 200, 300, 300])

    @asynchronous
    async def test_past_the_limit_the_siblings_end_and_the_tree_fails(self):
        clock, ended = RecordingClock(), []

        async def sibling():
            try:
                await anyio.sleep_forever()
            finally:
                ended.append("sibling")

        tree = Supervisor("tree", clock)
        tree.add("sibling", sibling)
        tree.add("child", Failing(9).run, RestartLimit(2))
        with self.assertRaisesRegex(RestartLimitError, "tree/child: start 3"):
            await tree.run()
        self.assertEqual(ended, ["sibling"])

    @asynchronous
    async def test_failures_outside_the_window_do_not_count(self):
        clock, child = RecordingClock(), Failing(6)
        tree = Supervisor("tree", clock)
        # Each backoff is as long as the window, so no two failures fall into
        # the same window.
        tree.add("child", child.run, RestartLimit(1, 100, 100, 100))
        await tree.run()
        self.assertEqual(child.starts, 7)

    @asynchronous
    async def test_a_tree_under_a_tree_is_restarted(self):
        clock, child = RecordingClock(), Failing(2)
        inner = Supervisor("inner", clock)
        inner.add("child", child.run, RestartLimit(1))
        outer = Supervisor("outer", clock)
        outer.add("inner", inner.run)
        await outer.run()
        self.assertEqual(child.starts, 3)

    def test_a_program_past_its_restart_limit_exits_with_status_1(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        logs = pathlib.Path(directory)
        with Fleet(logs=logs) as fleet:
            # The address is in use, so the HTTP interface fails at each start.
            fleet.start_role("broker", "second", fleet.entries[0])
            self.assertEqual(fleet.wait("second"), 1)
        text = (logs / "second.log").read_text()
        self.assertIn("RW0010 child-failed", text)
        self.assertIn("RW0011 restart-limit", text)
