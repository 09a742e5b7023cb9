"""Parts of prompts that crash each engine that begins to answer them."""

import unittest

import anyio

from lab.standins.platformengine import engine_headers, stream_event
from rhubarbwinch.gateway.routes import CallKind
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

RESUMABLE = build.table(
    build.route(
        CallKind.STREAM, timeout_ms=20_000, is_resumable=True, max_attempts=2
    )
)
FATAL = "bad1"
# Five engines may be lost to a part, and three more requests with it be sent.
MAX_ARRIVALS = 5 + 3


class FatalPart:
    """Engines that crash on a part, and restart at once under a new id.

    Args:
        gateway: The harness of the gateway before the engines.
    """

    def __init__(self, gateway):
        self.arrivals = 0
        self.crashed_addresses = set()
        self._gateway = gateway
        gateway.context.crashes._is_gone = self._is_gone
        for engine in gateway.engines:
            engine.handler = self._handler(engine)

    async def _is_gone(self, address):
        return address in self.crashed_addresses

    def _handler(self, engine):
        async def run(received_request, responder):
            await responder.start_stream(200, engine_headers(received_request))
            if FATAL in received_request.headers["prefix-hash"]:
                self._crash(engine)
                return
            for number in (1, 2, 3):
                await responder.write(stream_event(number))
            await responder.end_stream()

        return run

    def _crash(self, engine):
        self.arrivals += 1
        self.crashed_addresses.add(engine.address)
        engine.name += "x"
        self._gateway.apply_registration(engine)

    async def settle(self):
        """Waits until the crashes are checked, and the engines are back."""
        for _ in range(20):
            await anyio.sleep(0)
        self.crashed_addresses.clear()


class FatalPartTest(unittest.TestCase):
    """Requests that are all different and share one part."""

    async def _call(self, gateway, number, *parts):
        own = f"{number:x}:900"
        prefix = ",".join([*(f"{part}:600" for part in parts), own])
        return await gateway.call(
            f"q{number}", path=f"/r/x{number}", Prefix_Hash=prefix
        )

    @asynchronous
    async def test_a_part_of_a_prompt_crashes_engine_after_engine(self):
        async with running_gateway(engines=6, table=RESUMABLE) as gateway:
            fatal = FatalPart(gateway)
            statuses = []
            for number in range(100, 140, 2):
                await self._call(gateway, number, "a1", FATAL)
                await fatal.settle()
                sound = await self._call(gateway, number + 1, "a1", "b2")
                statuses.append(sound.status)
        self.assertLessEqual(fatal.arrivals, MAX_ARRIVALS)
        self.assertEqual(statuses, [200] * 20)
