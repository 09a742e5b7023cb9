"""The load counts that all gateways share."""

import unittest

from rhubarbwinch.gateway.loads import PEER_SILENCE_MS, LoadBook
from rhubarbwinch.gateway.messages import EndpointLoad

ENDPOINTS = ("e1", "e2")


class LoadBookTest(unittest.TestCase):
    """Counts of one gateway and of its peers."""

    def test_a_burst_at_two_gateways_is_seen_by_both(self):
        first, second = LoadBook(), LoadBook()
        for _ in range(3):
            first.add("e1", 4_000, 3_000)
        second.add("e1", 4_000)
        second.receive("first", (1, 1), first.own(), 0)
        total = second.total("e1")
        self.assertEqual(
            (total.runs, total.tokens, total.prefill), (4, 16_000, 9_000)
        )

    def test_an_older_heartbeat_does_not_replace_a_newer_one(self):
        book = LoadBook()
        book.receive("p", (1, 5), [EndpointLoad("e1", 2, 10)], 0)
        book.receive("p", (1, 4), [], 0)
        self.assertEqual(book.total("e1").runs, 2)

    def test_a_restarted_peer_replaces_its_loads(self):
        book = LoadBook()
        book.receive("p", (1, 500), [EndpointLoad("e1", 2, 10)], 0)
        book.receive("p", (2, 1), [], 0)
        self.assertEqual(book.total("e1").runs, 0)

    def test_the_loads_of_a_silent_peer_expire(self):
        book = LoadBook()
        book.receive("p", (1, 1), [EndpointLoad("e1", 2, 10)], 0)
        book.drop_silent_peers(PEER_SILENCE_MS)
        self.assertEqual(book.total("e1").runs, 2)
        book.drop_silent_peers(PEER_SILENCE_MS + 1)
        self.assertEqual(book.total("e1").runs, 0)

    def test_ended_requests_are_subtracted(self):
        book = LoadBook()
        book.add("e1", 100, 50)
        book.end_prefill("e1", 50)
        book.remove("e1", 100)
        self.assertEqual(book.own(), [])

    def test_the_version_changes_with_this_gateways_requests(self):
        book = LoadBook()
        seen = {book.version}
        book.add("e1", 100, 50)
        seen.add(book.version)
        book.remove("e1", 100)
        seen.add(book.version)
        self.assertEqual(len(seen), 3)

    def test_received_loads_do_not_change_the_version(self):
        # If received loads changed the version, each change at one of 33
        # gateways would be announced again by all others.
        book = LoadBook()
        book.add("e1", 100)
        before = book.version
        book.receive("p", (1, 1), [EndpointLoad("e1", 2, 10)], 0)
        book.receive("p", (1, 2), [], 1)
        book.drop_silent_peers(PEER_SILENCE_MS + 2)
        self.assertEqual(book.version, before)

    def test_totals_follow_the_loads_of_each_peer(self):
        book = LoadBook()
        book.receive("p", (1, 1), [EndpointLoad("e1", 2, 10, 5)], 0)
        book.receive("q", (1, 1), [EndpointLoad("e1", 1, 7)], 0)
        book.receive("p", (1, 2), [EndpointLoad("e2", 1, 4)], 0)
        totals = [
            (x.runs, x.tokens, x.prefill) for x in map(book.total, ENDPOINTS)
        ]
        self.assertEqual(totals, [(1, 7, 0), (1, 4, 0)])
