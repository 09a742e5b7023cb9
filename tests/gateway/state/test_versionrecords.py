"""Tests the records of software versions with a store in memory."""

import unittest
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.gateway.decisions.serviceversions import (
    ServiceVersion,
    ServiceVersions,
)
from rhubarbwinch.gateway.fleet import LEFT_RETENTION_MS
from rhubarbwinch.gateway.state.versionrecords import (
    CHECK_MS,
    START_DELAY_MS,
    VersionRecorder,
    parse_record_key,
    record_key,
)
from rhubarbwinch.gateway.streamorigins import RETENTION_MS
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.stores.memstore import MemoryStore
from tests import gatewaybuilders as build
from tests.helpers import asynchronous

PREFIX = "versions/"
OLD, NEW = ServiceVersion("svc", "v1"), ServiceVersion("svc", "v2")


class RecorderTest(unittest.TestCase):
    """A gateway that has seen an endpoint of each of two versions."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.fleet = build.fleet(
            build.endpoint("e1", version="v1"),
            build.endpoint("e2", version="v2"),
        )
        self.owned = {OLD, NEW}

    @asynccontextmanager
    async def _gateway(self, fleet=None):
        """Runs a recorder that knows what the store has at its start."""
        versions = ServiceVersions()
        for entry in (await self.store.scan(PREFIX)).entries:
            versions.apply_record(
                parse_record_key(PREFIX, entry.key),
                entry.revision,
                self.clock.now(),
            )
        recorder = VersionRecorder(
            self.store,
            self.clock,
            fleet or self.fleet,
            versions,
            PREFIX,
            lambda key: parse_record_key(PREFIX, key) in self.owned,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(recorder.run)
            await anyio.wait_all_tasks_blocked()
            await self.clock.advance(START_DELAY_MS)
            await anyio.wait_all_tasks_blocked()
            yield versions
            tasks.cancel_scope.cancel()

    async def _keys(self):
        return {entry.key for entry in (await self.store.scan(PREFIX)).entries}

    async def _wait(self, duration_ms):
        for _ in range(duration_ms // CHECK_MS + 1):
            await self.clock.advance(CHECK_MS)
            await anyio.wait_all_tasks_blocked()

    @asynchronous
    async def test_a_gateway_that_starts_knows_a_version_without_endpoints(
        self,
    ):
        async with self._gateway():
            pass
        only_new = build.fleet(build.endpoint("e2", version="v2"))
        async with self._gateway(only_new) as versions:
            self.assertEqual(versions.of_service("svc"), {"v1", "v2"})
            self.assertEqual(versions.of_service("other"), set())

    @asynchronous
    async def test_a_record_is_deleted_when_its_version_is_long_gone(self):
        async with self._gateway() as versions:
            self.fleet.remove("e1", self.clock.now(), False)
            await self._wait(RETENTION_MS)
            self.assertEqual(await self._keys(), {record_key(PREFIX, NEW)})
            self.assertEqual(versions.of_service("svc"), {"v2"})
        self.assertLess(LEFT_RETENTION_MS, RETENTION_MS)

    @asynchronous
    async def test_only_the_owner_of_a_record_writes_it(self):
        self.owned = {NEW}
        async with self._gateway():
            self.assertEqual(await self._keys(), {record_key(PREFIX, NEW)})

    @asynchronous
    async def test_a_record_that_another_gateway_wrote_is_kept(self):
        key = record_key(PREFIX, OLD)
        async with self._gateway() as versions:
            before = (await self.store.get(key)).revision
            versions.apply_deletion(OLD, may_be_restored=True)
            await self._wait(CHECK_MS)
            self.assertEqual((await self.store.get(key)).revision, before)
            self.assertEqual(versions.missing(), [])

    @asynchronous
    async def test_a_deleted_record_is_not_written_again(self):
        async with self._gateway() as versions:
            self.fleet.remove("e1", self.clock.now(), False)
            await self._wait(CHECK_MS)
            versions.apply_deletion(OLD, may_be_restored=False)
            self.assertEqual(versions.of_service("svc"), {"v2"})
            self.assertEqual(versions.missing(), [])

    def test_names_with_any_characters_make_a_key(self):
        for version in (OLD, ServiceVersion("a/b", "1.0 ä/%2F"), OLD):
            key = record_key(PREFIX, version)
            self.assertTrue(key.isascii())
            self.assertEqual(parse_record_key(PREFIX, key), version)
