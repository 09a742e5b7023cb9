"""Tests that a stream goes on only at the software version that began it."""

import signal
import unittest

import anyio
import attrs
import httpx

from lab.standins import platformfiles
from lab.standins.platformengine import engine_headers, stream_event
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.gatewayprocesses import ENGINE, config, deployment
from tests.helpers import asynchronous

STREAM = {"kind": CallKind.STREAM, "timeout_ms": 20_000}
TABLES = {
    "standby": build.table(build.route(**STREAM)),
    "copy": build.table(
        build.route(**STREAM),
        engine=attrs.evolve(build.ENGINE, supports_standby=False),
    ),
    "restart": build.table(
        build.route(**STREAM, is_resumable=True, max_attempts=2)
    ),
}
EVENTS = 6
BREAK_AFTER = 3
STREAMS = 3
# Gateways share duties with a new peer after this time.
SHARED_AFTER_S = 1.0


class VersionedGeneration:
    """Generates events; the first run breaks after some of them."""

    def __init__(self):
        self.first = None
        self.reached = anyio.Event()
        self.proceed = anyio.Event()

    async def run(self, received_request, responder):
        """Responds to a request as an engine."""
        start = int(received_request.headers.get("last-event-id", 0))
        await responder.start_stream(200, engine_headers(received_request))
        is_first = self.first is None
        if is_first:
            self.first = received_request.headers["expect-instance"]
        for number in range(start + 1, EVENTS + 1):
            await responder.write(stream_event(number))
            if is_first and number == BREAK_AFTER:
                self.reached.set()
                await self.proceed.wait()
                return
        await responder.end_stream()


class SoftwareVersionTest(unittest.TestCase):
    """A run whose engine ends, with engines of other versions beside it."""

    async def _break_off(self, how, versions):
        """Breaks a run's stream; returns the versions that served it."""
        table = TABLES[how]
        async with running_gateway(len(versions), table) as gateway:
            generation = VersionedGeneration()
            for engine, version in zip(gateway.engines, versions, strict=True):
                engine.version = version
                engine.handler = generation.run
                gateway.apply_registration(engine)
            found = []

            async def call():
                found.append(await gateway.call())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await generation.reached.wait()
                source = next(
                    e for e in gateway.engines if e.name == generation.first
                )
                if how == "copy":
                    gateway.announce_leaving(source)
                    await anyio.sleep(0.1)
                generation.proceed.set()
            served = [e.version for e in gateway.engines if e.received]
            return found[0], set(served)

    @asynchronous
    async def test_a_run_goes_on_at_another_software_version(self):
        for how in TABLES:
            with self.subTest(how=how):
                response, served = await self._break_off(how, ["v1", "v2"])
                self.assertEqual(len(served), 1)
                self.assertFalse(response.is_complete)

    @asynchronous
    async def test_a_run_goes_on_at_its_own_software_version(self):
        for how in TABLES:
            with self.subTest(how=how):
                versions = ["v1", "v2", "v1", "v2"]
                response, served = await self._break_off(how, versions)
                self.assertEqual(len(served), 1)
                self.assertTrue(response.is_complete)


class TakeUpTest(unittest.TestCase):
    """Callers whose gateway is lost take their streams up at another one."""

    @asynchronous
    async def test_a_stream_is_taken_up_at_another_software_version(self):
        async with deployment(endpoints=2) as d:
            await d.store.put(
                platformfiles.CONFIG_KEY, config(version=2, engine=ENGINE)
            )
            for endpoint in d.endpoints:
                endpoint.version = f"v{endpoint.name}"
                await d.register(endpoint)
            for number in (1, 2):
                d.start(number)
            for number in range(STREAMS):
                await d.until(lambda: self._knows_peer(d))
                await d.until(lambda: d.is_ready(2))
                await anyio.sleep(SHARED_AFTER_S)
                generation = VersionedGeneration()
                for endpoint in d.endpoints:
                    endpoint.received.clear()
                    endpoint.handler = generation.run
                await self._begin(d, f"first{number}")
                generation.proceed.set()
                d.processes.signal("g1", signal.SIGKILL)
                response = await self._take_up(d, number)
                self.assertEqual(response.status_code, 200)
                self.assertIn(b"id: 6", response.content)
                served = [e.name for e in d.endpoints if e.received]
                self.assertEqual(served, [generation.first])
                d.start(1)

    async def _knows_peer(self, d):
        """Returns whether the first gateway is ready and knows the other."""
        names = [e["name"] for e in d.events(1)]
        return "gateway-changed" in names and await d.is_ready(1)

    async def _begin(self, d, request_id):
        """Reads the first events of a stream at the first gateway."""
        async with (
            httpx.AsyncClient(timeout=20) as client,
            client.stream(
                "POST",
                d.url(1, path="/s/x"),
                headers=self._headers(request_id),
            ) as response,
        ):
            received = b""
            async for data in response.aiter_raw():
                received += data
                if b"id: 3" in received:
                    return

    async def _take_up(self, d, number):
        async with httpx.AsyncClient(timeout=20) as client:
            return await client.post(
                d.url(2, path="/s/x"),
                headers=self._headers(f"second{number}")
                | {"Resumes": f"first{number}", "Last-Event-Id": "3"},
            )

    def _headers(self, request_id):
        return {
            "Host": "h.example",
            "Authorization": "Bearer k1",
            "Attempt-Id": request_id,
            "Deadline-Ms": "15000",
            "Token-Usage": "100,100",
        }
