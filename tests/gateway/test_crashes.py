"""Requests that crash endpoints."""

import unittest

import anyio

from rhubarbwinch.gateway.crashes import (
    MAX_CRASHES,
    MAX_SUSPECTS,
    SUSPECT_RETENTION_MS,
    CrashTracker,
    fingerprint,
)
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.shared.clock import ManualClock
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous


class CrashTrackerTest(unittest.TestCase):
    """When a request is refused after recorded crashes."""

    def setUp(self):
        self.tracker = CrashTracker(None, ManualClock(), None)

    def _crash(self, request, endpoints, now=0):
        for endpoint in endpoints:
            self.tracker.record_crash(request, endpoint, now)

    def test_a_request_is_refused_after_crashes_of_several_endpoints(self):
        self._crash("r", ["e1", "e2", "e2", "e1"])
        self.assertFalse(self.tracker.is_refused("r", 1))
        self._crash("r", ["e3"])
        self.assertTrue(self.tracker.is_refused("r", 1))
        self.assertFalse(self.tracker.is_refused("other", 1))

    def test_success_clears_a_request(self):
        self._crash("r", ["e1", "e2"])
        self.tracker.clear("r")
        self._crash("r", ["e3"])
        self.assertFalse(self.tracker.is_refused("r", 1))

    def test_crashes_of_long_ago_do_not_count(self):
        self._crash("r", ["e1", "e2", "e3"])
        self.assertFalse(self.tracker.is_refused("r", SUSPECT_RETENTION_MS + 1))
        self._crash("r", ["e4"], SUSPECT_RETENTION_MS + 2)
        self.assertFalse(self.tracker.is_refused("r", SUSPECT_RETENTION_MS + 2))

    def test_the_number_of_suspects_is_bounded(self):
        for i in range(MAX_SUSPECTS + 50):
            self._crash(f"r{i}", ["e1"], i)
        self.assertEqual(len(self.tracker._suspects), MAX_SUSPECTS)

    def test_requests_that_differ_in_any_part_have_other_fingerprints(self):
        parts = [("a", b"/x", b"b"), ("a", b"/", b"xb"), ("ax", b"/", b"b")]
        self.assertEqual(len({fingerprint(*p) for p in parts}), 3)


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes every endpoint it reaches."""

    @asynchronous
    async def test_it_reaches_no_endpoint_after_the_third_crash(self):
        table = build.table(build.route(CallKind.NON_IDEMPOTENT))
        async with running_gateway(engines=6, table=table) as gateway:

            async def crash(received_request, responder):
                """Makes the endpoint unreachable during the request."""
                name = received_request.headers["expect-instance"]
                known = gateway.context.fleet.get(name)
                unreachable = build.endpoint(name, address="127.0.0.1:1")
                known.endpoint = unreachable

            async def is_gone(address):
                return True

            gateway.context.crashes._is_gone = is_gone
            for engine in gateway.engines:
                engine.handler = crash
            statuses = []
            for i in range(6):
                statuses.append((await gateway.call(f"q{i}")).status)
                # The crash is detected after the caller has its response.
                while len(gateway.broadcasts) < min(i + 1, MAX_CRASHES):
                    await anyio.sleep(0)
        self.assertEqual(len(gateway.received), MAX_CRASHES)
        self.assertEqual(statuses[:3], [502] * 3)
        self.assertEqual(statuses[-1], 503)
        self.assertEqual(len(gateway.broadcasts), MAX_CRASHES)
