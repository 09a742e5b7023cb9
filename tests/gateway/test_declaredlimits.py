"""Tests the record of the rate limits that endpoints declare."""

import unittest

from lab.standins.platformengine import engine_headers
from rhubarbwinch.gateway.declaredlimits import DeclaredLimits
from rhubarbwinch.gateway.platforminterface import DeclaredState
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous


def limiting(*values):
    """Returns a handler that declares these limits one after the other."""
    remaining = list(values)

    async def run(received_request, responder):
        head = engine_headers(received_request)
        value = remaining.pop(0) if remaining else None
        if value is not None:
            head.append((b"Server-Limit", value))
        await responder.send(200, head, b"ok")

    return run


class DeclaredLimitsTest(unittest.TestCase):
    """The limit of each endpoint, as of its last response."""

    def test_the_last_response_decides(self):
        limits = DeclaredLimits()
        found = [
            limits.record("e1", DeclaredState(rate), now)
            for now, rate in enumerate((None, 2.0, 2.0, 1.0, None))
        ]
        self.assertEqual(found, [False, True, False, True, True])
        self.assertIsNone(limits.rate("e1"))

    @asynchronous
    async def test_a_changed_limit_is_logged(self):
        async with running_gateway(engines=1) as gateway:
            gateway.engines[0].handler = limiting(b"1000", b"1000", None)
            with self.assertLogs("absl", "INFO") as logs:
                for _ in range(3):
                    await gateway.call()
        changes = [x for x in logs.output if "rate-limit-changed" in x]
        self.assertEqual(len(changes), 2, logs.output)
        self.assertIn("per_second=1000.0", changes[0])
        self.assertIn("before=1000.0", changes[1])
