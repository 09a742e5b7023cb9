"""Evacuated data centres, through the request path and as processes."""

import contextlib
import signal
import unittest

import anyio

from lab.standins.platformengine import engine_headers, stream_event
from rhubarbwinch.gateway.clusterview import ClusterView
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.http.transport import Transport
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.gatewayprocesses import ENGINE, config, deployment
from tests.helpers import asynchronous

STREAMS = build.table(build.route(CallKind.STREAM, timeout_ms=20_000))
PREFIX = "op/evacuate/"


def move(gateway, number, data_center):
    """Registers an engine of a gateway in another data centre."""
    gateway.engines[number].data_center = data_center
    gateway.apply_registration(gateway.engines[number])


def view(gateway):
    """Returns the view through which a gateway gets the store's changes."""
    gateway.context.peers.set_registered = lambda name, is_registered: None
    return ClusterView(
        gateway.context, gateway.streams, Transport(), lambda table: None
    )


class EvacuationTest(unittest.TestCase):
    """One gateway with an engine in each of two data centres."""

    @asynchronous
    async def test_no_request_goes_to_an_evacuated_data_center(self):
        async with running_gateway(2) as gateway:
            move(gateway, 1, "z2")
            cluster = view(gateway)
            cluster.apply_changes([build.write(f"{PREFIX}z1", 9)], False)
            for number in range(6):
                response = await gateway.call(f"q{number}")
                self.assertEqual(response.status, 200)
            self.assertEqual(set(gateway.received), {"e2"})
            cluster.apply_changes([build.deletion(f"{PREFIX}z1", 10)], False)
            for number in range(6):
                await gateway.call(f"p{number}")
            self.assertIn("e1", gateway.received)

    @asynchronous
    async def test_an_endpoint_that_registers_later_is_evacuated_too(self):
        async with running_gateway(1) as gateway:
            cluster = view(gateway)
            cluster.apply_changes([build.write(f"{PREFIX}z2", 9)], False)
            move(gateway, 0, "z2")
            response = await gateway.call("q1")
        self.assertEqual(response.status, 503)
        self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_request_that_nobody_may_serve_is_refused_at_once(self):
        for table in (build.table(build.route()), STREAMS):
            async with running_gateway(2, table) as gateway:
                cluster = view(gateway)
                cluster.apply_changes([build.write(f"{PREFIX}z1", 9)], False)
                before = gateway.context.clock.now()
                response = await gateway.call("q1")
                took_ms = gateway.context.clock.now() - before
            self.assertEqual(response.status, 503)
            self.assertEqual(float(response.headers["retry-after"]), 1.0)
            # Without the refusal it waits for an engine that may register.
            self.assertLess(took_ms, 150)
            self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_run_does_not_resume_at_an_evacuated_standby(self):
        """The standby's data centre is evacuated while the run goes on."""
        proceed = anyio.Event()

        async def begin(received, responder):
            await responder.start_stream(200, engine_headers(received))
            await responder.write(stream_event(1))
            await proceed.wait()
            raise ConnectionError("the engine breaks off")

        async with running_gateway(2, STREAMS) as gateway:
            move(gateway, 1, "z2")
            for engine in gateway.engines:
                engine.handler = begin
            reader, writer = await gateway.open("q1")
            await reader.readuntil(b"piece 1")
            (first,) = gateway.received
            other = {"e1": "z2", "e2": "z1"}[first]
            cluster = view(gateway)
            cluster.apply_changes([build.write(f"{PREFIX}{other}", 9)], False)
            proceed.set()
            with contextlib.suppress(ConnectionError):
                while await reader.read(65_536):
                    pass
            writer.close()
            self.assertEqual(gateway.received, [first])


class EvacuationProcessesTest(unittest.TestCase):
    """Three gateway processes before endpoints of two data centres."""

    async def _evacuated(self, d, numbers):
        """Waits until no gateway sends to z1; returns what it has received."""
        for number in numbers:

            async def is_known(number=number):
                return any(
                    e["name"] == "evacuation-changed"
                    and e["fields"]["evacuated"] == ["z1"]
                    for e in d.events(number)
                )

            await d.until(is_known)
        return len(d.endpoints[0].received)

    @asynchronous
    async def test_gateways_that_restart_or_lost_the_store_know_it(self):
        async with deployment(2) as d:
            d.endpoints[1].data_center = "z2"
            await d.register(d.endpoints[1])
            for number in (1, 2):
                d.start(number)
            for number in (1, 2):
                await d.until(lambda n=number: d.is_ready(n))
            await d.evacuate("z1")
            before = await self._evacuated(d, (1, 2))
            d.processes.signal("g2", signal.SIGKILL)
            await anyio.to_thread.run_sync(d.processes.wait, "g2")
            # It starts while the store is away, and hears of it from a peer.
            d.store.faults.status = 503
            d.start(2)
            await d.until(lambda: d.is_ready(2))
            for number in (1, 2):
                for request in range(6):
                    found = await d.call(number, f"q{number}-{request}")
                    self.assertEqual(found.status_code, 200)
            self.assertEqual(len(d.endpoints[0].received), before)
            d.store.faults.status = 0
            await d.evacuate("z1", False)

            async def is_used():
                await d.call(1, "again")
                return len(d.endpoints[0].received) > before

            await d.until(is_used)

    @asynchronous
    async def test_engines_of_an_evacuated_data_center_get_no_generation(self):
        async with deployment(2) as d:
            await d.store.put("op/config", config(2, engine=ENGINE))
            d.endpoints[1].data_center = "z2"
            await d.register(d.endpoints[1])
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            await d.evacuate("z1")
            await d.evacuate("z2")

            async def refused():
                return (await d.call(1, "q1")).status_code == 503

            await d.until(refused)
            found = await d.call(1, "q2")
            self.assertIn("retry-after", found.headers)
