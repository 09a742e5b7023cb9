"""The store feed: outages, gaps in the history and updates from peers."""

import itertools
import unittest

import anyio

from rhubarbwinch.gateway.messages import SharedBatch, SharedChange, Snapshot
from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.gateway.storefeed import (
    FOLLOWER_POLL_MS,
    LEASE_RENEWAL_GRACE_MS,
    LOST_DATAGRAM_MS,
    MAX_FRESH_AGE_MS,
    MAX_RETRY_MS,
    MIN_OUTAGE_MS,
    RETRY_MS,
    WATCH_TIMEOUT_MS,
    StoreFeed,
    _to_shared,
    split_batch,
)
from rhubarbwinch.links.broadcast import MAX_MESSAGE_BYTES
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import (
    LinkTimeout,
    StoreCompacted,
    StoreUnavailable,
)
from rhubarbwinch.stores import positions
from rhubarbwinch.stores.store import ChangeBatch, Listing
from tests.gatewaybuilders import deletion, write
from tests.helpers import asynchronous


class ScriptedStore:
    """Returns scripted results for scans and polls, then blocks for ever."""

    def __init__(self, scans, polls):
        self.scans, self.polls = list(scans), list(polls)
        self.calls = []
        self.delay = anyio.lowlevel.checkpoint

    async def scan(self, prefix):
        self.calls.append("scan")
        return await self._next(self.scans)

    async def poll(self, prefix, after, wait_ms):
        self.calls.append(f"poll after {after}")
        return await self._next(self.polls)

    async def _next(self, results):
        await self.delay()
        if not results:
            await anyio.sleep_forever()
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class PeerValues:
    """Replies to value calls from a dict; unknown keys time out."""

    def __init__(self):
        self.values = {}
        self.calls = []

    async def call(self, address, message, reply_type, timeout_ms):
        self.calls.append((address, message.key))
        if message.key not in self.values:
            raise LinkTimeout("no answer")
        return self.values[message.key]


class StoreFeedTest(unittest.TestCase):
    """A feed with a scripted store and a manual clock."""

    def _make(self, scans, polls, is_watcher=True):
        self.clock = ManualClock()
        self.store = ScriptedStore(scans, polls)
        self.broadcast_batches, self.reported = [], []
        self.links = PeerValues()
        self.is_watcher = is_watcher
        self.is_cut_off = False
        self.peer_revision = 0
        self.peer_available_ms = 0
        self.snapshot = None
        self.snapshots_fetched = 0
        self.gateway_count = 4
        self.store_feed = StoreFeed(
            self.store,
            Replica(),
            self.clock,
            lambda: self.is_watcher or self.is_cut_off,
            lambda: self.is_watcher,
            lambda: self.peer_revision,
            lambda: self.peer_available_ms,
            lambda: self.gateway_count,
            self._fetch_snapshot,
            self.broadcast_batches.append,
            lambda changes, after: self.reported.append(
                ([(c.key, c.revision) for c in changes], after)
            ),
            self.links,
            "10.0.0.1:1",
        )

    async def _fetch_snapshot(self):
        self.snapshots_fetched += 1
        return self.snapshot

    async def _run(self, ms):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store_feed.run)
            await self.clock.advance(ms)
            tasks.cancel_scope.cancel()

    @asynchronous
    async def test_changes_are_reported_and_broadcast_once(self):
        self._make(
            [Listing([write("a", 2).entry], 3)],
            [ChangeBatch(3, 5, [write("a", 5)]), ChangeBatch(5, 6, [])],
        )
        await self._run(500)
        self.assertEqual(
            self.reported, [([("a", 2)], False), ([("a", 5)], False)]
        )
        # Peers that start read the store themselves.
        self.assertEqual([b.after for b in self.broadcast_batches], [3])
        self.assertEqual(
            self.store.calls[:3], ["scan", "poll after 3", "poll after 5"]
        )

    @asynchronous
    async def test_a_broadcast_omits_a_change_that_its_sender_had_before(self):
        """Another watcher's datagram has reached only this gateway."""
        changes = [write("a", 4), write("b", 5)]
        for scans, polls, batch in (
            (
                [Listing([], 3)],
                [ChangeBatch(3, 5, changes)],
                SharedBatch("p", 3, 4, [SharedChange("a", 4, b"v")]),
            ),
            (
                [Listing([], 3), Listing([c.entry for c in changes], 5)],
                [StoreCompacted("410")],
                SharedBatch("p", 4, 5, [SharedChange("b", 5, b"v")]),
            ),
        ):
            self._make(scans, polls)
            self.store.delay = self._deliver_after_scan(batch)
            await self._run(500)
            self.assertEqual(
                [
                    (b.after <= 3, b.revision, [c.key for c in b.changes])
                    for b in self.broadcast_batches
                ],
                [(True, 5, ["a", "b"])],
            )

    def _deliver_after_scan(self, batch):
        """Returns a delay of the store's replies that delivers a batch."""

        async def delay():
            await anyio.lowlevel.checkpoint()
            if len(self.store.calls) == 2:
                self.store_feed.receive_batch(batch)

        return delay

    @asynchronous
    async def test_an_outdated_scan_is_not_broadcast(self):
        self._make(
            [Listing([], 9), Listing([write("a", 2).entry], 4)],
            [StoreCompacted("410")],
        )
        await self._run(500)
        self.assertEqual(self.broadcast_batches, [])
        self.assertEqual(self.reported, [])

    @asynchronous
    async def test_a_start_while_all_register_takes_few_calls(self):
        registrations = [
            ChangeBatch(i, i + 1, [write(f"key-{i}", i + 1)])
            for i in range(3, 60)
        ]
        self._make([Listing([], 3)], registrations)
        await self._run(MAX_FRESH_AGE_MS)
        self.assertLessEqual(len(self.store.calls), 7)

    @asynchronous
    async def test_compacted_history_leads_to_a_full_scan(self):
        self._make(
            [
                Listing([write("a", 2).entry, write("b", 2).entry], 3),
                Listing([write("b", 2).entry], 9),
            ],
            [StoreCompacted("410")],
        )
        await self._run(500)
        self.assertEqual(self.reported[-1], ([("a", 9)], False))
        self.assertEqual([b.after for b in self.broadcast_batches], [3])

    @asynchronous
    async def test_deletions_by_a_restored_store_are_marked(self):
        """Peers that have not noticed the restore claim a long uptime."""
        old, new = positions.position(1, 40), positions.position(2, 30)
        copied = positions.position(2, 20)
        self._make(
            [
                Listing([write("a", 20).entry, write("b", old).entry], old),
                Listing([write("a", copied).entry], new),
            ],
            [StoreCompacted("410")],
        )
        self.peer_available_ms = 60_000
        await self._run(500)
        self.assertEqual(self.reported[-1], ([("b", new), ("a", copied)], True))
        self.assertIsNone(self.store_feed.reliable_since_ms)
        self.assertEqual(self.store.calls[-1], f"poll after {new}")
        # A gateway of the earlier era changes nothing.
        batch = SharedBatch(
            "p", old, old + 1, [SharedChange("b", old + 1, b"")]
        )
        self.store_feed.receive_batch(batch)
        self.assertEqual(len(self.reported), 2)
        await self._run(LEASE_RENEWAL_GRACE_MS)
        self.assertIsNotNone(self.store_feed.reliable_since_ms)

    @asynchronous
    async def test_deletions_after_an_outage_are_marked(self):
        self._make(
            [Listing([write("a", 2).entry], 3)],
            [
                *[StoreUnavailable("down")] * (MIN_OUTAGE_MS // RETRY_MS + 1),
                ChangeBatch(3, 4, [deletion("a", 4)]),
            ],
        )
        await self._run(2 * MIN_OUTAGE_MS)
        self.assertEqual(self.reported[-1], ([("a", 4)], True))
        self.assertTrue(self.broadcast_batches[-1].after_outage)
        await self._run(LEASE_RENEWAL_GRACE_MS)
        self.assertFalse(self.store_feed.is_after_outage)

    @asynchronous
    async def test_a_short_failure_does_not_mark_deletions(self):
        self._make(
            [Listing([write("a", 2).entry], 3)],
            [StoreUnavailable("cut"), ChangeBatch(3, 3, [])],
        )
        self.store.polls.append(ChangeBatch(3, 4, [deletion("a", 4)]))
        await self._run(MIN_OUTAGE_MS)
        self.assertEqual(self.reported[-1], ([("a", 4)], False))

    @asynchronous
    async def test_a_cut_of_this_gateway_alone_does_not_mark_deletions(self):
        # A peer had responses all the while, so no lease of a live endpoint
        # has expired.
        self._make(
            [Listing([write("a", 2).entry], 3)],
            [
                *[StoreUnavailable("cut")] * (MIN_OUTAGE_MS // RETRY_MS + 1),
                ChangeBatch(3, 4, [deletion("a", 4)]),
            ],
        )
        self.peer_available_ms = 20_000
        await self._run(2 * MIN_OUTAGE_MS)
        self.assertEqual(self.reported[-1], ([("a", 4)], False))
        self.assertFalse(self.broadcast_batches[-1].after_outage)

    @asynchronous
    async def test_a_deletion_that_a_cut_off_peer_marks_is_not_marked(self):
        polls = [ChangeBatch(3, 3, [])] * 60
        self._make([Listing([write("a", 2).entry], 3)], polls)
        self.store.delay = lambda: self.clock.sleep(WATCH_TIMEOUT_MS)
        await self._run(LEASE_RENEWAL_GRACE_MS + 2 * WATCH_TIMEOUT_MS)
        deleted = SharedBatch("p", 3, 4, [SharedChange("a", 4)], True)
        self.store_feed.receive_batch(deleted)
        self.assertEqual(self.reported[-1], ([("a", 4)], False))

    @asynchronous
    async def test_the_store_is_available_since_the_end_of_its_last_outage(
        self,
    ):
        down = [StoreUnavailable("down")] * (MIN_OUTAGE_MS // RETRY_MS + 1)
        polls = [ChangeBatch(3, 3, [])] * 4
        self._make([Listing([], 3)], [*polls, *down, *polls])
        self.store.delay = lambda: self.clock.sleep(WATCH_TIMEOUT_MS)
        await self._run(3 * WATCH_TIMEOUT_MS)
        self.assertGreater(self.store_feed.available_ms, WATCH_TIMEOUT_MS)
        await self._run(13 * WATCH_TIMEOUT_MS)
        self.assertLess(self.store_feed.available_ms, 5 * WATCH_TIMEOUT_MS)
        await self._run(10 * WATCH_TIMEOUT_MS)
        self.assertEqual(self.store_feed.available_ms, 0)

    @asynchronous
    async def test_a_follower_makes_no_calls_after_its_first_scan(self):
        self._make([Listing([], 3)], [], is_watcher=False)
        await self._run(5_000)
        self.assertEqual(self.store.calls, ["scan"])

    @asynchronous
    async def test_in_an_outage_only_non_watchers_back_off(self):
        down = [StoreUnavailable("down") for _ in range(100)]
        self._make([Listing([], 3)], down)
        await self._run(8_000)
        watcher_calls = len(self.store.calls)
        self._make([Listing([], 3)], down, is_watcher=False)
        self.is_cut_off = True
        await self._run(8_000)
        self.assertGreater(watcher_calls, 8_000 // RETRY_MS)
        self.assertLess(
            len(self.store.calls), 8_000 // MAX_RETRY_MS + watcher_calls // 10
        )

    @asynchronous
    async def test_calls_in_an_outage_do_not_grow_with_the_gateways(self):
        down = [StoreUnavailable("down") for _ in range(100)]
        calls_of_all = {}
        for count in (24, 340):
            self._make([Listing([], 3)], down, is_watcher=False)
            self.gateway_count = count
            self.is_cut_off = True
            await self._run(60_000)
            calls_of_all[count] = count * len(self.store.calls)
        self.assertLess(calls_of_all[340], 2.5 * calls_of_all[24])

    @asynchronous
    async def test_an_outage_ends_when_peers_have_fresh_responses(self):
        down = [StoreUnavailable("down") for _ in range(100)]
        self._make([Listing([], 3)], down, is_watcher=False)
        self.is_cut_off = True
        await self._run(2_000)
        self.assertTrue(self.store_feed.is_failing)
        self.is_cut_off = False
        await self._run(MAX_RETRY_MS)
        self.assertFalse(self.store_feed.is_failing)
        self.assertTrue(self.store_feed.is_after_outage)

    @asynchronous
    async def test_a_follower_that_is_behind_its_peers_polls_the_store(self):
        # The datagram with the last change was lost, so no gap shows its loss.
        self._make(
            [Listing([], 3)],
            [ChangeBatch(3, 5, [write("a", 5)])],
            is_watcher=False,
        )
        await self._run(300)
        self.peer_revision = 5
        await self._run(FOLLOWER_POLL_MS)
        self.assertEqual(self.reported, [])
        await self._run(LOST_DATAGRAM_MS + FOLLOWER_POLL_MS)
        self.assertEqual(self.reported, [([("a", 5)], False)])
        await self._run(2_000)
        self.assertEqual(self.store.calls, ["scan", "poll after 3"])

    @asynchronous
    async def test_a_batch_after_a_gap_is_applied_and_the_gap_is_read(self):
        # A scan by all followers at once would read the whole store once for
        # each of them.
        self._make(
            [Listing([], 3)],
            [ChangeBatch(3, 9, [write("b", 5), write("a", 8)])],
            is_watcher=False,
        )
        await self._run(300)
        batch = SharedBatch("p", 7, 9, [SharedChange("a", 8, b"v")])
        self.store_feed.receive_batch(batch)
        self.assertEqual(self.reported[-1], ([("a", 8)], False))
        await self._run(300)
        self.assertEqual(self.reported[-1], ([("b", 5)], False))
        self.assertEqual(self.store.calls, ["scan", "poll after 3"])
        self.assertEqual(self.broadcast_batches, [])

    @asynchronous
    async def test_gateways_that_start_together_do_not_broadcast(self):
        # None of them has a fresh response yet, so each reads the store.
        self._make(
            [Listing([], 3)],
            [ChangeBatch(3, 5, [write("a", 5)])],
            is_watcher=False,
        )
        self.is_cut_off = True
        await self._run(300)
        self.assertEqual(self.reported, [([("a", 5)], False)])
        self.assertEqual(self.broadcast_batches, [])

    @asynchronous
    async def test_a_gateway_broadcasts_when_no_watcher_is_fresh(self):
        self._make(
            [Listing([], 3)],
            [ChangeBatch(3, 5, [write("a", 5)])],
            is_watcher=False,
        )
        await self._run(MAX_FRESH_AGE_MS + 300)
        self.is_cut_off = True
        await self._run(300)
        self.assertEqual([b.after for b in self.broadcast_batches], [3])

    @asynchronous
    async def test_a_gateway_that_the_store_rejects_catches_up_from_a_peer(
        self,
    ):
        self._make(
            [Listing([write("a", 2).entry], 3)],
            [StoreUnavailable("rejected")] * 20,
        )
        await self._run(300)
        self.assertEqual(self.snapshots_fetched, 0)
        self.peer_revision = 9
        self.peer_available_ms = 20_000
        self.snapshot = Snapshot(9, [SharedChange("b", 8, b"v")])
        await self._run(300)
        self.assertEqual(self.reported[-1], ([("a", 9), ("b", 8)], False))
        self.assertEqual(self.snapshots_fetched, 1)

    @asynchronous
    async def test_a_repeated_batch_is_reported_once(self):
        self._make([Listing([], 3)], [], is_watcher=False)
        await self._run(300)
        batch = SharedBatch("p", 3, 8, [SharedChange("a", 8, b"v")])
        self.store_feed.receive_batch(batch)
        self.store_feed.receive_batch(batch)
        self.assertEqual(self.reported, [([("a", 8)], False)])

    @asynchronous
    async def test_a_large_value_is_fetched_from_the_sender_of_its_batch(
        self,
    ):
        self._make([Listing([], 3)], [], is_watcher=False)
        await self._run(300)
        self.links.values["big"] = SharedChange("big", 5, b"x" * 5_000)
        left_out = SharedChange("big", 5, bytes_left_out=5_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store_feed.run_fetches)
            self.store_feed.receive_batch(SharedBatch("p", 3, 5, [left_out]))
            await self.clock.advance(10)
            tasks.cancel_scope.cancel()
        self.assertEqual(self.reported, [([("big", 5)], False)])
        self.assertEqual(self.links.calls, [("p", "big")])

    @asynchronous
    async def test_a_key_that_changed_twice_is_fetched_once(self):
        self._make([Listing([], 3)], [], is_watcher=False)
        await self._run(300)
        self.links.values["big"] = SharedChange("big", 6, b"x" * 5_000)
        twice = [
            SharedChange("big", revision, bytes_left_out=5_000)
            for revision in (5, 6)
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store_feed.run_fetches)
            self.store_feed.receive_batch(SharedBatch("p", 3, 6, twice))
            self.store_feed.receive_batch(SharedBatch("p", 3, 6, twice))
            await self.clock.advance(10)
            tasks.cancel_scope.cancel()
        self.assertEqual(self.reported, [([("big", 6)], False)])
        self.assertEqual(self.links.calls, [("p", "big")])

    @asynchronous
    async def test_a_failed_fetch_of_a_value_leads_to_a_scan(self):
        listing = Listing([write("big", 5).entry], 6)
        self._make([Listing([], 3), listing], [], is_watcher=False)
        await self._run(300)
        left_out = SharedChange("big", 5, bytes_left_out=5_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store_feed.run_fetches)
            self.store_feed.receive_batch(SharedBatch("p", 3, 5, [left_out]))
            await self.clock.advance(10)
            tasks.cancel_scope.cancel()
        await self._run(300)
        self.assertEqual(self.reported, [([("big", 5)], False)])


class SplitBatchTest(unittest.TestCase):
    """Splitting batches into parts that fit into a datagram."""

    def test_parts_fit_a_datagram_and_are_consecutive(self):
        changes = [write(f"key-{i}", i, b"v" * 300) for i in range(5, 25)]
        changes.append(write("big", 30, b"v" * 50_000))
        parts = split_batch(ChangeBatch(4, 40, changes), changes)
        self.assertEqual(parts[0].after, 4)
        self.assertEqual(parts[-1].revision, 40)
        for before, after in itertools.pairwise(parts):
            self.assertEqual(before.revision, after.after)
        for part in parts:
            shared = [_to_shared(change) for change in part.changes]
            message = SharedBatch("10.0.0.1:1234", 1 << 40, 1 << 40, shared)
            self.assertLess(len(codec.encode(message)), MAX_MESSAGE_BYTES)
        self.assertEqual(sum(len(p.changes) for p in parts), 21)

    def test_changes_of_one_transaction_stay_together(self):
        changes = [write(f"key-{i}", 7, b"v" * 600) for i in range(4)]
        parts = split_batch(ChangeBatch(4, 8, changes), changes)
        self.assertEqual(len(parts), 1)
