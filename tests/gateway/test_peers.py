"""The state of other gateways, known from their heartbeats."""

import unittest

import attrs

from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import Heartbeat, Snapshot
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.peertable import ALIVE_TIMEOUT_MS
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import LinkTimeout
from tests.helpers import asynchronous


class RecordingBroadcast:
    """A broadcast that records what is sent and delivers nothing."""

    def __init__(self):
        self.sent = []
        self.send = self.sent.append

    def on(self, kind, handle):
        """Ignores the handler."""

    def add(self, address):
        """Ignores the peer."""


class SnapshotLinks:
    """Links to peers, some of which have a snapshot."""

    def __init__(self):
        self.snapshots = {}
        self.calls = []

    async def call(self, address, message, reply_type, timeout_ms):
        """Returns a peer's snapshot; the other peers do not answer."""
        self.calls.append(address)
        if address not in self.snapshots:
            raise LinkTimeout("no answer")
        return self.snapshots[address]


def _heartbeat(number, sequence=1, **fields):
    name = f"g{number}"
    host = f"127.0.0.{number}"
    base = Heartbeat(
        name, 1, sequence, f"{host}:1", f"{host}:2", f"{host}:3", "dc-a"
    )
    return attrs.evolve(base, is_serving=True, **fields)


class PeersTest(unittest.TestCase):
    """Six gateways, seen by the first of them."""

    def setUp(self):
        self.clock = ManualClock(1)
        self.broadcast = RecordingBroadcast()
        self.links = SnapshotLinks()
        self.peers = Peers(
            _heartbeat(1),
            self.broadcast,
            self.links,
            self.clock,
            LoadTracker(),
            lambda heartbeat: heartbeat,
        )

    def _receive(self, sequence=1, **by_name):
        """Delivers heartbeats of g2 to g6; `by_name` overrides fields."""
        for number in range(2, 7):
            fields = by_name.get(f"g{number}", {})
            self.peers.receive(_heartbeat(number, sequence, **fields))

    def _watchers(self):
        self._receive()
        return self.peers._watchers()

    def test_two_gateways_watch_the_store_for_all(self):
        self.assertEqual(len(self._watchers()), 2)

    def test_the_store_is_failing_if_it_fails_all_watchers(self):
        watchers = self._watchers()
        failing = {"is_store_failing": True}
        is_failing_here = "g1" in watchers
        self._receive(2, **dict.fromkeys(watchers, failing))
        self.assertTrue(self.peers.is_store_failing(is_failing_here))

    def test_the_store_is_not_failing_if_it_rejects_some_gateways(self):
        watchers = self._watchers()
        failing = {"is_store_failing": True}
        others = {f"g{i}" for i in range(2, 7)} - set(watchers)
        self._receive(2, **dict.fromkeys([*others, watchers[0]], failing))
        self.assertFalse(self.peers.is_store_failing(watchers[0] == "g1"))

    def test_a_gateway_without_live_peers_judges_by_its_own_calls(self):
        self._receive()
        self.clock.set(ALIVE_TIMEOUT_MS + 2)
        self.assertTrue(self.peers.is_store_failing(True))
        self.assertFalse(self.peers.is_store_failing(False))

    def test_the_store_is_as_available_as_to_the_best_served_live_peer(self):
        self._receive(
            g2={"store_available_ms": 9_000}, g3={"store_available_ms": 300}
        )
        self.assertEqual(self.peers.store_available_ms, 9_000)
        self.clock.set(ALIVE_TIMEOUT_MS + 2)
        self.assertEqual(self.peers.store_available_ms, 0)

    def test_a_key_has_one_owner_until_that_gateway_leaves(self):
        self._receive()
        keys = [f"e{i}" for i in range(60)]
        owned = {key for key in keys if self.peers.owns(key)}
        self.assertEqual({key for key in keys if self.peers.owns(key)}, owned)
        self._receive(2, g2={"is_leaving": True}, g3={"is_leaving": True})
        more = {key for key in keys if self.peers.owns(key)}
        self.assertLess(owned, more)
        self.assertLess(len(more), len(keys))

    @asynchronous
    async def test_the_peers_that_know_most_are_asked_for_a_snapshot(self):
        self.links.snapshots = {"127.0.0.3:1": Snapshot(9)}
        self._receive(
            g2={"revision": 7}, g3={"revision": 9}, g4={"revision": 9}
        )
        found = await self.peers.fetch_newest_snapshot()
        self.assertEqual(found, Snapshot(9))
        self.assertLessEqual(
            set(self.links.calls), {"127.0.0.3:1", "127.0.0.4:1"}
        )

    @asynchronous
    async def test_without_a_peer_that_knows_a_change_none_is_asked(self):
        self._receive()
        self.assertIsNone(await self.peers.fetch_newest_snapshot())
        self.assertEqual(self.links.calls, [])

    @asynchronous
    async def test_known_addresses_are_asked_one_after_another(self):
        # Calls to peers that are down take long, and one that has read the
        # store may be heard of meanwhile.
        self._receive()
        for count in range(1, 6):
            await self.peers.fetch_any_snapshot()
            self.assertEqual(len(set(self.links.calls)), count)

    def test_gateways_of_the_own_data_center_are_counted(self):
        self._receive(g2={"data_center": "dc-b"}, g3={"data_center": "dc-b"})
        self.assertEqual(
            (self.peers.live_count, self.peers.data_center_count), (5, 3)
        )
