"""Follows the accepted configuration; never goes back a generation."""

from collections.abc import Callable

from rhubarbwinch import accepted, events, keys
from rhubarbwinch.accepted import Head, Snapshot
from rhubarbwinch.clock import Clock
from rhubarbwinch.exceptions import CodecError, StoreError
from rhubarbwinch.records import Record
from rhubarbwinch.store import Store

RETRY_MS = 500


class Follower:
    """Holds the snapshot in force and replaces it by newer ones.

    Args:
        store: The platform's store.
        clock: The source of time.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._snapshot = Snapshot()
        self._chunks: dict[str, bytes] = {}
        self._head = Head()
        self._listeners: list[Callable[[Snapshot], None]] = []

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def head(self) -> Head:
        """The head in force."""
        return self._head

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Calls `listener` with each new snapshot."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Watches the head until cancelled."""
        while True:
            try:
                revision = await self.read()
                async for _ in self._store.watch(keys.ACCEPTED_HEAD, revision):
                    await self.read()
            except (StoreError, CodecError):
                await self._clock.sleep(RETRY_MS)

    async def read(self) -> int:
        """Reads the head and takes it if newer; returns its revision."""
        head, revision = await accepted.read_head(self._store)
        await self.offer(head)
        return revision

    async def offer(self, head: Head) -> bool:
        """Takes a head if it is newer than the one in force.

        Returns:
            Whether the head was taken.
        """
        if head.generation <= self._head.generation:
            if head.generation < self._head.generation:
                events.CONFIG_OLDER.log(
                    offered=head.generation, in_force=self._head.generation
                )
            return False
        chunks = {}
        for name in filter(None, head.chunks):
            chunks[name] = self._chunks.get(name) or await self._fetch(name)
        if head.generation <= self._head.generation:
            # A newer one came into force while the chunks were fetched.
            return False
        self._put_in_force(head, chunks)
        return True

    async def _fetch(self, name: str) -> bytes:
        return await accepted.read_chunk(self._store, name)

    def _put_in_force(self, head: Head, chunks: dict[str, bytes]) -> None:
        # Only changed chunks are parsed: a whole configuration would hold up
        # every open stream for longer than a gap between tokens may be.
        removed = _records_besides(self._chunks, chunks)
        added = _records_besides(chunks, self._chunks)
        self._snapshot = accepted.revise(
            self._snapshot, head.generation, removed, added
        )
        self._head, self._chunks = head, chunks
        events.CONFIG_IN_FORCE.log(
            generation=head.generation, records=len(self._snapshot.records)
        )
        for listener in self._listeners:
            listener(self._snapshot)


def _records_besides(
    chunks: dict[str, bytes], others: dict[str, bytes]
) -> list[Record]:
    """Returns the records of the chunks that are not among the others."""
    return [
        record
        for name, chunk in chunks.items()
        if name not in others
        for record in accepted.unpack_chunk(chunk)
    ]
