"""Tests plain calls to endpoints that fail in different ways."""

import unittest

import anyio

from lab.standins.platformengine import (
    engine_headers,
    send_not_run,
    send_ok,
    stream_event,
)
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous, free_address

NOT_REPEATABLE = build.table(build.route(CallKind.NON_IDEMPOTENT))


async def cut(received_request, responder):
    """Closes the connection without a response."""


async def cut_midway(received_request, responder):
    """Closes the connection before the announced end of the body."""
    headers = [*engine_headers(received_request), (b"Content-Length", b"100")]
    await responder._connection.write(
        b"HTTP/1.1 200 OK\r\n"
        + b"".join(n + b": " + v + b"\r\n" for n, v in headers)
        + b"\r\nhalf"
    )


async def fail(received_request, responder):
    """Responds with an error of the endpoint itself."""
    await responder.send(500, engine_headers(received_request), b"no")


async def unsigned(received_request, responder):
    """Sends a response without the endpoint's signature."""
    head = [(b"Attempt-Id", received_request.id.encode())]
    await responder.send(200, head, b"not the endpoint's")


async def encoded(received_request, responder):
    """Sends a body that was encoded on the way."""
    head = [*engine_headers(received_request), (b"Content-Encoding", b"gzip")]
    await responder.send(200, head, b"zzz")


async def busy(received_request, responder):
    """Responds with 503 without stating that nothing ran."""
    await responder.send(503, engine_headers(received_request), b"")


async def nonsense(received_request, responder):
    """Sends bytes that are no HTTP response."""
    await responder._connection.write(b"\x00\x01 what?\r\n\r\n")


async def stale_response_first(received_request, responder):
    """Sends a response to another request before the right one."""
    await responder._connection.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Signature: s\r\n"
        b"Content-Length: 5\r\n\r\nother"
    )
    await send_ok(received_request, responder)


def _once(handler):
    """Returns a handler that fails the first request only."""
    seen = []

    async def run(received_request, responder):
        seen.append(1)
        chosen = handler if len(seen) == 1 else send_ok
        await chosen(received_request, responder)

    return run


BROKEN_HANDLERS = (cut, cut_midway, unsigned, encoded, busy, nonsense)


class UnreachableEndpointsTest(unittest.TestCase):
    """Endpoints that accept no connections, beside one that does."""

    @asynchronous
    async def test_connections_that_were_never_made_use_up_the_retry_budget(
        self,
    ):
        for table in (build.table(), build.table(build.route(CallKind.STREAM))):
            async with running_gateway(engines=3, table=table) as gateway:
                gateway.context.budget.configure(0.0, 10_000, 0)
                gateway.engines[2].handler = _respond
                for engine in gateway.engines[:2]:
                    engine.address = free_address()
                    gateway.apply_registration(engine)
                    # They look idle, and the third one does not.
                    gateway.context.loads.add("e3", 100)
                found = await gateway.call()
                self.assertEqual(found.status, 200)
                self.assertEqual(gateway.received, ["e3"])


async def _respond(received_request, responder):
    """Sends one event, or a body that looks like it."""
    await responder.start_stream(200, engine_headers(received_request))
    await responder.write(stream_event(1))
    await responder.end_stream()


class PlainCallsTest(unittest.TestCase):
    """One caller, two endpoints."""

    @asynchronous
    async def test_a_whole_response_is_relayed(self):
        async with running_gateway() as gateway:
            found = await gateway.call()
        self.assertEqual((found.status, found.body), (200, b"q1"))
        self.assertEqual(found.headers["server-signature"], "sig")
        self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_a_repeatable_call_is_served_by_the_other_endpoint(self):
        for handler in (*BROKEN_HANDLERS, send_not_run, fail):
            async with running_gateway() as gateway:
                once = _once(handler)
                for engine in gateway.engines:
                    engine.handler = once
                found = await gateway.call()
                self.assertEqual(found.status, 200, handler)
                self.assertEqual(sorted(gateway.received), ["e1", "e2"])

    @asynchronous
    async def test_a_call_that_may_have_run_once_is_never_sent_again(self):
        for handler in BROKEN_HANDLERS:
            async with running_gateway(table=NOT_REPEATABLE) as gateway:
                for engine in gateway.engines:
                    engine.handler = handler
                found = await gateway.call()
                self.assertEqual(found.status, 502, handler)
                self.assertEqual(len(gateway.received), 1, handler)
                self.assertNotIn("server-signature", found.headers)

    @asynchronous
    async def test_a_refused_call_is_sent_to_each_endpoint_once(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            gateway.engines[0].handler = gateway.engines[1].handler = (
                send_not_run
            )
            found = await gateway.call()
            self.assertEqual(found.status, 503)
            self.assertIn("retry-after", found.headers)
            self.assertEqual(sorted(gateway.received), ["e1", "e2"])

    @asynchronous
    async def test_an_unreachable_endpoint_is_skipped(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            known = gateway.context.fleet.get("e1")
            unreachable = build.endpoint("e1", address="127.0.0.1:1")
            known.endpoint = unreachable
            for i in range(6):
                found = await gateway.call(f"q{i}")
                self.assertEqual(found.status, 200)

    @asynchronous
    async def test_another_endpoint_at_a_reused_address_runs_nothing(self):
        async with running_gateway(engines=1, table=NOT_REPEATABLE) as gateway:
            gateway.engines[0].name = "e9"
            found = await gateway.call()
            self.assertEqual(found.status, 503)
            self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_response_to_another_request_is_skipped(self):
        async with running_gateway(engines=1) as gateway:
            gateway.engines[0].handler = stale_response_first
            found = await gateway.call()
            self.assertEqual((found.status, found.body), (200, b"q1"))

    @asynchronous
    async def test_an_endpoints_own_error_is_relayed_unchanged(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            gateway.engines[0].handler = gateway.engines[1].handler = fail
            found = await gateway.call()
            self.assertEqual((found.status, found.body), (500, b"no"))
            self.assertEqual(found.headers["server-signature"], "sig")
            self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_the_attempt_is_cancelled_when_the_caller_disconnects(self):
        async def hang(received_request, responder):
            await anyio.sleep_forever()

        async with running_gateway(engines=1) as gateway:
            gateway.engines[0].handler = hang
            _, writer = await gateway.open()
            while not gateway.received:
                await anyio.sleep(0)
            writer.close()
            while not gateway.engines[0].disconnects:
                await anyio.sleep(0)
            self.assertEqual(gateway.context.loads.own_loads(), [])

    @asynchronous
    async def test_the_endpoint_gets_the_remaining_deadline(self):
        async with running_gateway(engines=1) as gateway:
            await gateway.call()
            headers = gateway.engines[0].received[0].headers
            # The route's limit of 5 s is lower than the caller's 20 s.
            self.assertLessEqual(int(headers["deadline-ms"]), 5_000)
            self.assertEqual(headers["tenant"], "acme")
            self.assertNotIn("authorization", headers)

    @asynchronous
    async def test_unknown_keys_routes_and_missing_ids_are_refused(self):
        async with running_gateway() as gateway:
            for more, status in (
                ({"Authorization": "Bearer other"}, 401),
                ({"Authorization": ""}, 401),
                ({"path": "/unknown/"}, 404),
                ({"Attempt_Id": ""}, 400),
            ):
                found = await gateway.call(**more)
                self.assertEqual(found.status, status, more)
            gateway.context.table = None
            self.assertEqual((await gateway.call()).status, 503)
            self.assertEqual(gateway.received, [])
