"""Publishes operators' records as the next generation of the configuration."""

import attrs
import orjson

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.records import acceptedconfig, records
from rhubarbwinch.records.acceptedconfig import CHUNK_SLOTS, Head
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import (
    RecordError,
    StoreUnavailable,
    StoreUncertain,
)
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Change, KeyValue, Store


@attrs.frozen
class Judgement:
    """The status of a rejected record: why the record is not active.

    It is stored under the record's status key while the record is rejected.

    Attributes:
        revision: The revision of the record.
        error: The reason for the rejection.
    """

    revision: int
    error: str

    def to_bytes(self) -> bytes:
        """Returns the status as JSON."""
        return orjson.dumps(attrs.asdict(self))


@attrs.define
class _StoreCopy:
    """The publisher's copy of the store's content, updated by a watch.

    Attributes:
        head: The head in the store.
        head_revision: The revision of the head.
        records: The operators' records by name.
        statuses: The record statuses in the store by the record's name.
        chunks: The chunks of the head by digest.
        revision: The revision up to which records were read.
    """

    head: Head
    head_revision: int
    records: dict[str, KeyValue]
    statuses: dict[str, KeyValue]
    chunks: dict[str, bytes]
    revision: int


class Publisher:
    """Publishes the records under `records/` as the accepted configuration.

    Several publishers may run at once: the compare-and-swap of the head lets
    one succeed, and the others read everything again.

    Args:
        store: The platform's store.
        config: The active configuration of this process; its chunks need
            not be read from the store.
    """

    def __init__(self, store: Store, config: ConfigReplica) -> None:
        self._store = store
        self._config = config
        self._store_copy: _StoreCopy | None = None
        self._unused: set[str] = set()

    @property
    def revision(self) -> int:
        """The revision up to which the records have been read."""
        return self._store_copy.revision if self._store_copy else 0

    async def publish_all(self) -> Head:
        """Reads the store and publishes all changes.

        Raises:
            StoreError: The store failed; either none or all of the changes
                were published.
        """
        # The head is read before the records: if another publisher moves the
        # head in between, the compare-and-swap below fails instead of
        # reverting that publisher's changes.
        head, head_revision = await acceptedconfig.read_head(self._store)
        if head.generation < self._config.head.generation:
            events.STORE_BEHIND.log(
                store=head.generation, in_force=self._config.head.generation
            )
            raise StoreUnavailable(
                f"store has an older head: generation {head.generation}"
            )
        statuses = await self._store.scan(keys.STATUS)
        listing = await self._store.scan(keys.RECORDS)
        self._store_copy = _StoreCopy(
            head,
            head_revision,
            {e.key.removeprefix(keys.RECORDS): e for e in listing.entries},
            {e.key.removeprefix(keys.STATUS): e for e in statuses.entries},
            await self._read_chunks(head),
            listing.revision,
        )
        names = set(self._store_copy.records)
        return await self._publish(
            self._store_copy, names, set(range(CHUNK_SLOTS))
        )

    async def publish_changes(self, changes: list[Change]) -> Head:
        """Applies changes of records to the local copy and publishes them.

        Raises:
            StoreError: The store failed, or another publisher moved the head
                first; call `publish_all` again.
        """
        store_copy = self._store_copy
        if store_copy is None:
            return await self.publish_all()
        names = set()
        for change in changes:
            name = change.key.removeprefix(keys.RECORDS)
            names.add(name)
            store_copy.revision = max(store_copy.revision, change.revision)
            if change.entry is None:
                store_copy.records.pop(name, None)
            else:
                store_copy.records[name] = change.entry
        slots = {acceptedconfig.slot_of_key(name) for name in names}
        return await self._publish(store_copy, names, slots)

    async def collect_garbage(self) -> int:
        """Deletes chunks found unused in two consecutive calls.

        Returns:
            The number of deleted chunks.
        """
        if self._store_copy is None:
            return 0
        listing = await self._store.scan(keys.CHUNKS)
        used = {keys.chunk(name) for name in self._store_copy.head.chunks}
        unused = {e.key: e for e in listing.entries if e.key not in used}
        deletable = [e for key, e in unused.items() if key in self._unused]
        self._unused = set(unused)
        if deletable:
            # Another publisher that has been paused since before the previous
            # call may be about to refer to these chunks. Moving the head makes
            # that publisher's compare-and-swap fail.
            await self._move_head(self._store_copy, self._store_copy.head)
        for entry in deletable:
            await self._store.delete(entry.key, entry.revision)
        if deletable:
            events.CHUNKS_COLLECTED.log(count=len(deletable))
        return len(deletable)

    async def _read_chunks(self, head: Head) -> dict[str, bytes]:
        found = {}
        for name in filter(None, head.chunks):
            held = self._config.chunk(name)
            found[name] = held or await acceptedconfig.read_chunk(
                self._store, name
            )
        return found

    async def _publish(
        self, store_copy: _StoreCopy, names: set[str], slots: set[int]
    ) -> Head:
        """Publishes `slots` after the records called `names` have changed."""
        active = _records_in(store_copy, slots)
        results = {
            name: _check_record(store_copy.records.get(name), name)
            for name in names
        }
        # Iterating over the stored records drops deleted records from their
        # slots.
        slot_records: dict[int, list[Record]] = {slot: [] for slot in slots}
        for name in store_copy.records:
            slot = acceptedconfig.slot_of_key(name)
            if slot not in slots:
                continue
            valid_record = results[name].record if name in results else None
            chosen_record = valid_record or active.get(name)
            if chosen_record is not None:
                slot_records[slot].append(chosen_record)
        head = await self._swap_head(store_copy, slot_records)
        for name, verdict in sorted(results.items()):
            if verdict.is_final:
                await self._write_status(store_copy, name, verdict)
        return head

    async def _swap_head(
        self, store_copy: _StoreCopy, slot_records: dict[int, list[Record]]
    ) -> Head:
        chunks = list(store_copy.head.chunks)
        packed = {}
        for slot, items in slot_records.items():
            chunk = acceptedconfig.pack_chunk(items)
            chunks[slot] = acceptedconfig.chunk_digest(chunk)
            packed[chunks[slot]] = chunk
        if chunks == store_copy.head.chunks:
            return store_copy.head
        for name, chunk in packed.items():
            if name and name not in store_copy.chunks:
                await acceptedconfig.write_chunk(self._store, chunk)
        head = Head(store_copy.head.generation + 1, chunks)
        await self._move_head(store_copy, head)
        known = store_copy.chunks | packed
        store_copy.chunks = {name: known[name] for name in filter(None, chunks)}
        events.PUBLISHED.log(generation=head.generation)
        return head

    async def _move_head(self, store_copy: _StoreCopy, head: Head) -> None:
        """Swaps the head in the store.

        Raises:
            StoreUnavailable: Another publisher has moved it.
        """
        value = head.to_bytes()
        try:
            swap = await self._store.swap(
                keys.ACCEPTED_HEAD, store_copy.head_revision, value
            )
            revision = swap.revision if swap.succeeded else 0
        except StoreUncertain:
            # The current value shows whether the write took effect.
            entry = await self._store.get(keys.ACCEPTED_HEAD)
            written = entry is not None and entry.value == value
            revision = entry.revision if entry and written else 0
        if not revision:
            self._store_copy = None
            raise StoreUnavailable("another publisher was first")
        store_copy.head, store_copy.head_revision = head, revision

    async def _write_status(
        self, store_copy: _StoreCopy, name: str, verdict: "_Verdict"
    ) -> None:
        """Writes or removes the status of a record."""
        current = store_copy.statuses.get(name)
        key = keys.STATUS + name
        if not verdict.error:
            if current is not None:
                await self._store.delete(key, current.revision)
                del store_copy.statuses[name]
            return
        value = Judgement(verdict.revision, verdict.error).to_bytes()
        if current is not None and current.value == value:
            return
        expected = current.revision if current else 0
        swap = await self._store.swap(key, expected, value)
        if swap.succeeded:
            store_copy.statuses[name] = KeyValue(key, value, swap.revision)
        elif swap.current is not None:
            store_copy.statuses[name] = swap.current


@attrs.frozen
class _Verdict:
    """The result of checking a record.

    Attributes:
        revision: The record's revision; 0 if the record was deleted.
        record: The record if it is valid.
        error: The reason why the record is invalid, or empty.
        is_final: Whether this program knows the record's schema.
    """

    revision: int = 0
    record: Record | None = None
    error: str = ""
    is_final: bool = True


def _check_record(entry: KeyValue | None, name: str) -> _Verdict:
    """Checks a record.

    A record of a newer schema is neither accepted nor rejected: its active
    version stays, byte for byte, until a newer program publishes it.
    """
    if entry is None:
        return _Verdict()
    try:
        record = records.parse(entry.value, name)
        if record.key != name:
            raise RecordError(name, "name", record.key, name)
        if record.is_newer:
            return _Verdict(entry.revision, is_final=False)
        records.check(record)
        return _Verdict(entry.revision, record)
    except RecordError as fault:
        events.RECORD_REJECTED.log(record=name, error=str(fault))
        return _Verdict(entry.revision, None, str(fault))


def _records_in(store_copy: _StoreCopy, slots: set[int]) -> dict[str, Record]:
    """Returns the active records in some slots, by name."""
    found = {}
    for slot in slots:
        name = store_copy.head.chunks[slot]
        chunk = store_copy.chunks.get(name, b"") if name else b""
        for record in acceptedconfig.unpack_chunk(chunk):
            found[record.key] = record
    return found
