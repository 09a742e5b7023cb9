"""The accepted configuration: the active records, in chunks under one head.

The head contains the generation and the digest of each chunk. Chunks are
immutable: a change of a record writes one new chunk and replaces the head by
compare-and-swap.
"""

import hashlib
from collections.abc import Iterable
from typing import Any

import attrs
import orjson
import xxhash

from rhubarbwinch.records import records
from rhubarbwinch.records.records import (
    AccountSpec,
    ModelSpec,
    PoolSpec,
    Record,
    ServiceSpec,
    VmSpec,
)
from rhubarbwinch.shared import codec, events, rendezvous
from rhubarbwinch.shared.exceptions import (
    CodecError,
    RecordError,
    StoreUnavailable,
)
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

CHUNK_SLOTS = 64


@attrs.frozen
class Head:
    """The generation and the chunks of the configuration.

    Attributes:
        generation: Raised by one with each change.
        chunks: The digest of each slot's chunk; empty for a slot without
            records.
    """

    generation: int = 0
    chunks: list[str] = attrs.field(factory=lambda: [""] * CHUNK_SLOTS)

    def to_bytes(self) -> bytes:
        """Returns the head as JSON."""
        return orjson.dumps(attrs.asdict(self))


def parse_head(data: bytes) -> Head:
    """Parses a head from JSON.

    Raises:
        CodecError: The data is not a head.
    """
    try:
        value = orjson.loads(data)
        return Head(int(value["generation"]), [str(c) for c in value["chunks"]])
    except (ValueError, KeyError, TypeError) as error:
        raise CodecError(f"not a head: {error}") from error


def slot_of(record: Record) -> int:
    """Returns the slot whose chunk holds the record."""
    return slot_of_key(record.key)


def slot_of_key(key: str) -> int:
    """Returns the slot whose chunk holds the record `kind/name`."""
    return xxhash.xxh3_64_intdigest(key.encode()) % CHUNK_SLOTS


@attrs.frozen
class Chunk:
    """The records of a slot, each as the bytes that the operator wrote."""

    records: list[bytes]


def pack_chunk(items: Iterable[Record]) -> bytes:
    """Returns the chunk of a slot's records; empty if there are none."""
    ordered = sorted(items, key=lambda record: record.key)
    if not ordered:
        return b""
    return codec.encode(Chunk([r.raw or r.to_bytes() for r in ordered]))


def pack_chunks(all_records: Iterable[Record]) -> list[bytes]:
    """Returns each slot's chunk, empty for a slot without records."""
    slots: list[list[Record]] = [[] for _ in range(CHUNK_SLOTS)]
    for record in all_records:
        slots[slot_of_key(record.key)].append(record)
    return [pack_chunk(slot) for slot in slots]


def chunk_digest(chunk: bytes) -> str:
    """Returns the digest that names a chunk; empty for an empty chunk."""
    return hashlib.sha256(chunk).hexdigest()[:32] if chunk else ""


def unpack_chunk(chunk: bytes) -> list[Record]:
    """Returns the records of a chunk.

    Raises:
        CodecError: The data is not a chunk.
    """
    if not chunk:
        return []
    found = []
    for item in codec.decode(chunk, Chunk).records:
        try:
            found.append(records.parse(item))
        except RecordError as error:
            # A newer program accepted a record that this one can't parse.
            events.RECORD_REJECTED.log(error=str(error))
    return found


@attrs.frozen
class ConfigSnapshot:
    """A generation of the configuration, checked and indexed by name."""

    generation: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)
    models: dict[str, ModelSpec] = attrs.field(factory=dict)
    pools: dict[str, PoolSpec] = attrs.field(factory=dict)
    accounts: dict[str, AccountSpec] = attrs.field(factory=dict)
    services: dict[str, ServiceSpec] = attrs.field(factory=dict)
    vms: dict[str, VmSpec] = attrs.field(factory=dict)

    def pools_for_target(self, target: str) -> list[str]:
        """Returns the names of a target's pools, sorted."""
        return sorted(n for n, p in self.pools.items() if p.target == target)

    def pools_local_first(
        self, target: str, data_center: str, request: str
    ) -> list[str]:
        """Returns the names of a target's pools, those in `data_center` first.

        Args:
            target: The name of the model or plain service.
            data_center: The data centre of the entry.
            request: The request id; its hash spreads requests over the pools
                of one data centre.
        """
        return sorted(
            rendezvous.ranking(request, self.pools_for_target(target)),
            key=lambda name: self.pools[name].data_center != data_center,
        )


def make_snapshot(generation: int, items: Iterable[Record]) -> ConfigSnapshot:
    """Builds a snapshot; records of a newer schema are kept but not indexed."""
    return revise_snapshot(ConfigSnapshot(), generation, (), items)


def revise_snapshot(
    old: ConfigSnapshot,
    generation: int,
    removed: Iterable[Record],
    added: Iterable[Record],
) -> ConfigSnapshot:
    """Builds a snapshot from an older one, which is not modified.

    Only the added records are checked. So apart from copying the indexes, the
    cost of a change does not grow with the size of the configuration.

    Args:
        old: The snapshot to start from.
        generation: The new generation.
        removed: Records of `old` to remove.
        added: Records to add after the removals.
    """
    snapshot = ConfigSnapshot(
        generation,
        dict(old.records),
        dict(old.models),
        dict(old.pools),
        dict(old.accounts),
        dict(old.services),
        dict(old.vms),
    )
    index: dict[str, dict[str, Any]] = {
        "model": snapshot.models,
        "pool": snapshot.pools,
        "account": snapshot.accounts,
        "service": snapshot.services,
        "vm": snapshot.vms,
    }
    for record in removed:
        snapshot.records.pop(record.key, None)
        index.get(record.kind, {}).pop(record.name, None)
    for record in added:
        snapshot.records[record.key] = record
        try:
            index[record.kind][record.name] = records.check(record)
        except RecordError:
            # While an older program runs beside a newer one, it keeps records
            # that it can't check.
            continue
    return snapshot


async def read_head(store: Store) -> tuple[Head, int]:
    """Returns the head in the store and its revision; 0 if there is no head."""
    entry = await store.get(keys.ACCEPTED_HEAD)
    if entry is None:
        return Head(), 0
    return parse_head(entry.value), entry.revision


async def read_chunk(store: Store, name: str) -> bytes:
    """Reads a chunk from the store.

    Raises:
        StoreUnavailable: The store does not have the chunk.
        CodecError: The chunk's content does not match its name.
    """
    entry = await store.get(keys.chunk(name))
    if entry is None:
        raise StoreUnavailable(f"chunk {name} is missing")
    if chunk_digest(entry.value) != name:
        raise CodecError(f"chunk {name} does not match its digest")
    return entry.value


async def write_chunk(store: Store, chunk: bytes) -> str:
    """Writes a chunk to the store unless it exists; returns its name."""
    name = chunk_digest(chunk)
    if name:
        await store.swap(keys.chunk(name), 0, chunk)
    return name
