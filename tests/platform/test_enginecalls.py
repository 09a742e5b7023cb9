"""Calls to engines whose replies don't end."""

import unittest
from contextlib import asynccontextmanager

import anyio

from lab.standins.platformengine import ScriptedEngine
from rhubarbwinch.gateway.platforminterface import FreeState, MoveState
from rhubarbwinch.http.transport import Transport
from rhubarbwinch.platform import enginecalls
from rhubarbwinch.platform.enginecalls import PlatformEngineCalls
from rhubarbwinch.shared.exceptions import EndpointError
from tests.helpers import asynchronous, free_address

PART = bytes(64 << 10)


class EndlessEngine(ScriptedEngine):
    """An engine that sends bytes without end, after a pause each."""

    def __init__(self, part, pause_s):
        super().__init__("e1", free_address(), "svc")
        self._part = part
        self._pause_s = pause_s
        self.sent = 0

    async def _handle(self, request, responder):
        await responder.start_stream(200, [])
        while True:
            await responder.write(self._part)
            self.sent += len(self._part)
            await anyio.sleep(self._pause_s)


@asynccontextmanager
async def endless_engine(part=PART, pause_s=0.0):
    """Runs an engine; yields it with the calls to it."""
    engine = EndlessEngine(part, pause_s)
    transport = Transport()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        await anyio.wait_all_tasks_blocked()
        yield engine, PlatformEngineCalls(transport)
        await transport.aclose()
        tasks.cancel_scope.cancel()


class EndlessReplyTest(unittest.TestCase):
    """No call keeps a reply that does not end."""

    @asynchronous
    async def test_a_reply_without_end_fails(self):
        async with endless_engine() as (engine, calls):
            with anyio.fail_after(5):
                with self.assertRaises(EndpointError):
                    await calls.report(engine.address)
                result = await calls.copy_run(engine.address, "q1", "", True)
                freed = await calls.free_copy(engine.address, "h")
        self.assertEqual(result.state, MoveState.FAILED)
        self.assertEqual(freed, FreeState.FAILED)
        self.assertLess(engine.sent, 30 * enginecalls.MAX_REPLY_BYTES)

    @asynchronous
    async def test_a_reply_that_trickles_fails(self):
        # Each byte used to extend the time limit.
        async with endless_engine(b"x", 0.05) as (engine, calls):
            with anyio.fail_after(5):
                with self.assertRaises(EndpointError):
                    await calls.report(engine.address)
