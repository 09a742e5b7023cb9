"""Runs the publisher at one control at a time and limits its rate."""

import anyio
import anyio.abc

from rhubarbwinch.configuration.publisher import Publisher
from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Change, Store

RETRY_DELAY_MS = 500
BATCH_DELAY_MS = 50
MIN_PUBLISH_INTERVAL_MS = 200
GARBAGE_INTERVAL_MS = 600_000


class PublisherLoop:
    """Runs the publisher while this control is the elected one.

    Rendezvous hashing over the members elects the control without a call to
    the store. While the views of the members differ, two controls may both be
    elected; the compare-and-swap of the head then lets one of them succeed.

    Args:
        publisher: The publisher to run.
        store: The platform's store.
        members: The members among which the control is elected.
        clock: The source of time.
    """

    def __init__(
        self,
        publisher: Publisher,
        store: Store,
        members: Members,
        clock: Clock,
    ) -> None:
        self._publisher = publisher
        self._store = store
        self._members = members
        self._clock = clock
        self._lock = anyio.Lock()
        self._changes: list[Change] = []
        self._changed = anyio.Event()
        self._members_changed = anyio.Event()
        members.on_change(self._signal_members_changed)

    @property
    def is_elected(self) -> bool:
        """Whether this control is the elected publisher."""
        names = [m.name for m in self._members.serving(Role.CONTROL)]
        return rendezvous.owner("publisher", names) == self._members.me.name

    async def run(self) -> None:
        """Publishes while this control is elected, until cancelled."""
        while True:
            self._members_changed = anyio.Event()
            if not self.is_elected:
                await self._members_changed.wait()
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._publish_while_elected)
                tasks.start_soon(self._collect_garbage)
                while self.is_elected:
                    self._members_changed = anyio.Event()
                    await self._members_changed.wait()
                tasks.cancel_scope.cancel()

    async def _publish_while_elected(self) -> None:
        while True:
            self._changes = []
            self._changed = anyio.Event()
            try:
                async with self._lock:
                    await self._publisher.publish_all()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._queue_changes, tasks.cancel_scope)
                    await self._publish_changes()
            except* (StoreError, CodecError):
                # `publish_all` reads everything again, so no change is lost.
                pass
            await self._clock.sleep(RETRY_DELAY_MS)

    async def _queue_changes(self, scope: anyio.CancelScope) -> None:
        """Queues changes; cancels the updates when the watch fails."""
        try:
            after = self._publisher.revision
            async for change in self._store.watch(keys.RECORDS, after):
                self._changes.append(change)
                self._changed.set()
        except StoreError:
            scope.cancel()

    async def _publish_changes(self) -> None:
        while True:
            await self._changed.wait()
            # The delay batches changes that arrive together into one
            # generation.
            await self._clock.sleep(BATCH_DELAY_MS)
            self._changed = anyio.Event()
            changes, self._changes = self._changes, []
            async with self._lock:
                await self._publisher.publish_changes(changes)
            await self._clock.sleep(MIN_PUBLISH_INTERVAL_MS)

    async def _collect_garbage(self) -> None:
        while True:
            await self._clock.sleep(GARBAGE_INTERVAL_MS)
            try:
                async with self._lock:
                    await self._publisher.collect_garbage()
            except StoreError:
                # The next call finds the unused chunks again.
                continue

    def _signal_members_changed(self) -> None:
        self._members_changed.set()
