"""Tests of the check of the event loop's descriptors."""

import pathlib
import tempfile
import unittest

from rhubarbwinch.shared.eventloop import check_no_io_uring
from rhubarbwinch.shared.exceptions import EventLoopError


class EventLoopTest(unittest.TestCase):
    def test_an_io_uring_among_the_descriptors_is_refused(self):
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            (directory / "0").symlink_to("/dev/null")
            check_no_io_uring(directory)
            (directory / "1").symlink_to("anon_inode:[io_uring]")
            with self.assertRaises(EventLoopError):
                check_no_io_uring(directory)

    def test_this_process_passes(self):
        check_no_io_uring()
