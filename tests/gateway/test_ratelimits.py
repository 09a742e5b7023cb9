"""Tests that endpoints get no more requests than the limit they declare."""

import random
import unittest
from collections import Counter

import anyio
import attrs

from lab.standins.platformengine import engine_headers
from rhubarbwinch.gateway.forwarding import MAX_TARGETS
from rhubarbwinch.gateway.messages import EndpointLimit, RateLimitNotice
from rhubarbwinch.gateway.platforminterface import DeclaredState
from rhubarbwinch.gateway.ratelimits import RETENTION_MS, RateLimits
from rhubarbwinch.shared.clock import SystemClock
from tests.gatewayharness import running_gateway
from tests.gatewayprocesses import deployment
from tests.helpers import asynchronous

RATE = 1.0
# In a window an endpoint may get one and a half times what its limit allows,
# and some requests more.
WINDOW_MS = 4_000
ALLOWED = 1.5 * RATE * WINDOW_MS / 1_000 + 5
# The bound holds from this time after an endpoint first declared its limit.
CONVERGENCE_MS = 3_000
GATEWAYS = 3
CALL_INTERVAL_S = 0.05
CLOCK = SystemClock()


class LimitingEndpoint:
    """Responds to all requests, declares a limit and records arrivals."""

    def __init__(self, rate):
        self.arrivals = []
        self._rate = rate

    async def run(self, received_request, responder):
        """Responds to a request."""
        self.arrivals.append(CLOCK.now())
        head = engine_headers(received_request)
        head.append((b"Server-Limit", str(self._rate).encode()))
        await responder.send(200, head, b"ok")

    def largest_window(self):
        """Returns the most arrivals in a window in which the bound holds."""
        start = self.arrivals[0] + CONVERGENCE_MS
        counted = [at for at in self.arrivals if at >= start]
        return max(
            (
                sum(at <= other < at + WINDOW_MS for other in counted)
                for at in counted
            ),
            default=0,
        )


class RateLimitTest(unittest.TestCase):
    """Gateway processes before an endpoint that declares a limit."""

    @asynchronous
    async def test_gateways_together_exceed_the_rate_limit_of_an_endpoint(self):
        async with deployment(endpoints=2) as d:
            limiting = LimitingEndpoint(RATE)
            d.engine.handler = limiting.run
            numbers = range(1, GATEWAYS + 1)
            for number in numbers:
                d.start(number)
            for number in numbers:
                await d.until(lambda n=number: d.is_ready(n))

            statuses = []

            async def call_repeatedly(number):
                end = CLOCK.now() + CONVERGENCE_MS + WINDOW_MS + 1_000
                while CLOCK.now() < end:
                    found = await d.call(number, f"q{number}-{CLOCK.now()}")
                    statuses.append(found.status_code)
                    await anyio.sleep(CALL_INTERVAL_S)

            async with anyio.create_task_group() as tasks:
                for number in numbers:
                    tasks.start_soon(call_repeatedly, number)
        # The other endpoint has no limit and serves what this one does not.
        self.assertEqual(set(statuses), {200})
        self.assertTrue(limiting.arrivals)
        self.assertLessEqual(limiting.largest_window(), ALLOWED)


STEP_MS = 10
# Gateways hear of each other's heartbeats after this time.
HEARTBEAT_DELAY_MS = 30
HEARTBEAT_MS = 700
TICK_MS = 100
# The share of the requests that the limits allow, that overloaded gateways use.
MIN_USED_SHARE = 0.6


@attrs.define
class SimulatedEndpoint:
    """Records its arrivals; a limit of None declares none."""

    rate: float | None
    arrivals: list = attrs.field(factory=list)


class Simulation:
    """Gateways that share the limits of endpoints, without sockets.

    Each gateway has a request for any endpoint at each of its intervals. It
    sends it to the first endpoint that it may send to, and drops it otherwise.
    """

    def __init__(self, gateways, rates, interval_ms, forwards=False):
        self.now = 0
        self.forwards = forwards
        self.phase_ms = STEP_MS
        if forwards:
            # The requests of all gateways are spread over the interval.
            self.phase_ms *= max(1, interval_ms // gateways // STEP_MS)
        self.rng = random.Random(1)
        self.asked = Counter()
        self.served = Counter()
        self.interval_ms = interval_ms
        self.endpoints = {
            f"e{i}": SimulatedEndpoint(rate) for i, rate in enumerate(rates)
        }
        self.gateways = {}
        for i in range(gateways):
            self.start(f"g{i}")
        self._in_flight = []

    def start(self, name):
        """Starts a gateway that knows nothing."""
        self.gateways[name] = RateLimits(name)

    def stop(self, name):
        """Stops a gateway without notice."""
        del self.gateways[name]

    def run(self, duration_ms):
        """Runs the gateways for a time."""
        end = self.now + duration_ms
        while self.now < end:
            for index, (own, limits) in enumerate(self.gateways.items()):
                if self.now % TICK_MS == 0:
                    limits.set_gateways(self.gateways)
                if (self.now + index * self.phase_ms) % self.interval_ms == 0:
                    self.asked[own] += 1
                    self.served[own] += self._request(limits, index)
                for coordinator, notice in limits.pop_notices(self.now):
                    self._send(coordinator, notice)
                if (self.now + index * STEP_MS) % HEARTBEAT_MS == 0:
                    self._send(None, (own, limits.listing()))
            self._deliver()
            self.now += STEP_MS

    def _request(self, limits, index):
        names = list(self.endpoints)
        first = index % len(names)
        for name in names[first:] + names[:first]:
            if limits.delay_ms(name, self.now) == 0:
                limits.acquire(name, self.now)
                endpoint = self.endpoints[name]
                endpoint.arrivals.append(self.now)
                declared = DeclaredState(endpoint.rate)
                limits.record_response(name, declared, self.now)
                return True
        if not self.forwards or self.has_share(limits):
            return False
        senders = {s for name in names for s in limits.senders(name)}
        senders = sorted(senders & self.gateways.keys())
        targets = self.rng.sample(senders, min(MAX_TARGETS, len(senders)))
        return any(
            self.has_share(self.gateways[target])
            and self._request(self.gateways[target], index)
            for target in targets
        )

    def has_share(self, limits):
        """Returns whether a gateway may send to any endpoint, now or later."""
        return any(
            limits.delay_ms(name, self.now) is not None
            for name in self.endpoints
        )

    def _send(self, receiver, message):
        at = self.now + HEARTBEAT_DELAY_MS
        self._in_flight.append((at, receiver, message))

    def _deliver(self):
        due = [m for m in self._in_flight if m[0] <= self.now]
        self._in_flight = [m for m in self._in_flight if m[0] > self.now]
        for _, receiver, message in due:
            if isinstance(message, RateLimitNotice):
                if receiver in self.gateways:
                    self.gateways[receiver].receive_notice(message, self.now)
                continue
            for own, limits in self.gateways.items():
                if own != message[0]:
                    limits.receive_listing(*message, self.now)

    def largest_window(self, name, start_ms, end_ms):
        """Returns the most arrivals at an endpoint in a window."""
        counted = [
            at
            for at in self.endpoints[name].arrivals
            if start_ms <= at < end_ms
        ]
        return max(
            (
                sum(at <= other < at + WINDOW_MS for other in counted)
                for at in counted
            ),
            default=0,
        )


def _allowed(rate):
    return 1.5 * rate * WINDOW_MS / 1_000 + 5


class SharedLimitTest(unittest.TestCase):
    """The limits of endpoints among few and many gateways, all overloaded."""

    def test_every_size_keeps_to_the_limits_and_uses_them(self):
        sizes = [(n, r) for n in (1, 2, 4, 28, 77) for r in (0.0, 1.1, 6.0)]
        for gateways, rate in [*sizes, (4, 40.0), (300, 1.9)]:
            with self.subTest(gateways=gateways, rate=rate):
                world = Simulation(gateways, [rate] * 3, 100)
                world.run(14_000)
                steady = 0
                for name, endpoint in world.endpoints.items():
                    found = world.largest_window(name, 1_000, world.now)
                    self.assertLessEqual(found, _allowed(rate))
                    steady += sum(at >= 4_000 for at in endpoint.arrivals)
                possible = 10 * min(3 * rate, 10 * gateways)
                self.assertGreaterEqual(steady, MIN_USED_SHARE * possible)

    def test_callers_are_served_the_same_at_gateways_without_a_share(self):
        for gateways in (4, 30, 77):
            # Half of what the endpoints accept is asked for.
            interval_ms = int(gateways * 1_000 / (0.5 * 5 * 1.1))
            interval_ms -= interval_ms % STEP_MS
            world = Simulation(gateways, [1.1] * 5, interval_ms, True)
            # By then each gateway has met each limit.
            world.run(35_000)
            world.asked.clear()
            world.served.clear()
            world.run(120_000)
            share = {True: [0, 0], False: [0, 0]}
            for own, limits in world.gateways.items():
                counts = share[world.has_share(limits)]
                counts[0] += world.served[own]
                counts[1] += world.asked[own]
            with self.subTest(gateways=gateways, share=share):
                for name, endpoint in world.endpoints.items():
                    known_ms = endpoint.arrivals[0] + CONVERGENCE_MS
                    found = world.largest_window(name, known_ms, world.now)
                    self.assertLessEqual(found, _allowed(1.1))
                served, asked = share[True]
                if share[False][1]:
                    self.assertGreaterEqual(
                        share[False][0] / share[False][1],
                        2 / 3 * served / asked,
                    )

    def test_the_end_of_a_limit_reaches_all_gateways(self):
        world = Simulation(20, [1.0, None], 500)
        world.run(10_000)
        world.endpoints["e0"].rate = None
        world.run(12_000)
        for limits in world.gateways.values():
            self.assertEqual(limits.delay_ms("e0", world.now), 0)

    def test_the_loss_of_the_coordinator_changes_no_limit(self):
        world = Simulation(20, [1.0], 100)
        world.run(8_000)
        coordinator = next(
            name for name, g in world.gateways.items() if g.listing()
        )
        world.stop(coordinator)
        world.run(6_000)
        world.start(coordinator)
        world.run(8_000)
        found = world.largest_window("e0", 1_000, world.now)
        self.assertLessEqual(found, _allowed(1.0))
        world.endpoints["e0"].rate = None
        world.run(12_000)
        for limits in world.gateways.values():
            self.assertEqual(limits.delay_ms("e0", world.now), 0)

    def test_a_rolling_restart_keeps_to_the_limit(self):
        world = Simulation(8, [1.5, 1.5], 100)
        world.run(6_000)
        for name in list(world.gateways):
            world.stop(name)
            world.run(1_000)
            world.start(name)
            world.run(1_000)
        for name in world.endpoints:
            found = world.largest_window(name, 1_000, world.now)
            self.assertLessEqual(found, _allowed(1.5))

    def test_an_outdated_listing_does_not_undo_a_response(self):
        limits = RateLimits("g1")
        names = ("g1", "g2")
        limits.set_gateways(names)
        endpoint = next(
            f"e{i}"
            for i in range(50)
            if self._coordinator(f"e{i}", names) == "g2"
        )
        limited = EndpointLimit(endpoint, 2.0)
        limits.receive_listing("g2", [limited], 0)
        self.assertEqual(limits.rate(endpoint), 2.0)
        limits.record_response(endpoint, DeclaredState(None), 100)
        limits.receive_listing("g2", [limited], 200)
        self.assertIsNone(limits.rate(endpoint))
        (notice,) = limits.pop_notices(210)
        self.assertEqual(
            notice,
            ("g2", RateLimitNotice("g1", EndpointLimit(endpoint, None))),
        )
        ended = EndpointLimit(endpoint, None)
        limits.receive_listing("g2", [ended], 300)
        self.assertEqual(limits.pop_notices(10_000), [])

    def test_an_ended_limit_is_dropped_after_a_time(self):
        limits = RateLimits("g1")
        limits.record_response("e1", DeclaredState(1.0), 0)
        limits.record_response("e1", DeclaredState(None), 1_000)
        self.assertEqual(limits.listing(), [EndpointLimit("e1", None)])
        limits.drop_outdated(lambda _: True, 1_001 + RETENTION_MS)
        self.assertEqual(limits.listing(), [])

    def test_the_limit_of_an_endpoint_that_is_gone_is_dropped(self):
        limits = RateLimits("g1")
        limits.record_response("e1", DeclaredState(1.0), 0)
        limits.record_response("e2", DeclaredState(1.0), 0)
        limits.drop_outdated(lambda name: name == "e1", RETENTION_MS)
        self.assertEqual(len(limits.listing()), 2)
        limits.drop_outdated(lambda name: name == "e1", RETENTION_MS + 1)
        self.assertEqual(limits.listing(), [EndpointLimit("e1", 1.0)])

    def _coordinator(self, endpoint, names):
        for name in names:
            limits = RateLimits(name)
            limits.set_gateways(names)
            limits.record_response(endpoint, DeclaredState(1.0), 0)
            if limits.listing():
                return name
        return None


class LimitedServiceTest(unittest.TestCase):
    """One gateway, all of whose endpoints declare limits."""

    @asynchronous
    async def test_a_call_waits_for_the_limit_and_a_hopeless_one_is_refused(
        self,
    ):
        async with running_gateway(engines=1) as gateway:
            limiting = LimitingEndpoint(4)
            gateway.engines[0].handler = limiting.run
            self.assertEqual((await gateway.call()).status, 200)
            served = await gateway.call("q2")
            self.assertEqual(served.status, 200)
            self.assertGreater(limiting.arrivals[1] - limiting.arrivals[0], 200)
            refused = await gateway.call("q3", Deadline_Ms="100")
        self.assertEqual(refused.status, 503)
        self.assertLess(float(refused.headers["retry-after"]), 1.0)
        self.assertEqual(len(limiting.arrivals), 2)

    @asynchronous
    async def test_a_changed_limit_is_logged(self):
        async with running_gateway(engines=1) as gateway:
            limiting = LimitingEndpoint(1_000)
            gateway.engines[0].handler = limiting.run
            with self.assertLogs("absl", "INFO") as logs:
                await gateway.call()
                await gateway.call()
        changes = [x for x in logs.output if "rate-limit-changed" in x]
        self.assertEqual(len(changes), 1, logs.output)
        self.assertIn("per_second=1000.0", changes[0])
