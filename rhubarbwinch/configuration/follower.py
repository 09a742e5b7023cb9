"""Follows the accepted configuration; never goes back a generation."""

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
    """A generation that a peer is known to have."""

    generation: int = 0
    address: str = ""


class Follower:
    """Holds the snapshot in force and replaces it by newer ones.

    Args:
        store: The platform's store.
        clock: The source of time.
        members: Decides who watches the store; without it this process does.
        peers: Gives what other members have; None asks the store alone.
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
        """The configuration in force."""
        return self._snapshot

    @property
    def head(self) -> Head:
        """The head in force."""
        return self._head

    @property
    def is_seed(self) -> bool:
        """Whether this process watches the store for its data centre."""
        if self._members is None:
            return True
        me = self._members.me
        seeds = self._members.seeds("config", me.data_center, SEEDS)
        return me.name in seeds

    def chunk(self, name: str) -> bytes:
        """Returns a chunk of the head in force; empty for another one."""
        return self._chunks.get(name, b"")

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Calls `listener` with each new snapshot."""
        self._listeners.append(listener)

    def notice(self, generation: int, address: str) -> None:
        """Takes note that a peer has a newer generation."""
        if generation > max(self._head.generation, self._offer.generation):
            self._offer = _Offer(generation, address)
        self._offered.set()

    async def run(self) -> None:
        """Keeps the newest generation in force until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store)
            if self._peers is not None:
                tasks.start_soon(self._follow_peers)

    async def read(self) -> int:
        """Reads the head and takes it if newer; returns its revision."""
        head, revision = await accepted.read_head(self._store)
        await self.offer(head)
        return revision

    async def offer(self, head: Head, holder: str = "") -> bool:
        """Takes a head if it is newer than the one in force.

        Args:
            head: The head.
            holder: The address of a peer that has its chunks, or empty.

        Returns:
            Whether the head was taken.

        Raises:
            StoreError: Neither a peer nor the store gave all chunks.
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
            # A newer one came into force while the chunks were fetched.
            return False
        self._put_in_force(head, chunks)
        return True

    async def _follow_store(self) -> None:
        """Watches the store while this process is a seed."""
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
        """Takes the head from a peer, or else from the store."""
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
            # Heartbeats or the watch bring it later.
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
        """Catches up with peers that have a newer generation."""
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
                # The next heartbeat offers it again.
                continue

    async def _fetch(self, name: str, holder: str) -> bytes:
        """Returns a chunk from a peer, from the store last.

        A seed that heard of the head from the store is the first to have the
        chunk, so it asks the store at once.
        """
        if self._peers is not None and holder:
            chunk = await self._peers.chunk(name, holder)
            if chunk is not None:
                return chunk
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

    def _wake(self) -> None:
        self._members_changed.set()


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
