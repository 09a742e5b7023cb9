"""Requests at a gateway whose configuration is not the newest one.

Guards against final refusals by an old version: a gateway that got no changes
for seconds responded 404 to requests of a route that had been added meanwhile.
"""

import unittest

from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gateway.test_forwarding import OtherGateways
from tests.gatewayharness import NoPeers, running_gateway
from tests.helpers import asynchronous

OLD = build.table(build.route(CallKind.NON_IDEMPOTENT), version=4)
NEW = build.table(build.route(CallKind.NON_IDEMPOTENT), version=16)


class NewerGateways(OtherGateways):
    """Peers that have version 16 of the configuration."""

    config_version = 16

    def names_with_config(self, version):
        """Returns the peers that have a version in force."""
        return frozenset(t.name for t in self.targets)


def make_outdated(gateway):
    """Makes a gateway know for long that others have a newer version."""
    now = gateway.context.clock.now()
    gateway.context.freshness.update(4, 16, now - 10_000)


class StaleConfigTest(unittest.TestCase):
    """A gateway with version 4 while others have version 16."""

    @asynchronous
    async def test_an_unknown_route_or_key_is_not_refused_for_good(self):
        async with running_gateway(1, OLD) as gateway:
            gateway.context.freshness.update(4, 16, gateway.context.clock.now())
            route = await gateway.call("q1", path="/new/x")
            key = await gateway.call("q2", Authorization="Bearer new")
        for response in (route, key):
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)

    @asynchronous
    async def test_without_a_recent_confirmation_a_refusal_is_not_final(self):
        async with running_gateway(1, OLD) as gateway:
            gateway.context.store_confirmed_ms = lambda: 60_000
            response = await gateway.call("q1", path="/new/x")
        self.assertEqual(response.status, 503)

    @asynchronous
    async def test_what_does_not_exist_is_refused_for_good(self):
        async with running_gateway(1, OLD) as gateway:
            route = await gateway.call("q1", path="/new/x")
            key = await gateway.call("q2", Authorization="Bearer new")
        self.assertEqual((route.status, key.status), (404, 401))

    @asynchronous
    async def test_a_request_is_passed_to_a_gateway_with_the_newest_version(
        self,
    ):
        async with running_gateway(1, NEW) as newer:
            peers = NewerGateways(newer.forward_address)
            async with running_gateway(1, OLD, peers=peers) as gateway:
                make_outdated(gateway)
                response = await gateway.call("q1")
                own = len(gateway.received)
            self.assertEqual(response.status, 200)
            self.assertEqual((own, len(newer.received)), (0, 1))

    @asynchronous
    async def test_a_request_that_can_not_be_passed_on_has_not_run(self):
        class Alone(NoPeers):
            config_version = 16

            def names_with_config(self, version):
                return frozenset()

        async with running_gateway(1, OLD, peers=Alone()) as gateway:
            make_outdated(gateway)
            response = await gateway.call("q1")
        self.assertEqual(response.status, 503)
        self.assertEqual(gateway.received, [])
