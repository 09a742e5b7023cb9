"""Engines that leave during a store outage."""

import unittest

import anyio

from rhubarbwinch.gateway.outage import (
    POLL_INTERVAL_MS,
    STALE_AND_FAILING_MS,
    STALE_MS,
    OutageMonitor,
)
from rhubarbwinch.gateway.platforminterface import EngineReport
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import EndpointError
from tests.gatewaybuilders import endpoint
from tests.helpers import asynchronous


class Reports:
    """Scripted engine reports by address; other addresses fail."""

    def __init__(self, **reports):
        self.reports = reports
        self.polled = []

    async def report(self, address):
        self.polled.append(address)
        engine_report = self.reports.get(address)
        if engine_report is None:
            raise EndpointError("no answer", sent=True)
        return engine_report


def _report(leaves_ms=None, is_leaving=False):
    return EngineReport(leaves_ms, is_leaving)


class OutageMonitorTest(unittest.TestCase):
    """An outage monitor on a manual clock."""

    async def _run(self, stale_ms, ms, is_failing=False, expired=0):
        self.leaving = []
        engines = [endpoint(f"e{i}") for i in (1, 2, 3)]
        self.calls = Reports()
        self.calls.reports = {
            engines[0].address: _report(),
            engines[1].address: _report(leaves_ms=900),
        }
        clock = ManualClock()
        monitor = OutageMonitor(
            clock,
            self.calls,
            lambda: stale_ms,
            lambda: is_failing,
            lambda: engines,
            lambda: engines[:expired],
            lambda engine: self.leaving.append(engine.id),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(monitor.run)
            await clock.advance(ms)
            tasks.cancel_scope.cancel()

    @asynchronous
    async def test_no_engine_is_polled_while_the_store_responds(self):
        await self._run(STALE_MS, 5_000)
        self.assertEqual(self.calls.polled, [])

    @asynchronous
    async def test_an_engine_that_reports_its_shutdown_is_detected(self):
        await self._run(STALE_MS + 1, POLL_INTERVAL_MS - 1)
        self.assertEqual(self.leaving, ["e2"])
        self.assertEqual(len(self.calls.polled), 3)

    @asynchronous
    async def test_an_engine_whose_entry_has_expired_is_polled(self):
        await self._run(0, POLL_INTERVAL_MS - 1, expired=2)
        self.assertEqual(self.leaving, ["e2"])
        self.assertEqual(len(self.calls.polled), 2)

    @asynchronous
    async def test_after_a_failed_call_engines_are_polled_earlier(self):
        await self._run(
            STALE_AND_FAILING_MS + 1, POLL_INTERVAL_MS - 1, is_failing=True
        )
        self.assertEqual(self.leaving, ["e2"])
        await self._run(
            STALE_AND_FAILING_MS, POLL_INTERVAL_MS - 1, is_failing=True
        )
        self.assertEqual(self.leaving, [])
