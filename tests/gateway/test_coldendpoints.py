"""Cold endpoints through a gateway's request path.

Guards against a cold endpoint that gets all requests at once, as it has no
load, and crashes.
"""

import unittest

import anyio
import attrs

from lab.standins.platformengine import engine_headers, send_ok
from rhubarbwinch.gateway.messages import FailureNotice
from rhubarbwinch.gateway.routes import ServiceSpec
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous, free_address

PER_SECOND = 3.0
TABLE = build.table(
    build.route(),
    services={
        "svc": ServiceSpec("svc", 100, None, cold_start_ms=60_000, cold_per_s=3)
    },
)


class ColdEndpointsTest(unittest.TestCase):
    """A gateway before an endpoint that is cold or becomes cold."""

    @asynchronous
    async def test_a_burst_reaches_a_cold_endpoint_at_its_rate(self):
        sent = []

        async with running_gateway(1, TABLE) as gateway:
            warmups = gateway.context.permits.warmups
            record_send = warmups.record_send

            def note_send(endpoint_id, at_ms):
                sent.append(at_ms)
                record_send(endpoint_id, at_ms)

            warmups.record_send = note_send
            gateway.engines[0].cold_until_ms = (
                gateway.context.clock.now() + 60_000
            )
            gateway.apply_registration(gateway.engines[0])
            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(gateway.call, f"q{number}")
            received = len(gateway.received)
        # Each request that arrived was counted at the time of its turn.
        self.assertGreaterEqual(received, PER_SECOND)
        self.assertEqual(received, len(sent))
        most = max(
            sum(start <= at < start + 1_000 for at in sent) for start in sent
        )
        self.assertLessEqual(most, PER_SECOND)

    @asynchronous
    async def test_an_endpoint_becomes_cold_by_its_own_word(self):
        async def say_cold(received, responder):
            headers = [*engine_headers(received), (b"Cold-Ms", b"60000")]
            await responder.send(200, headers, b"")

        async with running_gateway(1, TABLE) as gateway:
            self.assertIsNone(gateway.context.cold_rate("e1"))
            gateway.engines[0].handler = say_cold
            await gateway.call("q1")
            self.assertEqual(gateway.context.cold_rate("e1"), PER_SECOND)

    @asynchronous
    async def test_an_endpoint_that_refused_another_gateway_counts_as_cold(
        self,
    ):
        async with running_gateway(1, TABLE) as gateway:
            gateway.context.handle_failure(
                FailureNotice("g2", "dc-b", "e1", is_unreachable=True)
            )
            self.assertEqual(gateway.context.cold_rate("e1"), PER_SECOND)

    @asynchronous
    async def test_an_endpoint_that_refused_connections_counts_as_cold(self):
        async with running_gateway(1, TABLE) as gateway:
            context = gateway.context
            known = context.fleet.get("e1")
            address = known.endpoint.address
            # Nobody listens there.
            known.endpoint = attrs.evolve(
                known.endpoint, address=free_address()
            )
            response = await gateway.call("q1")
            self.assertEqual(response.status, 503)
            known.endpoint = attrs.evolve(known.endpoint, address=address)
            gateway.engines[0].handler = send_ok
            await gateway.call("q2")
            self.assertEqual(context.cold_rate("e1"), PER_SECOND)
