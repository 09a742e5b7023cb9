"""Keeps a replica of the accepted configuration; its generation never falls."""

from collections.abc import Callable

import anyio
import attrs

from rhubarbwinch.configuration.distribution import (
    MAX_PEERS_ASKED,
    Distribution,
)
from rhubarbwinch.membership.members import Members
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot, Head
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

RETRY_DELAY_MS = 500
WATCHERS_PER_DATA_CENTER = 2


@attrs.define
class _AvailableUpdate:
    """A generation and the address of a peer that has it."""

    generation: int = 0
    address: str = ""


class ConfigReplica:
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
        self._snapshot = ConfigSnapshot()
        self._chunks: dict[str, bytes] = {}
        self._head = Head()
        self._listeners: list[Callable[[ConfigSnapshot], None]] = []
        self._available_update = _AvailableUpdate()
        self._newer_generation_seen = anyio.Event()
        self._members_changed = anyio.Event()
        if members is not None:
            members.on_change(self._signal_members_changed)
        if peers is not None:
            peers.set_source(lambda: self._head, self.chunk)

    @property
    def snapshot(self) -> ConfigSnapshot:
        """The active configuration."""
        return self._snapshot

    @property
    def head(self) -> Head:
        """The active head."""
        return self._head

    @property
    def is_store_watcher(self) -> bool:
        """Whether this process watches the store for its data centre."""
        if self._members is None:
            return True
        me = self._members.me
        elected = self._members.elected(
            "config", me.data_center, WATCHERS_PER_DATA_CENTER
        )
        return me.name in elected

    def chunk(self, name: str) -> bytes:
        """Returns a chunk of the active head; empty for any other chunk."""
        return self._chunks.get(name, b"")

    def on_change(self, listener: Callable[[ConfigSnapshot], None]) -> None:
        """Calls `listener` with each new snapshot."""
        self._listeners.append(listener)

    def observe_generation(self, generation: int, address: str) -> None:
        """Records that a peer has a newer generation."""
        if generation > max(
            self._head.generation, self._available_update.generation
        ):
            self._available_update = _AvailableUpdate(generation, address)
        self._newer_generation_seen.set()

    async def run(self) -> None:
        """Activates each newer generation until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_while_elected)
            if self._peers is not None:
                tasks.start_soon(self._fetch_newer_from_peers)

    async def read_store(self) -> int:
        """Reads the store's head and applies it; returns its revision."""
        head, revision = await acceptedconfig.read_head(self._store)
        await self.update(head)
        return revision

    async def update(self, head: Head, peer_address: str = "") -> bool:
        """Activates a head if it is newer than the active one.

        Args:
            head: The head.
            peer_address: The address of a peer that has its chunks, or empty.

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
            known = self._chunks.get(name)
            chunks[name] = known or await self._fetch_chunk(name, peer_address)
        if head.generation <= self._head.generation:
            # A newer head was activated while the chunks were fetched.
            return False
        self._activate(head, chunks)
        return True

    async def _watch_while_elected(self) -> None:
        """Watches the store while this process is an elected watcher."""
        await self._fetch_initial()
        while True:
            self._members_changed = anyio.Event()
            changed = self._members_changed
            if not self.is_store_watcher:
                await changed.wait()
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch)
                while self.is_store_watcher:
                    await changed.wait()
                    self._members_changed = changed = anyio.Event()
                tasks.cancel_scope.cancel()

    async def _fetch_initial(self) -> None:
        """Fetches the first head from a peer, or else from the store."""
        if self._peers is None:
            return
        addresses = self._peers.choose_peers(MAX_PEERS_ASKED) or self._addresses
        peer_head = await self._peers.newest_head(addresses)
        try:
            if peer_head.head.generation:
                await self.update(peer_head.head, peer_head.address)
            else:
                await self.read_store()
        except (StoreError, CodecError):
            # A heartbeat or the watch delivers the head later.
            return

    async def _watch(self) -> None:
        while True:
            try:
                revision = await self.read_store()
                changes = self._store.watch(keys.ACCEPTED_HEAD, revision)
                async for change in changes:
                    if change.entry is not None:
                        await self.update(
                            acceptedconfig.parse_head(change.entry.value)
                        )
            except (StoreError, CodecError):
                await self._clock.sleep(RETRY_DELAY_MS)

    async def _fetch_newer_from_peers(self) -> None:
        """Fetches newer generations from the peers that have them."""
        while True:
            await self._newer_generation_seen.wait()
            self._newer_generation_seen = anyio.Event()
            update, self._available_update = (
                self._available_update,
                _AvailableUpdate(),
            )
            if update.generation <= self._head.generation:
                continue
            assert self._peers is not None
            head = await self._peers.head(update.address)
            try:
                if head is not None and head.generation >= update.generation:
                    await self.update(head, update.address)
            except (StoreError, CodecError):
                # The next heartbeat announces the generation again.
                continue

    async def _fetch_chunk(self, name: str, peer_address: str) -> bytes:
        """Returns a chunk from a peer, or else from the store.

        A process that read the head from the store is among the first to
        fetch its chunks, so it reads the store without asking peers.
        """
        if self._peers is not None and peer_address:
            chunk = await self._peers.chunk(name, peer_address)
            if chunk is not None:
                return chunk
        return await acceptedconfig.read_chunk(self._store, name)

    def _activate(self, head: Head, chunks: dict[str, bytes]) -> None:
        # Only changed chunks are parsed: parsing a whole configuration would
        # block every open stream for longer than the allowed gap between
        # tokens.
        removed = _records_not_in(self._chunks, chunks)
        added = _records_not_in(chunks, self._chunks)
        self._snapshot = acceptedconfig.revise_snapshot(
            self._snapshot, head.generation, removed, added
        )
        self._head, self._chunks = head, chunks
        events.CONFIG_IN_FORCE.log(
            generation=head.generation, records=len(self._snapshot.records)
        )
        for listener in self._listeners:
            listener(self._snapshot)

    def _signal_members_changed(self) -> None:
        self._members_changed.set()


def _records_not_in(
    chunks: dict[str, bytes], others: dict[str, bytes]
) -> list[Record]:
    """Returns the records of those chunks that are not in `others`."""
    return [
        record
        for name, chunk in chunks.items()
        if name not in others
        for record in acceptedconfig.unpack_chunk(chunk)
    ]
