"""Tests which gateways know where streams began."""

import unittest

from rhubarbwinch.gateway.messages import StreamOrigin
from rhubarbwinch.gateway.streamorigins import (
    KEEPERS,
    MAX_ENTRIES,
    RETENTION_MS,
    StreamOrigins,
)

STREAMS = 200


def origin(number):
    """Returns the origin of one of the streams."""
    return StreamOrigin(f"s{number}", "svc", f"v{number % 3}")


class OriginNetwork:
    """Gateways that record, hand on and look up origins without sockets."""

    def __init__(self, count):
        self.gateways = {f"g{i}": StreamOrigins(f"g{i}") for i in range(count)}
        self.update()

    def update(self):
        """Tells all gateways of each other."""
        handed = [
            pair
            for known in self.gateways.values()
            for pair in known.set_gateways(self.gateways).items()
        ]
        for keeper, origins in handed:
            self._deliver([keeper], origins)

    def record(self, name, entry):
        """Records an origin at the gateway that relays the stream."""
        self.gateways[name].record(entry, 0)
        self._deliver(self.gateways[name].keepers(entry.stream), [entry])

    def look_up(self, name, stream):
        """Returns an origin that the gateway or those that it asks know."""
        asker = self.gateways[name]
        for other in [name, *asker.asked(stream)]:
            known = other in self.gateways and self.gateways[other].find(stream)
            if known:
                return known
        return None

    def _deliver(self, names, origins):
        for name in names:
            for entry in origins:
                if name in self.gateways:
                    self.gateways[name].record(entry, 0)


class StreamOriginsTest(unittest.TestCase):
    """What gateways know after the loss of others."""

    def _recorded(self, count):
        network = OriginNetwork(count)
        for number in range(STREAMS):
            network.record(f"g{number % count}", origin(number))
        return network

    def _assert_all_known(self, network):
        for number in range(STREAMS):
            for name in network.gateways:
                self.assertEqual(
                    network.look_up(name, f"s{number}"), origin(number)
                )

    def test_each_gateway_finds_each_stream(self):
        for count in (2, 4, 28, 77):
            self._assert_all_known(self._recorded(count))

    def test_the_loss_of_the_relaying_gateway_loses_no_origin(self):
        for count in (2, 4, 28):
            for lost in range(count):
                network = self._recorded(count)
                del network.gateways[f"g{lost}"]
                self._assert_all_known(network)

    def test_a_rolling_restart_loses_no_origin(self):
        for count in (2, 4, 9):
            network = self._recorded(count)
            for name in list(network.gateways):
                del network.gateways[name]
                network.update()
                network.gateways[name] = StreamOrigins(name)
                network.update()
            self._assert_all_known(network)

    def test_only_some_gateways_keep_an_origin(self):
        network = self._recorded(77)
        kept = sum(len(known) for known in network.gateways.values())
        self.assertLessEqual(kept, STREAMS * (KEEPERS + 1))

    def test_old_origins_are_dropped(self):
        known = StreamOrigins("g1")
        known.record(origin(1), 0)
        known.record(origin(2), RETENTION_MS)
        self.assertIsNotNone(known.find("s1"))
        known.record(origin(1), RETENTION_MS)
        known.record(origin(3), 2 * RETENTION_MS)
        self.assertIsNotNone(known.find("s1"))
        known.record(origin(4), 2 * RETENTION_MS + 1)
        self.assertIsNone(known.find("s1"))

    def test_the_number_of_origins_is_bounded(self):
        known = StreamOrigins("g1")
        for number in range(MAX_ENTRIES + 10):
            known.record(origin(number), 0)
        self.assertEqual(len(known), MAX_ENTRIES)
        self.assertIsNone(known.find("s9"))
