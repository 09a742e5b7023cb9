"""Tests gateway processes with stand-ins of the platform."""

import json
import pathlib
import signal
import tempfile
import unittest
from contextlib import asynccontextmanager

import anyio
import httpx

from lab.processes import free_ports
from lab.standins import platformfiles
from lab.standins.platformengine import ScriptedEngine, send_ok
from lab.standins.platformstore import PlatformStoreServer
from tests.helpers import Processes, asynchronous, free_address

# The part of a configuration that describes the engines of a service.
ENGINE = {"slots": 24, "kv_tokens": 34_000, "moves": True, "backups": True}


def config(version=1, keys=("k1",), engine=None):
    """Returns a configuration with one idempotent route."""
    routes = [platformfiles.route("r", "svc", "idempotent")]
    services = [{"name": "svc", "max_connections": 100, "engine": engine}]
    return platformfiles.config(version, routes, services, {"t1": keys})


class Deployment:
    """Several gateways, a store and an engine."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = Processes(self.folder)
        self.store = PlatformStoreServer(free_address())
        self.engine = ScriptedEngine("i-1", free_address(), "svc")
        base = free_ports(16)
        self.ports = {
            "port": base,
            "ready": base + 1,
            "directory": base + 2,
            "link": base + 3,
            "last": base + 15,
        }

    def start(self, number, program="rhubarbwinch gateway"):
        """Starts a gateway on an address of its own."""
        ip = f"127.0.7.{number}"
        ports = self.ports
        path = self.folder / f"g{number}.conf"
        text = platformfiles.settings_text(
            node=f"g{number}",
            ip=ip,
            listen__front=f"{ip}:{ports['port']}",
            listen__ready=f"{ip}:{ports['ready']}",
            listen__directory=f"{ip}:{ports['directory']}",
            internal_ports=f"{ports['link']},{ports['last']}",
            seeds=f"127.0.7.1:{ports['port']}",
            platform__address=self.store.address,
        )
        path.write_text(text)
        self.processes.start(
            f"g{number}",
            program,
            "--metrics-port",
            str(self.ports["last"]),
            env={"RHUBARBWINCH_SETTINGS": str(path)},
        )

    def url(self, number, service="port", path="/"):
        """Returns the URL of one of a gateway's addresses."""
        return f"http://127.0.7.{number}:{self.ports[service]}{path}"

    async def get(self, url, **headers):
        """Returns a response, or None if the connection fails."""
        try:
            async with httpx.AsyncClient(timeout=20) as client:
                return await client.get(url, headers=headers)
        except httpx.TransportError:
            return None

    async def call(self, number, request_id, key="k1"):
        """Sends a caller's request."""
        return await self.get(
            self.url(number, path="/r/x"),
            Host="h.example",
            Authorization=f"Bearer {key}",
            **{"Attempt-Id": request_id, "Deadline-Ms": "15000"},
        )

    async def until(self, check):
        """Waits until an async check returns true; at most 20 s."""
        with anyio.fail_after(20):
            while not await check():
                await anyio.sleep(0.02)

    async def is_ready(self, number):
        """Returns whether a gateway reports that it is ready."""
        found = await self.get(self.url(number, "ready", "/readiness"))
        return found is not None and found.status_code == httpx.codes.OK

    def events(self, number):
        """Returns the events that a gateway has logged."""
        text = (self.folder / f"g{number}.log").read_text()
        return [json.loads(x) for x in text.splitlines() if x.startswith("{")]


@asynccontextmanager
async def deployment():
    """Runs the stand-ins. The test starts the gateways."""
    with tempfile.TemporaryDirectory() as folder:
        found = Deployment(folder)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.store.run)
            tasks.start_soon(found.engine.run)
            await anyio.wait_all_tasks_blocked()
            await found.store.put(platformfiles.CONFIG_KEY, config())
            await found.store.put(
                platformfiles.ENDPOINT_PREFIX + "i-1", found.engine.ready_entry
            )
            with found.processes:
                yield found
            tasks.cancel_scope.cancel()


class GatewayTest(unittest.TestCase):
    """Requests through real gateway processes."""

    @asynchronous
    async def test_a_request_is_served_and_logged(self):
        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            found = await d.call(1, "q1")
            self.assertEqual((found.status_code, found.text), (200, "q1"))
            self.assertEqual(found.headers["server-signature"], "sig")
            names = [
                e["name"]
                for e in d.events(1)
                if e["fields"].get("request") == "q1"
            ]
            self.assertEqual(names, ["sent", "answered"])
            looked_up = await d.get(
                d.url(1, "directory", "/resolve?name=h.example")
            )
            self.assertEqual(
                looked_up.json()["addresses"], [f"127.0.7.1:{d.ports['port']}"]
            )
            metrics = await d.get(d.url(1, "last", "/metrics"))
            self.assertIn(
                'rhubarbwinch_sends_total{outcome="good"} 1', metrics.text
            )

    @asynchronous
    async def test_a_revoked_key_is_refused_by_all_gateways(self):
        async with deployment() as d:
            for number in (1, 2, 3):
                d.start(number)
            for number in (1, 2, 3):
                await d.until(lambda n=number: d.is_ready(n))
            await d.store.put(platformfiles.CONFIG_KEY, config(2, keys=("k2",)))

            async def refused():
                found = [await d.call(n, "q") for n in (1, 2, 3)]
                return {a.status_code for a in found if a} == {401}

            await d.until(refused)
            self.assertEqual((await d.call(2, "q9", "k2")).status_code, 200)

    @asynchronous
    async def test_a_gateway_started_while_the_store_is_down_serves(self):
        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            d.store.faults.status = 503
            d.start(2)
            await d.until(lambda: d.is_ready(2))
            found = await d.call(2, "q1")
            self.assertEqual((found.status_code, found.text), (200, "q1"))

    @asynchronous
    async def test_a_gateway_started_in_an_outage_knows_leaving_engines(self):
        async with deployment() as d:
            await d.store.put(
                platformfiles.CONFIG_KEY, config(2, engine=ENGINE)
            )
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            d.store.faults.status = 503
            d.engine.leaves_ms = 900

            async def refused():
                return (await d.call(1, "q1")).status_code == 503

            await d.until(refused)
            served = len(d.engine.received)
            d.start(2)
            await d.until(lambda: d.is_ready(2))
            self.assertEqual((await d.call(2, "q2")).status_code, 503)
            self.assertEqual(len(d.engine.received), served)

    @asynchronous
    async def test_sigterm_lets_open_requests_finish(self):
        await self._end_under_an_open_request()

    @asynchronous
    async def test_signals_during_a_drain_do_not_end_open_requests(self):
        await self._end_under_an_open_request(signal.SIGHUP, signal.SIGTERM)

    @asynchronous
    async def test_a_signal_after_all_is_done_does_not_change_the_status(self):
        async with deployment() as d:
            d.start(1, "tests.latesignal gateway")
            await d.until(lambda: d.is_ready(1))
            d.processes.signal("g1", signal.SIGTERM)
            status = await anyio.to_thread.run_sync(d.processes.wait, "g1")
            self.assertEqual(d.events(1)[-1]["name"], "stopped")
            self.assertEqual(status, 0)

    async def _end_under_an_open_request(self, *later):
        """Stops a gateway that waits for a response, then sends `later`."""
        proceed = anyio.Event()

        async def wait(received_request, responder):
            await proceed.wait()
            await send_ok(received_request, responder)

        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            d.engine.handler = wait
            responses = []

            async def call():
                responses.append(await d.call(1, "q1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                while not d.engine.received:
                    await anyio.sleep(0.01)
                d.processes.signal("g1", signal.SIGTERM)

                async def not_ready():
                    return not await d.is_ready(1)

                await d.until(not_ready)
                for number in later:
                    d.processes.signal("g1", number)
                    # Signals sent without a pause may be merged into one.
                    await anyio.sleep(0.1)
                proceed.set()
            self.assertEqual(responses[0].text, "q1")
            status = await anyio.to_thread.run_sync(d.processes.wait, "g1")
            self.assertEqual(status, 0)
            self.assertEqual(d.events(1)[-1]["name"], "stopped")
