"""Tests the registration of a gateway in stores that fail or are restored."""

import unittest

import anyio

from rhubarbwinch.gateway.messages import PeerAddress
from rhubarbwinch.gateway.registration import (
    ERA_CHECK_MS,
    LEASE_MS,
    RENEW_MS,
    RETRY_MS,
    GatewayRegistration,
)
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.stores.memstore import MemoryStore
from tests.helpers import asynchronous

KEY = "gateways/g1"
MAX_ERA_READS = 10_000


class RegistrationTest(unittest.TestCase):
    """One gateway and a store in memory."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.era = 0
        address = PeerAddress("10.0.0.1:1", "10.0.0.1:2")
        self.registration = GatewayRegistration(
            self.store, self.clock, KEY, address, self._current_era
        )
        self.era_reads = 0

    def _current_era(self):
        self.era_reads += 1
        if self.era_reads > MAX_ERA_READS:
            # The clock does not move while the registration never sleeps.
            raise AssertionError(
                "the registration asks for the era all the time"
            )
        return self.era

    async def _run(self, steps):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.registration.run)
            await self.clock.advance(1)
            await steps()
            tasks.cancel_scope.cancel()

    @asynchronous
    async def test_a_gateway_is_missing_from_a_restored_store(self):
        copy = self.store.make_copy()

        async def steps():
            self.era = 1
            await self.clock.advance(ERA_CHECK_MS)
            for _ in range(2):
                self.store.restore(copy)
                # Another gateway is given the lease that this one had.
                await self.store.grant_lease(10 * LEASE_MS)
                self.era += 1
                await self.clock.advance(ERA_CHECK_MS)
                self.assertIsNotNone(await self.store.get(KEY))
            await self.clock.advance(3 * LEASE_MS)
            self.assertIsNotNone(await self.store.get(KEY))

        await self._run(steps)

    @asynchronous
    async def test_a_lease_of_an_earlier_era_is_renewed(self):
        async def steps():
            self.era = 1
            await self.clock.advance(ERA_CHECK_MS)
            leases = set(self.store._leases)
            self.store.faults.down = True
            self.era = 2
            await self.clock.advance(ERA_CHECK_MS + RETRY_MS)
            self.store.faults.down = False
            await self.clock.advance(RENEW_MS)
            self.assertEqual(len(set(self.store._leases) - leases), 1)

        await self._run(steps)

    @asynchronous
    async def test_the_first_known_era_causes_no_registration(self):
        async def steps():
            calls = self.store.calls
            self.era = 7
            await self.clock.advance(RENEW_MS - 2)
            self.assertEqual(self.store.calls, calls)

        await self._run(steps)
