"""Following the store: outages, gaps in the history, and peers' news."""

import unittest

import anyio

from rhubarbwinch.clock import ManualClock
from rhubarbwinch.exceptions import StoreCompacted, StoreUnavailable
from rhubarbwinch.gateway.feed import LAPSE_GRACE_MS, Feed
from rhubarbwinch.gateway.messages import SharedBatch, SharedChange
from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.store import ChangeBatch, Listing
from tests.gatewaybuilders import gone, put
from tests.helpers import asynchronous


class ScriptedStore:
    """Answers scans and polls from lists; then it waits for ever."""

    def __init__(self, scans, polls):
        self.scans, self.polls = list(scans), list(polls)
        self.calls = []

    async def scan(self, prefix):
        self.calls.append("scan")
        return await self._next(self.scans)

    async def poll(self, prefix, after, wait_ms):
        self.calls.append(f"poll after {after}")
        return await self._next(self.polls)

    async def _next(self, answers):
        await anyio.lowlevel.checkpoint()
        if not answers:
            await anyio.sleep_forever()
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FeedTest(unittest.TestCase):
    """A feed on a manual clock."""

    def _make(self, scans, polls, watches=True):
        self.clock = ManualClock()
        self.store = ScriptedStore(scans, polls)
        self.shared, self.seen = [], []
        self.watches = watches
        self.feed = Feed(
            self.store,
            Replica(),
            self.clock,
            lambda: self.watches,
            self.shared.append,
            lambda changes, after: self.seen.append(
                ([(c.key, c.revision) for c in changes], after)
            ),
            "me",
        )

    async def _run(self, ms):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.feed.run)
            await self.clock.advance(ms)
            tasks.cancel_scope.cancel()

    @asynchronous
    async def test_changes_are_told_and_shared_once(self):
        self._make(
            [Listing([put("a", 2).entry], 3)],
            [ChangeBatch(3, 5, [put("a", 5)]), ChangeBatch(5, 6, [])],
        )
        await self._run(500)
        self.assertEqual(self.seen, [([("a", 2)], False), ([("a", 5)], False)])
        self.assertEqual([b.after for b in self.shared], [0, 3])
        self.assertEqual(
            self.store.calls[:3], ["scan", "poll after 3", "poll after 5"]
        )

    @asynchronous
    async def test_dropped_history_is_read_as_a_whole(self):
        self._make(
            [
                Listing([put("a", 2).entry, put("b", 2).entry], 3),
                Listing([put("b", 2).entry], 9),
            ],
            [StoreCompacted("410")],
        )
        await self._run(500)
        self.assertEqual(self.seen[-1], ([("a", 9)], False))

    @asynchronous
    async def test_deletions_after_an_outage_are_marked(self):
        self._make(
            [Listing([put("a", 2).entry], 3)],
            [
                StoreUnavailable("down"),
                ChangeBatch(3, 4, [gone("a", 4)]),
            ],
        )
        await self._run(500)
        self.assertEqual(self.seen[-1], ([("a", 4)], True))
        self.assertTrue(self.shared[-1].after_outage)
        await self._run(LAPSE_GRACE_MS)
        self.assertFalse(self.feed.is_after_outage)

    @asynchronous
    async def test_a_follower_makes_no_calls_after_its_first_read(self):
        self._make([Listing([], 3)], [], watches=False)
        await self._run(5_000)
        self.assertEqual(self.store.calls, ["scan"])

    @asynchronous
    async def test_a_peers_batch_after_a_gap_is_taken_and_the_rest_read(self):
        self._make(
            [Listing([], 3), Listing([put("b", 5).entry], 9)],
            [],
            watches=False,
        )
        await self._run(300)
        batch = SharedBatch("p", 7, 9, [SharedChange("a", 8, b"v")])
        self.feed.take_batch(batch)
        self.assertEqual(self.seen[-1], ([("a", 8)], False))
        await self._run(300)
        self.assertEqual(self.store.calls, ["scan", "scan"])

    @asynchronous
    async def test_what_a_peer_tells_again_is_told_once(self):
        self._make([Listing([], 3)], [], watches=False)
        await self._run(300)
        batch = SharedBatch("p", 3, 8, [SharedChange("a", 8, b"v")])
        self.feed.take_batch(batch)
        self.feed.take_batch(batch)
        self.assertEqual(self.seen, [([("a", 8)], False)])
