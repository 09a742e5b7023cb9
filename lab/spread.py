"""Measures store calls and time until all members have applied a change.

Compares two ways: every member watches the store, or only a few members watch
it and their peers distribute the change. The clock is manual, so the figures
are exact and the same on every run. The distribution is based on EdgeDis,
sections 3.1 to 3.3.
"""

import argparse

import anyio
import attrs

from lab.memberset import MemberSet
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.acceptedconfig import Head
from rhubarbwinch.records.records import Record
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore

DATA_CENTERS = 3
# From this number of members on there are three times as many data centres, as
# in three regions.
THREE_REGIONS_FROM = 128
# Updates about started members are gossiped for a minute.
SETTLE_MS = 70_000
CLOCK_STEP_MS = 1
LIMIT_MS = 60_000
IDLE_MS = 10_000


@attrs.frozen
class ChangeCost:
    """The cost of one change.

    Attributes:
        members: The number of members.
        idle_calls: Store calls per second of all members without changes.
        calls: Store calls for the change, without those of the publisher.
        watches: The number of members that watch the head.
        half_ms: The time until half of the members had applied the change.
        all_ms: The time until all members had applied the change.
        octets: Bytes on links per member for the change, without headers.
        idle_octets: Bytes on links per second and member without changes.
    """

    members: int
    idle_calls: float
    calls: int
    watches: int
    half_ms: int
    all_ms: int
    octets: int
    idle_octets: int


async def _publish(store: MemoryStore, generation: int) -> None:
    record = Record("account", "acme", 2, {"weight": float(generation)})
    chunks = acceptedconfig.pack_chunks([record])
    for chunk in filter(None, chunks):
        await acceptedconfig.write_chunk(store, chunk)
    head = Head(
        generation, [acceptedconfig.chunk_digest(chunk) for chunk in chunks]
    )
    _, revision = await acceptedconfig.read_head(store)
    await store.swap(keys.ACCEPTED_HEAD, revision, head.to_bytes())


async def measure(members: int, all_watch: bool) -> ChangeCost:
    """Returns the cost of one change with `members` members."""
    data_centers = DATA_CENTERS * (3 if members >= THREE_REGIONS_FROM else 1)
    async with anyio.create_task_group() as tasks:
        fleet = MemberSet(tasks, all_watch)
        await _publish(fleet.store, 1)
        for i in range(members):
            fleet.add(f"m-{i}", data_center=f"dc-{i % data_centers}")
        await fleet.clock.advance(SETTLE_MS)
        assert fleet.active_generations() == [1] * members
        before = fleet.store.calls
        bytes_before_idle = _link_bytes(fleet)
        await fleet.clock.advance(IDLE_MS)
        idle = (fleet.store.calls - before) / (IDLE_MS / 1000)
        octets = _link_bytes(fleet)
        idle_octets = (octets - bytes_before_idle) * 1000 // IDLE_MS // members
        calls = fleet.store.calls
        await _publish(fleet.store, 2)
        publisher_calls = fleet.store.calls - calls
        half_ms = elapsed_ms = 0
        while min(fleet.active_generations()) < 2 and elapsed_ms < LIMIT_MS:
            await fleet.clock.advance(CLOCK_STEP_MS)
            elapsed_ms += CLOCK_STEP_MS
            done = sum(g == 2 for g in fleet.active_generations())
            half_ms = half_ms or (elapsed_ms if done * 2 >= members else 0)
        figures = ChangeCost(
            members,
            round(idle, 1),
            fleet.store.calls - calls - publisher_calls,
            sum(node.config.is_store_watcher for node in fleet.nodes.values()),
            half_ms,
            elapsed_ms,
            (_link_bytes(fleet) - octets) // members,
            idle_octets,
        )
        tasks.cancel_scope.cancel()
    return figures


def _link_bytes(fleet: MemberSet) -> int:
    return sum(node.links.traffic.byte_count for node in fleet.nodes.values())


def main() -> None:
    """Prints a table row for each number of members and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[4, 16, 64])
    options = parser.parse_args()
    print(
        "| way | members | store calls a second, idle | calls for a change "
        "| waiting watches | half, ms | all, ms | bytes a member |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for size in options.sizes:
        for all_watch in (True, False):
            figures = anyio.run(measure, size, all_watch)
            way = "direct" if all_watch else "spread"
            cells = [str(cell) for cell in attrs.astuple(figures)]
            print(f"| {way} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
