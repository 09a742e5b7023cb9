"""Requests of routes and accounts with home regions, through the gateway."""

import unittest

from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.gateway.routes import Account, CallKind
from tests import gatewaybuilders as build
from tests.gateway.test_forwarding import OtherGateways
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

REGIONS = Regions({"z1": "north", "z2": "south", "dc-a": "north"})
SOUTH = frozenset({"south"})


def table(kind=CallKind.IDEMPOTENT, route_homes=SOUTH, account_homes=()):
    """Returns a table with a route and an account with home regions."""
    accounts = {"k1": Account("acme", None, frozenset(account_homes))}
    return build.table(
        build.route(kind, home_regions=route_homes), accounts=accounts
    )


class HomesTest(unittest.TestCase):
    """A gateway in the north with an engine in each of two regions."""

    async def _received(self, found, count=8):
        async with running_gateway(2, found, regions=REGIONS) as gateway:
            gateway.engines[1].data_center = "z2"
            gateway.apply_registration(gateway.engines[1])
            statuses = {
                (await gateway.call(f"q{i}")).status for i in range(count)
            }
            return statuses, set(gateway.received)

    @asynchronous
    async def test_requests_stay_in_the_home_region_of_their_route(self):
        statuses, received = await self._received(table())
        self.assertEqual((statuses, received), ({200}, {"e2"}))

    @asynchronous
    async def test_requests_stay_in_the_home_region_of_their_account(self):
        found = table(route_homes=frozenset(), account_homes=SOUTH)
        statuses, received = await self._received(found)
        self.assertEqual((statuses, received), ({200}, {"e2"}))

    @asynchronous
    async def test_without_a_common_region_a_request_is_refused(self):
        for kind in (CallKind.IDEMPOTENT, CallKind.STREAM):
            found = table(kind, account_homes={"north"})
            statuses, received = await self._received(found, 1)
            self.assertEqual((statuses, received), ({503}, set()))

    @asynchronous
    async def test_no_gateway_outside_of_the_home_region_gets_the_body(self):
        """The gateway is cut off; only gateways of `dc-b` could send."""
        found = table(CallKind.NON_IDEMPOTENT)
        async with running_gateway(1, build.table(build.route())) as other:
            for regions, expected in (
                (Regions({"dc-b": "west", "z1": "south"}), 0),
                (Regions({"dc-b": "south", "z1": "south"}), 1),
            ):
                peers = OtherGateways(other.forward_address)
                async with running_gateway(
                    0, found, peers=peers, regions=regions
                ) as gateway:
                    gateway.context.isolation.mark_isolated("svc")
                    await gateway.call("q1")
                self.assertEqual(len(other.received), expected)
