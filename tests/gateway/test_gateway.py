"""Tests gateway processes with stand-ins of the platform."""

import asyncio
import signal
import socket
import unittest

import anyio

from lab.standins import platformfiles
from lab.standins.platformengine import engine_headers, send_ok
from rhubarbwinch.gateway.decisions.drains import ACCEPT_MS
from tests.gatewayharness import read_response
from tests.gatewayprocesses import ENGINE, config, deployment
from tests.helpers import asynchronous

CALLER_BUFFER_BYTES = 4096


def _slow_caller_socket():
    """Returns a socket that receives little before its owner reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
    return sock


def _unread_capacity():
    """Returns how many bytes the system takes for a caller that reads none."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with _slow_caller_socket() as caller:
            caller.connect(listener.getsockname())
            sender, _ = listener.accept()
            with sender:
                sender.setblocking(False)
                size = 0
                try:
                    while True:
                        size += sender.send(b"x" * 4096)
                except BlockingIOError:
                    return size


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
    async def test_a_stream_of_a_version_that_left_joins_no_other(self):
        # Gateways that were all killed knew only the versions of the endpoints
        # that were there when they started again.
        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))

            async def recorded():
                return "version-recorded" in {e["name"] for e in d.events(1)}

            await d.until(recorded)
            d.processes.signal("g1", signal.SIGKILL)
            await anyio.to_thread.run_sync(d.processes.wait, "g1")
            d.engine.version = "v2"
            await d.register(d.engine)
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            found = await d.call(1, "q1", path="/s/x", last_event_id="3")
        self.assertEqual(found.status_code, 503)
        self.assertIn("not known where the stream began", found.text)

    @asynchronous
    async def test_sigterm_lets_open_requests_finish(self):
        await self._end_under_an_open_request()

    @asynchronous
    async def test_every_request_has_a_response_when_a_drain_ends(self):
        # Late requests were sent to endpoints, and all that were open at the
        # end were cut without a response.
        async def hang(received_request, responder):
            await anyio.sleep_forever()

        async with deployment() as d:
            await d.store.put(
                platformfiles.CONFIG_KEY,
                config(2, kind="non_idempotent", timeout_ms=30_000),
            )
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            d.engine.handler = hang
            responses = {}

            async def call(request_id):
                responses[request_id] = await d.call(1, request_id)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "early")
                while not d.engine.received:
                    await anyio.sleep(0.01)
                d.processes.signal("g1", signal.SIGTERM)
                await anyio.sleep(ACCEPT_MS / 1000 + 0.5)
                await call("late")
            received = [request.id for request in d.engine.received]
        self.assertEqual(received, ["early"])
        self.assertEqual(responses["late"].status_code, 503)
        self.assertEqual(responses["early"].status_code, 502)

    @asynchronous
    async def test_signals_during_a_drain_do_not_end_open_requests(self):
        await self._end_under_an_open_request(signal.SIGHUP, signal.SIGTERM)

    @asynchronous
    async def test_a_drain_does_not_cut_what_a_slow_caller_has_not_read(self):
        # A response that is complete in the write buffer of its connection
        # does not count as an open request, and was lost with the process.
        body = b"x" * (_unread_capacity() + (32 << 10))

        async def send_body(received_request, responder):
            await responder.send(200, engine_headers(received_request), body)

        async with deployment() as d:
            d.start(1)
            await d.until(lambda: d.is_ready(1))
            d.engine.handler = send_body
            sock = _slow_caller_socket()
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.7.1", d.ports["port"]))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=CALLER_BUFFER_BYTES
            )
            writer.write(
                b"GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                b"Authorization: Bearer k1\r\nDeadline-Ms: 15000\r\n\r\n"
            )

            async def answered():
                return "answered" in {e["name"] for e in d.events(1)}

            await d.until(answered)
            d.processes.signal("g1", signal.SIGTERM)
            # A gateway without open requests ends after this time.
            await anyio.sleep(ACCEPT_MS / 1000 + 1)
            found = await read_response(reader)
            status = await anyio.to_thread.run_sync(d.processes.wait, "g1")
            writer.close()
        self.assertTrue(found.is_complete)
        self.assertEqual(len(found.body), len(body))
        self.assertEqual(status, 0)

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
