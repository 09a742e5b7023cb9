"""Tests of the broker's pools when the configuration changes."""

import random
import unittest

import anyio

from rhubarbwinch.membership.members import Role
from rhubarbwinch.programs.broker import BrokerPools
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.metrics import Metrics
from rhubarbwinch.shared.verdict import Reason, Verdict
from tests import builders
from tests.helpers import asynchronous


class BrokerPoolsTest(unittest.TestCase):
    """Requests that wait for a permit while pools are removed."""

    def setUp(self):
        self.clock = ManualClock()
        self.pools = BrokerPools(
            self.clock, random.Random(1), Metrics("", Role.BROKER)
        )
        engines = [builders.endpoint("engine-1")]
        self.pool = builders.pool("vintner", engines, max_running=1)
        self._configure(1, self.pool)
        self.replies = {}

    def _configure(self, generation, *items):
        self.pools.configure(acceptedconfig.make_snapshot(generation, items))

    async def _ask(self, request_id):
        request = builders.permit_request(request_id, wait_ms=60_000)
        self.replies[request_id] = await self.pools.decide(request)

    @asynchronous
    async def test_a_waiting_request_is_refused_when_its_pool_is_removed(self):
        async with anyio.create_task_group() as tasks:
            for request_id in ("r1", "r2"):
                tasks.start_soon(self._ask, request_id)
                await anyio.wait_all_tasks_blocked()
            self.assertEqual(list(self.replies), ["r1"])
            self._configure(2)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        failure = self.replies["r2"].failure
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertIs(failure.reason, Reason.NO_ENDPOINT)
        self.assertGreater(failure.retry_after_ms, 0)

    @asynchronous
    async def test_a_request_for_an_unknown_pool_is_refused_with_a_retry_time(
        self,
    ):
        self._configure(2)
        await self._ask("r1")
        self.assertGreater(self.replies["r1"].failure.retry_after_ms, 0)
