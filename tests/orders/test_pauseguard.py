"""Tests that a process paused past its deadline ends before it can send."""

import os
import signal
import socket
import subprocess
import sys
import unittest

from tests.helpers import ROOT

# Stops itself between the check and the send, like a process that is paused
# from outside.
PAUSED_SENDER = """
import os, signal, socket, sys
from contextlib import nullcontext
from rhubarbwinch.orders.pauseguard import end_if_paused
peer = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
with end_if_paused(50) if sys.argv[2] == "guarded" else nullcontext():
    os.kill(os.getpid(), signal.SIGSTOP)
    peer.sendall(b"order")
"""


class PauseGuardTest(unittest.TestCase):
    """Sender processes that are stopped and continued by signals."""

    def test_a_sender_that_was_stopped_past_the_deadline_sends_nothing(self):
        status, received = self._run("guarded")
        self.assertEqual(status, -signal.SIGALRM)
        self.assertEqual(received, b"")

    def test_without_the_guard_the_order_is_sent(self):
        status, received = self._run("bare")
        self.assertEqual(status, 0)
        self.assertEqual(received, b"order")

    def _run(self, mode):
        """Returns the sender's exit status and the bytes that it sent."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = str(server.getsockname()[1])
            sender = subprocess.Popen(
                [sys.executable, "-c", PAUSED_SENDER, port, mode], cwd=ROOT
            )
            peer, _ = server.accept()
            os.waitid(os.P_PID, sender.pid, os.WSTOPPED)
            # The sender stays stopped until after its deadline.
            self._outlast_deadline()
            sender.send_signal(signal.SIGCONT)
            status = sender.wait()
            with peer:
                return status, peer.recv(100)

    def _outlast_deadline(self):
        signal.sigtimedwait([], 0.2)
