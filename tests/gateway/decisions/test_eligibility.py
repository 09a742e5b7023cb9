"""Requests that are bound to home regions."""

import unittest

from rhubarbwinch.gateway.decisions.eligibility import (
    Needs,
    Regions,
    combine_home_regions,
)
from rhubarbwinch.gateway.directory import (
    DirectoryLookup,
    ServingGateway,
    admissible_gateways,
)
from tests import gatewaybuilders as build

REGIONS = Regions({"dc-a": "north", "dc-b": "south", "dc-c": "west"})
NORTH = frozenset({"north"})


class HomeRegionsTest(unittest.TestCase):
    """Routes and client accounts with home regions."""

    def test_both_restrictions_bind(self):
        north_south = frozenset({"north", "south"})
        self.assertIsNone(combine_home_regions(frozenset(), frozenset()))
        self.assertEqual(combine_home_regions(NORTH, frozenset()), NORTH)
        self.assertEqual(combine_home_regions(north_south, NORTH), NORTH)
        # Without a common region nobody may serve the request.
        none = combine_home_regions(NORTH, frozenset({"south"}))
        self.assertEqual(none, frozenset())

    def test_a_data_center_of_unknown_region_is_no_home(self):
        needs = Needs("svc", home_regions=NORTH)
        for data_center, expected in (("dc-a", True), ("dc-z", False)):
            endpoint = build.endpoint("e1", data_center=data_center)
            self.assertEqual(needs.admits(endpoint, REGIONS), expected)
        free = Needs("svc")
        self.assertTrue(
            free.admits(build.endpoint("e1", data_center="dc-z"), REGIONS)
        )


class DirectoryTest(unittest.TestCase):
    """Callers that look up a host whose requests have home regions."""

    def _fronts(self, data_centers, region, homes):
        serving = [ServingGateway(f"g-{dc}", dc) for dc in data_centers]
        lookup = DirectoryLookup("h.example", "", region)
        found = admissible_gateways(serving, lookup, homes, REGIONS)
        return [gateway.front for gateway in found]

    def test_no_gateway_of_a_third_region_is_named(self):
        everywhere = ["dc-a", "dc-b", "dc-c"]
        for region, expected in (
            ("south", ["g-dc-b"]),
            ("north", ["g-dc-a"]),
            ("elsewhere", ["g-dc-a"]),
        ):
            found = self._fronts(everywhere, region, NORTH)
            self.assertEqual(found, expected, region)

    def test_home_regions_stand_in_for_the_callers_own_region(self):
        found = self._fronts(["dc-a", "dc-c"], "south", NORTH)
        self.assertEqual(found, ["g-dc-a"])

    def test_all_gateways_are_named_without_home_regions(self):
        found = self._fronts(["dc-a", "dc-b"], "south", frozenset())
        self.assertEqual(found, ["g-dc-a", "g-dc-b"])
