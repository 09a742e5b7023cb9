"""The state of other gateways, known from their heartbeats."""

import unittest

import attrs

from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import Heartbeat
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.peertable import ALIVE_TIMEOUT_MS
from rhubarbwinch.shared.clock import ManualClock


class RecordingBroadcast:
    """A broadcast that records what is sent and delivers nothing."""

    def __init__(self):
        self.sent = []
        self.send = self.sent.append

    def on(self, kind, handle):
        """Ignores the handler."""

    def add(self, address):
        """Ignores the peer."""


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
        self.peers = Peers(
            _heartbeat(1),
            self.broadcast,
            None,
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

    def test_gateways_of_the_own_data_center_are_counted(self):
        self._receive(g2={"data_center": "dc-b"}, g3={"data_center": "dc-b"})
        self.assertEqual(
            (self.peers.live_count, self.peers.data_center_count), (5, 3)
        )
