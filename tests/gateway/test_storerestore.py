"""Tests gateway processes whose store is restored from an older copy."""

import signal
import unittest

import anyio

from lab.standins import platformfiles
from tests.gatewayprocesses import config, deployment
from tests.helpers import asynchronous

GATEWAYS = (1, 2, 3)
# Writes that the copy lacks, so that revisions are given out again.
LOST_WRITES = 30


class StoreRestoreTest(unittest.TestCase):
    """What was written since the copy is lost, and revisions go back."""

    async def _start(self, d):
        for number in GATEWAYS:
            d.start(number)
        for number in GATEWAYS:
            await d.until(lambda n=number: d.is_ready(n))

    async def _lose_writes(self, d):
        for number in range(LOST_WRITES):
            await d.store.put("other/key", b"%d" % number)

    async def _until_one(self, d, key, status):
        async def check():
            return (await d.call(1, key, key)).status_code == status

        await d.until(check)

    async def _until_all(self, d, key, status):
        async def check():
            found = [
                (await d.call(n, f"{key}-{n}", key)).status_code
                for n in GATEWAYS
            ]
            return found == [status] * len(found)

        await d.until(check)

    @asynchronous
    async def test_a_configuration_written_after_a_restore_is_ignored(self):
        async with deployment() as d:
            await self._start(d)
            copy = d.store.memory.make_copy()
            await self._lose_writes(d)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(2, keys=("k1", "k2"))
            )
            await self._until_all(d, "k2", 200)
            d.store.restore(copy)
            # The copy has version 1, which must not come into force again.
            await anyio.sleep(1.5)
            await self._until_all(d, "k2", 200)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(3, keys=("k1", "k3"))
            )
            await self._until_all(d, "k3", 200)
            await self._until_all(d, "k2", 401)

    @asynchronous
    async def test_an_endpoint_that_left_before_a_restore_gets_requests(self):
        async with deployment(endpoints=2) as d:
            await self._start(d)
            copy = d.store.memory.make_copy()
            await self._lose_writes(d)
            left, other = d.endpoints
            await d.register(left, "draining")
            await d.until(lambda: self._has_changed(d, left.name, "draining"))
            d.store.restore(copy)
            await anyio.sleep(1.5)
            left.received.clear()
            for number in GATEWAYS:
                for call in range(6):
                    found = await d.call(number, f"q{number}-{call}")
                    self.assertEqual(found.status_code, 200)
            self.assertEqual(left.received, [])
            # A new start of an endpoint writes a new entry.
            left.name = "i-9"
            await d.register(left)
            await d.until(lambda: self._has_changed(d, "i-9", "ready"))
            await d.store.remove(platformfiles.ENDPOINT_PREFIX + other.name)
            await d.until(lambda: self._has_changed(d, other.name, "removed"))
            self.assertEqual((await d.call(1, "last")).status_code, 200)

    async def _has_changed(self, d, endpoint, state):
        return all(
            any(
                e["name"] == "endpoint-changed"
                and e["fields"]["endpoint"] == endpoint
                and e["fields"]["state"] == state
                for e in d.events(number)
            )
            for number in GATEWAYS
        )

    @asynchronous
    async def test_gateways_are_missing_from_a_restored_store(self):
        async with deployment() as d:
            copy = d.store.memory.make_copy()
            await self._start(d)
            await self._until_all(d, "k1", 200)
            d.store.restore(copy)

            async def registered():
                listing = await d.store.memory.scan("")
                names = {e.key.rpartition("/")[2] for e in listing.entries}
                return {f"g{n}" for n in GATEWAYS} <= names

            await d.until(registered)
            await self._until_all(d, "k1", 200)

    @asynchronous
    async def test_a_second_restore_turns_the_first_one_back(self):
        async with deployment() as d:
            await self._start(d)
            copy = d.store.memory.make_copy()
            await self._lose_writes(d)
            for version in (2, 3):
                await d.store.put(
                    platformfiles.CONFIG_KEY,
                    config(version, keys=("k1", f"k{version}")),
                )
                await self._until_all(d, f"k{version}", 200)
                d.store.restore(copy)
            d.store.restore(copy)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(4, keys=("k1", "k4"))
            )
            await self._until_all(d, "k4", 200)
            await self._until_all(d, "k3", 401)

    @asynchronous
    async def test_a_gateway_paused_through_a_restore_stays_behind(self):
        async with deployment() as d:
            await self._start(d)
            copy = d.store.memory.make_copy()
            await self._lose_writes(d)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(2, keys=("k1", "k2"))
            )
            await self._until_all(d, "k2", 200)
            d.processes.signal("g3", signal.SIGSTOP)
            d.store.restore(copy)
            # Its revision is lower than that of the version before.
            await d.store.put(
                platformfiles.CONFIG_KEY, config(3, keys=("k1", "k3"))
            )
            await anyio.sleep(1.5)
            d.processes.signal("g3", signal.SIGCONT)
            await self._until_all(d, "k3", 200)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(4, keys=("k1", "k4"))
            )
            await self._until_all(d, "k4", 200)
            await self._until_all(d, "k2", 401)

    @asynchronous
    async def test_a_gateway_that_starts_during_a_restore_knows_too_little(
        self,
    ):
        """It gets a replica of the earlier era from a peer."""
        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            copy = d.store.memory.make_copy()
            await self._lose_writes(d)
            await d.store.put(
                platformfiles.CONFIG_KEY, config(2, keys=("k1", "k2"))
            )
            await self._until_one(d, "k2", 200)
            d.store.faults.status = 503
            for number in GATEWAYS[1:]:
                d.start(number)
            for number in GATEWAYS[1:]:
                await d.until(lambda n=number: d.is_ready(n))
            d.store.restore(copy)
            d.store.faults.status = 0
            await d.store.put(
                platformfiles.CONFIG_KEY, config(3, keys=("k1", "k3"))
            )
            await self._until_all(d, "k3", 200)
            await self._until_all(d, "k2", 401)
