"""Endpoints that restart under their address while the old id is listed."""

import unittest

import anyio

from lab.standins.platformengine import (
    ScriptedEngine,
    engine_headers,
    send_ok,
    stream_event,
)
from rhubarbwinch.gateway.fleet import LEFT_RETENTION_MS, Fleet
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.gatewayprocesses import deployment
from tests.helpers import asynchronous

STREAM = build.table(
    build.route(CallKind.STREAM, is_resumable=True, max_attempts=2)
)
PLAIN = build.table(build.route(timeout_ms=800))


async def _send_gone(received_request, responder):
    await responder.send(421, [], b"")


async def _send_error(received_request, responder):
    await responder.send(500, engine_headers(received_request), b"")


async def _hang(received_request, responder):
    await anyio.sleep_forever()


async def _break_off(received_request, responder):
    first = int(received_request.headers.get("last-event-id", 0)) + 1
    await responder.start_stream(200, engine_headers(received_request))
    await responder.write(stream_event(first))


async def _send_stream(received_request, responder):
    await _break_off(received_request, responder)
    await responder.end_stream()


async def _send_to(gateway, handlers):
    """Sends a request to engines that placement chooses in their order."""
    gateway.context.store_position = lambda: len(gateway.received)
    for number, engine in enumerate(gateway.engines):
        engine.handler = handlers[number]
        gateway.context.loads.add_unannounced(engine.name, 4 * number)
    return await gateway.call()


class FleetTest(unittest.TestCase):
    """Which registrations are valid."""

    def setUp(self):
        self.fleet = Fleet()

    def _apply(self, name, position=0, **fields):
        endpoint = build.endpoint(name, **{"address": "127.0.0.1:9"} | fields)
        self.fleet.apply_registration(endpoint, 0, position)

    def _names(self):
        return {k.endpoint.id for k in self.fleet.accepting_for_service("svc")}

    def test_a_gone_start_is_valid_again_only_by_a_later_entry(self):
        # A re-read of the store delivers the stale entry again, and the notice
        # of a peer may overtake the entry.
        self.assertFalse(self.fleet.mark_gone("e1", 1, 8, 0))
        for position, expected in ((8, set()), (9, {"e1"}), (12, {"e1"})):
            self._apply("e1", position)
            self.assertEqual(self._names(), expected, position)
        self.assertTrue(self.fleet.mark_gone("e1", 1, 12, 0))
        self.assertFalse(self.fleet.mark_gone("e1", 1, 12, 0))
        self._apply("e1", 12)
        self.assertEqual(self._names(), set())

    def test_the_later_start_at_an_address_is_valid_in_any_order(self):
        # The store may deliver the older entry after the newer one, and the
        # older entry may outlive the newer endpoint.
        for order in ((1, 2), (2, 1), (2, 1, 1)):
            self.fleet = Fleet()
            for start in order:
                self._apply(f"e{start}", started_ms=start)
            self.assertEqual(self._names(), {"e2"}, order)
        self._apply("e2", started_ms=1)
        self.assertEqual(self.fleet.get("e2").endpoint.started_ms, 2)
        self.fleet.remove("e2", 0, after_outage=False)
        self.fleet.expire_endpoints(LEFT_RETENTION_MS + 1)
        self.assertEqual(self._names(), set())

    def test_only_known_starts_at_one_address_are_compared(self):
        self._apply("e1", started_ms=0)
        self._apply("e2", started_ms=1)
        self._apply("e3", started_ms=2)
        self.assertEqual(self._names(), {"e1", "e3"})
        self._apply("e3", started_ms=2, address="127.0.0.1:8")
        self.assertEqual(self._names(), {"e1", "e2", "e3"})


class RestartedEndpointsTest(unittest.TestCase):
    """Requests that meet engines whose registered start is gone."""

    @asynchronous
    async def test_gone_endpoints_use_up_no_attempts_of_a_request(self):
        # Old ids used up the attempts of a request, those of a route after an
        # error or a broken stream, and the time of an endpoint that hangs.
        for table, handlers in (
            (PLAIN, [_send_gone] * 4 + [send_ok]),
            (STREAM, [_send_gone] * 5 + [_send_stream]),
            (STREAM, [_send_gone, _send_error, _send_stream]),
            (STREAM, [_break_off, _send_gone, _send_gone, _send_stream]),
            (PLAIN, [_send_gone, _hang, send_ok]),
        ):
            async with running_gateway(len(handlers), table) as gateway:
                response = await _send_to(gateway, handlers)
                self.assertEqual(response.status, 200, handlers)
                self.assertTrue(response.is_complete, handlers)
                # A notice covers what was known before the request was sent.
                first = handlers.index(_send_gone)
                gone = handlers.count(_send_gone)
                positions = [notice.position for notice in gateway.gone]
                self.assertEqual(positions, list(range(first, first + gone)))
                # No endpoint that is gone gets a second request.
                await gateway.call("q2")
                for engine in gateway.engines[first : first + gone]:
                    self.assertEqual(len(engine.received), 1)

    @asynchronous
    async def test_gone_endpoints_take_from_the_retry_budget(self):
        # The platform counts each request that arrives at an endpoint.
        for table in (PLAIN, STREAM):
            async with running_gateway(4, table) as gateway:
                gateway.context.budget.configure(0, 10_000, 2.5)
                response = await _send_to(gateway, [_send_gone] * 4)
                self.assertIn(b"no longer at its address", response.body)
                self.assertEqual(len(gateway.received), 3)

    @asynchronous
    async def test_gateways_learn_of_a_gone_endpoint_from_each_other(self):
        # Each gateway would otherwise send requests to the old id itself.
        async with deployment() as d:
            await d.register(ScriptedEngine("i-0", d.engine.address, "svc"))
            for number in (1, 2):
                d.start(number)
                await d.until(lambda n=number: d.is_ready(n))

            async def is_gone_at_both():
                await d.call(1, "q1")
                found = [[e["name"] for e in d.events(n)] for n in (1, 2)]
                return all("endpoint-gone" in names for names in found)

            await d.until(is_gone_at_both)
