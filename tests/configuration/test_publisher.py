"""Tests of the publisher's store calls and of deleting unused chunks."""

import unittest

import anyio

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.configuration.publisher import Publisher
from rhubarbwinch.programs import ctl
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore
from tests import builders
from tests.helpers import asynchronous


class PublisherTest(unittest.TestCase):
    """A publisher with an in-memory store."""

    def setUp(self):
        self.store = MemoryStore(ManualClock())

    def _publisher(self):
        return Publisher(self.store, ConfigReplica(self.store, ManualClock()))

    async def _apply(self, *items):
        """Applies records; returns the changes that a watch would yield."""
        seen = len(self.store.changes)
        await ctl.apply(self.store, list(items))
        return self.store.changes[seen:]

    async def _chunks(self):
        listing = await self.store.scan(keys.CHUNKS)
        return {
            entry.key.removeprefix(keys.CHUNKS) for entry in listing.entries
        }

    @asynchronous
    async def test_a_change_costs_two_calls_however_many_records_there_are(
        self,
    ):
        publisher = self._publisher()
        await self._apply(*[builders.account(f"a-{i}") for i in range(200)])
        await publisher.publish_all()
        changes = await self._apply(builders.account("a-7", weight=2.0))
        before = self.store.calls
        head = await publisher.publish_changes(changes)
        self.assertEqual(self.store.calls - before, 2)
        self.assertEqual(head.generation, 2)
        more = [builders.account(f"a-{i}", weight=3.0) for i in range(20)]
        head = await publisher.publish_changes(await self._apply(*more))
        self.assertEqual(head.generation, 3)

    @asynchronous
    async def test_a_record_that_is_deleted_without_a_watch_is_removed(
        self,
    ):
        # The two records must be in different slots.
        await self._apply(builders.account("a"), builders.account("c"))
        self.assertNotEqual(
            acceptedconfig.slot_of_key("account/a"),
            acceptedconfig.slot_of_key("account/c"),
        )
        await self._publisher().publish_all()
        entry = await self.store.get(keys.record("account", "a"))
        await self.store.delete(entry.key, entry.revision)
        await self._publisher().publish_all()
        config = ConfigReplica(self.store, ManualClock())
        await config.read_store()
        self.assertEqual(set(config.snapshot.accounts), {"c"})

    @asynchronous
    async def test_a_paused_publisher_can_not_use_deleted_chunks(
        self,
    ):
        paused, running = self._publisher(), self._publisher()
        await self._apply(builders.account(weight=1.0))
        await running.publish_all()
        await paused.publish_all()
        write = acceptedconfig.write_chunk
        stopped, resume_event = anyio.Event(), anyio.Event()

        async def pause(store, chunk):
            await write(store, chunk)
            stopped.set()
            await resume_event.wait()

        changes = await self._apply(builders.account(weight=2.0))
        failed = []

        async def publish():
            try:
                await paused.publish_changes(changes)
            except StoreError:
                failed.append(True)

        async with anyio.create_task_group() as tasks:
            acceptedconfig.write_chunk = pause
            try:
                tasks.start_soon(publish)
                await stopped.wait()
            finally:
                acceptedconfig.write_chunk = write
            self.assertEqual(await running.collect_garbage(), 0)
            self.assertEqual(await running.collect_garbage(), 1)
            resume_event.set()
        self.assertEqual(failed, [True])
        head, _ = await acceptedconfig.read_head(self.store)
        self.assertEqual(await self._chunks(), set(filter(None, head.chunks)))
