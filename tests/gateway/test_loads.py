"""The load counts that all gateways share."""

import unittest

from rhubarbwinch.gateway.loads import PEER_SILENCE_MS, LoadTracker
from rhubarbwinch.gateway.messages import EndpointLoad

ENDPOINTS = ("e1", "e2")


class LoadTrackerTest(unittest.TestCase):
    """Counts of one gateway and of its peers."""

    def test_a_burst_at_two_gateways_is_seen_by_both(self):
        first, second = LoadTracker(), LoadTracker()
        for _ in range(3):
            first.add("e1", 4_000, 3_000)
        second.add("e1", 4_000)
        second.receive("first", (1, 1), first.own_loads(), 0)
        total = second.total("e1")
        self.assertEqual(
            (total.runs, total.tokens, total.prefill), (4, 16_000, 9_000)
        )

    def test_an_older_heartbeat_does_not_replace_a_newer_one(self):
        tracker = LoadTracker()
        tracker.receive("p", (1, 5), [EndpointLoad("e1", 2, 10)], 0)
        tracker.receive("p", (1, 4), [], 0)
        self.assertEqual(tracker.total("e1").runs, 2)

    def test_a_restarted_peer_replaces_its_loads(self):
        tracker = LoadTracker()
        tracker.receive("p", (1, 500), [EndpointLoad("e1", 2, 10)], 0)
        tracker.receive("p", (2, 1), [], 0)
        self.assertEqual(tracker.total("e1").runs, 0)

    def test_the_loads_of_a_silent_peer_expire(self):
        tracker = LoadTracker()
        tracker.receive("p", (1, 1), [EndpointLoad("e1", 2, 10)], 0)
        tracker.drop_silent_peers(PEER_SILENCE_MS)
        self.assertEqual(tracker.total("e1").runs, 2)
        tracker.drop_silent_peers(PEER_SILENCE_MS + 1)
        self.assertEqual(tracker.total("e1").runs, 0)

    def test_ended_requests_are_subtracted(self):
        tracker = LoadTracker()
        tracker.add("e1", 100, 50)
        tracker.end_prefill("e1", 50)
        tracker.remove("e1", 100)
        self.assertEqual(tracker.own_loads(), [])

    def test_the_version_changes_with_this_gateways_requests(self):
        tracker = LoadTracker()
        seen = {tracker.version}
        tracker.add("e1", 100, 50)
        seen.add(tracker.version)
        tracker.remove("e1", 100)
        seen.add(tracker.version)
        self.assertEqual(len(seen), 3)

    def test_received_loads_do_not_change_the_version(self):
        # If received loads changed the version, each change at one of 33
        # gateways would be announced again by all others.
        tracker = LoadTracker()
        tracker.add("e1", 100)
        before = tracker.version
        tracker.receive("p", (1, 1), [EndpointLoad("e1", 2, 10)], 0)
        tracker.receive("p", (1, 2), [], 1)
        tracker.drop_silent_peers(PEER_SILENCE_MS + 2)
        self.assertEqual(tracker.version, before)

    def test_totals_follow_the_loads_of_each_peer(self):
        tracker = LoadTracker()
        tracker.receive("p", (1, 1), [EndpointLoad("e1", 2, 10, 5)], 0)
        tracker.receive("q", (1, 1), [EndpointLoad("e1", 1, 7)], 0)
        tracker.receive("p", (1, 2), [EndpointLoad("e2", 1, 4)], 0)
        totals = [
            (x.runs, x.tokens, x.prefill) for x in map(tracker.total, ENDPOINTS)
        ]
        self.assertEqual(totals, [(1, 7, 0), (1, 4, 0)])
