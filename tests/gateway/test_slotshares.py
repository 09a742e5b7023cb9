"""Tests calls to endpoints that fall over when they refuse too much."""

import unittest

import anyio

from lab.standins.platformengine import (
    brittle_header,
    engine_headers,
    stream_event,
)
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.gateway.slotgate import SlotGate
from rhubarbwinch.gateway.slotshares import BRITTLE_MS, SlotShares
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.clock import SystemClock
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

MAX_REFUSALS = 2
SLOTS = 3
CALLERS = 60
CALL_S = 0.01


class SlotSharesTest(unittest.TestCase):
    """The shares of all gateways."""

    def test_all_gateways_together_use_each_slot_once(self):
        endpoint = build.endpoint("e1", slots=6)
        for count in (1, 4, 5, 28, 77):
            names = [f"g{i}" for i in range(count)]
            shares = [SlotShares(name) for name in names]
            for share in shares:
                share.set_gateways(names)
            with self.subTest(gateways=count):
                used = [share.share(endpoint) for share in shares]
                self.assertEqual(sum(used), 6)
                self.assertLessEqual(max(used) - min(used), 1)
                holders = {n for n, u in zip(names, used, strict=True) if u}
                self.assertEqual(set(shares[0].holders(endpoint)), holders)

    def test_a_service_is_brittle_while_its_responses_say_so(self):
        shares = SlotShares("g1")
        self.assertFalse(shares.is_brittle("svc", 0))
        shares.record_response("svc", True, 0)
        self.assertTrue(shares.is_brittle("svc", BRITTLE_MS))
        self.assertEqual(shares.listing(BRITTLE_MS), ["svc"])
        self.assertFalse(shares.is_brittle("svc", BRITTLE_MS + 1))
        shares.record_response("svc", True, 9_000)
        shares.record_response("svc", False, 9_001)
        self.assertFalse(shares.is_brittle("svc", 9_001))

    def test_a_service_that_is_brittle_to_another_gateway_is_so_here(self):
        shares = SlotShares("g1")
        shares.record_listing(["svc"], 0)
        self.assertTrue(shares.is_brittle("svc", BRITTLE_MS))
        self.assertEqual(shares.listing(0), [])
        self.assertFalse(shares.is_brittle("svc", BRITTLE_MS + 1))

    def test_a_gateway_that_leaves_has_no_share(self):
        shares = SlotShares("g1")
        shares.set_gateways(["g2", "g3"])
        self.assertEqual(shares.share(build.endpoint("e1", slots=6)), 0)

    def test_the_declaration_is_decoded(self):
        own = [(b"Server-Signature", b"s")]
        for more, expected in (
            ([brittle_header(4)], True),
            ([], False),
            ([(b"Server-Brittle", b"yes")], False),
        ):
            head = headers.decode_response(200, [*own, *more])
            self.assertIs(head.declared.is_brittle, expected)

    def test_engines_keep_slots_free_that_others_may_take_at_once(self):
        sound = build.candidate(runs=20)
        self.assertTrue(sound.fits(10, 1.0))
        brittle = build.candidate(runs=20, is_brittle=True)
        self.assertFalse(brittle.fits(10, 1.0))


class SlotGateTest(unittest.TestCase):
    """Calls that wait for a slot."""

    def setUp(self):
        self.gate = SlotGate(SlotShares("g1"), LoadTracker(), SystemClock())

    @asynchronous
    async def test_the_slot_of_a_caller_that_leaves_wakes_no_other(self):
        woken = []

        async def wait(name):
            if await self.gate.wait("svc", 5_000):
                woken.append(name)

        async with anyio.create_task_group() as tasks:
            first = anyio.CancelScope()

            async def leave():
                with first:
                    await wait("first")

            tasks.start_soon(leave)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(wait, "second")
            await anyio.wait_all_tasks_blocked()
            first.cancel()
            await anyio.wait_all_tasks_blocked()
            self.gate.handle_call_ended("svc")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(woken, ["second"])


class BrittleEndpoint:
    """An endpoint without a queue that counts what it refuses."""

    def __init__(self, engine):
        engine.slots = SLOTS
        engine.handler = self.serve
        self.open = self.refused = self.served = 0

    async def serve(self, received_request, responder):
        """Serves a call if a slot is free."""
        head = [
            (b"Attempt-Id", received_request.id.encode()),
            brittle_header(MAX_REFUSALS),
        ]
        if self.open >= SLOTS:
            self.refused += 1
            await responder.send(503, [*head, (b"Not-Executed", b"1")], b"")
            return
        self.open += 1
        await anyio.sleep(CALL_S)
        self.open -= 1
        self.served += 1
        head = [*engine_headers(received_request), head[1]]
        await responder.send(200, head, b"ok")


class BrittleEndpointsTest(unittest.TestCase):
    """A burst of callers before endpoints that say they are brittle."""

    @asynchronous
    async def test_a_burst_makes_brittle_endpoints_refuse_and_fall_over(self):
        table = build.table(build.route(CallKind.NON_IDEMPOTENT), engine=None)
        async with running_gateway(table=table) as gateway:
            endpoints = [BrittleEndpoint(engine) for engine in gateway.engines]
            for engine in gateway.engines:
                gateway.apply_registration(engine)
            statuses = []

            async def call(number):
                statuses.append((await gateway.call(f"q{number}")).status)

            await call(0)
            async with anyio.create_task_group() as tasks:
                for number in range(1, CALLERS):
                    tasks.start_soon(call, number)
        for endpoint in endpoints:
            self.assertLessEqual(endpoint.refused, MAX_REFUSALS)
        self.assertEqual(statuses, [200] * CALLERS)

    @asynchronous
    async def test_a_brittle_engine_that_is_full_gets_more_requests(self):
        # It has less room than the gateways count.
        table = build.table(build.route(CallKind.STREAM))
        async with running_gateway(table=table) as gateway:
            full, other = gateway.engines
            refused = []

            async def refuse(received_request, responder):
                refused.append(received_request.id)
                head = [brittle_header(MAX_REFUSALS), (b"Not-Executed", b"1")]
                await responder.send(503, head, b"")

            async def serve(received_request, responder):
                head = engine_headers(received_request)
                await responder.start_stream(
                    200, [*head, brittle_header(MAX_REFUSALS)]
                )
                await responder.write(stream_event(1))
                await responder.end_stream()

            full.handler, other.handler = refuse, serve
            for number in range(CALLERS // 2):
                found = await gateway.call(f"q{number}")
                self.assertEqual(found.status, 200)
        self.assertEqual(len(refused), 1)
