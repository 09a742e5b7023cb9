"""Requests of callers while their gateway shuts down."""

import unittest

import anyio
import attrs

from lab.standins.platformengine import engine_headers
from rhubarbwinch.gateway.decisions.drains import ACCEPT_MS, make_drain
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import read_response, running_gateway
from tests.helpers import asynchronous

GRACE_MS = 8_000
PLAIN = build.table(build.route(CallKind.NON_IDEMPOTENT, timeout_ms=60_000))
STREAM = build.table(
    build.route(CallKind.STREAM, timeout_ms=60_000),
    # Smaller than any request.
    engine=attrs.evolve(build.ENGINE, kv_tokens=4_000),
)


async def hang(received_request, responder):
    """Executes a request without an end."""
    await anyio.sleep_forever()


async def hang_in_stream(received_request, responder):
    """Sends the beginning of a response."""
    await responder.start_stream(200, engine_headers(received_request))
    await responder.write(b"id: 1\ndata: a\n\n")
    await anyio.sleep_forever()


def begin_drain(gateway, passed_ms=0):
    """Begins the shutdown of a gateway, some time ago; returns its times."""
    started_ms = gateway.context.clock.now() - passed_ms
    gateway.context.drain = make_drain(started_ms, GRACE_MS)
    return gateway.context.drain


async def _until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)


class DrainTest(unittest.TestCase):
    """Each request that was read whole gets a response."""

    @asynchronous
    async def test_a_late_call_is_refused_that_the_end_would_cut(self):
        # Late calls were passed on and cut at the end without an answer, also
        # those that may not be repeated.
        async with running_gateway(1, PLAIN) as gateway:
            begin_drain(gateway, ACCEPT_MS)
            long = await gateway.call("q1", Deadline_Ms="20000")
            short = await gateway.call("q2", Deadline_Ms="1000")
        self.assertEqual(long.status, 503)
        self.assertIn("retry-after", long.headers)
        self.assertEqual(short.body, b"q2")
        self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_a_call_at_its_endpoint_at_the_end_fails(self):
        # The connection was closed without a response.
        async with running_gateway(1, PLAIN) as gateway:
            gateway.engines[0].handler = hang
            reader, writer = await gateway.open()
            await _until(lambda: gateway.received)
            drain = begin_drain(gateway)
            gateway.router.end_requests(drain, drain.last_answer_ms - 1)
            self.assertEqual(gateway.engines[0].disconnects, 0)
            gateway.router.end_requests(drain, drain.last_answer_ms)
            found = await read_response(reader)
            writer.close()
            await _until(lambda: gateway.engines[0].disconnects)
        # It may have run, which 503 would deny.
        self.assertEqual(found.status, 502)
        self.assertTrue(found.is_complete)

    @asynchronous
    async def test_a_generation_that_waits_is_refused_at_once(self):
        # It waited for an engine until the end, and was closed unanswered.
        async with running_gateway(1, STREAM) as gateway:
            gateway.engines[0].handler = hang_in_stream
            first = await gateway.open("q1")
            await _until(lambda: gateway.received)
            reader, writer = await gateway.open("q2")
            await _until(lambda: len(gateway.router._open) > 1)
            drain = begin_drain(gateway)
            gateway.router.end_requests(drain, gateway.context.clock.now())
            found = await read_response(reader)
            writer.close()
            # The generation that has begun goes on.
            self.assertEqual(len(gateway.router._open), 1)
            first[1].close()
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)
        self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_a_stream_that_has_begun_is_not_ended_as_a_failure(self):
        async with running_gateway(1, STREAM) as gateway:
            gateway.engines[0].handler = hang_in_stream
            reader, writer = await gateway.open()
            await reader.readuntil(b"data: a")
            drain = begin_drain(gateway)
            gateway.router.end_requests(drain, drain.last_answer_ms)
            await anyio.sleep(0.05)
            self.assertEqual(len(gateway.router._open), 1)
            writer.close()
