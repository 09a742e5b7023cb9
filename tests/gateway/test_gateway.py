"""Tests gateway processes with stand-ins of the platform."""

import signal
import unittest

import anyio

from lab.standins import platformfiles
from lab.standins.platformengine import send_ok
from tests.gatewayprocesses import ENGINE, config, deployment
from tests.helpers import asynchronous


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
