"""Rejects an event loop that uses io_uring, which the VMs do not allow."""

import os
import pathlib

from rhubarbwinch.shared.exceptions import EventLoopError

DESCRIPTOR_DIRECTORY = pathlib.Path("/proc/self/fd")
_IO_URING = "anon_inode:[io_uring]"


def check_no_io_uring(directory: pathlib.Path = DESCRIPTOR_DIRECTORY) -> None:
    """Checks the process's descriptors; call it while the event loop runs.

    Raises:
        EventLoopError: An open descriptor is an io_uring.
    """
    for path in directory.iterdir():
        try:
            target = os.readlink(path)
        except FileNotFoundError:
            # The descriptor of the directory listing itself is closed by now.
            continue
        if target == _IO_URING:
            raise EventLoopError("the event loop uses io_uring")
