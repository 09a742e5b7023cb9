"""Measures the rate of claims and the store writes per claim.

Several entries claim and complete idempotency keys at a fixed rate over one
store with a delay of some milliseconds per call. Compares batched writes with
one write per change, and one writer per claim page with all entries writing
all pages.

    python -m lab.bench_claims
"""

import argparse
import random
from typing import Any, TypeVar

import anyio
import attrs
from result import Ok

from rhubarbwinch.claims.claimkeys import ClaimKey
from rhubarbwinch.claims.claimowners import OwnerStatus
from rhubarbwinch.claims.claimpages import ClaimPages, ClaimRecord
from rhubarbwinch.claims.claimretention import ClaimFloor
from rhubarbwinch.claims.claimrouting import RoutedPages
from rhubarbwinch.claims.claims import Claims, make_outcome
from rhubarbwinch.membership.members import Member, MemberNews, Members, Role
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import SystemClock
from rhubarbwinch.stores.memstore import MemoryStore
from rhubarbwinch.stores.store import KeyValue, SwapResult

T = TypeVar("T")

WRITES_PER_S = 50


class SlowStore(MemoryStore):
    """An in-memory store with a delay for each call.

    Args:
        clock: The source of time.
        delay_ms: The duration of each call.
    """

    def __init__(self, clock: SystemClock, delay_ms: int) -> None:
        super().__init__(clock)
        self._delay_s = delay_ms / 1000

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        await anyio.sleep(self._delay_s)
        return await super().get(key)

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected`."""
        await anyio.sleep(self._delay_s / 2)
        swap = await super().swap(key, expected, value, lease)
        await anyio.sleep(self._delay_s / 2)
        return swap


class DirectLinks:
    """Links between the entries of this process, without a network or delay."""

    def __init__(self) -> None:
        self.routed: dict[str, RoutedPages] = {}

    async def call(
        self, address: str, message: Any, reply: type[T], timeout_ms: int
    ) -> T:
        """Calls a peer and returns its reply; both are encoded and decoded."""
        _ = timeout_ms
        data = codec.encode(message)
        result = await self.routed[address].reply(
            codec.decode(data, type(message))
        )
        return codec.decode(codec.encode(result), reply)

    def forget(self, address: str) -> None:
        """Does nothing, because there are no connections."""


class OwnerQueryStub:
    """A stub of the query for the status of a claim's owner."""

    async def get_status(self, _: ClaimRecord) -> OwnerStatus:
        """Returns that the owner may still send."""
        return OwnerStatus.MAY_SEND


@attrs.define
class Run:
    """A combination of parameters and its measurements."""

    offered: int
    entries: int
    batched: bool
    routed: bool
    done: int = 0
    refused: int = 0
    waits_ms: list[int] = attrs.field(factory=list)
    writes: int = 0
    reads: int = 0
    races: int = 0


def _member(number: int) -> Member:
    name = f"entry-{number}"
    return Member(name, Role.ENTRY, "dc", "region", number + 1, name, "")


def _uuid7(clock: SystemClock, rng: random.Random) -> str:
    value = clock.wall() << 80 | 0x7 << 76 | rng.getrandbits(76)
    value = value & ~(0b11 << 62) | 0b10 << 62
    text = f"{value:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)


async def _claim_once(
    claims: Claims, clock: SystemClock, rng: random.Random, run: Run
) -> None:
    key = ClaimKey("acme", "booking", _uuid7(clock, rng), "00" * 16, 86_400_000)
    began = clock.now()
    found = await claims.find_outcome(key)
    claimed = (
        await claims.acquire_claim(key) if isinstance(found, Ok) else found
    )
    if not isinstance(claimed, Ok) or claimed.ok_value is None:
        run.refused += 1
        return
    run.waits_ms.append(clock.now() - began)
    claim = claimed.ok_value
    claims.begin_send(claim, "desk")  # type: ignore[arg-type]
    outcome = make_outcome(200, "application/json", b'{"ok":true}')
    await claims.record_outcome(claim, outcome)  # type: ignore[arg-type]
    run.done += 1


async def _measure(run: Run, seconds: float, delay_ms: int) -> None:
    clock = SystemClock()
    store = SlowStore(clock, delay_ms)
    rng = random.Random(1)
    async with anyio.create_task_group() as tasks:
        claims = []
        pages = []
        peers = DirectLinks()
        entries = [_member(number) for number in range(run.entries)]
        for number, entry in enumerate(entries):
            page = ClaimPages(store, clock, WRITES_PER_S, run.batched)
            pages.append(page)
            members = Members(entry)
            for other in entries:
                members.merge(MemberNews(other))
            routed = RoutedPages(page, peers, members, clock)
            peers.routed[entry.link] = routed
            claims.append(
                Claims(
                    routed if run.routed else page,
                    OwnerQueryStub(),
                    ClaimFloor(store, clock),
                    clock,
                    random.Random(number),
                    entry.name,
                    entry.incarnation,
                )
            )
            tasks.start_soon(page.run)
        await anyio.sleep(0.01)
        async with anyio.create_task_group() as calls:
            began = anyio.current_time()
            for number in range(int(run.offered * seconds)):
                due = began + number / run.offered
                await anyio.sleep(max(0.0, due - anyio.current_time()))
                claim = claims[number % run.entries]
                calls.start_soon(_claim_once, claim, clock, rng, run)
            await anyio.sleep(0.5)
            calls.cancel_scope.cancel()
        run.writes = sum(page.counters.writes for page in pages)
        run.reads = sum(page.counters.reads for page in pages)
        run.races = sum(page.counters.conflicts for page in pages)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Prints a line for each combination of parameters."""
    parser = argparse.ArgumentParser(description="Claims a second")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--delay-ms", type=int, default=4)
    options = parser.parse_args()
    print("writer batched offered/s done/s refused writes/s writes/call")
    for routed, batched in ((True, True), (False, True), (False, False)):
        for offered in (10, 100, 400):
            run = Run(offered, 4, batched, routed)
            anyio.run(_measure, run, options.seconds, options.delay_ms)
            waits = sorted(run.waits_ms) or [0]
            p95 = waits[int(len(waits) * 0.95)]
            print(
                f"{'one' if routed else 'all':6} {batched!s:7} {offered:9}"
                f" {run.done / options.seconds:6.0f} {run.refused:7}"
                f" {run.writes / options.seconds:8.0f}"
                f" {run.writes / max(1, run.done):11.2f}"
                f" reads/s {run.reads / options.seconds:.0f}"
                f" lost races {run.races} claim p95 {p95} ms"
            )


if __name__ == "__main__":
    main()
