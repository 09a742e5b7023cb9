"""Measures control traffic and processor time per member over real links.

All members run in one process on the loopback address, each with its own
sockets. Bytes are counted at the interface of the links, without transport
headers. Processor time is that of the process divided by the number of members.
The store is in memory and its cost is negligible.
"""

import argparse
import random
import socket
import time
from typing import Any, TypeVar

import anyio
import attrs

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.configuration.distribution import Distribution
from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.membership.leavingvms import LeavingVms
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.membership.registration import Registration
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import SystemClock
from rhubarbwinch.stores.memstore import MemoryStore

T = TypeVar("T")

LEASE_MS = 5000
HEADER_BYTES = 18
LOOPBACK = "127.0.0.1"


@attrs.define
class TrafficCounter:
    """Bytes and messages sent and received by all members."""

    byte_count: int = 0
    messages: int = 0

    def add(self, message: Any) -> None:
        """Counts a message once for its sender and once for its receiver."""
        size = len(codec.encode(message)) + HEADER_BYTES
        self.byte_count += 2 * (size + len(type(message).__name__))
        self.messages += 2


class CountingLinks(Links):
    """Links that count the requests and replies of calls.

    Args:
        incarnation: The incarnation of the member.
        count: The counters to add to.
    """

    def __init__(self, incarnation: int, count: TrafficCounter) -> None:
        super().__init__(incarnation)
        self._count = count

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_ms: int
    ) -> T:
        """Calls a peer and returns its reply."""
        self._count.add(message)
        reply = await super().call(address, message, reply_type, timeout_ms)
        self._count.add(reply)
        return reply


def _free_addresses(count: int) -> list[str]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOOPBACK, 0))
    addresses = [f"{LOOPBACK}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


async def _run_member(
    name: str,
    address: str,
    number: int,
    store: MemoryStore,
    count: TrafficCounter,
) -> None:
    clock = SystemClock()
    rng = random.Random(number)
    links = CountingLinks(number, count)
    server = LinkServer(address)
    me = Member(
        name,
        Role.ENTRY,
        f"dc-{number % 3}",
        "region",
        number,
        address,
        address,
        version=clock.wall(),
    )
    members = Members(me)
    registration = Registration(store, members, clock, LEASE_MS)
    gossip = Gossip(
        links, server, members, clock, rng, [], registration.holds_lease
    )
    distribution = Distribution(links, server, members, rng)
    config = ConfigReplica(store, clock, members, distribution)
    gossip.on_newer_generation(config.observe_generation)
    leaving = LeavingVms(gossip, clock)
    async with anyio.create_task_group() as tasks:
        for run in (server.run, links.run, registration.run, leaving.run):
            tasks.start_soon(run)
        await anyio.sleep(0.2)
        tasks.start_soon(gossip.run)
        tasks.start_soon(config.run)


@attrs.frozen
class MemberCost:
    """The traffic and processor time of a member.

    Attributes:
        members: The number of members.
        bytes_per_s: Bytes sent and received per second and member.
        messages_per_s: Messages sent and received per second and member.
        cpu_percent: Processor time per member in percent of a core.
        store_calls_per_s: Store calls per second of all members.
    """

    members: int
    bytes_per_s: int
    messages_per_s: float
    cpu_percent: float
    store_calls_per_s: float


async def measure(size: int, settle_s: float, seconds: float) -> MemberCost:
    """Returns the traffic and processor time per member of `size` members."""
    count = TrafficCounter()
    store = MemoryStore(SystemClock())
    async with anyio.create_task_group() as tasks:
        for i, address in enumerate(_free_addresses(size)):
            tasks.start_soon(
                _run_member, f"m-{i}", address, i + 1, store, count
            )
        await anyio.sleep(settle_s)
        before, calls = attrs.evolve(count), store.calls
        cpu_before_s, began = time.process_time(), time.monotonic()
        await anyio.sleep(seconds)
        elapsed_s = time.monotonic() - began
        cpu_s = time.process_time() - cpu_before_s
        figures = MemberCost(
            size,
            round((count.byte_count - before.byte_count) / elapsed_s / size),
            round((count.messages - before.messages) / elapsed_s / size, 1),
            round(100 * cpu_s / elapsed_s / size, 2),
            round((store.calls - calls) / elapsed_s, 1),
        )
        tasks.cancel_scope.cancel()
    return figures


def main() -> None:
    """Prints a table row for each number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[4, 16, 64])
    parser.add_argument("--settle", type=float, default=70.0, help="s")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    print(
        "| members | bytes/s a member | messages/s a member "
        "| processor time a member, % of a core | store calls/s, fleet |"
    )
    print("|---|---|---|---|---|")
    for size in options.sizes:
        cost = anyio.run(
            measure,
            size,
            options.settle,
            options.seconds,
        )
        cells = [str(cell) for cell in attrs.astuple(cost)]
        print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
