"""Tests how a gateway tells that it is cut off from the endpoints."""

import unittest

import anyio

from rhubarbwinch.gateway.isolation import (
    FAILURE_RETENTION_MS,
    MIN_ENDPOINTS,
    Isolation,
)
from rhubarbwinch.gateway.isolationmonitor import (
    MAX_ASKED,
    PROBE_INTERVAL_MS,
    IsolationMonitor,
)
from rhubarbwinch.shared.clock import ManualClock
from tests import gatewaybuilders as build
from tests.helpers import asynchronous

ENDPOINTS = [f"e{i}" for i in range(1, 7)]


class IsolationTest(unittest.TestCase):
    """The decision."""

    def setUp(self):
        self.isolation = Isolation()

    def _fail(self, *endpoints, at_ms=0):
        for endpoint in endpoints:
            self.isolation.record_failure("svc", endpoint, at_ms)

    def test_some_endpoints_must_fail_in_a_row(self):
        self._fail("e1", "e2")
        self.assertFalse(self.isolation.is_suspected("svc", ENDPOINTS, 1))
        self._fail("e3")
        self.assertTrue(self.isolation.is_suspected("svc", ENDPOINTS, 1))
        self.isolation.record_connection("svc")
        self.assertFalse(self.isolation.is_suspected("svc", ENDPOINTS, 1))

    def test_all_endpoints_of_a_small_service_must_fail(self):
        self._fail("e1")
        self.assertFalse(self.isolation.is_suspected("svc", ["e1", "e2"], 1))
        self._fail("e2")
        self.assertTrue(self.isolation.is_suspected("svc", ["e1", "e2"], 1))

    def test_failures_of_long_ago_or_of_other_services_do_not_count(self):
        self._fail(*ENDPOINTS)
        late = FAILURE_RETENTION_MS + 1
        self.assertFalse(self.isolation.is_suspected("svc", ENDPOINTS, late))
        self.assertFalse(self.isolation.is_suspected("other", ENDPOINTS, 1))
        self.assertFalse(self.isolation.is_suspected("svc", [], 1))

    def test_after_a_failure_as_many_endpoints_are_probed_as_it_takes(self):
        self.assertEqual(self.isolation.next_probes("svc", ENDPOINTS, 0), [])
        self._fail("e1")
        probes = self.isolation.next_probes("svc", ENDPOINTS, 1)
        self.assertEqual(probes, ["e2", "e3"][: MIN_ENDPOINTS - 1])

    def test_a_gateway_that_is_cut_off_probes_all_endpoints_in_turn(self):
        self.isolation.mark_isolated("svc")
        self.assertEqual(self.isolation.services, ["svc"])
        probes = []
        for _ in range(2):
            probes += self.isolation.next_probes("svc", ENDPOINTS, 0)
        self.assertEqual(sorted(probes), ENDPOINTS)
        self.assertEqual(len(self.isolation.next_probes("svc", ["e1"], 0)), 1)
        self.assertTrue(self.isolation.record_connection("svc"))
        self.assertFalse(self.isolation.is_isolated("svc"))


class Network:
    """The endpoints that a gateway and its peers reach."""

    def __init__(self, unreachable=(), elsewhere=True):
        self.unreachable = set(unreachable)
        self.elsewhere = elsewhere
        self.probed = []
        self.asked = []
        self.changes = 0
        self.clock = ManualClock()
        self.isolation = Isolation()
        self.monitor = IsolationMonitor(
            self.isolation,
            self.clock,
            lambda service: [build.endpoint(name) for name in ENDPOINTS],
            self._is_unreachable,
            self._is_reached_elsewhere,
            self._count_change,
        )

    async def _is_unreachable(self, address):
        name = f"e{int(address.split(':')[1]) - 9000}"
        self.probed.append(name)
        return name in self.unreachable

    async def _is_reached_elsewhere(self, address):
        self.asked.append(address)
        return self.elsewhere

    def _count_change(self):
        self.changes += 1

    async def fail(self, name):
        """Reports a failed connection, and lets the monitor probe."""
        self.monitor.record_unreachable("svc", name)
        await self.clock.advance(PROBE_INTERVAL_MS)


class IsolationMonitorTest(unittest.TestCase):
    """The probes of a gateway."""

    async def _run(self, network, play):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.monitor.run)
            await play()
            tasks.cancel_scope.cancel()

    @asynchronous
    async def test_a_single_endpoint_that_is_down_is_no_isolation(self):
        network = Network(["e1"])
        await self._run(network, lambda: network.fail("e1"))
        self.assertEqual(network.probed, ["e2", "e3"])
        self.assertEqual((network.asked, network.changes), ([], 0))

    @asynchronous
    async def test_a_gateway_that_reaches_no_endpoint_is_cut_off(self):
        network = Network(ENDPOINTS)

        async def play():
            await network.fail("e1")
            self.assertTrue(network.isolation.is_isolated("svc"))
            self.assertEqual(network.changes, 1)
            await network.clock.advance(3 * PROBE_INTERVAL_MS)
            network.unreachable = {"e2"}
            await network.clock.advance(2 * PROBE_INTERVAL_MS)
            self.assertFalse(network.isolation.is_isolated("svc"))

        await self._run(network, play)
        self.assertEqual(network.changes, 2)
        self.assertLessEqual(len(network.probed), 6 * MIN_ENDPOINTS)

    @asynchronous
    async def test_busy_endpoints_that_accept_some_connections_look_cut_off(
        self,
    ):
        # Of each four connections one is made; probes come too late to show it.
        network = Network(ENDPOINTS)

        async def play():
            for name in ("e1", "e2", "e3", "e4"):
                network.monitor.record_unreachable("svc", name)
                await network.clock.advance(PROBE_INTERVAL_MS)
            self.assertTrue(network.isolation.is_isolated("svc"))
            network.monitor.record_connected("svc")
            self.assertFalse(network.isolation.is_isolated("svc"))
            self.assertEqual(network.changes, 2)

        await self._run(network, play)

    @asynchronous
    async def test_it_asks_few_times_whether_others_reach_the_endpoints(self):
        for elsewhere in (False, None, True):
            network = Network(ENDPOINTS, elsewhere)
            await self._run(network, lambda n=network: n.fail("e1"))
            self.assertTrue(network.isolation.is_isolated("svc"))
            self.assertLessEqual(len(network.asked), MAX_ASKED)

    @asynchronous
    async def test_a_silent_endpoint_that_accepts_connections_is_not_down(self):
        network = Network()

        async def play():
            network.monitor.check_endpoint(build.endpoint("e4"))
            await network.clock.advance(PROBE_INTERVAL_MS)

        await self._run(network, play)
        self.assertEqual(network.probed, ["e4"])
        self.assertEqual(network.changes, 0)

    @asynchronous
    async def test_silent_endpoints_of_a_gateway_that_is_cut_off(self):
        network = Network(ENDPOINTS)

        async def play():
            network.monitor.check_endpoint(build.endpoint("e4"))
            await network.clock.advance(PROBE_INTERVAL_MS)

        await self._run(network, play)
        self.assertTrue(network.isolation.is_isolated("svc"))
