"""Measures the cost of a configuration in a daemon, by number of accounts.

Prints a JSON line for each size: the processor time to build a snapshot from
all chunks and to apply one changed chunk, the memory of the snapshot and the
mean size of a chunk.
"""

import argparse
import sys
import time
import tracemalloc

import attrs
import orjson

from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import Record

SIZES = (1_000, 4_000, 9_400)


@attrs.frozen
class Cost:
    """The cost of a configuration.

    Attributes:
        accounts: Its number of client accounts.
        build_ms: Processor time to parse, check and index all records.
        revise_ms: Processor time to apply one changed chunk.
        memory_bytes: Memory of the snapshot and the chunks.
        chunk_bytes: The mean size of a chunk, fetched for one change.
    """

    accounts: int
    build_ms: float
    revise_ms: float
    memory_bytes: int
    chunk_bytes: int


def account(number: int) -> Record:
    """Returns an account record of typical size."""
    key = {"salt": f"{number:032x}", "digest": f"{number:064x}"}
    spec = {
        "keys": [key],
        "services": ["chat", "itinerary", "booking"],
        "weight": 1.0,
        "room": {"requests": 64, "tokens": 200_000},
        "requests_per_second": 5.0,
    }
    return Record("account", f"account-{number}", 2, spec)


def build(chunks: list[bytes]) -> ConfigSnapshot:
    """Returns the snapshot of a configuration's chunks."""
    items = [r for c in chunks for r in acceptedconfig.unpack_chunk(c)]
    return acceptedconfig.make_snapshot(1, items)


def measure(count: int) -> Cost:
    """Returns the cost of a configuration of `count` accounts."""
    chunks = acceptedconfig.pack_chunks(account(n) for n in range(count))
    began = time.process_time()
    snapshot = build(chunks)
    built = time.process_time()
    changed = acceptedconfig.unpack_chunk(chunks[0])
    acceptedconfig.revise_snapshot(snapshot, 2, changed, changed)
    revised = time.process_time()
    tracemalloc.start()
    traced_snapshot = build(chunks)
    snapshot_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sizes = [len(chunk) for chunk in chunks]
    return Cost(
        accounts=len(traced_snapshot.accounts),
        build_ms=round((built - began) * 1000, 1),
        revise_ms=round((revised - built) * 1000, 2),
        memory_bytes=snapshot_bytes + sum(sizes),
        chunk_bytes=sum(sizes) // len(sizes),
    )


def main() -> None:
    """Prints a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    for size in parser.parse_args().sizes:
        sys.stdout.write(orjson.dumps(attrs.asdict(measure(size))).decode())
        sys.stdout.write("\n")


if __name__ == "__main__":
    main()
