"""Tests the store client with the stand-in of the platform's store."""

import unittest
from contextlib import asynccontextmanager

import anyio

from lab.standins.platformstore import PlatformStoreServer
from rhubarbwinch.platform.kvstore import PlatformStore
from rhubarbwinch.shared.exceptions import (
    StoreCompacted,
    StoreUnavailable,
    StoreUncertain,
)
from tests.helpers import asynchronous, free_address

TIMEOUT_MS = 3_000


@asynccontextmanager
async def platform(timeout_ms=TIMEOUT_MS):
    """Runs a stand-in; yields it with a store client."""
    server = PlatformStoreServer(free_address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await anyio.wait_all_tasks_blocked()
        store = PlatformStore(server._server._address, timeout_ms)
        try:
            yield server, store
        finally:
            await store.close()
            tasks.cancel_scope.cancel()


class PlatformStoreTest(unittest.TestCase):
    """The behaviour that the program expects of a store."""

    @asynchronous
    async def test_values_are_written_conditionally(self):
        async with platform() as (_, store):
            self.assertIsNone(await store.get("a"))
            first = await store.swap("a", 0, b"\x00\xff")
            self.assertTrue(first.succeeded)
            lost = await store.swap("a", 0, b"2")
            self.assertFalse(lost.succeeded)
            self.assertEqual(lost.current.value, b"\x00\xff")
            self.assertEqual((await store.get("a")).revision, first.revision)
            self.assertTrue((await store.delete("a", first.revision)).succeeded)
            self.assertIsNone(await store.get("a"))

    @asynchronous
    async def test_a_listing_of_many_pages_is_complete(self):
        async with platform() as (server, store):
            server.faults.page = 3
            for i in range(8):
                await server.put(f"k{i}", b"v")
            listing = await store.scan("k")
            self.assertEqual(
                [e.key for e in listing.entries], [f"k{i}" for i in range(8)]
            )

    @asynchronous
    async def test_a_poll_returns_changes_and_their_revision(self):
        async with platform() as (server, store):
            await server.put("a", b"1")
            await server.remove("a")
            batch = await store.poll("", 0, 1_000)
            self.assertEqual(
                [(c.key, c.entry is None) for c in batch.changes],
                [("a", False), ("a", True)],
            )
            empty = await store.poll("", batch.revision, 1)
            self.assertEqual(empty.changes, [])
            server.faults.compacted_revision = batch.revision
            with self.assertRaises(StoreCompacted):
                await store.poll("", 0, 1_000)

    @asynchronous
    async def test_a_restored_store_has_higher_positions(self):
        async with platform() as (server, store):
            await server.put("a", b"1")
            copy = server.memory.make_copy()
            for value in (b"2", b"3", b"4"):
                await server.put("a", value)
            before = await store.scan("")
            server.restore(copy)
            after = await store.scan("")
            self.assertEqual(after.entries[0].value, b"1")
            self.assertGreater(after.revision, before.revision)
            self.assertGreater(
                after.entries[0].revision, before.entries[0].revision
            )
            swapped = await store.swap("a", after.entries[0].revision, b"5")
            self.assertTrue(swapped.succeeded)
            self.assertGreater(swapped.revision, after.revision)
            lost = await store.swap("a", before.entries[0].revision, b"6")
            self.assertEqual(lost.current.revision, swapped.revision)

    @asynchronous
    async def test_a_poll_from_before_a_restore_has_a_gap(self):
        async with platform() as (server, store):
            await server.put("a", b"1")
            copy = server.memory.make_copy()
            await server.put("a", b"2")
            before = await store.scan("")
            # The revision of the poll is unknown, then is given out again.
            for _ in range(2):
                server.restore(copy)
                with self.assertRaises(StoreCompacted):
                    await store.poll("", before.revision, 1)
                await server.put("b", b"1")
                await server.put("b", b"2")
                with self.assertRaises(StoreCompacted):
                    await store.poll("", before.revision, 1)

    @asynchronous
    async def test_a_scan_across_a_restore_fails(self):
        async with platform() as (server, store):
            server.faults.page = 1
            for key in ("a", "b", "c"):
                await server.put(key, b"1")
            copy = server.memory.make_copy()
            send, calls = store._client.request, []

            async def restore_before_the_second_call(*args, **more):
                calls.append(args)
                if len(calls) == 2:
                    server.restore(copy)
                return await send(*args, **more)

            store._client.request = restore_before_the_second_call
            with self.assertRaises(StoreUnavailable):
                await store.scan("")

    @asynchronous
    async def test_leases_are_renewed_until_they_end(self):
        async with platform() as (_server, store):
            lease = await store.grant_lease(5_000)
            await store.swap("a", 0, b"1", lease)
            self.assertEqual(await store.renew_lease(lease), 5_000)
            await store.revoke_lease(lease)
            self.assertIsNone(await store.get("a"))
            self.assertEqual(await store.renew_lease(lease), 0)

    @asynchronous
    async def test_a_refused_write_is_reported_as_not_done(self):
        async with platform() as (server, store):
            for status in (429, 503):
                server.faults.status = status
                with self.assertRaises(StoreUnavailable):
                    await store.swap("a", 0, b"1")

    @asynchronous
    async def test_a_lost_response_to_a_write_is_uncertain(self):
        async with platform(timeout_ms=200) as (server, store):
            server.faults.is_hanging = True
            with self.assertRaises(StoreUncertain):
                await store.swap("a", 0, b"1")
            with self.assertRaises(StoreUnavailable):
                await store.get("a")

    @asynchronous
    async def test_a_malformed_value_is_an_empty_entry(self):
        async with platform() as (server, store):
            await server.put("a", b"1")
            original = server._range

            async def spoilt(params):
                status, response = await original(params)
                response["items"][0]["value"] = "*not base64*"
                return status, response

            server._range = spoilt
            listing = await store.scan("")
            self.assertEqual([e.value for e in listing.entries], [b""])
