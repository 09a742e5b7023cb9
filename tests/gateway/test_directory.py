"""The gateways that directory responses name."""

import unittest
from collections import Counter

from rhubarbwinch.gateway.directory import (
    DirectoryLookup,
    ServingGateway,
    choose_gateways,
)

LIMIT = 64
DATA_CENTERS = 9


def _gateways(count):
    return [
        ServingGateway(f"10.0.{i}.1:80", f"dc-{i % DATA_CENTERS}")
        for i in range(count)
    ]


class ChooseGatewaysTest(unittest.TestCase):
    """Deployments below and above the limit of a response."""

    def _choose(self, gateways, data_center="dc-0"):
        lookup = DirectoryLookup("h.example", data_center)
        return choose_gateways(gateways, lookup, LIMIT)

    def test_all_gateways_are_named_if_they_fit(self):
        gateways = _gateways(LIMIT)
        self.assertEqual(len(self._choose(gateways)), LIMIT)

    def test_a_large_deployment_names_near_gateways_and_some_others(self):
        gateways = _gateways(340)
        chosen = self._choose(gateways)
        self.assertEqual(len(set(chosen)), LIMIT)
        near = {g.front for g in gateways if g.data_center == "dc-0"}
        self.assertLess(near, set(chosen))

    def test_callers_of_all_data_centers_use_all_gateways(self):
        gateways = _gateways(340)
        used = Counter(
            front
            for i in range(DATA_CENTERS)
            for front in self._choose(gateways, f"dc-{i}")
        )
        self.assertEqual(len(used), 340)
        self.assertLess(max(used.values()), DATA_CENTERS)

    def test_the_loss_of_a_gateway_replaces_only_that_one(self):
        gateways = _gateways(340)
        before = set(self._choose(gateways))
        lost = next(g for g in gateways if g.front in before)
        after = set(self._choose([g for g in gateways if g is not lost]))
        self.assertEqual(before - after, {lost.front})
        self.assertEqual(len(after), LIMIT)
