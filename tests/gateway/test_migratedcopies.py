"""Tests that migrated copies of KV caches are freed."""

import unittest
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.gateway.loads import LoadTracker, Reservation
from rhubarbwinch.gateway.migratedcopies import (
    EXPIRY_FACTOR,
    MAX_FAILED_STOPS,
    STOP_LIMIT_MS,
    STOP_RETRY_MS,
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
        # The results of the first calls to stop the run.
        self.stop_results = []
        self.stops = 0

    async def copy_run(self, address, request_id, target, stop_first):
        if stop_first:
            self.stops += 1
            if self.stop_results:
                return self.stop_results.pop(0)
        await self.may_respond.wait()
        return self.result

    async def free_copy(self, address, handle):
        self.freed.append((address, handle))
        return self.free_results.get(address, FreeState.FREED)


class CopyCase(unittest.TestCase):
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


class CopyManagerTest(CopyCase):
    """The copy is freed."""

    @asynchronous
    async def test_a_copy_is_freed_at_its_source(self):
        async with self._running_manager() as manager:
            await manager.refresh(self.copy, 3)
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
                await manager.refresh(self.copy, 3)
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
                    tasks.start_soon(manager.refresh, self.copy, 3)
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
            await manager.refresh(self.copy, 3)
            manager.free(self.copy)
            await self.clock.advance(int(EXPIRY_FACTOR * EXPIRY_MS) - 1)
            self.assertEqual(self._reserved_tokens, TOKENS)
            await self.clock.advance(1)
            self.assertEqual(self._reserved_tokens, 0)

    @asynchronous
    async def test_a_refused_copy_releases_its_reservation(self):
        async with self._running_manager() as manager:
            self.calls.result = CopyResult(MoveState.NO_ROOM)
            await manager.refresh(self.copy, 3)
            manager.free(self.copy)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.freed, [])
            self.assertEqual(self._reserved_tokens, 0)


class StopTest(CopyCase):
    """A run whose stream broke is stopped before it resumes elsewhere.

    A stop that was refused or lost was taken as done, and the run was executed
    by two engines.
    """

    async def _stop(self, manager, outcomes):
        outcomes.append(await manager.stop(self.copy, 3))

    @asynchronous
    async def test_a_stop_is_repeated_when_the_pending_copy_has_ended(self):
        async with self._running_manager() as manager:
            self.calls.may_respond = anyio.Event()
            self.calls.stop_results = [CopyResult(MoveState.BUSY)]
            outcomes = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(manager.refresh, self.copy, 3)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(self._stop, manager, outcomes)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual((self.calls.stops, outcomes), (1, []))
                self.calls.may_respond.set()
            self.assertEqual((self.calls.stops, outcomes), (2, [True]))

    @asynchronous
    async def test_a_run_whose_engine_stays_busy_does_not_resume(self):
        async with self._running_manager() as manager:
            self.calls.stop_results = [CopyResult(MoveState.BUSY)] * 99
            outcomes = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._stop, manager, outcomes)
                while self.clock.now() < STOP_LIMIT_MS:
                    await anyio.wait_all_tasks_blocked()
                    self.assertEqual(outcomes, [])
                    await self.clock.advance(STOP_RETRY_MS)
            self.assertEqual(outcomes, [False])

    @asynchronous
    async def test_a_stop_whose_answer_is_lost_is_repeated(self):
        async with self._running_manager() as manager:
            self.calls.stop_results = [CopyResult(MoveState.FAILED)] * 9
            outcomes = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._stop, manager, outcomes)
                for _ in range(MAX_FAILED_STOPS):
                    await anyio.wait_all_tasks_blocked()
                    await self.clock.advance(STOP_RETRY_MS)
            self.assertEqual(self.calls.stops, MAX_FAILED_STOPS)
            self.assertEqual(outcomes, [True])

    @asynchronous
    async def test_an_engine_that_is_gone_delays_no_failover(self):
        for state in (MoveState.UNREACHABLE, MoveState.NO_RUN):
            async with self._running_manager() as manager:
                self.calls.stop_results = [CopyResult(state)]
                self.assertTrue(await manager.stop(self.copy, 3))
                self.assertEqual(self.calls.stops, 1)
                self.assertEqual(self.clock.now(), 0)

    @asynchronous
    async def test_a_refusal_that_comes_late_repeats_the_stop(self):
        async with self._running_manager() as manager:
            self.calls.may_respond = anyio.Event()
            self.calls.result = CopyResult(MoveState.BUSY)
            # Without an answer in time, the engine has begun to stop the run.
            self.assertTrue(await manager.stop(self.copy, 3))
            self.calls.may_respond.set()
            await anyio.wait_all_tasks_blocked()
            self.calls.result = CopyResult(MoveState.COPIED, "h-q1")
            await self.clock.advance(STOP_RETRY_MS)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.calls.stops, 2)
