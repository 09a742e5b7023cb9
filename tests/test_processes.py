"""Tests of `lab.processes`."""

import unittest
from unittest import mock

from lab import processes


class FreeAddressTest(unittest.TestCase):
    """The choice of free ports."""

    def test_a_port_is_assigned_once(self):
        first = processes.free_address()
        port = int(first.rpartition(":")[2])
        other = port - 1 if port > processes.LOWEST_PORT else port + 1
        random_ports = iter([port, other, *range(processes.LOWEST_PORT, port)])
        with mock.patch.object(
            processes.random,
            "randrange",
            side_effect=lambda *_: next(random_ports),
        ):
            self.assertNotEqual(processes.free_address(), first)
