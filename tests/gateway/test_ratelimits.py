"""Tests that endpoints get no more requests than the limit they declare."""

import unittest

import anyio

from lab.standins.platformengine import engine_headers
from rhubarbwinch.shared.clock import SystemClock
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
