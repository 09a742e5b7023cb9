"""Tests how many calls a restore of the store costs many gateways."""

import unittest

import anyio
import attrs

from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.gateway.storefeed import MAX_FRESH_AGE_MS, StoreFeed
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import StoreCompacted
from rhubarbwinch.stores import positions
from rhubarbwinch.stores.store import ChangeBatch, Listing
from tests.gatewaybuilders import write
from tests.helpers import asynchronous

GATEWAYS = 77
WATCHERS = 2
KEYS = 120


@attrs.define
class RestorableStore:
    """A store that answers at once; polls wait for their timeout."""

    clock: ManualClock
    era: int = 1
    revision: int = KEYS
    scans: int = 0
    polls: int = 0

    def restore(self, revision):
        """Restores the store from a copy of a revision."""
        self.era += 1
        self.revision = revision

    async def scan(self, prefix):
        """Returns a key for each revision."""
        self.scans += 1
        await anyio.lowlevel.checkpoint()
        at = [positions.position(self.era, r + 1) for r in range(self.revision)]
        entries = [write(f"key-{p % 1_000}", p).entry for p in at]
        return Listing(entries, at[-1])

    async def poll(self, prefix, after, wait_ms):
        """Returns no changes, or a gap after a restore."""
        self.polls += 1
        if positions.era_of(after) == self.era:
            await self.clock.sleep(wait_ms)
        if positions.era_of(after) != self.era:
            raise StoreCompacted("410")
        return ChangeBatch(after, after, [])


class FeedNetwork:
    """The store feeds of many gateways, which deliver batches at once."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.store = RestorableStore(self.clock)
        self.replicas = [Replica() for _ in range(count)]
        self.feeds = [self._make(number) for number in range(count)]

    def _make(self, number):
        return StoreFeed(
            self.store,
            self.replicas[number],
            self.clock,
            lambda: number < WATCHERS or self._watchers_are_stale(),
            lambda: number < WATCHERS,
            lambda: max(r.revision for r in self.replicas),
            lambda: 0,
            lambda: len(self.feeds),
            self._fetch_snapshot,
            lambda batch: self._deliver(number, batch),
            lambda changes, after: None,
            None,
            f"g{number}",
        )

    def _watchers_are_stale(self):
        ages = [feed.confirmed_ms for feed in self.feeds[:WATCHERS]]
        return min(ages) > MAX_FRESH_AGE_MS

    async def _fetch_snapshot(self):
        return None

    def _deliver(self, sender, batch):
        for number, feed in enumerate(self.feeds):
            if number != sender:
                feed.receive_batch(batch)


class RestoreCallsTest(unittest.TestCase):
    """Many gateways whose watches end in a gap at the same time."""

    @asynchronous
    async def test_each_gateway_scans_a_restored_store(self):
        network = FeedNetwork(GATEWAYS)
        async with anyio.create_task_group() as tasks:
            for feed in network.feeds:
                tasks.start_soon(feed.run)
            await network.clock.advance(3_000)
            for copied in (KEYS - 40, KEYS - 60):
                network.store.scans = network.store.polls = 0
                network.store.restore(copied)
                await network.clock.advance(3_000)
                self.assertLessEqual(network.store.scans, WATCHERS)
                self.assertLessEqual(network.store.polls, 12 * WATCHERS)
                for replica in network.replicas:
                    self.assertEqual(
                        replica.revision,
                        positions.position(network.store.era, copied),
                    )
                    self.assertEqual(len(replica.entries()), copied)
            tasks.cancel_scope.cancel()
