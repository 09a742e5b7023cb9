"""Tests that migrated copies of KV caches are freed."""

import unittest
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.gateway.copies import EXPIRY_FACTOR, CopyKeeper, RunCopy
from rhubarbwinch.gateway.loads import LoadBook, Room
from rhubarbwinch.gateway.wire import FreeState, MoveResult, MoveState
from rhubarbwinch.shared.clock import ManualClock
from tests.gatewaybuilders import endpoint
from tests.helpers import asynchronous

EXPIRY_MS = 5_000
TOKENS = 4_000
SOURCE = endpoint("e1")
TARGET = endpoint("e2")


class Calls:
    """Engine calls with results that are set by a test."""

    def __init__(self):
        self.result = MoveResult(MoveState.COPIED, "h-q1")
        self.frees = {}
        self.freed = []
        self.may_answer = anyio.Event()
        self.may_answer.set()

    async def move(self, address, request_id, to, is_last):
        await self.may_answer.wait()
        return self.result

    async def free_copy(self, address, handle):
        self.freed.append((address, handle))
        return self.frees.get(address, FreeState.FREED)


class CopyKeeperTest(unittest.TestCase):
    """One run is copied from one engine to another."""

    @asynccontextmanager
    async def _keeper(self):
        self.calls = Calls()
        self.clock = ManualClock()
        self.loads = LoadBook()
        room = Room(TARGET, TOKENS, 0, 1, self.loads).hold()
        self.copy = RunCopy("q1", SOURCE, TARGET, room, EXPIRY_MS)
        keeper = CopyKeeper(self.calls, self.clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            await anyio.wait_all_tasks_blocked()
            yield keeper
            tasks.cancel_scope.cancel()

    @property
    def _counted(self):
        return self.loads.total(TARGET.id).tokens

    @asynchronous
    async def test_a_copy_is_freed_at_its_source(self):
        async with self._keeper() as keeper:
            await keeper.renew(self.copy, False, 3)
            self.assertEqual(self._counted, TOKENS)
            keeper.drop(self.copy)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [(SOURCE.address, "h-q1")])
            self.assertEqual(self._counted, 0)

    @asynchronous
    async def test_a_copy_whose_source_is_gone_is_freed_where_it_is(self):
        for gone in (FreeState.FAILED, FreeState.UNKNOWN):
            async with self._keeper() as keeper:
                self.calls.frees = {SOURCE.address: gone}
                await keeper.renew(self.copy, False, 3)
                keeper.drop(self.copy)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(self.calls.freed[-1], (TARGET.address, "h-q1"))
                self.assertEqual(self._counted, 0)

    @asynchronous
    async def test_a_run_that_ends_under_the_call_leaves_no_copy(self):
        async with self._keeper() as keeper:
            self.calls.may_answer = anyio.Event()
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(keeper.renew, self.copy, False, 3)
                    await anyio.wait_all_tasks_blocked()
                    scope.cancel()
            keeper.drop(self.copy)
            await anyio.wait_all_tasks_blocked()
            # The handle is not known yet, and the copy may occupy KV cache.
            self.assertEqual(self._counted, TOKENS)
            self.calls.may_answer.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [(SOURCE.address, "h-q1")])
            self.assertEqual(self._counted, 0)

    @asynchronous
    async def test_what_can_not_be_freed_counts_until_it_expires(self):
        async with self._keeper() as keeper:
            self.calls.result = MoveResult(MoveState.FAILED)
            await keeper.renew(self.copy, False, 3)
            keeper.drop(self.copy)
            await self.clock.advance(int(EXPIRY_FACTOR * EXPIRY_MS) - 1)
            self.assertEqual(self._counted, TOKENS)
            await self.clock.advance(1)
            self.assertEqual(self._counted, 0)

    @asynchronous
    async def test_a_copy_that_was_refused_counts_no_longer(self):
        async with self._keeper() as keeper:
            self.calls.result = MoveResult(MoveState.NO_ROOM)
            await keeper.renew(self.copy, False, 3)
            keeper.drop(self.copy)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [])
            self.assertEqual(self._counted, 0)
