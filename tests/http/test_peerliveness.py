"""Tells dead peers from peers that do not read."""

import socket
import struct
import unittest

from rhubarbwinch.http import peerliveness

LIMIT_MS = 8_000


class KernelState:
    """A socket with a state that a test sets.

    Args:
        retransmits: Timeouts of sent bytes since the last acknowledgement.
        probes: Unanswered probes of a closed window.
        last_ack_ms: The time since the last acknowledgement.
    """

    def __init__(self, retransmits=0, probes=0, last_ack_ms=0):
        small = [1, 0, retransmits, probes, 0, 0, 0, 0]
        self._raw = struct.pack("8B13I", *small, *[0] * 12, last_ack_ms)

    def getsockopt(self, level, option, size):
        """Returns the state in the form of the kernel."""
        return self._raw[:size]


class SilentPeerTest(unittest.TestCase):
    """Peers are judged by the state of the kernel."""

    def _is_silent(self, **state):
        return peerliveness.is_silent(KernelState(**state), LIMIT_MS)

    def test_a_peer_that_acknowledges_nothing_is_silent(self):
        self.assertTrue(self._is_silent(retransmits=6, last_ack_ms=LIMIT_MS))
        self.assertTrue(self._is_silent(probes=3, last_ack_ms=LIMIT_MS))

    def test_a_peer_that_acknowledges_probes_is_alive(self):
        # The next probe is sent long after the last one, and was just sent.
        self.assertFalse(self._is_silent(probes=1, last_ack_ms=2 * LIMIT_MS))

    def test_an_idle_peer_is_alive(self):
        self.assertFalse(self._is_silent(last_ack_ms=9 * LIMIT_MS))

    def test_lost_packets_alone_make_no_peer_silent(self):
        self.assertFalse(
            self._is_silent(retransmits=5, last_ack_ms=LIMIT_MS - 1)
        )

    def test_the_state_of_a_real_connection_is_read(self):
        ours, theirs = socket.socket(), socket.socket()
        with ours, theirs:
            theirs.bind(("127.0.0.1", 0))
            theirs.listen()
            ours.connect(theirs.getsockname())
            self.assertFalse(peerliveness.is_silent(ours, 0))
