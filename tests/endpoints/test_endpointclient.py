"""Tests of calls to engines whose failure is logged and otherwise ignored."""

import unittest

import anyio
import httpx

from rhubarbwinch.endpoints.endpointclient import EndpointClient

SILENCE_MS = 1_000


def refuse_connection(request):
    """Fails like a connection to an engine that has stopped."""
    raise httpx.ConnectError("refused", request=request)


class EndpointClientTest(unittest.TestCase):
    """An engine that can't be reached."""

    def test_a_failed_cancel_or_priority_change_is_logged(self):
        client = EndpointClient(
            SILENCE_MS, httpx.MockTransport(refuse_connection)
        )
        for call in (
            lambda: client.cancel("127.0.0.1:1", "g1"),
            lambda: client.set_priority("127.0.0.1:1", "g1", 3),
        ):
            with self.assertLogs("absl", "INFO") as logs:
                anyio.run(call)
            self.assertIn("endpoint-unreached", logs.output[0])
            self.assertIn("generations/g1", logs.output[0])
