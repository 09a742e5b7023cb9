"""Keeps a replica of the accepted configuration; its generation never falls."""

from collections.abc import Callable

import anyio
import attrs

from rhubarbwinch.configuration.distribution import (
    MAX_PEERS_ASKED,
    Distribution,
)
from rhubarbwinch.membership.members import Members
from rhubarbwinch.records import accepted
from rhubarbwinch.records.accepted import Head, Snapshot
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

RETRY_MS = 500
SEEDS = 2


@attrs.define
class _Offer:
    """A generation and the address of a peer that has it."""

    generation: int = 0
    address: str = ""


class Follower:
    """Holds the active snapshot and replaces it with newer ones.

    Args:
        store: The platform's store.
        clock: The source of time.
        members: The members among which the watchers of the store are
            elected; None makes this process a watcher.
        peers: Fetches heads and chunks from other members; None reads the
            store only.
        addresses: Peers to ask when no members are known.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        members: Members | None = None,
        peers: Distribution | None = None,
        addresses: list[str] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._members = members
        self._peers = peers
        self._addresses = addresses or []
        self._snapshot = Snapshot()
        self._chunks: dict[str, bytes] = {}
        self._head = Head()
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._offer = _Offer()
        self._offered = anyio.Event()
        self._members_changed = anyio.Event()
        if members is not None:
            members.on_change(self._wake)
        if peers is not None:
            peers.serve(lambda: self._head, self.chunk)

    @property
    def snapshot(self) -> Snapshot:
        """The active configuration."""
        return self._snapshot

    @property
    def head(self) -> Head:
        """The active head."""
        return self._head

    @property
    def is_seed(self) -> bool:
        """Whether this process watches the store for its data centre."""
        if self._members is None:
            return True
        me = self._members.me
        seeds = self._members.elect("config", me.data_center, SEEDS)
        return me.name in seeds

    def chunk(self, name: str) -> bytes:
        """Returns a chunk of the active head; empty for any other chunk."""
        return self._chunks.get(name, b"")

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Calls `listener` with each new snapshot."""
        self._listeners.append(listener)

    def notice(self, generation: int, address: str) -> None:
        """Records that a peer has a newer generation."""
        if generation > max(self._head.generation, self._offer.generation):
            self._offer = _Offer(generation, address)
        self._offered.set()

    async def run(self) -> None:
        """Activates each newer generation until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store)
            if self._peers is not None:
                tasks.start_soon(self._follow_peers)

    async def read(self) -> int:
        """Reads the store's head and applies it; returns its revision."""
        head, revision = await accepted.read_head(self._store)
        await self.offer(head)
        return revision

    async def offer(self, head: Head, holder: str = "") -> bool:
        """Activates a head if it is newer than the active one.

        Args:
            head: The head.
            holder: The address of a peer that has its chunks, or empty.

        Returns:
            Whether the head was activated.

        Raises:
            StoreError: A chunk could be read neither from a peer nor from the
                store.
        """
        if head.generation <= self._head.generation:
            if head.generation < self._head.generation:
                events.CONFIG_OLDER.log(
                    offered=head.generation, in_force=self._head.generation
                )
            return False
        chunks = {}
        for name in filter(None, head.chunks):
            held = self._chunks.get(name)
            chunks[name] = held or await self._fetch(name, holder)
        if head.generation <= self._head.generation:
            # A newer head was activated while the chunks were fetched.
            return False
        self._put_in_force(head, chunks)
        return True

    async def _follow_store(self) -> None:
        """Watches the store while this process is an elected watcher."""
        await self._start()
        while True:
            self._members_changed = anyio.Event()
            changed = self._members_changed
            if not self.is_seed:
                await changed.wait()
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch)
                while self.is_seed:
                    await changed.wait()
                    self._members_changed = changed = anyio.Event()
                tasks.cancel_scope.cancel()

    async def _start(self) -> None:
        """Fetches the first head from a peer, or else from the store."""
        if self._peers is None:
            return
        asked = self._peers.some_peers(MAX_PEERS_ASKED) or self._addresses
        held = await self._peers.newest_head(asked)
        try:
            if held.head.generation:
                await self.offer(held.head, held.address)
            else:
                await self.read()
        except (StoreError, CodecError):
            # A heartbeat or the watch delivers the head later.
            return

    async def _watch(self) -> None:
        while True:
            try:
                revision = await self.read()
                changes = self._store.watch(keys.ACCEPTED_HEAD, revision)
                async for change in changes:
                    if change.entry is not None:
                        await self.offer(
                            accepted.parse_head(change.entry.value)
                        )
            except (StoreError, CodecError):
                await self._clock.sleep(RETRY_MS)

    async def _follow_peers(self) -> None:
        """Fetches newer generations from the peers that have them."""
        while True:
            await self._offered.wait()
            self._offered = anyio.Event()
            offer, self._offer = self._offer, _Offer()
            if offer.generation <= self._head.generation:
                continue
            assert self._peers is not None
            head = await self._peers.head(offer.address)
            try:
                if head is not None and head.generation >= offer.generation:
                    await self.offer(head, offer.address)
            except (StoreError, CodecError):
                # The next heartbeat announces the generation again.
                continue

    async def _fetch(self, name: str, holder: str) -> bytes:
        """Returns a chunk from a peer, or else from the store.

        A process that read the head from the store is among the first to
        fetch its chunks, so it reads the store without asking peers.
        """
        if self._peers is not None and holder:
            chunk = await self._peers.chunk(name, holder)
            if chunk is not None:
                return chunk
        return await accepted.read_chunk(self._store, name)

    def _put_in_force(self, head: Head, chunks: dict[str, bytes]) -> None:
        # Only changed chunks are parsed: parsing a whole configuration would
        # block every open stream for longer than the allowed gap between
        # tokens.
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

    def _wake(self) -> None:
        self._members_changed.set()


def _records_besides(
    chunks: dict[str, bytes], others: dict[str, bytes]
) -> list[Record]:
    """Returns the records of those chunks that are not in `others`."""
    return [
        record
        for name, chunk in chunks.items()
        if name not in others
        for record in accepted.unpack_chunk(chunk)
    ]
