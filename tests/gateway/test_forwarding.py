"""Tests requests that a gateway passes on to another one."""

import contextlib
import socket
import unittest
from contextlib import asynccontextmanager

import anyio

from lab.standins.platformengine import (
    engine_headers,
    send_not_run,
    send_ok,
    stream_event,
)
from rhubarbwinch.gateway import router as routers
from rhubarbwinch.gateway.decisions.drains import make_drain
from rhubarbwinch.gateway.edge import EdgeServer
from rhubarbwinch.gateway.forwarding import MAX_TARGETS, choose_target
from rhubarbwinch.gateway.messages import Heartbeat
from rhubarbwinch.gateway.platforminterface import DeclaredState
from rhubarbwinch.gateway.ratelimits import RateLimits
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.gateway.slotshares import SlotShares
from rhubarbwinch.shared.clock import SystemClock
from tests import gatewaybuilders as build
from tests.gatewayharness import NoPeers, read_response, running_gateway
from tests.helpers import asynchronous, free_address

CALLS = build.table(build.route())
ONCE = build.table(build.route(CallKind.NON_IDEMPOTENT))
STREAMS = build.table(build.route(CallKind.STREAM, timeout_ms=20_000))


def heartbeat(name, forward):
    """Returns the heartbeat of a gateway that takes requests of others."""
    return Heartbeat(
        name, 1, 1, name, name, name, "dc-b", is_serving=True, forward=forward
    )


class OtherGateways(NoPeers):
    """Peers to which requests can be passed."""

    def __init__(self, *addresses):
        self.targets = [
            heartbeat(f"g{i}", address) for i, address in enumerate(addresses)
        ]

    def forward_targets(self, service):
        """Returns the peers that can send requests to a service."""
        return self.targets


@asynccontextmanager
async def cut_off_gateway(*addresses, table=CALLS):
    """Runs a gateway that reaches other gateways and no endpoint."""
    peers = OtherGateways(*addresses)
    async with running_gateway(0, table, peers=peers) as gateway:
        gateway.context.isolation.mark_isolated("svc")
        yield gateway


@asynccontextmanager
async def two_gateways(table=CALLS, engines=1):
    """Runs a gateway that is cut off, and one that is not."""
    async with (
        running_gateway(engines, table) as target,
        cut_off_gateway(target.forward_address, table=table) as gateway,
    ):
        yield gateway, target


@asynccontextmanager
async def server(handle):
    """Runs a stand-in of another gateway; yields its address."""
    address = free_address()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(EdgeServer(address, handle, SystemClock()).run)
        await anyio.wait_all_tasks_blocked()
        yield address
        tasks.cancel_scope.cancel()


@contextlib.contextmanager
def hanging_address():
    """Yields an address at which new connections get no answer."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # They fill the queue of connections that wait to be accepted.
        for _ in range(3):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class ForwardingTest(unittest.TestCase):
    """A gateway that is cut off from the endpoints."""

    @asynchronous
    async def test_a_call_is_served_by_another_gateway(self):
        async with two_gateways() as (gateway, target):
            found = await gateway.call(X_Own="kept", Deadline_Ms="3000")
        self.assertEqual((found.status, found.body), (200, b"q1"))
        self.assertEqual(found.headers["server-signature"], "sig")
        (received,) = target.engines[0].received
        self.assertEqual(received.id, "q1")
        self.assertEqual(received.headers["x-own"], "kept")
        self.assertEqual(received.headers["tenant"], "acme")
        self.assertNotIn("authorization", received.headers)
        self.assertLessEqual(int(received.headers["deadline-ms"]), 3_000)

    @asynchronous
    async def test_a_stream_is_relayed_event_by_event(self):
        proceed = anyio.Event()

        async def generate(received_request, responder):
            await responder.start_stream(200, engine_headers(received_request))
            await responder.write(stream_event(1))
            await proceed.wait()
            await responder.write(stream_event(2))
            await responder.end_stream()

        async with two_gateways(STREAMS) as (gateway, target):
            target.engines[0].handler = generate
            reader, writer = await gateway.open()
            received = b""
            while stream_event(1) not in received:
                received += await reader.read(65_536)
            self.assertNotIn(stream_event(2), received)
            proceed.set()
            rest = await reader.read()
            writer.close()
        self.assertIn(stream_event(2), rest)
        self.assertTrue(rest.endswith(b"0\r\n\r\n"))

    @asynchronous
    async def test_a_stream_that_breaks_does_not_look_complete(self):
        async def break_off(received_request, responder):
            await responder.start_stream(200, engine_headers(received_request))
            await responder.write(stream_event(1))

        async with two_gateways(STREAMS) as (gateway, target):
            target.engines[0].handler = break_off
            found = await gateway.call()
        self.assertEqual(found.status, 200)
        self.assertFalse(found.is_complete)

    @asynchronous
    async def test_the_verdict_of_the_other_gateway_is_passed_back(self):
        async def break_off(received_request, responder):
            """Closes the connection without a response."""

        for handler, status in ((send_not_run, 503), (break_off, 502)):
            async with two_gateways(ONCE) as (gateway, target):
                target.engines[0].handler = handler
                found = await gateway.call()
                self.assertEqual(found.status, status)
                self.assertEqual("retry-after" in found.headers, status == 503)
                self.assertEqual(len(target.engines[0].received), 1)

    @asynchronous
    async def test_a_request_is_passed_on_once(self):
        async with (
            cut_off_gateway() as last,
            cut_off_gateway(last.forward_address) as gateway,
        ):
            # The second gateway would pass it back, if it passed it on at all.
            last.context.peers = OtherGateways(gateway.forward_address)
            found = await gateway.call()
        self.assertEqual(found.status, 503)

    @asynchronous
    async def test_what_a_gateway_has_not_run_goes_to_a_second_one(self):
        calls = []

        async def refuse(request, responder):
            calls.append(request)
            await responder.send(503, [], b"draining")

        async with (
            server(refuse) as first,
            server(refuse) as second,
            server(refuse) as third,
            cut_off_gateway(first, second, third, table=ONCE) as gateway,
        ):
            found = await gateway.call()
        self.assertEqual(len(calls), MAX_TARGETS)
        self.assertEqual(found.status, 503)

    @asynchronous
    async def test_a_gateway_that_ends_during_a_call_leaves_it_unknown(self):
        calls = []

        async def end(request, responder):
            calls.append(request)

        async with (
            server(end) as first,
            server(end) as second,
            cut_off_gateway(first, second, table=ONCE) as gateway,
        ):
            found = await gateway.call()
        self.assertEqual(len(calls), 1)
        self.assertEqual(found.status, 502)

    @asynchronous
    async def test_a_gateway_that_is_gone_has_not_run_it(self):
        async with (
            running_gateway(1) as target,
            cut_off_gateway(free_address(), target.forward_address) as gateway,
        ):
            statuses = {(await gateway.call(f"q{i}")).status for i in range(8)}
        self.assertEqual(statuses, {200})

    @asynchronous
    async def test_the_only_gateway_is_tried_again_if_it_was_not_reached(self):
        async with cut_off_gateway(free_address(), table=ONCE) as gateway:
            forward, tries = gateway.context.upstream.forward, []

            async def count(*args):
                tries.append(args)
                return await forward(*args)

            gateway.context.upstream.forward = count
            found = await gateway.call()
        self.assertEqual((len(tries), found.status), (MAX_TARGETS, 503))

    @asynchronous
    async def test_an_older_configuration_elsewhere_is_no_answer(self):
        async def not_found(request, responder):
            await responder.send(404, [], b"no such route")

        async with (
            server(not_found) as address,
            cut_off_gateway(address) as gateway,
        ):
            found = await gateway.call()
        self.assertEqual(found.status, 503)

    @asynchronous
    async def test_a_caller_that_leaves_ends_the_work_elsewhere(self):
        started = anyio.Event()

        async def work(received_request, responder):
            started.set()
            await anyio.sleep_forever()

        async with two_gateways() as (gateway, target):
            target.engines[0].handler = work
            _, writer = await gateway.open()
            await started.wait()
            writer.close()
            while not target.engines[0].disconnects:
                await anyio.sleep(0)

    @asynchronous
    async def test_the_requests_of_others_are_bounded(self):
        async with two_gateways() as (gateway, target):
            target.router._open_forwarded = routers.MAX_OPEN_FORWARDED
            found = await gateway.call()
            self.assertEqual(found.status, 503)
            self.assertEqual(target.received, [])
            own = await target.call("q2")
            self.assertEqual(own.status, 200)

    @asynchronous
    async def test_endpoints_that_refuse_connections_are_reached_elsewhere(
        self,
    ):
        async with running_gateway(1) as target:
            peers = OtherGateways(target.forward_address)
            async with running_gateway(0, CALLS, peers=peers) as gateway:
                for name in ("e1", "e2", "e3"):
                    gateway.context.fleet.apply_registration(
                        build.endpoint(name, address=free_address()), 0
                    )
                found = await gateway.call()
        self.assertEqual(found.status, 200)
        self.assertEqual(len(target.received), 1)

    @asynchronous
    async def test_connections_that_hang_leave_no_time_to_pass_a_call_on(self):
        async with running_gateway(1) as target:
            peers = OtherGateways(target.forward_address)
            async with running_gateway(0, ONCE, peers=peers) as gateway:
                with contextlib.ExitStack() as stack:
                    for name in ("e1", "e2", "e3"):
                        address = stack.enter_context(hanging_address())
                        gateway.context.fleet.apply_registration(
                            build.endpoint(name, address=address), 0
                        )
                    found = await gateway.call(Deadline_Ms="600")
        self.assertEqual(found.status, 200)

    @asynchronous
    async def test_a_request_that_is_passed_on_may_run_after_a_drain(self):
        table = build.table(build.route(CallKind.NON_IDEMPOTENT))
        async with two_gateways(table) as (gateway, target):

            async def hang(received_request, responder):
                await anyio.sleep_forever()

            target.engines[0].handler = hang
            reader, writer = await gateway.open()
            while not target.received:
                await anyio.sleep(0.01)
            drain = make_drain(gateway.context.clock.now(), 8_000)
            gateway.router.end_requests(drain, drain.last_answer_ms)
            found = await read_response(reader)
            writer.close()
        self.assertEqual(found.status, 502)

    @asynchronous
    async def test_a_new_connection_that_serves_a_call_ends_the_isolation(self):
        async with running_gateway(1) as gateway:
            for number in (1, 2):
                gateway.context.isolation.mark_isolated("svc")
                await gateway.call(f"q{number}")
                # The second call takes the connection of the first one.
                is_isolated = gateway.context.isolation.is_isolated("svc")
                self.assertEqual(is_isolated, number == 2)

    @asynchronous
    async def test_open_connections_serve_if_no_gateway_can(self):
        async with running_gateway(1) as gateway:
            gateway.engines[0].handler = send_ok
            gateway.context.isolation.mark_isolated("svc")
            found = await gateway.call()
        self.assertEqual(found.status, 200)

    @asynchronous
    async def test_a_gateway_without_a_share_refuses_what_others_can_send(self):
        names = ("g0", "g1", "g2", "g3", "g4", "g5")
        for declared in (DeclaredState(1.1), DeclaredState(is_brittle=True)):
            async with running_gateway(1) as target:
                peers = OtherGateways(*([target.forward_address] * 6))
                table = build.table(engine=None)
                async with running_gateway(1, table, peers=peers) as gateway:
                    # Another one of six gateways, or too many for its slots.
                    (engine,) = gateway.engines
                    engine.slots = 2
                    gateway.apply_registration(engine)
                    context = gateway.context
                    context.permits._limits = RateLimits("other")
                    context.slots.shares = SlotShares("other")
                    ranked = {}
                    for shares in (
                        context.permits._limits,
                        context.slots.shares,
                    ):
                        shares.set_gateways([*names, "other"])
                        ranked[shares] = shares._rankings.ranking("e1")
                        ranked[shares].remove("other")
                        ranked[shares].append("other")
                    context.permits.record_response("q0", "e1", declared)
                    context.slots.shares.record_response(
                        "svc", declared.is_brittle, context.clock.now()
                    )
                    found = await gateway.call()
                    self.assertEqual(found.status, 200)
                    self.assertEqual(gateway.received, [])
                self.assertEqual(len(target.received), 1)

    def test_targets_are_chosen_at_random_among_those_not_tried(self):
        targets = [heartbeat(f"g{i}", "a") for i in range(8)]
        rng = build.rng()
        chosen = {choose_target(targets, ["g3"], rng).name for _ in range(200)}
        self.assertEqual(chosen, {t.name for t in targets} - {"g3"})
        self.assertIsNone(choose_target(targets[:1], ["g0"], rng))

    @asynchronous
    async def test_an_error_of_an_endpoint_keeps_its_status(self):
        async def fail(received_request, responder):
            await responder.send(
                500, engine_headers(received_request), b"broken"
            )

        async with two_gateways(ONCE) as (gateway, target):
            target.engines[0].handler = fail
            found = await gateway.call()
        self.assertEqual((found.status, found.body), (500, b"broken"))
        self.assertEqual(found.headers["server-signature"], "sig")
