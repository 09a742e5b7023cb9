"""Turns operators' records into the next generation of the configuration."""

import attrs
import orjson

from rhubarbwinch import accepted, events, keys, records
from rhubarbwinch.accepted import Head
from rhubarbwinch.exceptions import RecordError
from rhubarbwinch.records import Record
from rhubarbwinch.store import Entry, Store


@attrs.frozen
class Judgement:
    """What was decided on the record at one revision.

    Attributes:
        revision: The revision of the record.
        accepted: Whether it is in force.
        error: Why not, or empty.
    """

    revision: int
    accepted: bool
    error: str = ""

    def to_bytes(self) -> bytes:
        """Returns the judgement as JSON."""
        return orjson.dumps(attrs.asdict(self))


class Publisher:
    """Publishes the records under `records/` as the accepted configuration.

    Several may run at once: the compare-and-swap of the head lets one win.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def publish(self) -> Head:
        """Publishes what has changed; returns the head in force.

        Raises:
            StoreError: The store failed; nothing or all is in force.
        """
        head, revision = await accepted.read_head(self._store)
        in_force = await self._records_in_force(head)
        listing = await self._store.scan(keys.RECORDS)
        wanted = {}
        for entry in listing.entries:
            name = entry.key.removeprefix(keys.RECORDS)
            record = await self._judge(entry, name)
            chosen = record or in_force.get(name)
            if chosen is not None:
                wanted[name] = chosen
        chunks = accepted.pack_chunks(wanted.values())
        names = [accepted.digest(chunk) for chunk in chunks]
        if names == head.chunks:
            return head
        for chunk, name in zip(chunks, names, strict=True):
            if name and name not in head.chunks:
                await accepted.write_chunk(self._store, chunk)
        new = Head(head.generation + 1, names)
        swap = await self._store.swap(
            keys.ACCEPTED_HEAD, revision, new.to_bytes()
        )
        return new if swap.won else head

    async def _records_in_force(self, head: Head) -> dict[str, Record]:
        found = {}
        for name in filter(None, head.chunks):
            chunk = await accepted.read_chunk(self._store, name)
            for record in accepted.unpack_chunk(chunk):
                found[record.key] = record
        return found

    async def _judge(self, entry: Entry, name: str) -> Record | None:
        """Checks a record and writes the status beside it."""
        error = ""
        record: Record | None = None
        try:
            record = records.parse(entry.value, name)
            if not record.is_newer:
                records.check(record)
        except RecordError as fault:
            record, error = None, str(fault)
            events.RECORD_REJECTED.log(record=name, error=error)
        judgement = Judgement(entry.revision, not error, error)
        key = keys.STATUS + name
        current = await self._store.get(key)
        if current is None or current.value != judgement.to_bytes():
            expected = current.revision if current else 0
            await self._store.swap(key, expected, judgement.to_bytes())
        return record
