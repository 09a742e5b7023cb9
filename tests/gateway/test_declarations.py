"""Tests what follows from what endpoints say of themselves in responses."""

import unittest

import anyio

from lab.standins.platformengine import (
    LEAVING,
    engine_headers,
    send_ok,
    send_pause,
    stream_event,
)
from rhubarbwinch.gateway.endpointpauses import MAX_PAUSE_MS, EndpointPauses
from rhubarbwinch.gateway.fleet import Fleet
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

CALLS = 12
STREAM = build.table(build.route(CallKind.STREAM, timeout_ms=20_000))


async def leave(received_request, responder):
    """Serves a request and says that the endpoint leaves."""
    head = [*engine_headers(received_request), LEAVING]
    await responder.send(200, head, b"ok")


async def fail_and_leave(received_request, responder):
    """Responds with an error and says that the endpoint leaves."""
    head = [*engine_headers(received_request), LEAVING]
    await responder.send(500, head, b"no")


def pausing(pause_s):
    """Returns a handler that refuses requests and asks for time."""

    async def run(received_request, responder):
        await send_pause(received_request, responder, pause_s)

    return run


class LeavingTest(unittest.TestCase):
    """An endpoint whose responses say that it leaves."""

    @asynchronous
    async def test_an_endpoint_that_says_it_leaves_gets_new_requests(self):
        for handler in (leave, fail_and_leave):
            async with running_gateway() as gateway:
                gateway.engines[0].handler = handler
                gateway.engines[1].handler = send_ok
                for number in range(CALLS):
                    found = await gateway.call(f"q{number}")
                    self.assertEqual(found.status, 200)
                self.assertLessEqual(gateway.received.count("e1"), 1)
                self.assertEqual(
                    gateway.left, ["e1"] * gateway.received.count("e1")
                )

    @asynchronous
    async def test_the_other_runs_of_an_engine_that_says_it_leaves_are_copied(
        self,
    ):
        async with running_gateway(table=STREAM) as gateway:
            source, target = gateway.engines
            target.migration_status = source.migration_status = 200
            proceed = anyio.Event()

            async def generate(received_request, responder):
                head = engine_headers(received_request)
                is_second = received_request.id == "q2"
                await responder.start_stream(
                    200, [*head, LEAVING] if is_second else head
                )
                await responder.write(stream_event(1))
                if not is_second:
                    await proceed.wait()
                await responder.end_stream()

            gateway.announce_leaving(target)
            source.handler = generate
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(gateway.call, "q1")
                while not source.received:
                    await anyio.sleep(0)
                gateway.apply_registration(target)
                gateway.context.suspicion.avoid("svc", target.name, 0)
                gateway.context.loads.add(target.name, 0, runs=20)
                await gateway.call("q2")
                while not source.migration_requests:
                    await anyio.sleep(0.01)
                proceed.set()
        self.assertEqual(source.migration_requests[0]["id"], "q1")

    def test_a_renewed_entry_undoes_what_an_endpoint_has_said_itself(self):
        fleet = Fleet()
        fleet.apply_registration(build.endpoint("e1"), 0)
        self.assertTrue(fleet.mark_leaving("e1", 1, 10, is_declared=True))
        fleet.apply_registration(build.endpoint("e1"), 20)
        self.assertFalse(fleet.get("e1").accepts_requests)
        fleet.apply_registration(build.endpoint("e1", started_ms=2), 30)
        self.assertTrue(fleet.get("e1").accepts_requests)


class PauseTest(unittest.TestCase):
    """An endpoint that turns requests away and asks for time."""

    async def _call_all(self, gateway):
        """Sends requests at the same time; returns their statuses."""
        statuses = []

        async def call(number):
            statuses.append((await gateway.call(f"q{number}")).status)

        async with anyio.create_task_group() as tasks:
            for number in range(CALLS):
                tasks.start_soon(call, number)
        return statuses

    async def _refuse_first(self, gateway):
        """Lets the first endpoint ask for time, and the other one serve."""
        first = gateway.engines[0]
        first.handler = pausing(30)
        number = 0
        while not first.received:
            number += 1
            await gateway.call(f"f{number}")
        await self._call_all(gateway)
        return len(first.received)

    @asynchronous
    async def test_an_endpoint_that_asked_for_time_gets_requests(self):
        async with running_gateway() as gateway:
            self.assertEqual(await self._refuse_first(gateway), 1)

    @asynchronous
    async def test_an_engine_that_asked_for_time_gets_generations(self):
        async def generate(received_request, responder):
            head = engine_headers(received_request)
            await responder.start_stream(200, head)
            await responder.write(stream_event(1))
            await responder.end_stream()

        async with running_gateway(table=STREAM) as gateway:
            gateway.engines[1].handler = generate
            self.assertEqual(await self._refuse_first(gateway), 1)

    @asynchronous
    async def test_a_call_is_refused_at_once_until_the_first_endpoint_is_back(
        self,
    ):
        async with running_gateway() as gateway:
            for engine, value in zip(gateway.engines, (30, 20), strict=True):
                engine.handler = pausing(value)
            hints = []
            for number in range(5):
                found = await gateway.call(f"r{number}", Deadline_Ms="5000")
                self.assertEqual(found.status, 503)
                hints.append(float(found.headers["retry-after"]))
        self.assertEqual(len(gateway.received), 2)
        self.assertGreater(min(hints), 15)
        self.assertGreater(len(set(hints)), 1)

    @asynchronous
    async def test_a_generation_waits_in_vain_for_engines_that_asked_for_time(
        self,
    ):
        async with running_gateway(table=STREAM) as gateway:
            for engine, pause_s in zip(gateway.engines, (30, 20), strict=True):
                engine.handler = pausing(pause_s)
            for number in range(4):
                found = await gateway.call(f"q{number}")
                self.assertEqual(found.status, 503)
            hint = float(found.headers["retry-after"])
        self.assertEqual(len(gateway.received), 2)
        self.assertGreater(hint, 15)

    @asynchronous
    async def test_a_call_waits_for_an_endpoint_that_asked_for_a_moment(self):
        async with running_gateway(engines=1) as gateway:
            gateway.engines[0].handler = pausing(0.3)
            self.assertEqual((await gateway.call("q1")).status, 503)
            gateway.engines[0].handler = send_ok
            self.assertEqual((await gateway.call("q2")).status, 200)

    def test_an_endless_pause_is_bounded(self):
        pauses = EndpointPauses()
        self.assertTrue(pauses.record("e1", 1 << 60, 1_000))
        self.assertEqual(pauses.left_ms("e1", 1_000), MAX_PAUSE_MS)
        self.assertFalse(pauses.record("e1", 5_000, 2_000))
        self.assertEqual(pauses.left_ms("e1", 1_000 + MAX_PAUSE_MS), 0)
