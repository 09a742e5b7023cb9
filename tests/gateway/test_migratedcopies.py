"""Tests that migrated copies of KV caches are freed."""

import unittest
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.gateway.loads import LoadTracker, Reservation
from rhubarbwinch.gateway.migratedcopies import (
    EXPIRY_FACTOR,
    CopyManager,
    MigratedCopy,
)
from rhubarbwinch.gateway.platforminterface import (
    CopyResult,
    FreeState,
    MoveState,
)
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
        self.result = CopyResult(MoveState.COPIED, "h-q1")
        self.free_results = {}
        self.freed = []
        self.may_respond = anyio.Event()
        self.may_respond.set()

    async def copy_run(self, address, request_id, target, stop_first):
        await self.may_respond.wait()
        return self.result

    async def free_copy(self, address, handle):
        self.freed.append((address, handle))
        return self.free_results.get(address, FreeState.FREED)


class CopyManagerTest(unittest.TestCase):
    """One run is copied from one engine to another."""

    @asynccontextmanager
    async def _running_manager(self):
        self.calls = Calls()
        self.clock = ManualClock()
        self.loads = LoadTracker()
        reservation = Reservation(TARGET, TOKENS, 0, 1, self.loads).reserve()
        self.copy = MigratedCopy("q1", SOURCE, TARGET, reservation, EXPIRY_MS)
        manager = CopyManager(self.calls, self.clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(manager.run)
            await anyio.wait_all_tasks_blocked()
            yield manager
            tasks.cancel_scope.cancel()

    @property
    def _reserved_tokens(self):
        return self.loads.total(TARGET.id).tokens

    @asynchronous
    async def test_a_copy_is_freed_at_its_source(self):
        async with self._running_manager() as manager:
            await manager.refresh(self.copy, False, 3)
            self.assertEqual(self._reserved_tokens, TOKENS)
            manager.free(self.copy)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [(SOURCE.address, "h-q1")])
            self.assertEqual(self._reserved_tokens, 0)

    @asynchronous
    async def test_a_copy_is_freed_at_its_target_if_its_source_is_gone(self):
        for source_state in (FreeState.FAILED, FreeState.UNKNOWN):
            async with self._running_manager() as manager:
                self.calls.free_results = {SOURCE.address: source_state}
                await manager.refresh(self.copy, False, 3)
                manager.free(self.copy)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(self.calls.freed[-1], (TARGET.address, "h-q1"))
                self.assertEqual(self._reserved_tokens, 0)

    @asynchronous
    async def test_a_copy_is_freed_if_its_run_ends_during_the_call(self):
        async with self._running_manager() as manager:
            self.calls.may_respond = anyio.Event()
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(manager.refresh, self.copy, False, 3)
                    await anyio.wait_all_tasks_blocked()
                    scope.cancel()
            manager.free(self.copy)
            await anyio.wait_all_tasks_blocked()
            # The handle is not known yet, and the copy may occupy KV cache.
            self.assertEqual(self._reserved_tokens, TOKENS)
            self.calls.may_respond.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [(SOURCE.address, "h-q1")])
            self.assertEqual(self._reserved_tokens, 0)

    @asynchronous
    async def test_a_copy_that_cannot_be_freed_counts_until_it_expires(self):
        async with self._running_manager() as manager:
            self.calls.result = CopyResult(MoveState.FAILED)
            await manager.refresh(self.copy, False, 3)
            manager.free(self.copy)
            await self.clock.advance(int(EXPIRY_FACTOR * EXPIRY_MS) - 1)
            self.assertEqual(self._reserved_tokens, TOKENS)
            await self.clock.advance(1)
            self.assertEqual(self._reserved_tokens, 0)

    @asynchronous
    async def test_a_refused_copy_releases_its_reservation(self):
        async with self._running_manager() as manager:
            self.calls.result = CopyResult(MoveState.NO_ROOM)
            await manager.refresh(self.copy, False, 3)
            manager.free(self.copy)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [])
            self.assertEqual(self._reserved_tokens, 0)
