"""Requests that crash endpoints."""

import unittest

import anyio

from rhubarbwinch.gateway.crashes import (
    BrokenResponse,
    CrashTracker,
    fingerprint,
)
from rhubarbwinch.gateway.crashsuspects import (
    MAX_CRASHES,
    Crash,
    CrashSuspects,
    part_key,
)
from rhubarbwinch.gateway.messages import CrashNotice, HarmlessNotice
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import ManualClock
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

FIRST, FATAL = part_key("a1"), part_key("bad1")


class FingerprintTest(unittest.TestCase):
    """What identifies a request."""

    def test_requests_that_differ_in_any_part_have_other_fingerprints(self):
        parts = [("a", b"/x", b"b"), ("a", b"/", b"xb"), ("ax", b"/", b"b")]
        self.assertEqual(len({fingerprint(*p) for p in parts}), 3)


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes every endpoint it reaches."""

    @asynchronous
    async def test_it_reaches_no_endpoint_after_the_third_crash(self):
        table = build.table(build.route(CallKind.NON_IDEMPOTENT))
        async with running_gateway(engines=6, table=table) as gateway:

            async def crash(received_request, responder):
                """Makes the endpoint unreachable during the request."""
                name = received_request.headers["expect-instance"]
                known = gateway.context.fleet.get(name)
                unreachable = build.endpoint(name, address="127.0.0.1:1")
                known.endpoint = unreachable

            async def is_gone(address):
                return True

            gateway.context.crashes._is_gone = is_gone
            for engine in gateway.engines:
                engine.handler = crash
            statuses = []
            for i in range(6):
                statuses.append((await gateway.call(f"q{i}")).status)
                # The crash is detected after the caller has its response.
                while len(gateway.broadcasts) < min(i + 1, MAX_CRASHES):
                    await anyio.sleep(0)
        self.assertEqual(len(gateway.received), MAX_CRASHES)
        self.assertEqual(statuses[:3], [502] * 3)
        self.assertEqual(statuses[-1], 503)
        self.assertEqual(len(gateway.broadcasts), MAX_CRASHES)


class CrashNetwork:
    """The crash trackers of several gateways, and the notices between them."""

    def __init__(self, gateways):
        self.clock = ManualClock()
        self.cut_off = set()
        self.reached_elsewhere = None
        self.notices = 0
        self.trackers = [
            CrashTracker(
                CrashSuspects(lambda key, own=i: own == 0),
                self._is_gone,
                self.clock,
                lambda notice, own=i: self._broadcast(notice, own),
                self._is_reached_elsewhere,
            )
            for i in range(gateways)
        ]

    async def _is_gone(self, address):
        return True

    async def _is_reached_elsewhere(self, address):
        return self.reached_elsewhere

    def _broadcast(self, notice, sender):
        self.notices += 1
        notice = codec.decode(codec.encode(notice), type(notice))
        for i, tracker in enumerate(self.trackers):
            if i == sender or i in self.cut_off:
                continue
            if isinstance(notice, CrashNotice):
                tracker.handle_crash_notice(notice)
            else:
                tracker.handle_harmless_notice(notice)

    async def crash(self, gateway, number, *parts):
        """Lets an endpoint crash under a request of a gateway."""
        sent_ms = self.clock.now()
        await self.clock.advance(700)
        crash = Crash(
            (f"e{number}", 1),
            f"request:r{number}",
            parts,
            sent_ms,
            self.clock.now(),
        )
        broken = BrokenResponse(f"q{number}", "10.0.0.1:1", crash, 0)
        await self.trackers[gateway]._check(broken.address, [broken])

    def refusing(self, *keys):
        """Returns the gateways that refuse a request with these keys."""
        return [i for i, t in enumerate(self.trackers) if t.find_refused(keys)]

    async def send_heartbeats(self):
        """Delivers the listing of each gateway to all others."""
        listings = [tracker.listing() for tracker in self.trackers]
        for i, tracker in enumerate(self.trackers):
            for j, listing in enumerate(listings):
                if i != j and listing:
                    tracker.handle_listing(f"g{j}", listing)


class CrashNoticesTest(unittest.TestCase):
    """Several gateways, each of which sees some of the crashes."""

    @asynchronous
    async def test_crashes_at_several_gateways_count_together(self):
        network = CrashNetwork(4)
        for number in range(MAX_CRASHES):
            await network.crash(number, number, FIRST, FATAL)
            network.trackers[3].record_harmless("q", [FIRST])
        self.assertEqual(network.refusing(FATAL), [0, 1, 2, 3])
        self.assertEqual(network.refusing(FIRST), [])

    @asynchronous
    async def test_a_gateway_that_missed_the_crashes_refuses_the_part(self):
        network = CrashNetwork(3)
        network.cut_off = {2}
        for number in range(MAX_CRASHES):
            await network.crash(0, number, FATAL)
        network.cut_off = set()
        self.assertEqual(network.refusing(FATAL), [0, 1])
        await network.send_heartbeats()
        self.assertEqual(network.refusing(FATAL), [0, 1, 2])

    @asynchronous
    async def test_a_gateway_that_missed_a_success_hears_of_it_again(self):
        network = CrashNetwork(3)
        for number in range(MAX_CRASHES):
            await network.crash(0, number, FATAL)
        network.cut_off = {1}
        network.trackers[0].record_harmless("q", [FATAL])
        network.cut_off = set()
        self.assertEqual(network.refusing(FATAL), [1])
        await network.clock.advance(700)
        await network.send_heartbeats()
        self.assertEqual(network.refusing(FATAL), [])

    @asynchronous
    async def test_a_gateway_that_is_cut_off_accuses_its_requests(self):
        # Its connections break, and it can't open new ones.
        network = CrashNetwork(3)
        network.reached_elsewhere = True
        for number in range(2 * MAX_CRASHES):
            await network.crash(0, number, FATAL)
        self.assertEqual(network.refusing(FATAL), [])
        self.assertEqual(network.notices, 0)
        network.reached_elsewhere = False
        for number in range(MAX_CRASHES):
            await network.crash(0, number, FATAL)
        self.assertEqual(network.refusing(FATAL), [0, 1, 2])

    @asynchronous
    async def test_a_slow_reply_delays_the_checks_of_later_crashes(self):
        network = CrashNetwork(2)
        tracker = network.trackers[0]
        is_silent = True

        async def ask(address):
            if is_silent:
                await anyio.sleep_forever()

        tracker._is_reached_elsewhere = ask
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(tracker.run)
            for number in range(MAX_CRASHES + 1):
                crash = Crash((f"e{number}", 1), "request:r", (), 0, 0)
                broken = BrokenResponse("q", f"10.0.0.{number}:1", crash, 0)
                tracker.check_endpoint(broken)
                await anyio.wait_all_tasks_blocked()
                is_silent = False
            tasks.cancel_scope.cancel()
        self.assertEqual(network.refusing("request:r"), [0, 1])

    @asynchronous
    async def test_harmless_requests_send_no_notices(self):
        network = CrashNetwork(2)
        for _ in range(50):
            network.trackers[0].record_harmless("q", [FIRST, "request:r"])
        self.assertEqual(network.notices, 0)

    def test_notices_are_encoded(self):
        for notice in (
            CrashNotice("request:r", "e1", 7, [FATAL]),
            HarmlessNotice([FATAL], 40),
        ):
            data = codec.encode(notice)
            self.assertEqual(codec.decode(data, type(notice)), notice)
